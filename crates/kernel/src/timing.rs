//! Time limits for leases, silence, calls and reports. Most are derived from
//! three settings.

use crate::liveness::Limits;
use std::time::Duration;

/// Longest time between two [`wire::lease::Status`] frames from a side to a
/// connected entry.
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Age up to which a run may have caused the crash of its upstream: a task that
/// crashes its upstream does so as it starts.
pub(crate) const SUSPECT_AGE: Duration = Duration::from_millis(100);

/// Greatest rate error of an upstream's clock that runs slow.
const MAX_CLOCK_SLOWNESS_PER_MILLE: u32 = 20;

/// Lease length as a share of the resubmission time. Together with
/// [`ORPHAN_TIMEOUT_PERCENT`] it leaves a tenth for messages in transit.
const LEASE_PERCENT: u32 = 40;

/// Orphan timeout as a share of the resubmission time.
const ORPHAN_TIMEOUT_PERCENT: u32 = 49;

/// Time without contact between two entries after which the owner of a forwarded
/// job drops it, as a share of the resubmission time. With
/// [`ORPHAN_TIMEOUT_PERCENT`] it leaves a tenth for a stop: the owner may fail just
/// before it would have dropped the job.
const FORWARD_TIMEOUT_PERCENT: u32 = 40;

/// Age at which the other entries are told of a job, as a share of the resubmission time.
/// It leaves a quarter for the entry's tick and the message.
const ANNOUNCE_PERCENT: u32 = 75;

/// Longest age at which a forwarded job is taken over. Heartbeats between entries
/// are 200 ms apart.
const MAX_FORWARD_AGE: Duration = Duration::from_millis(500);

/// Longest time that a hold call waits at the upstream for a run to end. No end
/// arrives while a call goes unanswered, so the wait is short compared with a
/// short task. An idle upstream gets 25 calls a second, within its own host.
const MAX_HOLD_WAIT: Duration = Duration::from_millis(40);

/// The time limits of one deployment.
///
/// A customer may resubmit a job through another entry `resubmit_after` after
/// the first entry fell silent. All its runs have ended by then, since
/// `orphan_timeout + answer_timeout + real_lease < resubmit_after`: the side stops them
/// after `orphan_timeout`, and if it has failed too, or the upstream does not answer the
/// stops, their leases expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Length of each lease that the side requests.
    pub lease: Duration,
    /// Silence of an entry after which the side stops its runs.
    pub orphan_timeout: Duration,
    /// Longest time from a stop order until the upstream has stopped the run.
    pub stop_timeout: Duration,
    /// Longest lease that an upstream grants.
    pub max_lease: Duration,
    /// Shortest time after which a customer resubmits a job.
    pub resubmit_after: Duration,
    /// Age beyond which a host's capacity, as it reported it, is not used; `None` for
    /// no limit.
    pub max_capacity_age: Option<Duration>,
    /// Age beyond which a side doesn't rely on its failure domain being in service;
    /// `None` for no limit.
    pub max_availability_age: Option<Duration>,
}

impl Timing {
    /// Derives the limits. A lease is never longer than `max_lease`.
    pub fn new(max_lease: Duration, resubmit_after: Duration, stop_timeout: Duration) -> Self {
        Self {
            lease: max_lease.min(resubmit_after * LEASE_PERCENT / 100),
            orphan_timeout: resubmit_after * ORPHAN_TIMEOUT_PERCENT / 100,
            stop_timeout,
            max_lease,
            resubmit_after,
            max_capacity_age: None,
            max_availability_age: None,
        }
    }

    /// Returns the longest real time that a lease lasts if the upstream's clock
    /// runs slow, also since it was last read.
    pub fn real_lease(&self) -> Duration {
        let lag = self.max_upstream_silence() * MAX_CLOCK_SLOWNESS_PER_MILLE / 1_000;
        (self.lease + lag) * (1_000 + MAX_CLOCK_SLOWNESS_PER_MILLE) / 1_000
    }

    /// Returns the longest real time that any lease lasts, including one whose
    /// end was computed on the clock of an upstream that has since restarted.
    pub fn real_max_lease(&self) -> Duration {
        self.max_lease * (1_000 + MAX_CLOCK_SLOWNESS_PER_MILLE) / 1_000
    }

    /// Returns the time from the last contact between an entry and a side until
    /// every run that the entry started there has ended.
    pub fn run_expiry(&self) -> Duration {
        self.orphan_timeout + self.real_lease() + self.stop_timeout
    }

    /// Returns the time without contact after which a forwarded job is over: its
    /// owner drops it, and the entry that forwarded it no longer waits.
    pub fn forward_timeout(&self) -> Duration {
        self.resubmit_after * FORWARD_TIMEOUT_PERCENT / 100
    }

    /// Returns the age at which the other entries are told of a job: its customer may have
    /// left at once and submits it again [`Timing::resubmit_after`] later.
    pub fn announce_age(&self) -> Duration {
        self.resubmit_after * ANNOUNCE_PERCENT / 100
    }

    /// Returns the age beyond which an entry refuses a forwarded job as stale.
    pub fn max_forward_age(&self) -> Duration {
        MAX_FORWARD_AGE.min(self.forward_timeout())
    }

    /// Returns the limits of a connection between an entry and a side; both ends
    /// use the same.
    ///
    /// A connection may join for [`Timing::run_expiry`]. While it does, the entry
    /// keeps what it placed at the side, and that must end by then in any case: a
    /// side that is lost while it joins costs no more time than one that was lost
    /// before. 430 ms, the limit of established connections, was too short on a
    /// machine with 39 runnable processes: entries and sides reconnected 58 times
    /// in 8 s.
    pub fn connection_limits(&self) -> Limits {
        Limits {
            joining: self.run_expiry(),
            contact: self.max_silence(),
            quiet: self.max_silence() * 2 / 3,
            slow: self.run_expiry() * 2,
        }
    }

    /// Returns the silence after which an established connection to an entry is
    /// replaced.
    pub fn max_silence(&self) -> Duration {
        self.orphan_timeout * 2 / 3
    }

    /// Returns the age beyond which a side refuses an order as stale.
    pub fn max_order_age(&self) -> Duration {
        self.orphan_timeout / 2
    }

    /// Returns the silence of the upstream after which the side starts no runs
    /// and renews no leases there.
    pub fn max_upstream_silence(&self) -> Duration {
        self.lease * 3 / 4
    }

    /// Returns the time that a hold call waits at the upstream for a run to end.
    pub fn hold_wait(&self) -> Duration {
        MAX_HOLD_WAIT.min(self.lease / 3)
    }

    /// Returns the time after which a call to the upstream counts as lost, in
    /// addition to its wait. It is many times the response time of a healthy
    /// upstream and well below the slack of a job's objective.
    pub fn answer_timeout(&self) -> Duration {
        self.lease / 12
    }
}
