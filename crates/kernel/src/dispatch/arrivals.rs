//! Rate of arriving work, by priority level.
//!
//! A waiting job is also delayed by more urgent jobs that arrive while it
//! waits. If these take a share of the processor time, the queue drains at the
//! remaining rate (the priority queue of Cobham, 1954).

use std::{collections::BTreeMap, time::Duration};

/// Time constant of the average: several times the length of customers' bursts,
/// and well below the time that a long job may wait.
const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// Exponentially weighted rate of work that arrives at one entry.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Core-milliseconds per second, by level, as of `at`.
    rates: BTreeMap<u8, f64>,
    at: Duration,
}

impl Arrivals {
    /// Adds `work` core-milliseconds that arrive at `now`.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    pub(super) fn add(&mut self, now: Duration, level: u8, work: u64) {
        let decay = self.decay(now);
        for rate in self.rates.values_mut() {
            *rate *= decay;
        }
        self.at = now;
        *self.rates.entry(level).or_default() += work as f64 / AVERAGING_WINDOW.as_secs_f64();
    }

    /// Returns the rate in core-milliseconds per second, by level.
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
        remaining(now.saturating_sub(self.at), AVERAGING_WINDOW)
    }
}

/// Returns the weight in an exponential average that is left of what lies `passed` back.
pub(super) fn remaining(passed: Duration, window: Duration) -> f64 {
    (-passed.as_secs_f64() / window.as_secs_f64()).exp()
}
