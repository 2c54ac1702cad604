//! State on which the admission of jobs depends: the rate of arriving work, the
//! customers' patience, the entry's start and exit, and parked jobs.

use super::{Submission, arrivals::Arrivals, job::Job, resubmission::Detector};
use crate::reconnect;
use std::time::Duration;

/// Time after the start within which an entry receives its rules and sides: all
/// that know its address have tried to connect by then. Jobs that arrive before
/// wait rather than being refused for lack of information.
const STARTUP_GRACE: Duration = reconnect::MAX_INTERVAL;

/// Admission state of an entry.
#[derive(Debug)]
pub(super) struct Admission {
    arrivals: Arrivals,
    resubmissions: Detector,
    /// Time until which missing rules and sides are expected.
    startup_ends: Duration,
    /// Time of the entry's exit, if it is shutting down.
    exit_at: Option<Duration>,
    /// Jobs that arrived before the rules.
    parked: Vec<Parked>,
}

/// How a job arrived at the entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    /// Number of the customer.
    pub(super) customer: u64,
    /// When the customer's request arrived, possibly at another entry.
    pub(super) at: Duration,
    /// Exit of the entry that forwarded the job, if it is shutting down: it could not
    /// deliver a later answer.
    pub(super) forwarder_exit: Option<Duration>,
}

/// A submission that waits for the rules.
#[derive(Debug)]
pub(super) struct Parked {
    pub(super) arrival: Arrival,
    pub(super) host: String,
    pub(super) path: String,
    pub(super) submission: Submission,
}

impl Admission {
    /// Makes the state of an entry that starts at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            arrivals: Arrivals::default(),
            resubmissions: Detector::default(),
            startup_ends: now + STARTUP_GRACE,
            exit_at: None,
            parked: Vec::new(),
        }
    }

    /// Restores patience floors, in milliseconds by queue name; queues that have
    /// one keep it.
    pub(super) fn restore_floors(&mut self, floors: &[(String, u32)]) {
        self.resubmissions.restore(floors);
    }

    /// Returns the patience floors, in milliseconds by queue name.
    pub(super) fn floors(&self) -> Vec<(String, u32)> {
        self.resubmissions.floors()
    }

    /// Learns from the patience that a queue's customer states; returns the time
    /// that it has likely waited at another entry before.
    pub(super) fn learn_patience(
        &mut self,
        queue: &str,
        patience: Duration,
        resubmit_after: Duration,
    ) -> Duration {
        let resubmitted = self.resubmissions.learn(queue, patience, resubmit_after);
        if resubmitted {
            resubmit_after
        } else {
            Duration::ZERO
        }
    }

    /// Counts the work of an accepted job.
    pub(super) fn record_arrival(&mut self, now: Duration, job: &Job) {
        let work = job.submission.work();
        self.arrivals.add(now, job.rank.level(), work);
    }

    /// Returns the rate of arriving work, in core-milliseconds per second, by
    /// level.
    pub(super) fn arriving(&self, now: Duration) -> impl Iterator<Item = (u8, u64)> {
        self.arrivals.levels(now)
    }

    /// Returns the remaining time in which missing rules and sides are expected;
    /// zero after that.
    pub(super) fn startup_left(&self, now: Duration) -> Duration {
        self.startup_ends.saturating_sub(now)
    }

    /// Returns whether missing rules and sides are still expected.
    pub(super) fn is_starting(&self, now: Duration) -> bool {
        now < self.startup_ends
    }

    /// Starts the shutdown: the entry exits at `end`.
    pub(super) fn leave(&mut self, end: Duration) {
        self.exit_at = Some(end);
    }

    /// Returns whether the entry is shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.exit_at.is_some()
    }

    /// Returns whether the entry will have exited by `time`.
    pub(super) fn has_exited_by(&self, time: Duration) -> bool {
        self.exit_at.is_some_and(|end| time > end)
    }

    /// Returns whether jobs that arrive before the rules wait for them.
    pub(super) fn expects_rules(&self, now: Duration) -> bool {
        self.is_starting(now) && !self.is_leaving()
    }

    /// Keeps a job until the rules arrive.
    pub(super) fn park(&mut self, parked: Parked) {
        self.parked.push(parked);
    }

    /// Takes the parked jobs, in order of arrival.
    pub(super) fn take_parked(&mut self) -> Vec<Parked> {
        std::mem::take(&mut self.parked)
    }

    /// Returns the submissions of the parked jobs.
    pub(super) fn parked_submissions(&self) -> impl Iterator<Item = &Submission> {
        self.parked.iter().map(|parked| &parked.submission)
    }

    /// Returns whether a job is parked.
    pub(super) fn has_parked(&self, job: u64) -> bool {
        let mut parked = self.parked.iter();
        parked.any(|parked| parked.submission.job == job)
    }

    /// Removes a parked job; returns its customers.
    pub(super) fn take_parked_job(&mut self, job: u64) -> Vec<u64> {
        self.parked
            .extract_if(.., |parked| parked.submission.job == job)
            .map(|parked| parked.arrival.customer)
            .collect()
    }

    /// Removes a parked job whose customer has disconnected.
    pub(super) fn remove_parked(&mut self, customer: u64) {
        self.parked
            .retain(|parked| parked.arrival.customer != customer);
    }
}
