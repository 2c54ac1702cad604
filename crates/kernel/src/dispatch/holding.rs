//! Jobs that another entry holds.
//!
//! A customer that has lost its entry submits its job again at another one. The former
//! entry may not know: a path that keeps its connection open hides the departure, or the
//! entry reads it late. So each entry tells the others of its jobs before they can be
//! submitted again. An entry that gets such a job has the former one end its runs, and
//! starts none before that one has replied, or has been lost for so long that its runs
//! have ended.
//!
//! Of two submissions of a job the later one counts; the other customer has left.

use super::{Answer, Dispatcher, Event, Job};
use crate::{
    millis,
    mutation::{Mutant, is_seeded},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{Frame, Holding},
};

/// Time for which an old job doesn't start after the other entries were told of it, so
/// that they can object.
const OBJECTION_TIME: Duration = Duration::from_millis(50);

/// Interval at which jobs that have ended elsewhere are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// When a submission of a job was made, as far as an entry can tell.
#[derive(Debug, Clone, Copy)]
pub(super) struct Submitted {
    pub(super) arrived: Duration,
    pub(super) patience: Duration,
}

/// A submission at another entry.
#[derive(Debug)]
struct Held {
    submitted: Submitted,
    /// Time by which its job has ended there.
    until: Duration,
}

/// What an entry knows of the jobs of others, and what it owes them. The keys are a job
/// and another entry.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    held: BTreeMap<(u64, Incarnation), Held>,
    /// Own jobs that start when the other entry has replied, or at this time.
    awaited: BTreeMap<(u64, Incarnation), Duration>,
    /// Jobs of which the other entry awaits the end of the runs from here.
    owed: BTreeSet<(u64, Incarnation)>,
    next_expiry: Duration,
}

impl Submitted {
    /// Returns whether the customer has made this submission after the other one. A
    /// customer that submits a job again states the time that is left, or the same
    /// patience as before.
    fn is_after(self, other: Self, resubmit_after: Duration) -> bool {
        if self.patience.abs_diff(other.patience) >= resubmit_after / 2 {
            self.patience < other.patience
        } else {
            self.arrived > other.arrived
        }
    }

    fn holding(self, now: Duration, job: u64) -> Holding {
        let age = millis(now.saturating_sub(self.arrived));
        Holding {
            job,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            patience_ms: millis(self.patience),
        }
    }

    /// Returns the submission of a job that another entry has told of.
    fn from_holding(now: Duration, holding: Holding) -> Self {
        Self {
            arrived: now.saturating_sub(Duration::from_millis(holding.age_ms.into())),
            patience: Duration::from_millis(holding.patience_ms),
        }
    }
}

/// Returns the keys of a job.
fn keys_of(job: u64) -> std::ops::RangeInclusive<(u64, Incarnation)> {
    (job, Incarnation(0))..=(job, Incarnation(u64::MAX))
}

impl Holdings {
    /// Returns whether a job must not start yet.
    fn is_awaited(&self, job: u64) -> bool {
        self.awaited.range(keys_of(job)).next().is_some()
    }
}

impl Dispatcher {
    /// Tells the other entries of the jobs that may be submitted again soon, or may have
    /// been.
    pub(super) fn announce_holdings(&mut self, now: Duration) {
        let age = self.timing.announce_age();
        let mut due = Vec::new();
        for (id, job) in &mut self.jobs {
            let is_old = now.saturating_sub(job.submitted.arrived) >= age;
            if is_old && job.announced_at.is_none() {
                job.announced_at = Some(now);
                due.push(job.submitted.holding(now, *id));
            }
        }
        if due.is_empty() {
            return;
        }
        for peer in self.peers.connected() {
            self.send(peer, Frame::Held(due.clone()));
        }
    }

