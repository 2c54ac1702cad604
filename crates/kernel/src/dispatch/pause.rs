//! Pauses of the entry's own process.
//!
//! While a process is paused its customers may disconnect and submit their jobs
//! elsewhere. After it has resumed it may read what its sides have sent, such as the ends
//! of runs that they stopped meanwhile, before it learns of that. Until then it starts
//! nothing, and sends no echoes, which let runs go on.

use std::time::Duration;

/// Time in which a process that has resumed reads what has arrived on its connections.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// When the process has run.
#[derive(Debug)]
pub(super) struct Pause {
    /// Shortest time without a call that counts as a pause.
    limit: Duration,
    last_run: Duration,
    /// Time until which no task starts and no echo is sent.
    caught_up_at: Duration,
}

impl Pause {
    pub(super) fn new(now: Duration, limit: Duration) -> Self {
        Self {
            limit,
            last_run: now,
            caught_up_at: Duration::ZERO,
        }
    }

    /// Records that the process runs. Returns the length of the pause that has just
    /// ended, if any.
    pub(super) fn record_run(&mut self, now: Duration) -> Option<Duration> {
        let paused = now.saturating_sub(self.last_run);
        self.last_run = self.last_run.max(now);
        if paused < self.limit {
            return None;
        }
        self.caught_up_at = now + CATCH_UP_TIME;
        Some(paused)
    }

    /// Returns whether customers may have disconnected during a pause without the
    /// process knowing yet.
    pub(super) fn is_catching_up(&self, now: Duration) -> bool {
        now < self.caught_up_at
    }
}
