//! Recovery of jobs whose home entry is lost.
//!
//! The recovering entry never starts a task. It sends a request to every side
//! to fence the lost incarnation and to hand over the results that it keeps of
//! the requested jobs. A side that still receives frames from the home
//! refuses. Recovery is idempotent: two entries may run it at the same time and
//! get the same results. One sweep of the sides runs at a time for each home;
//! requests that arrive meanwhile are served by the next one.

use super::{Entry, place::RETRY_AFTER};
use crate::{
    fleet::Key,
    work::{Customer, failed_answer},
};
use hashbrown::{HashMap, HashSet};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wire::{
    Code, Frame,
    frame::{Answer, Handover, Outcome, Recover, Started},
    id::{Incarnation, Job, Task},
};

/// Time limit for the sides' handovers.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a request waits for tasks that still run at sides.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the results of a sweep are kept after its start.
const RESULT_RETENTION: Duration = Duration::from_secs(30);

/// Results of one job that sides have handed over.
#[derive(Debug, Default)]
struct Results {
    total: u16,
    outcomes: BTreeMap<u16, Option<Outcome>>,
}

/// A request for a job whose home is lost.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    customer: Customer,
    job: Job,
    since: Duration,
}

/// Recovery of the jobs of one lost home. Sides in `awaiting` have not answered
/// the current sweep; `active` requests are part of it, `queued` ones are not.
#[derive(Debug)]
pub struct Recovery {
    started_at: Duration,
    awaiting: HashSet<Key>,
    refused: bool,
    results: HashMap<Job, Results>,
    active: Vec<Waiter>,
    queued: Vec<Waiter>,
}

impl Entry {
    /// Answers a request for a job of a lost home from the results that sides
    /// keep.
    pub(super) fn recover(&mut self, now: Duration, customer: Customer, job: Job) {
        let recovery = self.recoveries.entry(job.home).or_insert_with(|| Recovery {
            started_at: now,
            awaiting: HashSet::new(),
            refused: false,
            results: HashMap::new(),
            active: Vec::new(),
            queued: Vec::new(),
        });
        let since = now;
        recovery.queued.push(Waiter {
            customer,
            job,
            since,
        });
        self.sweep(now, job.home);
    }

    /// Processes a side's handover in a sweep.
    pub(super) fn receive_recovery(&mut self, now: Duration, key: Key, handover: Handover) {
        let Some(recovery) = self.recoveries.get_mut(&handover.home) else {
            self.stats.count_wasted("late-handover");
            return;
        };
        recovery.awaiting.remove(&key);
        recovery.refused |= !handover.fenced;
        for kept in handover.kept {
            let results = recovery.results.entry(kept.job).or_default();
            results.total = kept.total;
            let outcome = results.outcomes.entry(kept.index).or_default();
            if kept.outcome.is_some() {
                *outcome = kept.outcome;
            }
        }
        self.answer_waiters(now, handover.home);
    }

    /// Records a result of a lost home's task. Returns false for own tasks.
    pub(super) fn record_recovered(
        &mut self,
        now: Duration,
        task: Task,
        outcome: &Outcome,
    ) -> bool {
        if task.job.home == self.identity.incarnation {
            return false;
        }
        let results = self
            .recoveries
            .get_mut(&task.job.home)
            .and_then(|recovery| recovery.results.get_mut(&task.job));
        match results {
            Some(results) => {
                results.outcomes.insert(task.index, Some(outcome.clone()));
                self.answer_waiters(now, task.job.home);
            }
            None => self.stats.count_wasted("late-result"),
        }
        true
    }

    /// Stops waiting for a side that was lost.
    pub(super) fn drop_from_recoveries(&mut self, now: Duration, key: Key) {
        let homes: Vec<Incarnation> = self.recoveries.keys().copied().collect();
        for home in homes {
            let was_awaited = self
                .recoveries
                .get_mut(&home)
                .is_some_and(|recovery| recovery.awaiting.remove(&key));
            if was_awaited {
                self.answer_waiters(now, home);
            }
        }
    }

    /// Answers requests whose time limit has passed, and removes recoveries
    /// without requests after their retention.
    pub(super) fn expire_recoveries(&mut self, now: Duration) {
        let homes: Vec<Incarnation> = self.recoveries.keys().copied().collect();
        for home in homes {
            self.answer_waiters(now, home);
            let expired = self.recoveries.get(&home).is_some_and(|recovery| {
                let idle = recovery.active.is_empty() && recovery.queued.is_empty();
                idle && now.saturating_sub(recovery.started_at) > RESULT_RETENTION
            });
            if expired {
                self.recoveries.remove(&home);
            }
        }
    }

