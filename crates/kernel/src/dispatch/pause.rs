//! Pauses of the entry's own process.
//!
//! While a process is paused its customers may disconnect and submit their jobs
//! elsewhere. After it has resumed it may read what its sides have sent, such as the ends
//! of runs that they stopped meanwhile, before it learns of that. So it starts nothing
//! until a barrier has passed that it sent after it had resumed: by then all departures
//! that arrived before are handled.

use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;

/// Time in which a process that has resumed reads the requests that arrived in the pause.
const READ_TIME: Duration = Duration::from_millis(500);

/// When the process has run.
#[derive(Debug)]
pub(super) struct Pause {
    /// Shortest time without a call that counts as a pause.
    limit: Duration,
    last_run: Duration,
    /// When it resumed from a pause in which departures may have arrived that are unread.
    resumed_at: Option<Duration>,
    /// Begin and end of the last pauses; those between which nothing may have been read
    /// count as one.
    unread: (Duration, Duration),
}

impl Pause {
    pub(super) fn new(now: Duration, limit: Duration) -> Self {
        Self {
            limit,
            last_run: now,
            resumed_at: None,
            unread: (Duration::ZERO, Duration::ZERO),
        }
    }

    /// Returns the earliest time at which a request may have arrived that was read at
    /// `read_at`.
    pub(super) fn earliest_arrival(&self, read_at: Duration) -> Duration {
        let (paused_at, resumed_at) = self.unread;
        if resumed_at <= read_at && read_at <= resumed_at + READ_TIME {
            paused_at
        } else {
            read_at
        }
    }

    /// Records that the process runs. Returns the length of the pause that has just
    /// ended, if any.
    pub(super) fn record_run(&mut self, now: Duration) -> Option<Duration> {
        let last_run = self.last_run;
        let paused = now.saturating_sub(last_run);
        self.last_run = self.last_run.max(now);
        if paused < self.limit {
            return None;
        }
        self.resumed_at = Some(now);
        self.unread = (self.earliest_arrival(last_run), now);
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
