//! Release of entries that a side no longer chooses; see [`crate::neighbourhood`].

use super::{Guard, Peer};
use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;
use wire::id::Incarnation;

/// Least time for which a side keeps an entry that it would no longer choose;
/// lists of entries differ for a while after a change.
pub(super) const MIN_SURPLUS_TIME: Duration = Duration::from_secs(5);

/// Time between a report that a side takes no more tasks from an entry and the end
/// of their connection. Orders already sent are refused meanwhile.
const RELEASE_TIME: Duration = Duration::from_secs(1);

impl Peer {
    /// Returns for how long the side has taken no more tasks from this entry.
    fn released_for(&self, now: Duration, delay: Duration) -> Option<Duration> {
        now.checked_sub(self.surplus_since? + delay)
    }
}

impl Guard {
    /// Spreads the release of surplus entries by many sides; `random` is a number
    /// from 0 to 1.
    pub fn set_release_jitter(&mut self, random: f64) {
        self.surplus_time = MIN_SURPLUS_TIME.mul_f64(1.0 + random);
    }

    /// Sets the connected entries that the side would no longer choose. After a
    /// while it takes no more tasks from them.
    pub fn set_surplus(&mut self, now: Duration, surplus: &[Incarnation]) {
        for (entry, peer) in &mut self.peers {
            if surplus.contains(entry) {
                peer.surplus_since.get_or_insert(now);
            } else {
                peer.surplus_since = None;
            }
        }
    }

    /// Returns the released entries that have nothing left here; their connections
    /// may be closed.
    pub fn released(&self, now: Duration) -> Vec<Incarnation> {
        let idle = |entry: &Incarnation| self.runs.values().all(|run| run.entry != *entry);
        self.peers
            .iter()
            .filter(|(_, peer)| peer.connected && peer.ends.is_empty())
            .filter(|(_, peer)| {
                peer.released_for(now, self.surplus_time)
                    .is_some_and(|time| time >= RELEASE_TIME)
            })
            .map(|(entry, _)| *entry)
            .filter(idle)
            .collect()
    }

    /// Returns whether the side takes no more tasks from an entry.
    pub(super) fn is_released(&self, now: Duration, entry: Incarnation) -> bool {
        let peer = self.peers.get(&entry);
        peer.is_some_and(|peer| peer.released_for(now, self.surplus_time).is_some())
            && !is_seeded(Mutant::ReleasedEntry)
    }
}
