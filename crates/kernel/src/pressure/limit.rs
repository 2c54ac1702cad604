//! The rate at which an entry admits new jobs while its loop is late.

use super::{Credit, RECOVERED_LATENESS, REFUSAL_LATENESS};
use crate::event::Event;
use std::time::Duration;

/// Time after a cut, in addition to the lateness, before the next one. Jobs admitted
/// before cause work as long as their runs take, some tenths of a second.
const CUT_INTERVAL: Duration = Duration::from_millis(500);

/// Factor on the rate at each cut.
const CUT_FACTOR: f64 = 0.5;

/// Growth of the rate once the loop has recovered, as a share a second. The work of
/// an admitted job shows after some tenths of a second as well, so a faster growth
/// would overshoot.
const GROWTH_PER_SECOND: f64 = 0.5;

/// Lowest rate, in jobs a second: without calls nothing would show whether the loop
/// has room for more.
const MIN_RATE: f64 = 5.0;

/// Time without a refusal for want of credit after which the limit is lifted.
const TIME_TO_LIFT: Duration = Duration::from_secs(1);

/// Time constant of the average of the rate of calls.
const AVERAGING_WINDOW: Duration = Duration::from_millis(500);

/// Limits new jobs to a rate that the loop can handle. It is found by halving the
/// rate while the loop is late and raising it while the loop keeps up.
#[derive(Debug, Default)]
pub(super) struct Limit {
    /// Jobs a second; `None` without a limit.
    rate: Option<f64>,
    /// Average number of calls handled a second.
    handled: f64,
    began_at: Duration,
    cut_again_at: Duration,
    /// When a job was last refused for want of credit.
    refused_at: Duration,
}

impl Limit {
    pub(super) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Takes the lateness of a tick `passed` after the one before, between which the
    /// loop has handled a number of `calls`. Returns an event if the limit is set or
    /// lifted.
    pub(super) fn update(
        &mut self,
        now: Duration,
        passed: Duration,
        lateness: Duration,
        calls: u32,
        credit: &Credit,
    ) -> Option<Event> {
        let seconds = passed.as_secs_f64();
        if seconds > 0.0 {
            let weight = 1.0 - (-seconds / AVERAGING_WINDOW.as_secs_f64()).exp();
            self.handled += (f64::from(calls) / seconds - self.handled) * weight;
        }
        if credit.take_shortage() {
            self.refused_at = now;
        }
        let event = if lateness >= REFUSAL_LATENESS {
            self.cut(now, lateness)
        } else if lateness < RECOVERED_LATENESS {
            self.grow(now, seconds)
        } else {
            None
        };
        if let Some(rate) = self.rate {
            credit.refill(rate, passed);
        }
        event
    }

    fn cut(&mut self, now: Duration, lateness: Duration) -> Option<Event> {
        if now < self.cut_again_at {
            return None;
        }
        self.cut_again_at = now + lateness + CUT_INTERVAL;
        self.refused_at = now;
        let before = self.rate.unwrap_or(self.handled);
        let begins = self.rate.is_none();
        self.rate = Some((before * CUT_FACTOR).max(MIN_RATE));
        if begins {
            self.began_at = now;
        }
        begins.then_some(Event::LoopLate { lateness })
    }

    fn grow(&mut self, now: Duration, seconds: f64) -> Option<Event> {
        let rate = self.rate.as_mut()?;
        *rate *= 1.0 + GROWTH_PER_SECOND * seconds.min(1.0);
        if now.saturating_sub(self.refused_at) < TIME_TO_LIFT {
            return None;
        }
        self.rate = None;
        let lasted = now.saturating_sub(self.began_at);
        Some(Event::LoopRecovered { lasted })
    }
}
