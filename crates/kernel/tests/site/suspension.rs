//! Suspensions of processes, which begin between two turns of a process or within one:
//! what it has computed by then is sent when it resumes.

use super::{Entry, Side, Site, upstream::Outcome};
use kernel::guard::Admission;
use std::time::Duration;
use wire::lease::Frame;

/// A process of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Entry(usize),
    Side(usize),
}

/// Where a suspension begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    BetweenTurns,
    /// Within the next turn that has calls or frames to send.
    AnyTurn,
    /// Within the next turn that has orders to send.
    OrderTurn,
}

/// A suspension that has begun, or waits for a turn to begin in.
pub(super) struct Suspension {
    since: Option<Duration>,
    moment: Moment,
    /// Whether the upstream stands still too.
    with_upstream: bool,
    side_actions: Vec<Side>,
    entry_actions: Vec<Entry>,
}

impl Site {
    /// Suspends a process. The clock of an upstream that stands still with it doesn't
    /// count the time; the process's own clock does.
    pub fn begin_suspension(&mut self, process: Process, moment: Moment, with_upstream: bool) {
        let runs = match process {
            Process::Entry(index) => self.entries[index].is_some() && !self.frozen_entries[index],
            Process::Side(index) => self.sides[index].is_some() && !self.frozen_sides[index],
        };
        if !runs || self.suspensions.contains_key(&process) {
            return;
        }
        let suspension = Suspension {
            since: None,
            moment,
            with_upstream,
            side_actions: Vec::new(),
            entry_actions: Vec::new(),
        };
        self.suspensions.insert(process, suspension);
        if moment == Moment::BetweenTurns {
            self.stand_still(process);
        }
    }

    fn stand_still(&mut self, process: Process) {
        let now = self.now;
        let Some(suspension) = self.suspensions.get_mut(&process) else {
            return;
        };
        suspension.since = Some(now);
        match process {
            Process::Entry(index) => self.frozen_entries[index] = true,
            Process::Side(index) => {
                self.frozen_sides[index] = true;
                self.upstreams[index].suspended |= suspension.with_upstream;
            }
        }
        self.note(|| format!("fault: {process:?} stands still"));
    }

    /// Resumes a process, or withdraws a suspension that has not begun.
    pub fn end_suspension(&mut self, process: Process) {
        let Some(suspension) = self.suspensions.remove(&process) else {
            return;
        };
        let Some(since) = suspension.since else {
            return;
        };
        let lasted = self.now.saturating_sub(since);
        self.note(|| format!("fault: {process:?} resumes after {lasted:?}"));
        match process {
            Process::Entry(index) => {
                self.frozen_entries[index] = false;
                for action in suspension.entry_actions {
                    self.execute(index, action);
                }
            }
            Process::Side(index) => {
                self.frozen_sides[index] = false;
                if suspension.with_upstream {
                    self.upstreams[index].resume(lasted);
                }
                self.extend_timeouts(index, since, lasted);
                for action in suspension.side_actions {
                    self.execute_side(index, action);
                }
                if let Some(guard) = &mut self.sides[index] {
                    guard.record_suspension(lasted);
                }
            }
        }
    }

    /// Returns whether a process is suspended.
    pub fn is_suspended(&self, process: Process) -> bool {
        let suspension = self.suspensions.get(&process);
        suspension.is_some_and(|suspension| suspension.since.is_some())
    }

    /// The runtime's time-outs don't count a suspension.
    fn extend_timeouts(&mut self, side: usize, since: Duration, lasted: Duration) {
        for (at, index, outcome) in &mut self.results {
            let is_timeout = matches!(
                outcome,
                Outcome::HoldFailed(_) | Outcome::Admission(_, _, Admission::Unanswered)
            );
            if *index == side && *at > since && is_timeout {
                *at += lasted;
            }
        }
    }

    /// Suspends a side that waits for a turn with such actions, and keeps them for its
    /// resumption; returns the others.
    pub(super) fn hold_side_actions(&mut self, index: usize, actions: Vec<Side>) -> Vec<Side> {
        let process = Process::Side(index);
        let Some(suspension) = self.suspensions.get_mut(&process) else {
            return actions;
        };
        let begins = suspension.since.is_none()
            && actions.iter().any(|action| match action {
                Side::Start(_) | Side::Stop { .. } => true,
                Side::Hold(_) | Side::Send(_) => suspension.moment == Moment::AnyTurn,
                Side::Entries(_) => false,
            });
        if !begins {
            return actions;
        }
        suspension.side_actions = actions;
        self.stand_still(process);
        Vec::new()
    }

    /// Does the same for an entry.
    pub(super) fn hold_entry_actions(&mut self, index: usize, actions: Vec<Entry>) -> Vec<Entry> {
        let process = Process::Entry(index);
        let Some(suspension) = self.suspensions.get_mut(&process) else {
            return actions;
        };
        let begins = suspension.since.is_none()
            && actions.iter().any(|action| match action {
                Entry::Send((_, Frame::Start(_) | Frame::Stop(_))) => true,
                Entry::Send(_) => suspension.moment == Moment::AnyTurn,
                _ => false,
            });
        if !begins {
            return actions;
        }
        suspension.entry_actions = actions;
        self.stand_still(process);
        Vec::new()
    }
}
