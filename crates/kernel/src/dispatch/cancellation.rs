//! Cancelled jobs, which must not start at any entry.
//!
//! A submission may arrive again seconds after its job was cancelled, at an entry that
//! never had the job. And an entry that has the job may be paused or cut off when another
//! one answers the cancellation. So the other entries learn of every cancelled job, and if
//! no entry is known to have had it, the sides refuse its tasks.

use super::{Dispatcher, Phase, fleet::Link};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{Ending, Frame, Refusal},
};

/// Time for which a cancelled job is remembered.
const RETENTION: Duration = Duration::from_mins(2);

/// Age up to which a cancelled job is told to a process that connects.
const MAX_TOLD_AGE: Duration = Duration::from_secs(30);

/// Interval at which the other processes learn of cancelled jobs. Cancellations come in
/// waves.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// The cancelled jobs that an entry knows of.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    jobs: BTreeMap<u64, Cancelled>,
    /// The jobs in the order in which they are forgotten.
    order: VecDeque<(Duration, u64)>,
    /// Those that the other entries, and the sides, don't know of yet.
    unsent_to_entries: Vec<u64>,
    unsent_to_sides: Vec<u64>,
    sent_at: Duration,
}

#[derive(Debug)]
struct Cancelled {
    at: Duration,
    /// Whether some entry may have the job without knowing that it is cancelled.
    at_large: bool,
}

impl Cancellations {
    pub(super) fn contains(&self, job: u64) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Records a cancellation; returns whether it says more than what was known.
    fn record(&mut self, now: Duration, job: u64, at_large: bool) -> bool {
        let known = self.jobs.get(&job);
        if known.is_some_and(|known| known.at_large || !at_large) {
            return false;
        }
        self.jobs.insert(job, Cancelled { at: now, at_large });
        self.order.push_back((now, job));
        if at_large {
            self.unsent_to_sides.push(job);
        }
        true
    }

    /// Returns the jobs to tell a process that connects.
    fn recent(&self, now: Duration, only_at_large: bool) -> Vec<u64> {
        self.jobs
            .iter()
            .filter(|(_, cancelled)| now.saturating_sub(cancelled.at) <= MAX_TOLD_AGE)
            .filter(|(_, cancelled)| cancelled.at_large || !only_at_large)
            .map(|(job, _)| *job)
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        let is_due = |at: Duration| now.saturating_sub(at) > RETENTION;
        while let Some((_, job)) = self.order.pop_front_if(|(at, _)| is_due(*at)) {
            // It may have been recorded once more since.
            if self.jobs.get(&job).is_some_and(|known| is_due(known.at)) {
                self.jobs.remove(&job);
            }
        }
    }
}

impl Dispatcher {
    /// Records that a customer has cancelled a job. `at_large` if no entry is known to
    /// have had it.
    pub(super) fn record_cancellation(&mut self, now: Duration, job: u64, at_large: bool) {
        if self.cancellations.record(now, job, at_large) {
            self.cancellations.unsent_to_entries.push(job);
        }
    }

    /// Records the cancelled jobs that another entry tells of. Its own sides learn of
    /// those that may be at large.
    pub(super) fn learn_cancellations(&mut self, now: Duration, jobs: &[u64], at_large: bool) {
        for job in jobs {
            self.cancellations.record(now, *job, at_large);
            if self.jobs.contains_key(job) {
                self.finish(now, *job, Phase::Cancelled);
            }
        }
    }

    /// Tells the other processes of cancelled jobs.
    pub(super) fn send_cancellations(&mut self, now: Duration) {
        self.cancellations.expire(now);
        if now.saturating_sub(self.cancellations.sent_at) < SEND_INTERVAL {
            return;
        }
        self.cancellations.sent_at = now;
        let to_entries = std::mem::take(&mut self.cancellations.unsent_to_entries);
        let to_sides = std::mem::take(&mut self.cancellations.unsent_to_sides);
        if !to_entries.is_empty() {
            let (at_large, found): (Vec<u64>, Vec<u64>) = to_entries
                .into_iter()
                .partition(|job| to_sides.contains(job));
            for peer in self.peers.connected() {
                self.send_jobs(peer, Frame::CancelledJobs(found.clone()));
                self.send_jobs(peer, Frame::Forbid(at_large.clone()));
            }
        }
        if !to_sides.is_empty() {
            let connected = self
                .fleet
                .iter()
                .filter(|(_, side)| side.link != Link::Lost);
            let sides: Vec<Incarnation> = connected.map(|(key, _)| key).collect();
            for side in sides {
                self.send_jobs(side, Frame::Forbid(to_sides.clone()));
            }
        }
    }

    /// Tells a process that has connected of the jobs that were cancelled recently.
    pub(super) fn tell_cancellations(&mut self, now: Duration, to: Incarnation, is_entry: bool) {
        if is_entry {
            let jobs = self.cancellations.recent(now, false);
            self.send_jobs(to, Frame::CancelledJobs(jobs));
        }
        let at_large = self.cancellations.recent(now, true);
        self.send_jobs(to, Frame::Forbid(at_large));
    }

    /// Sends a frame of jobs unless it has none.
    fn send_jobs(&mut self, to: Incarnation, frame: Frame) {
        if !matches!(&frame, Frame::CancelledJobs(jobs) | Frame::Forbid(jobs) if jobs.is_empty()) {
            self.send(to, frame);
        }
    }

    /// Ends a job whose task a side has refused because it is cancelled; returns whether
    /// that is so.
    pub(super) fn end_if_cancelled(&mut self, now: Duration, job: u64, ending: Ending) -> bool {
        let is_cancelled = ending == Ending::NotRun(Refusal::Cancelled);
        if is_cancelled {
            self.record_cancellation(now, job, true);
            self.finish(now, job, Phase::Cancelled);
        }
        is_cancelled
    }
}
