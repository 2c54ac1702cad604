//! Barriers: how late customers' departures are handled.
//!
//! A departure is noticed by the task that reads the customer's connection and passes the
//! event queue. The runtime passes a barrier the same way and reports it when everything
//! that had arrived from customers before it has been handled.

use super::{Action, Dispatcher, Event};
use std::time::Duration;

/// Shortest time between two barriers.
const INTERVAL: Duration = Duration::from_millis(80);

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
    /// Sends a barrier if one is due and none is under way.
    pub(super) fn send_barrier(&mut self, now: Duration) {
        let barrier = &mut self.barrier;
        if barrier.is_pending || now.saturating_sub(barrier.sent_at) < INTERVAL {
            return;
        }
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
    }
}
