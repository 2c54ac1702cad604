//! Intervals between attempts to connect to a process.

use std::time::Duration;

/// Interval after a connection that has worked or the first failed attempt, before
/// jitter; it doubles with each further failure.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest interval between the starts of two attempts. A process that listens
/// again is reached within this time by all that know its address.
pub const MAX_INTERVAL: Duration = Duration::from_millis(800);

/// Computes the intervals between attempts to connect to one address.
#[derive(Debug)]
pub struct Backoff {
    interval: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            interval: MIN_INTERVAL,
        }
    }
}

impl Backoff {
    /// Records the end of a connection. The intervals start anew only if a frame
    /// of it was handled: an address may accept connections that never work.
    pub fn record_connection(&mut self, frame_handled: bool) {
        if frame_handled {
            *self = Self::default();
        }
    }

    /// Returns the interval before the next attempt, at most [`MAX_INTERVAL`].
    /// `random` is a number from 0 to 1 that spreads the attempts of many
    /// processes.
    pub fn next_interval(&mut self, random: f64) -> Duration {
        let interval = self.interval.mul_f64(f64::midpoint(random, 1.0));
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        interval
    }
}
