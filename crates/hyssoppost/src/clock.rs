//! The process's clock.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch that is monotonic within a process and advances
/// while the host is suspended. Later changes of the system's clock don't affect
/// it.
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
    /// Returns the time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.epoch + uptime().saturating_sub(self.start)
    }
}

/// Returns the time since the host booted, including suspension.
fn uptime() -> Duration {
    read(ClockId::Boottime)
}

/// Returns the time for which the host has been suspended since it booted.
pub fn suspended() -> Duration {
    let all = uptime();
    all.saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // Neither number is ever negative.
    Duration::new(
        time.tv_sec.try_into().unwrap_or_default(),
        time.tv_nsec.try_into().unwrap_or_default(),
    )
}
