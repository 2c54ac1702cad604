//! The upstream's clock: which of its readings to use, and what it shows now.

use super::Guard;
use crate::{
    millis,
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;

/// Time by which an upstream's clock may be ahead of what its last inventory lets
/// expect: that inventory may have been handled late.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(10);

impl Guard {
    /// Returns whether a clock of the upstream's present process is too far ahead of
    /// its last one to be right. By such a clock all leases would have expired, and all
    /// later reports would count as overtaken.
    pub(super) fn is_ahead(&self, now: Duration, clock: u64) -> bool {
        self.clock
            .is_some_and(|known| is_ahead_of(known, now, clock))
    }

    /// Returns whether to use the clock of an inventory. Two in a row that agree
    /// outweigh the one before, which may have been the wrong one.
    pub(super) fn believes(&mut self, now: Duration, clock: u64) -> bool {
        let doubted = self.doubted_clock.take();
        if !self.is_ahead(now, clock) {
            return true;
        }
        let agrees =
            |doubted: (u64, Duration)| clock >= doubted.0 && !is_ahead_of(doubted, now, clock);
        let agrees = doubted.is_some_and(agrees);
        if !agrees {
            log::debug!("event=clock_doubted clock={clock}");
            self.doubted_clock = Some((clock, now));
        }
        agrees
    }

    /// Returns the end of a lease granted now, on the upstream's clock in
    /// milliseconds; `None` while that clock is unknown.
    pub(super) fn lease_end(&self, now: Duration) -> Option<u64> {
        let (clock, observed_at) = self.clock?;
        let lease = if is_seeded(Mutant::LongLease) {
            self.timing.lease * 3
        } else {
            self.timing.lease
        };
        let clock_now = clock.saturating_add(millis(now.saturating_sub(observed_at)));
        Some(clock_now.saturating_add(millis(lease)))
    }

    /// Returns whether the capacity is one that the upstream's present process has
    /// reported, and not too long ago on its own clock: this side may have been paused.
    pub(super) fn is_capacity_current(&self, now: Duration) -> bool {
        let Some(limit) = self.timing.max_capacity_age else {
            return true;
        };
        if is_seeded(Mutant::OldCapacity) {
            return true;
        }
        let (Some(announced), Some((clock, at))) = (&self.announced, self.clock) else {
            return false;
        };
        let clock_now = clock.saturating_add(millis(now.saturating_sub(at)));
        announced.started_at == self.started_at
            && clock_now.saturating_sub(announced.clock) <= millis(limit)
    }
}

/// Returns whether an upstream's clock is too far ahead of what it was at a known time.
fn is_ahead_of((known, at): (u64, Duration), now: Duration, clock: u64) -> bool {
    let passed = now.saturating_sub(at) + MAX_CLOCK_LEAD;
    clock > known.saturating_add(millis(passed))
}
