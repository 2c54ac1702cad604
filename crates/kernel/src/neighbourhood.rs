//! The bounded set of entries that a side reports to and takes tasks from.
//!
//! Every side chooses on its own, by rendezvous hashing (Thaler and
//! Ravishankar, 1998): it ranks all entries by a hash of both names and takes the
//! first ones. The choice needs no agreement, entries get even shares of the
//! sides, and an entry that joins or leaves moves only the links of its own.

use wire::frame::Endpoint;

/// Most entries that a side takes tasks from. The loss of two failure domains out
/// of five leaves a side five of them on average.
pub const MAX_ENTRIES: usize = 8;

/// Returns the entries that a side takes tasks from; all if there are few.
pub fn choose(side: &str, entries: &[Endpoint]) -> Vec<Endpoint> {
    if entries.len() <= MAX_ENTRIES {
        return entries.to_vec();
    }
    let mut ranked: Vec<(u64, &Endpoint)> = entries
        .iter()
        .map(|entry| (weight(side, &entry.name), entry))
        .collect();
    ranked.sort_unstable_by(|left, right| (left.0, &left.1.name).cmp(&(right.0, &right.1.name)));
    ranked.truncate(MAX_ENTRIES);
    ranked.into_iter().map(|(_, entry)| entry.clone()).collect()
}

/// Hashes a pair of names: FNV-1a, with the finalizer of `SplitMix64`, since names
/// differ in few characters.
fn weight(side: &str, entry: &str) -> u64 {
    let bytes = side.bytes().chain([0]).chain(entry.bytes());
    let hash = bytes.fold(0xCBF2_9CE4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
