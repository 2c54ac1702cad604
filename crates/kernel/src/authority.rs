//! Whether an entry may vouch for its configuration.
//!
//! An entry vouches while the platform's store has confirmed the revision
//! recently, or another entry that vouches says so. While the store answers
//! nobody, no change can be accepted there, so a majority of the known entries
//! that hear each other may vouch as well. An entry that reaches neither the
//! store nor a majority cannot tell an outage from its own isolation; it stops
//! vouching, and work started on its word stops within [`crate::MAX_CONFIG_AGE`].

use crate::PEER_TIMEOUT;
use hashbrown::HashMap;
use std::time::Duration;

/// What an entry knows about the freshness of its configuration.
#[derive(Debug, Default)]
pub struct Authority {
    confirmed: Option<Duration>,
    /// Highest revision that another entry has shown.
    seen: u64,
    store_failed: bool,
    heard: HashMap<String, Duration>,
    known: Vec<String>,
}

impl Authority {
    /// Records that the store confirmed the revision in force.
    pub fn confirm(&mut self, now: Duration) {
        self.store_failed = false;
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self) {
        self.store_failed = true;
    }

    /// Records another entry's heartbeat, sent after our own clock showed
    /// `echo`. `age` is the age of its vouch if its revision is the same as
    /// ours.
    ///
    /// Counting from `echo`, not from the arrival, keeps a heartbeat that was
    /// long under way, or waited while this process was paused, from passing
    /// as news.
    pub fn heard(&mut self, name: &str, echo: Duration, age: Option<Duration>) {
        let heard = self.heard.entry_ref(name).or_default();
        *heard = echo.max(*heard);
        if let Some(age) = age {
            self.confirmed = self.confirmed.max(Some(echo.saturating_sub(age)));
        }
    }

    /// Sets the names of all other entries of the environment.
    pub fn know(&mut self, names: Vec<String>) {
        self.known = names;
    }

    /// Records the revision that another entry has in force.
    pub fn seen(&mut self, revision: u64) {
        self.seen = self.seen.max(revision);
    }

    /// Vouches anew for `revision` if a majority of the entries agrees that the
    /// store is out, and none has shown a higher one.
    pub fn tick(&mut self, now: Duration, revision: u64) {
        let latest = revision > 0 && revision >= self.seen;
        if self.store_failed && latest && self.hears_majority(now) {
            self.confirmed = Some(now);
        }
    }

    /// Returns the time since the revision was last known to be the latest.
    pub fn age(&self, now: Duration) -> Duration {
        self.confirmed
            .map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    fn hears_majority(&self, now: Duration) -> bool {
        let heard = self
            .known
            .iter()
            .filter_map(|name| self.heard.get(name))
            .filter(|at| now.saturating_sub(**at) <= PEER_TIMEOUT)
            .count();
        let all = self.known.len() + 1;
        (heard + 1) * 2 > all
    }
}
