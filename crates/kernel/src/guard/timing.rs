//! The times that leases and silences keep to.

use std::time::Duration;

/// Rate by which an upstream's clock may be slow, in thousandths.
const SLOW_CLOCK: u32 = 20;

/// Share of the resend time that a lease takes, in hundredths. With
/// [`CONTACT_SHARE`] it leaves a tenth for messages under way.
const LEASE_SHARE: u32 = 40;

/// Share of the resend time after which a silent entry's runs are stopped, in
/// hundredths.
const CONTACT_SHARE: u32 = 49;

/// Longest time for which a call to the upstream waits for an end. While one
/// goes unanswered no end is seen, so it is short against a short task; at rest
/// it costs 25 calls a second on the host itself.
const WAIT: Duration = Duration::from_millis(40);

/// The times of one deployment.
///
/// A job may be sent again through another entry `resubmit_after` after its first
/// entry fell silent. By then its runs are over, since
/// `orphan_timeout + lease * 1.02 < resubmit_after`: the side stops them after `orphan_timeout`,
/// and if the side is gone too, their leases run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Length of a lease.
    pub lease: Duration,
    /// Silence of an entry after which its runs are stopped.
    pub orphan_timeout: Duration,
    /// Longest time that a stop takes at the upstream.
    pub stop_timeout: Duration,
    /// Longest lease that upstreams grant.
    pub max_lease: Duration,
    /// Least time after which a customer sends a job again.
    pub resubmit_after: Duration,
}

impl Timing {
    /// Derives the times from the longest lease that upstreams grant and the
    /// least time after which a customer sends a job again.
    pub fn new(max_lease: Duration, resubmit_after: Duration, stop_timeout: Duration) -> Self {
        Self {
            lease: max_lease.min(resubmit_after * LEASE_SHARE / 100),
            orphan_timeout: resubmit_after * CONTACT_SHARE / 100,
            stop_timeout,
            max_lease,
            resubmit_after,
        }
    }

    /// Returns the longest real time that a lease lasts on a slow clock.
    pub fn real_lease(&self) -> Duration {
        self.lease * (1_000 + SLOW_CLOCK) / 1_000
    }

    /// Returns the longest real time that any lease lasts, such as one whose
    /// end was reckoned on the clock of an upstream's earlier life.
    pub fn real_max_lease(&self) -> Duration {
        self.max_lease * (1_000 + SLOW_CLOCK) / 1_000
    }

    /// Returns the time from the last word between an entry and a side until
    /// all that the entry started there is over.
    pub fn run_expiry(&self) -> Duration {
        self.orphan_timeout + self.real_lease() + self.stop_timeout
    }

    /// Returns the silence after which a connection is replaced.
    pub fn max_silence(&self) -> Duration {
        self.orphan_timeout * 2 / 3
    }

    /// Returns the age up to which an order to a side counts as current.
    pub fn max_order_age(&self) -> Duration {
        self.orphan_timeout / 2
    }

    /// Returns the silence of the upstream after which nothing starts there.
    pub fn max_upstream_silence(&self) -> Duration {
        self.lease * 3 / 4
    }

    /// Returns the time for which a call waits for an end.
    pub fn hold_wait(&self) -> Duration {
        WAIT.min(self.lease / 3)
    }

    /// Returns the time after which a call to the upstream counts as lost,
    /// beyond the time that it waits: many times a healthy answer, and well
    /// within what objectives leave.
    pub fn answer_timeout(&self) -> Duration {
        self.lease / 12
    }
}