    /// Returns whether a job must not start yet, since another entry may hold it: one has
    /// not replied, or none has had the time to object to an old job.
    pub(super) fn may_be_held_elsewhere(&self, now: Duration, id: u64) -> bool {
        if self.holdings.is_awaited(id) {
            return true;
        }
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let is_old = now.saturating_sub(job.submitted.arrived) >= self.timing.announce_age();
        let objects_until = job.announced_at.map(|at| at + OBJECTION_TIME);
        let is_open = objects_until.map_or(is_old, |until| now < until);
        is_open && self.peers.any_connected() && !is_seeded(Mutant::TwoHolders)
    }

    /// Tells an entry that has connected of the jobs that the others know of, and asks it
    /// again for those that wait for its reply.
    pub(super) fn tell_holdings(&mut self, now: Duration, to: Incarnation) {
        let announced = |(_, job): &(&u64, &Job)| job.announced_at.is_some();
        let held: Vec<Holding> = self
            .jobs
            .iter()
            .filter(announced)
            .map(|(id, job)| job.submitted.holding(now, *id))
            .collect();
        if !held.is_empty() {
            self.send(to, Frame::Held(held));
        }
        let awaited: Vec<u64> = self
            .holdings
            .awaited
            .keys()
            .filter(|(_, entry)| *entry == to)
            .map(|(job, _)| *job)
            .collect();
        for job in awaited {
            self.request_release(now, job, to);
        }
    }

    /// Limits the wait for an entry whose connection is lost. If the entry is lost, too, it
    /// has renewed no run since it last ran.
    pub(super) fn lose_holder(&mut self, now: Duration, entry: Incarnation) {
        let Some(last_ran) = self.peers.last_ran(entry) else {
            return;
        };
        let over_at = now.min(last_ran) + self.timing.run_expiry();
        for ((_, other), held) in &mut self.holdings.held {
            if *other == entry {
                held.until = held.until.min(over_at);
            }
        }
        for ((_, other), until) in &mut self.holdings.awaited {
            if *other == entry {
                *until = over_at;
            }
        }
        self.holdings.owed.retain(|(_, other)| *other != entry);
    }

    /// Returns the entries that hold earlier submissions of a job; `None` if one holds a
    /// later one, so that the customer of this one has left.
    pub(super) fn earlier_holders(&self, now: Duration, job: &Job) -> Option<Vec<Incarnation>> {
        let mut earlier = Vec::new();
        for ((_, entry), held) in self.holdings.held.range(keys_of(job.submission.job)) {
            if now >= held.until || is_seeded(Mutant::TwoHolders) {
                continue;
            }
            if held
                .submitted
                .is_after(job.submitted, self.timing.resubmit_after)
            {
                return None;
            }
            earlier.push(*entry);
        }
        Some(earlier)
    }

    /// Has other entries end their runs of a job.
    pub(super) fn claim_job(&mut self, now: Duration, job: &Job, holders: &[Incarnation]) {
        for entry in holders.iter().copied() {
            let id = job.submission.job;
            self.events.push(Event::HeldElsewhere { job: id, entry });
            self.send_release(job.submitted.holding(now, id), entry);
        }
    }

    fn request_release(&mut self, now: Duration, job: u64, entry: Incarnation) {
        if let Some(own) = self.jobs.get(&job) {
            let holding = own.submitted.holding(now, job);
            self.send_release(holding, entry);
        }
    }

    fn send_release(&mut self, holding: Holding, entry: Incarnation) {
        let key = (holding.job, entry);
        let lost_until = self.holdings.held.get(&key).map(|held| held.until);
        let until = match lost_until {
            Some(until) if !self.peers.is_connected(entry) => until,
            _ => Duration::MAX,
        };
        self.holdings.awaited.insert(key, until);
        self.send(entry, Frame::Release(vec![holding]));
    }

