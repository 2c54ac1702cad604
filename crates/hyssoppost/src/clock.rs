//! The process's clock.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch that never goes back while the process lives, and
/// goes on while the host is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
    epoch: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: uptime(),
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }
}

impl Clock {
    /// Returns the time.
    pub fn now(&self) -> Duration {
        self.epoch + uptime().saturating_sub(self.start)
    }
}

/// Returns the time since the host started, suspensions included.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The system reports neither number below zero.
    Duration::new(
        time.tv_sec.try_into().unwrap_or_default(),
        time.tv_nsec.try_into().unwrap_or_default(),
    )
}
