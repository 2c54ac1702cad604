//! The part of new jobs that an entry admits while its loop is late.

use super::{RECOVERED_LATENESS, REFUSAL_LATENESS};
use crate::event::Event;
use std::time::Duration;

/// Shortest time between two changes: work admitted under the last one must have
/// had a chance to show as lateness.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Factor on the share while the loop is late.
const DECREASE: f64 = 0.5;

/// Factor on the share once the loop has recovered.
const INCREASE: f64 = 1.25;

/// Smallest share. Some jobs must be admitted, or the loop would have no calls by
/// which to see that it has recovered.
const MIN_SHARE: f64 = 1.0 / 32.0;

/// Share of new jobs to admit: shrinks while the loop is late, and grows once it
/// has recovered.
#[derive(Debug)]
pub(super) struct Share {
    value: f64,
    changed_at: Option<Duration>,
    /// Since when jobs are refused.
    reduced_at: Option<Duration>,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            value: 1.0,
            changed_at: None,
            reduced_at: None,
        }
    }
}

impl Share {
    pub(super) fn is_reduced(&self) -> bool {
        self.reduced_at.is_some()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is between 0 and 1"
    )]
    pub(super) fn per_mille(&self) -> u32 {
        (self.value * 1e3).round() as u32
    }

    /// Takes the lateness of a tick; returns an event if refusals begin or end.
    pub(super) fn update(&mut self, now: Duration, lateness: Duration) -> Option<Event> {
        let due = |at| now.saturating_sub(at) >= CHANGE_INTERVAL;
        if !self.changed_at.is_none_or(due) {
            return None;
        }
        if lateness >= REFUSAL_LATENESS {
            self.changed_at = Some(now);
            self.value = (self.value * DECREASE).max(MIN_SHARE);
            let begins = self.reduced_at.is_none();
            self.reduced_at.get_or_insert(now);
            return begins.then_some(Event::LoopLate { lateness });
        }
        if lateness < RECOVERED_LATENESS
            && let Some(reduced_at) = self.reduced_at
        {
            self.changed_at = Some(now);
            self.value = (self.value * INCREASE).min(1.0);
            if self.value >= 1.0 {
                self.reduced_at = None;
                let lasted = now.saturating_sub(reduced_at);
                return Some(Event::LoopRecovered { lasted });
            }
        }
        None
    }
}
