//! Barriers: an entry lets the runs of its jobs go on only as far as it knows that their
//! customers still wait.
//!
//! An echo to a side renews all runs of the entry there, also those of a job whose
//! customer has left without the entry's knowing. A departure is noticed by the task that
//! reads the customer's connection and passes the event queue, and a process that lacks
//! processor does that later than it echoes. So the runtime passes a barrier the same way,
//! and reports it when everything that had arrived from customers before it has been
//! handled. Runs are renewed from a clock that the entry had received before it sent a
//! barrier that has passed: no customer whose departure is unknown has left before then.
//! The clock that a forwarder echoes to the owners of its jobs is chosen likewise.

use super::{Action, Dispatcher, Event};
use std::time::Duration;

/// Time after which a barrier is late.
const LATE: Duration = Duration::from_millis(100);

/// The last barrier.
#[derive(Debug, Default)]
pub(super) struct Barrier {
    number: u64,
    sent_at: Duration,
    is_pending: bool,
}

impl Dispatcher {
    /// Sends a barrier unless one is under way or none is needed: no side or other entry
    /// has reported since the last, and the process has not resumed since.
    pub(super) fn send_barrier(&mut self, now: Duration) {
        if self.barrier.is_pending {
            return;
        }
        let has_reports = self.fleet.send_barrier();
        let has_clocks = self.forwarding.send_barrier();
        if !has_reports && !has_clocks && !self.pause.is_catching_up() {
            return;
        }
        let barrier = &mut self.barrier;
        barrier.number += 1;
        barrier.sent_at = now;
        barrier.is_pending = true;
        self.actions.push(Action::Barrier(barrier.number));
    }

    /// Records that all departures have been handled that had arrived when the runtime got
    /// the barrier of this number.
    pub fn record_barrier(&mut self, now: Duration, number: u64) {
        let barrier = &mut self.barrier;
        if !barrier.is_pending || number != barrier.number {
            return;
        }
        barrier.is_pending = false;
        let lag = now.saturating_sub(barrier.sent_at);
        if lag > LATE {
            self.events.push(Event::DeparturesLate { lag });
        }
        self.fleet.pass_barrier();
        self.forwarding.pass_barrier();
        self.send_echoes(now);
        if self.pause.record_barrier(self.barrier.sent_at) {
            self.placement.request_round();
        }
    }
}
