//! Crashes of upstreams that had a run of one task, and whether the task is their cause.

use super::fleet::Key;
use crate::mutation::{Mutant, is_seeded};
use wire::lease::{Crash, CrashCount, Task};

/// Crashes as a suspect after which a task is given up. Since suspects are separated
/// after the first crash, a task that only ran beside the cause is rarely a suspect
/// twice.
const MAX_SUSPICIONS: u32 = 2;

/// Unanswered trials after which a task is given up, one less if it was also a suspect.
/// The task may crash its upstreams before they answer; or its order was on its way when
/// another task did, which seldom happens to a task twice.
const MAX_UNANSWERED_TRIALS: u32 = 3;

/// Crashes in all after which a task is given up: it may crash its upstreams later than
/// a suspect would, or the same one each time.
const MAX_CRASHES: u32 = 3;

/// Why a task is given up after crashes of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It was a suspect of [`MAX_SUSPICIONS`] crashes.
    Suspect,
    /// It was there in [`MAX_CRASHES`] crashes.
    Present,
}

/// The crashes of upstreams that had a run of a task.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Crashes {
    /// Those of upstreams that had started the task.
    pub(super) all: u32,
    /// Those of them that the task may have caused, each at another upstream than the
    /// one before.
    pub(super) suspicions: u32,
    /// Side of the last suspicion.
    suspected_at: Option<Key>,
    /// Those of upstreams that are not known to have started it.
    unconfirmed: u32,
    /// Those of them that left a trial unanswered.
    unanswered_trials: u32,
}

impl Crashes {
    /// Returns whether any upstream has crashed.
    pub(super) fn is_any(self) -> bool {
        self.all > 0 || self.unconfirmed > 0
    }

    /// Returns the larger counts of two entries, which may have counted the same crashes.
    pub(super) fn merged(self, other: Self) -> Self {
        Self {
            all: self.all.max(other.all),
            suspicions: self.suspicions.max(other.suspicions),
            suspected_at: other.suspected_at.or(self.suspected_at),
            unconfirmed: self.unconfirmed.max(other.unconfirmed),
            unanswered_trials: self.unanswered_trials.max(other.unanswered_trials),
        }
    }

    /// Counts a crash.
    pub(super) fn record(&mut self, crash: Crash, side: Key) {
        if is_seeded(Mutant::CrashForgotten) {
            return;
        }
        match crash {
            Crash::Unconfirmed => self.unconfirmed += 1,
            Crash::UnansweredTrial => {
                self.unconfirmed += 1;
                self.unanswered_trials += 1;
            }
            Crash::Bystander => self.all += 1,
            Crash::Suspect => {
                self.all += 1;
                self.suspicions += u32::from(self.suspected_at != Some(side));
                self.suspected_at = Some(side);
            }
        }
    }

    /// Returns whether the task is to be started beside no other suspect.
    pub(super) fn are_suspicious(self) -> bool {
        self.suspicions > 0 || self.unconfirmed > 0
    }

    /// Returns whether the task is to be given up, and why.
    pub(super) fn verdict(self) -> Option<Verdict> {
        let evidence = self.unanswered_trials + self.suspicions.min(1);
        if self.suspicions >= MAX_SUSPICIONS || evidence >= MAX_UNANSWERED_TRIALS {
            Some(Verdict::Suspect)
        } else {
            (self.all >= MAX_CRASHES).then_some(Verdict::Present)
        }
    }

    /// Makes the counts of another entry's frame.
    pub(super) fn of(count: CrashCount) -> Self {
        Self {
            all: count.all,
            suspicions: count.suspicions,
            suspected_at: count.suspected_at,
            unconfirmed: count.unconfirmed,
            unanswered_trials: count.unanswered_trials,
        }
    }

    /// Makes the frame that tells another entry.
    pub(super) fn frame(self, task: Task) -> CrashCount {
        CrashCount {
            task,
            all: self.all,
            suspicions: self.suspicions,
            suspected_at: self.suspected_at,
            unconfirmed: self.unconfirmed,
            unanswered_trials: self.unanswered_trials,
        }
    }
}
