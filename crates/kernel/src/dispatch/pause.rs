//! Pauses of the entry's own process.
//!
//! While a process is paused its customers may disconnect and submit their jobs
//! elsewhere. After it has resumed it may read what its sides have sent, such as the ends
//! of runs that they stopped meanwhile, before it learns of that. Until then it starts
//! nothing.

use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;

/// Time in which a process that has resumed reads what has arrived on its connections.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Longest time between two calls in which the process counts as running.
const MAX_RUNNING_GAP: Duration = Duration::from_millis(20);

/// When the process has run.
#[derive(Debug)]
pub(super) struct Pause {
    /// Shortest time without a call that counts as a pause.
    limit: Duration,
    last_run: Duration,
    /// Time until which no task starts.
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
        let was_catching_up = self.is_catching_up(self.last_run);
        self.last_run = self.last_run.max(now);
        if paused < self.limit {
            if was_catching_up && !is_seeded(Mutant::PausedCatchUp) {
                // Nothing was read in the part of the time in which it did not run.
                self.caught_up_at += paused.saturating_sub(MAX_RUNNING_GAP);
            }
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
