//! The process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch that never goes back while the process lives.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    epoch: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }
}

impl Clock {
    /// Returns the time.
    pub fn now(&self) -> Duration {
        self.epoch + self.start.elapsed()
    }
}
