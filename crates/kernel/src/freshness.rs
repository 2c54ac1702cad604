//! Freshness of an entry's configuration.
//!
//! An entry may confirm its revision to sides while the platform's store, or
//! another entry with a recent confirmation, has confirmed it. During an outage
//! of the store no change can be accepted there, so a majority of all entries
//! that receive each other's heartbeats may confirm the revision as well. An
//! entry that reaches neither the store nor a majority cannot distinguish an
//! outage from its own isolation; its confirmation ages, and sides that depend
//! on it stop starting work within [`crate::MAX_CONFIG_AGE`].

use crate::PEER_TIMEOUT;
use hashbrown::HashMap;
use std::time::Duration;

/// Tracks the last confirmation of the configuration in force.
#[derive(Debug, Default)]
pub struct Tracker {
    confirmed: Option<Duration>,
    /// Highest revision reported by another process.
    highest_revision: u64,
    store_failed: bool,
    /// Latest time of this process's clock echoed by each peer, by name.
    heartbeats: HashMap<String, Duration>,
    /// Names of all other entries of the environment.
    peers: Vec<String>,
}

impl Tracker {
    /// Records that the store has confirmed the revision in force.
    pub fn confirm(&mut self, now: Duration) {
        self.store_failed = false;
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self) {
        self.store_failed = true;
    }

    /// Records another entry's heartbeat, sent after this process's clock
    /// showed `echo`. `age` is the age of the other entry's confirmation if it
    /// has the same revision in force.
    ///
    /// Times count from `echo`, not from arrival: a heartbeat that was delayed
    /// in the network, or waited while this process was paused, must not count
    /// as recent.
    pub fn record_heartbeat(&mut self, name: &str, echo: Duration, age: Option<Duration>) {
        let latest = self.heartbeats.entry_ref(name).or_default();
        *latest = echo.max(*latest);
        if let Some(age) = age {
            self.confirmed = self.confirmed.max(Some(echo.saturating_sub(age)));
        }
    }

    /// Sets the names of all other entries of the environment.
    pub fn set_peers(&mut self, names: Vec<String>) {
        self.peers = names;
    }

    /// Records the revision that another process has in force.
    pub fn record_revision(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// Confirms `revision` while the store is out, if this entry receives
    /// heartbeats from a majority and no process has reported a higher one.
    pub fn tick(&mut self, now: Duration, revision: u64) {
        let highest = revision > 0 && revision >= self.highest_revision;
        if self.store_failed && highest && self.has_quorum(now) {
            self.confirmed = Some(now);
        }
    }

    /// Returns the time since the revision was last confirmed to be the latest.
    pub fn age(&self, now: Duration) -> Duration {
        self.confirmed
            .map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    fn has_quorum(&self, now: Duration) -> bool {
        let reachable = self
            .peers
            .iter()
            .filter_map(|name| self.heartbeats.get(name))
            .filter(|at| now.saturating_sub(**at) <= PEER_TIMEOUT)
            .count();
        let all = self.peers.len() + 1;
        (reachable + 1) * 2 > all
    }
}
