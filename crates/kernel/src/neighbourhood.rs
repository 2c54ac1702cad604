//! The bounded set of entries that a side reports to and takes tasks from.
//!
//! Every side chooses on its own, by rendezvous hashing (Thaler and
//! Ravishankar, 1998): it ranks all entries by a hash of both names and takes the
//! first ones. The choice needs no agreement, entries get even shares of the
//! sides, and an entry that joins or leaves moves only the links of its own.

use sha2::{Digest, Sha256};
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

/// Hashes a pair of names: the first 64 bits, in little-endian order, of SHA-256
/// of the side's name, a zero byte and the entry's name. All builds in a deployment
/// must compute the same value, so the hash is one whose output is standardized.
fn weight(side: &str, entry: &str) -> u64 {
    let digest = Sha256::new()
        .chain_update(side)
        .chain_update([0])
        .chain_update(entry)
        .finalize();
    let first = digest.iter().take(8).rev();
    first.fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests {
    use super::weight;

    /// Guards against a change of the hash, by which sides of different builds
    /// would choose different entries.
    #[test]
    fn pinned_weight() {
        assert_eq!(weight("side-1", "entry-1"), 0x584D_61CD_D609_6038);
    }
}
