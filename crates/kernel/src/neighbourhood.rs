//! The bounded set of entries that a side reports to and takes tasks from.
//!
//! Every side chooses on its own, by rendezvous hashing (Thaler and
//! Ravishankar, 1998): it ranks all entries by a hash of both names and takes the
//! first ones. The choice needs no agreement, entries get even shares of the
//! sides, and an entry that joins or leaves moves only the links of its own.

use sha2::{Digest, Sha256};
use std::{collections::BTreeSet, time::Duration};
use wire::frame::Endpoint;

/// Most entries that a side takes tasks from. The loss of two failure domains out
/// of five leaves a side five of them on average.
pub const MAX_ENTRIES: usize = 8;

/// An entry is weak if it has less than one part in this many of the strongest
/// entry's processor.
const WEAK_PART: u32 = 3;

/// Percentage of the total processor that the entries that are not weak must have:
/// with less they could not do the work of all.
const MIN_STRONG_PERCENT: u64 = 40;

/// Time without a connected entry that is not weak after which a side connects to
/// weak ones as well. Longer than the longest interval between two dials of a
/// restarted entry ([`crate::reconnect::MAX_INTERVAL`]).
const WEAK_AFTER: Duration = Duration::from_secs(1);

/// Returns the names of the weak entries, which forward their jobs to others. An
/// entry that does not state its processor counts as equal to the strongest.
pub fn weak(entries: &[Endpoint]) -> BTreeSet<&str> {
    let strongest = entries.iter().map(|entry| entry.processor).max();
    let strongest = strongest.unwrap_or_default();
    let is_weak = |entry: &&Endpoint| {
        entry.processor > 0 && entry.processor.saturating_mul(WEAK_PART) < strongest
    };
    let processor = |entry: &Endpoint| u64::from(effective(entry.processor, strongest));
    let total: u64 = entries.iter().map(processor).sum();
    let weak: u64 = entries.iter().filter(is_weak).map(processor).sum();
    if (total - weak) * 100 < total * MIN_STRONG_PERCENT {
        return BTreeSet::new();
    }
    let weak = entries.iter().filter(is_weak);
    weak.map(|entry| entry.name.as_str()).collect()
}

/// Returns the processor that an entry counts with.
fn effective(processor: u32, strongest: u32) -> u32 {
    if processor == 0 { strongest } else { processor }
}

/// Returns the entries that a side takes tasks from: those that are not weak; all
/// of these if they are few.
pub fn choose(side: &str, entries: &[Endpoint]) -> Vec<Endpoint> {
    let weak = weak(entries);
    let strong = |entry: &&Endpoint| !weak.contains(entry.name.as_str());
    first_ranked(side, entries.iter().filter(strong).collect())
}

/// Returns the first entries of a side's ranking, at most [`MAX_ENTRIES`]. Where
/// processors differ, an entry is ranked first in proportion to its processor.
fn first_ranked(side: &str, entries: Vec<&Endpoint>) -> Vec<Endpoint> {
    if entries.len() <= MAX_ENTRIES {
        return entries.into_iter().cloned().collect();
    }
    let strongest = entries.iter().map(|entry| entry.processor).max();
    let strongest = strongest.unwrap_or_default();
    let processor = |entry: &Endpoint| effective(entry.processor, strongest);
    let equal = entries.iter().all(|entry| processor(entry) == strongest);
    let mut ranked: Vec<(f64, u64, &Endpoint)> = entries
        .into_iter()
        .map(|entry| {
            let hash = weight(side, &entry.name);
            let score = if equal {
                0.0
            } else {
                score(hash, processor(entry))
            };
            (score, hash, entry)
        })
        .collect();
    ranked.sort_unstable_by(|left, right| {
        let by_hash = (left.1, &left.2.name).cmp(&(right.1, &right.2.name));
        left.0.total_cmp(&right.0).then(by_hash)
    });
    ranked.truncate(MAX_ENTRIES);
    ranked
        .into_iter()
        .map(|(_, _, entry)| entry.clone())
        .collect()
}

/// Returns the score of weighted rendezvous hashing (Schindelhauer and Schomaker,
/// 2005): an exponential variable with the processor as its rate. The least of
/// several belongs to each entry with a probability in proportion to its rate, and
/// an entry that joins or leaves does not change the scores of others.
#[expect(
    clippy::cast_precision_loss,
    reason = "the hash keeps 53 of its 64 bits"
)]
fn score(hash: u64, processor: u32) -> f64 {
    let uniform = hash as f64 / u64::MAX as f64;
    -(-uniform).ln_1p() / f64::from(processor)
}

/// The entries to which one side connects: its choice, and weak entries as well
/// while it has had no other for [`WEAK_AFTER`].
#[derive(Debug)]
pub struct Neighbours {
    side: String,
    entries: Vec<Endpoint>,
    /// Names of the weak ones among them.
    weak: BTreeSet<String>,
    /// Since when no entry is connected that is not weak; `None` while one is.
    isolated_since: Option<Duration>,
    includes_weak: bool,
}

impl Neighbours {
    /// Makes the choice of a side that knows no entries and is connected to none.
    pub fn new(side: &str, now: Duration) -> Self {
        Self {
            side: side.to_owned(),
            entries: Vec::new(),
            weak: BTreeSet::new(),
            isolated_since: Some(now),
            includes_weak: false,
        }
    }

    /// Replaces the list of entries.
    pub fn set_entries(&mut self, entries: &[Endpoint]) {
        self.entries = entries.to_vec();
        self.weak = weak(entries).into_iter().map(str::to_owned).collect();
    }

    /// Updates the choice with the names of the `connected` entries; returns whether
    /// it changed.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        mut connected: impl Iterator<Item = &'a str>,
    ) -> bool {
        let isolated = connected.all(|name| self.weak.contains(name));
        self.isolated_since = isolated.then(|| self.isolated_since.unwrap_or(now));
        let includes_weak = self
            .isolated_since
            .is_some_and(|since| now.saturating_sub(since) >= WEAK_AFTER);
        std::mem::replace(&mut self.includes_weak, includes_weak) != includes_weak
    }

    /// Returns whether the choice includes weak entries.
    pub fn includes_weak(&self) -> bool {
        self.includes_weak
    }

    /// Returns the entries to connect to.
    pub fn chosen(&self) -> Vec<Endpoint> {
        let mut chosen = choose(&self.side, &self.entries);
        if self.includes_weak {
            let is_weak = |entry: &&Endpoint| self.weak.contains(&entry.name);
            let weak = self.entries.iter().filter(is_weak).collect();
            chosen.extend(first_ranked(&self.side, weak));
        }
        chosen
    }
}

/// Hashes a pair of names: the first 64 bits, in little-endian order, of SHA-256
/// of the side's name, a zero byte and the entry's name. All builds in a deployment
/// must compute the same value, so the hash is one whose output is standardized.
pub(crate) fn weight(side: &str, entry: &str) -> u64 {
    let digest = Sha256::new()
        .chain_update(side)
        .chain_update([0])
        .chain_update(entry)
        .finalize();
    let first = digest.iter().take(8).rev();
    first.fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
