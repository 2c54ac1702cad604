//! Recovery of jobs whose home entry is gone.
//!
//! The recovering entry never starts a task. It asks every side that it knows
//! to fence the lost incarnation and to hand over what it keeps of the jobs
//! that customers ask for. A side that still hears the home refuses. Recovery is
//! idempotent: two entries may run it at once and find the same. One sweep runs
//! at a time for each home; requests that arrive meanwhile share the next.

use super::{Entry, place::RETRY};
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

/// Time that sides have to hand over.
const PATIENCE: Duration = Duration::from_secs(2);

/// Longest wait for a task that still runs at a side.
const RUNNING_PATIENCE: Duration = Duration::from_secs(30);

/// Time for which the results of a recovery are held.
const LIFE: Duration = Duration::from_secs(30);

/// What the sides kept of one job.
#[derive(Debug, Default)]
struct Found {
    total: u16,
    outcomes: BTreeMap<u16, Option<Outcome>>,
}

/// A request for a job of a lost home.
#[derive(Debug, Clone, Copy)]
struct Asker {
    customer: Customer,
    job: Job,
    since: Duration,
}

/// Recovery of the jobs of one lost incarnation.
#[derive(Debug)]
pub struct Recovery {
    began: Duration,
    awaiting: HashSet<Key>,
    denied: bool,
    found: HashMap<Job, Found>,
    swept: Vec<Asker>,
    next: Vec<Asker>,
}

impl Entry {
    /// Answers a request for a job of a lost entry, as far as the sides can.
    pub(super) fn recover(&mut self, now: Duration, customer: Customer, job: Job) {
        let recovery = self.recoveries.entry(job.home).or_insert_with(|| Recovery {
            began: now,
            awaiting: HashSet::new(),
            denied: false,
            found: HashMap::new(),
            swept: Vec::new(),
            next: Vec::new(),
        });
        let since = now;
        recovery.next.push(Asker {
            customer,
            job,
            since,
        });
        self.sweep(now, job.home);
    }

    /// Takes a side's answer to a sweep.
    pub(super) fn recovery_reply(&mut self, now: Duration, key: Key, handover: Handover) {
        let Some(recovery) = self.recoveries.get_mut(&handover.home) else {
            self.stats.waste("late-handover");
            return;
        };
        recovery.awaiting.remove(&key);
        recovery.denied |= !handover.fenced;
        for kept in handover.kept {
            let found = recovery.found.entry(kept.job).or_default();
            found.total = kept.total;
            let outcome = found.outcomes.entry(kept.index).or_default();
            if kept.outcome.is_some() {
                *outcome = kept.outcome;
            }
        }
        self.conclude(now, handover.home);
    }

    /// Takes a result of a lost entry's task. Returns false for own tasks.
    pub(super) fn recovered(&mut self, now: Duration, task: Task, outcome: &Outcome) -> bool {
        if task.job.home == self.identity.incarnation {
            return false;
        }
        let found = self
            .recoveries
            .get_mut(&task.job.home)
            .and_then(|recovery| recovery.found.get_mut(&task.job));
        match found {
            Some(found) => {
                found.outcomes.insert(task.index, Some(outcome.clone()));
                self.conclude(now, task.job.home);
            }
            None => self.stats.waste("late-result"),
        }
        true
    }

    /// Records that a side cannot hand over.
    pub(super) fn recovery_lost(&mut self, now: Duration, key: Key) {
        let homes: Vec<Incarnation> = self.recoveries.keys().copied().collect();
        for home in homes {
            let awaited = self
                .recoveries
                .get_mut(&home)
                .is_some_and(|recovery| recovery.awaiting.remove(&key));
            if awaited {
                self.conclude(now, home);
            }
        }
    }

    /// Ends the waits whose time is over.
    pub(super) fn expire_recoveries(&mut self, now: Duration) {
        let homes: Vec<Incarnation> = self.recoveries.keys().copied().collect();
        for home in homes {
            self.conclude(now, home);
            let over = self.recoveries.get(&home).is_some_and(|recovery| {
                let idle = recovery.swept.is_empty() && recovery.next.is_empty();
                idle && now.saturating_sub(recovery.began) > LIFE
            });
            if over {
                self.recoveries.remove(&home);
            }
        }
    }

    /// Begins a sweep if none runs and someone asks.
    fn sweep(&mut self, now: Duration, home: Incarnation) {
        let Some(recovery) = self.recoveries.get_mut(&home) else {
            return;
        };
        if !recovery.awaiting.is_empty() || recovery.next.is_empty() {
            return;
        }
        let sides: Vec<(Key, Incarnation)> = self
            .fleet
            .iter()
            .map(|(key, member)| (key, member.incarnation))
            .collect();
        let askers = std::mem::take(&mut recovery.next);
        let mut jobs: Vec<Job> = askers.iter().map(|asker| asker.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        recovery.swept.extend(askers);
        recovery.began = now;
        recovery.denied = false;
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
        self.conclude(now, home);
    }

    fn conclude(&mut self, now: Duration, home: Incarnation) {
        let Some(recovery) = self.recoveries.get_mut(&home) else {
            return;
        };
        if now.saturating_sub(recovery.began) > PATIENCE {
            recovery.awaiting.clear();
        }
        if !recovery.awaiting.is_empty() {
            return;
        }
        let askers = std::mem::take(&mut recovery.swept);
        let mut answers = Vec::new();
        for asker in askers {
            let patient = now.saturating_sub(asker.since) <= RUNNING_PATIENCE;
            match recovery.verdict(asker.job, patient) {
                Some(answer) => answers.push((asker.customer, Arc::new(answer))),
                None => recovery.swept.push(asker),
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
    /// Decides a job's answer, or `None` while one of its tasks runs.
    ///
    /// "Not run" is never claimed: a side that this entry does not know may
    /// have started a task.
    fn verdict(&self, job: Job, patient: bool) -> Option<Answer> {
        if let Some(answer) = self.whole(job) {
            return Some(answer);
        }
        if self.denied {
            let code = Code::HomeUnreachable;
            return Some(failed_answer(
                code,
                Started::Unknown,
                RETRY,
                code.meaning().trim(),
            ));
        }
        let Some(found) = self.found.get(&job) else {
            return Some(unknown(Started::Unknown));
        };
        let failure = found.outcomes.values().find_map(|outcome| match outcome {
            Some(Outcome::Failure(detail)) => Some(detail),
            _ => None,
        });
        if let Some(detail) = failure {
            let detail = String::from_utf8_lossy(detail.as_bytes());
            return Some(failed_answer(
                Code::TaskFailed,
                Started::Some,
                RETRY,
                &detail,
            ));
        }
        let all_started = found.outcomes.len() == usize::from(found.total);
        if all_started && patient {
            None
        } else {
            Some(unknown(Started::Some))
        }
    }

    fn whole(&self, job: Job) -> Option<Answer> {
        let found = self.found.get(&job)?;
        let answers: Vec<_> = found
            .outcomes
            .values()
            .filter_map(|outcome| match outcome {
                Some(Outcome::Answer(payload)) => Some(payload.clone()),
                _ => None,
            })
            .collect();
        (answers.len() == usize::from(found.total)).then_some(Answer::Complete(answers))
    }
}

fn unknown(started: Started) -> Answer {
    failed_answer(
        Code::OutcomeUnknown,
        started,
        Duration::ZERO,
        "the home entry is gone and its sides do not hold the whole answer",
    )
}
