//! Whether an entry asks the load balancer for new connections.

use super::{RECOVERED_LATENESS, REFUSAL_LATENESS};
use crate::event::Event;
use std::time::Duration;

/// Time for which the loop must be late before readiness fails. Refusals act
/// within this time if they suffice.
const TIME_TO_FAIL: Duration = Duration::from_secs(1);

/// Time for which the loop must have recovered before readiness returns: longer
/// than the two seconds that the load balancer takes to notice a change, so that
/// the effect of one change is seen before the next.
const TIME_TO_RETURN: Duration = Duration::from_secs(3);

/// Readiness with two bounds and a dwell time at each.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    failed: bool,
    /// Time since which the bound of the next change has been crossed.
    crossed_at: Option<Duration>,
}

impl Readiness {
    pub(super) fn is_ready(&self) -> bool {
        !self.failed
    }

    /// Takes the lateness of a tick; returns an event if readiness has changed.
    pub(super) fn update(&mut self, now: Duration, lateness: Duration) -> Option<Event> {
        let (crossed, dwell) = if self.failed {
            (lateness < RECOVERED_LATENESS, TIME_TO_RETURN)
        } else {
            (lateness >= REFUSAL_LATENESS, TIME_TO_FAIL)
        };
        if !crossed {
            self.crossed_at = None;
            return None;
        }
        let crossed_at = *self.crossed_at.get_or_insert(now);
        if now.saturating_sub(crossed_at) < dwell {
            return None;
        }
        self.crossed_at = None;
        self.failed = !self.failed;
        Some(Event::Readiness {
            ready: !self.failed,
            lateness,
        })
    }
}