    /// Starts a sweep if none is running and requests are queued.
    fn sweep(&mut self, now: Duration, home: Incarnation) {
        let Some(recovery) = self.recoveries.get_mut(&home) else {
            return;
        };
        if !recovery.awaiting.is_empty() || recovery.queued.is_empty() {
            return;
        }
        let sides: Vec<(Key, Incarnation)> = self
            .fleet
            .iter()
            .map(|(key, member)| (key, member.incarnation))
            .collect();
        let waiters = std::mem::take(&mut recovery.queued);
        let mut jobs: Vec<Job> = waiters.iter().map(|waiter| waiter.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        recovery.active.extend(waiters);
        recovery.started_at = now;
        recovery.refused = false;
        recovery.awaiting = sides.iter().map(|(key, _)| *key).collect();
        log::info!(
            "event=recovery_sweep home={home} sides={} jobs={}",
            sides.len(),
            jobs.len()
        );
        for (_, side) in sides {
            let jobs = jobs.clone();
            self.send(side, Frame::Recover(Recover { home, jobs }));
        }
        self.answer_waiters(now, home);
    }

    /// Answers the requests of a finished sweep, except those that wait for a
    /// running task, and starts the next sweep.
    fn answer_waiters(&mut self, now: Duration, home: Incarnation) {
        let Some(recovery) = self.recoveries.get_mut(&home) else {
            return;
        };
        if now.saturating_sub(recovery.started_at) > HANDOVER_TIMEOUT {
            recovery.awaiting.clear();
        }
        if !recovery.awaiting.is_empty() {
            return;
        }
        let waiters = std::mem::take(&mut recovery.active);
        let mut answers = Vec::new();
        for waiter in waiters {
            let may_wait = now.saturating_sub(waiter.since) <= RUNNING_TIMEOUT;
            match recovery.resolve(waiter.job, may_wait) {
                Some(answer) => answers.push((waiter.customer, Arc::new(answer))),
                None => recovery.active.push(waiter),
            }
        }
        for (customer, answer) in answers {
            if let Answer::Failed(failure) = answer.as_ref() {
                self.count_failure(failure.code);
            }
            self.respond(customer, &answer);
        }
        self.sweep(now, home);
    }
}

impl Recovery {
    /// Returns a job's answer, or `None` if it may wait for running tasks.
    ///
    /// The answer never says that no task started: a side that this entry is not
    /// connected to may have started one.
    fn resolve(&self, job: Job, may_wait: bool) -> Option<Answer> {
        if let Some(answer) = self.complete_answer(job) {
            return Some(answer);
        }
        if self.refused {
            let code = Code::HomeUnreachable;
            return Some(failed_answer(
                code,
                Started::Unknown,
                RETRY_AFTER,
                code.meaning().trim(),
            ));
        }
        let Some(results) = self.results.get(&job) else {
            return Some(unknown_outcome(Started::Unknown));
        };
        let failure = results.outcomes.values().find_map(|outcome| match outcome {
            Some(Outcome::Failure(detail)) => Some(detail),
            _ => None,
        });
        if let Some(detail) = failure {
            let detail = String::from_utf8_lossy(detail.as_bytes());
            return Some(failed_answer(
                Code::TaskFailed,
                Started::Some,
                RETRY_AFTER,
                &detail,
            ));
        }
        let all_started = results.outcomes.len() == usize::from(results.total);
        if all_started && may_wait {
            None
        } else {
            Some(unknown_outcome(Started::Some))
        }
    }

    fn complete_answer(&self, job: Job) -> Option<Answer> {
        let results = self.results.get(&job)?;
        let answers: Vec<_> = results
            .outcomes
            .values()
            .filter_map(|outcome| match outcome {
                Some(Outcome::Answer(payload)) => Some(payload.clone()),
                _ => None,
            })
            .collect();
        (answers.len() == usize::from(results.total)).then_some(Answer::Complete(answers))
    }
}

fn unknown_outcome(started: Started) -> Answer {
    failed_answer(
        Code::OutcomeUnknown,
        started,
        Duration::ZERO,
        "the home entry is lost and its sides do not hold the complete answer",
    )
}
