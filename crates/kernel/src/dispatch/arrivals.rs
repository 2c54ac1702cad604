//! How much work arrives, by level.
//!
//! What waits behind others waits for those too that come meanwhile: with a
//! share of the processor time taken by more urgent arrivals, a queue empties at
//! the rate that is left (the priority queue of Cobham, 1954).

use std::{collections::BTreeMap, time::Duration};

/// Time over which arrivals are averaged: several of the short bursts that
/// customers make, and well under the time that a long job may wait.
const WINDOW: Duration = Duration::from_secs(1);

/// Work that arrives at one entry.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Core-milliseconds a second, by level, as of `at`.
    rates: BTreeMap<u8, f64>,
    at: Duration,
}

impl Arrivals {
    /// Counts work, in core-milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    pub(super) fn add(&mut self, now: Duration, level: u8, work: u64) {
        let decay = self.decay(now);
        for rate in self.rates.values_mut() {
            *rate *= decay;
        }
        self.at = now;
        *self.rates.entry(level).or_default() += work as f64 / WINDOW.as_secs_f64();
    }

    /// Returns the core-milliseconds a second, by level.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive and far below 2^64"
    )]
    pub(super) fn levels(&self, now: Duration) -> impl Iterator<Item = (u8, u64)> {
        let decay = self.decay(now);
        self.rates
            .iter()
            .map(move |(level, rate)| (*level, (rate * decay) as u64))
    }

    fn decay(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (-passed / WINDOW.as_secs_f64()).exp()
    }
}
