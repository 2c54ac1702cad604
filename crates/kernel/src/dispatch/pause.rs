//! Pauses of the entry's own process.
//!
//! While a process is paused its customers may disconnect and submit their jobs
//! elsewhere. After it has resumed it may read what its sides have sent, such as the ends
//! of runs that they stopped meanwhile, before it learns of that. So it starts nothing
//! until a barrier has passed that it sent after it had resumed: by then all departures
//! that arrived before are handled.

use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;

/// When the process has run.
#[derive(Debug)]
pub(super) struct Pause {
    /// Shortest time without a call that counts as a pause.
    limit: Duration,
    last_run: Duration,
    /// When it resumed from a pause in which departures may have arrived that are unread.
    resumed_at: Option<Duration>,
}

impl Pause {
    pub(super) fn new(now: Duration, limit: Duration) -> Self {
        Self {
            limit,
            last_run: now,
            resumed_at: None,
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
        self.resumed_at = Some(now);
        Some(paused)
    }

    /// Records that a barrier sent at this time has passed. Returns whether that has ended
    /// the time in which nothing starts.
    pub(super) fn record_barrier(&mut self, sent_at: Duration) -> bool {
        self.resumed_at
            .take_if(|resumed_at| *resumed_at <= sent_at)
            .is_some()
    }

    /// Returns whether customers may have disconnected during a pause without the
    /// process knowing yet.
    pub(super) fn is_catching_up(&self) -> bool {
        self.resumed_at.is_some() && !is_seeded(Mutant::PausedCatchUp)
    }
}