    /// Handles the jobs that another entry holds. An own submission of one is dropped if
    /// it was made before the other.
    pub(super) fn record_held(&mut self, now: Duration, from: Incarnation, held: &[Holding]) {
        for holding in held {
            let submitted = Submitted::from_holding(now, *holding);
            let until = submitted.arrived + submitted.patience + self.timing.run_expiry();
            let key = (holding.job, from);
            self.holdings.held.insert(key, Held { submitted, until });
            let Some(own) = self.jobs.get(&holding.job) else {
                continue;
            };
            if is_seeded(Mutant::TwoHolders) {
                continue;
            }
            if submitted.is_after(own.submitted, self.timing.resubmit_after) {
                self.let_go(now, holding.job, from);
            } else if !self.holdings.awaited.contains_key(&key) {
                let entry = from;
                let job = holding.job;
                self.events.push(Event::HeldElsewhere { job, entry });
                self.request_release(now, job, from);
            }
        }
    }

    /// Ends the runs of jobs that were submitted again at another entry, unless the own
    /// submission is the later one.
    pub(super) fn release(&mut self, now: Duration, from: Incarnation, held: &[Holding]) {
        for holding in held {
            let other = Submitted::from_holding(now, *holding);
            self.drop_unaccepted(holding.job);
            if let Some(own) = self.jobs.get(&holding.job) {
                let own = own.submitted;
                if own.is_after(other, self.timing.resubmit_after) {
                    let own = own.holding(now, holding.job);
                    self.send(from, Frame::Held(vec![own]));
                    continue;
                }
                self.let_go(now, holding.job, from);
            }
            self.holdings.owed.insert((holding.job, from));
        }
        self.send_released();
    }

    /// Answers the customers of a job that waits here to be accepted or forwarded.
    fn drop_unaccepted(&mut self, job: u64) {
        let parked = self.admission.take_parked_job(job);
        let held = self.forwarding.take_held(job);
        for customer in parked.into_iter().chain(held) {
            self.answer(customer, Answer::Unknown);
        }
    }

    /// Drops a job whose customer has submitted it again at another entry.
    fn let_go(&mut self, now: Duration, id: u64, to: Incarnation) {
        let Some(job) = self.drop_job(now, id) else {
            return;
        };
        self.events.push(Event::LetGo {
            job: id,
            to,
            age: now.saturating_sub(job.accepted),
            started: job.may_have_run(),
        });
        self.settle_abandoned(now, &job);
        for customer in job.customers {
            self.answer(customer, Answer::Unknown);
        }
    }

    /// Replies to the entries that wait for the end of runs from here, for jobs of which
    /// none is left.
    pub(super) fn send_released(&mut self) {
        if self.holdings.owed.is_empty() {
            return;
        }
        let left: BTreeSet<u64> = self
            .fleet
            .iter()
            .flat_map(|(_, side)| &side.runs)
            .map(|run| run.task.job)
            .collect();
        let Holdings { awaited, owed, .. } = &mut self.holdings;
        let is_over = |(job, _): &(u64, Incarnation)| {
            awaited.range(keys_of(*job)).next().is_none() && !left.contains(job)
        };
        let over: Vec<(u64, Incarnation)> = owed.extract_if(.., is_over).collect();
        for (job, entry) in over {
            self.send(entry, Frame::Released(vec![job]));
        }
    }

    /// Handles the reply of an entry that has no runs of these jobs left.
    pub(super) fn record_released(&mut self, from: Incarnation, jobs: &[u64]) {
        for job in jobs {
            self.holdings.held.remove(&(*job, from));
            if self.holdings.awaited.remove(&(*job, from)).is_some() {
                self.placement.request_round();
            }
        }
    }

    /// Forgets jobs that have ended elsewhere, and waits no longer for entries that have
    /// been lost for too long.
    pub(super) fn expire_holdings(&mut self, now: Duration) {
        let holdings = &mut self.holdings;
        if now >= holdings.next_expiry {
            holdings.next_expiry = now + EXPIRY_INTERVAL;
            holdings.held.retain(|_, held| now < held.until);
        }
        let (jobs, owed) = (&self.jobs, &holdings.owed);
        let before = holdings.awaited.len();
        holdings.awaited.retain(|(job, _), until| {
            let is_owed = owed.range(keys_of(*job)).next().is_some();
            now < *until && (is_owed || jobs.contains_key(job))
        });
        if holdings.awaited.len() < before {
            self.placement.request_round();
        }
    }
}
