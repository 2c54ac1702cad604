//! Whether a connection between an entry and a side still works, as one end sees
//! it.
//!
//! A peer is silent if none of its bytes arrive, and slow if they do but its
//! frames are handled late, at either end. A silent connection is replaced soon,
//! since new ones may work. Replacing that of a slow peer only adds to its work.

use std::time::Duration;

/// Longest interval between two ticks after which silence is judged at once: the
/// interval of a side's reports. A process that has not run for longer has not yet
/// read what arrived meanwhile.
pub const LATE_TICK: Duration = Duration::from_millis(100);

/// Time limits for the connections between entries and sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time without bytes after which a connection is replaced of which no frame
    /// has been handled yet.
    pub joining: Duration,
    /// Time since the last contact after which an established connection is
    /// replaced, unless bytes still arrive.
    pub contact: Duration,
    /// Time without bytes from which a peer is silent, not slow.
    pub quiet: Duration,
    /// Time since the last contact after which any connection is replaced: its
    /// frames may wait in a queue that a new connection does not share.
    pub slow: Duration,
}

/// Contact on one connection.
#[derive(Debug, Clone, Copy)]
pub struct Liveness {
    /// Whether no frame has been handled yet.
    joining: bool,
    /// Start of the connection, then the time at which the first frame was handled.
    since: Duration,
    /// Time at which bytes last arrived.
    heard_at: Duration,
}

impl Liveness {
    /// Makes the state of a new connection.
    pub fn new(now: Duration) -> Self {
        Self {
            joining: true,
            since: now,
            heard_at: now,
        }
    }

    /// Records that bytes have arrived.
    pub fn record_bytes(&mut self, now: Duration) {
        self.heard_at = self.heard_at.max(now);
    }

    /// Records that a frame is handled; the first one ends the joining phase.
    pub fn record_frame(&mut self, now: Duration) {
        self.record_bytes(now);
        if std::mem::replace(&mut self.joining, false) {
            self.since = now;
        }
    }

    /// Returns whether the connection must be replaced. `last_contact` is the
    /// latest time at which the peer is known to have run.
    pub fn is_silent(&self, now: Duration, last_contact: Duration, limits: &Limits) -> bool {
        let quiet = now.saturating_sub(self.heard_at);
        if self.joining {
            return quiet > limits.joining || now.saturating_sub(self.since) > limits.slow;
        }
        let age = now.saturating_sub(last_contact.max(self.since));
        (age > limits.contact && quiet > limits.quiet) || age > limits.slow
    }
}

/// Decides at which ticks a process may judge its peers silent.
///
/// The first tick after the process has not run for longer than [`LATE_TICK`] is
/// passed over. Of two consecutive late ticks only one is, so that a process that
/// always runs late still finds silent peers.
#[derive(Debug, Default)]
pub struct SilenceCheck {
    ticked_at: Option<Duration>,
    skipped: bool,
}

impl SilenceCheck {
    /// Records a tick and returns whether to check for silent peers at it.
    pub fn is_due(&mut self, now: Duration) -> bool {
        let last = self.ticked_at.replace(now);
        let late = last.is_some_and(|last| now.saturating_sub(last) > LATE_TICK);
        self.skipped = late && !self.skipped;
        !self.skipped
    }
}
