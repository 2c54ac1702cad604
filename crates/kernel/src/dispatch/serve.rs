//! Customers' requests: jobs are submitted, inspected, cancelled and answered.

use super::{
    Answer, Dispatcher, Event, Job, Phase, Reason, Submission, admission::Arrival,
    backlog::LATE_LEVEL, forecast::Forecast, holding::Submitted, route,
};
use crate::{
    accuracy::Outcome,
    mutation::{Mutant, is_seeded},
    pressure::{MAX_RETRY_AFTER, MIN_RETRY_AFTER},
};
use std::{collections::BTreeMap, time::Duration};
use wire::{
    id::Incarnation,
    lease::{Ending, Frame, Run, Step, Task},
};

/// Factor on a job's expected run time with which it must end before the entry's
/// exit: covers a rough estimate and one failed run.
const EXIT_SAFETY_FACTOR: f64 = 2.0;

/// Smallest ratio of run time to estimate that is assumed before a job is
/// refused or given up: estimates are rough.
const MIN_RUN_TIME_RATIO: f64 = 0.6;

/// Base of the pause before a failed task is retried; doubles with each failure,
/// the first included.
const FAILURE_BACKOFF: Duration = Duration::from_millis(5);

impl Dispatcher {
    /// Submits a job to the queue that `host` and `path` address. A job that is
    /// open or has ended is not started again; the customer gets its answer.
    pub fn submit(
        &mut self,
        now: Duration,
        customer: u64,
        host: &str,
        path: &str,
        submission: Submission,
    ) {
        self.submit_arrived(now, now, customer, host, path, submission);
    }

    /// Does what [`Dispatcher::submit`] does, for a request that arrived at `at`.
    pub fn submit_arrived(
        &mut self,
        now: Duration,
        at: Duration,
        customer: u64,
        host: &str,
        path: &str,
        submission: Submission,
    ) {
        self.resume(now);
        let arrival = Arrival {
            customer,
            at,
            forwarder_exit: None,
        };
        self.submit_at(now, arrival, host, path, submission);
    }

    pub(super) fn submit_at(
        &mut self,
        now: Duration,
        arrival: Arrival,
        host: &str,
        path: &str,
        mut submission: Submission,
    ) {
        let customer = arrival.customer;
        if let Some(state) = self.history.get(submission.job) {
            self.answer(customer, Answer::State(state));
            return;
        }
        if let Some(job) = self.jobs.get_mut(&submission.job) {
            job.customers.push(customer);
            job.submitted = Submitted {
                arrived: self.pause.earliest_arrival(arrival.at),
                patience: submission.patience,
            };
            return;
        }
        if self.cancellations.contains(submission.job) {
            self.answer(customer, Answer::State(Phase::Cancelled));
            return;
        }
        let Some(rules) = self.rules.get() else {
            self.park(now, arrival, host, path, submission);
            return;
        };
        let Some((queue, _)) = route(rules, host, path) else {
            self.answer(customer, Answer::NoQueue);
            return;
        };
        let resubmit_after = self.timing.resubmit_after;
        let waited =
            self.admission
                .learn_patience(&queue.name, submission.patience, resubmit_after);
        let level = self.fairness.level(now, queue, &rules.queues);
        let has_room = self.has_room_for(&submission);
        if !has_room {
            // The refusal needs neither, and the tasks would be made of them.
            submission.steps = Vec::new();
            submission.input = String::new();
        }
        let mut job = Job::new(arrival.at, waited, customer, queue, level, submission);
        job.rank = job.rank_at(now);
        job.submitted.arrived = self.pause.earliest_arrival(arrival.at);
        let Some(holders) = self.earlier_holders(now, &job) else {
            self.answer(customer, Answer::Unknown);
            return;
        };
        job.has_run = !holders.is_empty();
        if !has_room {
            self.log_refusal(now, &job, Reason::Memory, Duration::ZERO);
            self.refuse_job(customer, &job, Reason::Memory, Duration::ZERO);
            return;
        }
        self.fairness.record_offer(now, &job.queue);
        if let Some(job) = self.refuse_overtaken(now, customer, job) {
            self.admit(now, arrival, job, &holders);
        }
    }

    /// Accepts a job, or refuses it if it can't be served.
    fn admit(&mut self, now: Duration, arrival: Arrival, job: Job, holders: &[Incarnation]) {
        self.confinement.record_arrival(now, &job.queue);
        let wait = self.expected_wait(now, &job);
        let reason = if self.may_run_past_exit(now + wait, arrival.forwarder_exit, &job) {
            Some(Reason::Leaving)
        } else {
            self.refusal_reason(now, &job, wait)
        };
        if let Some(reason) = reason {
            self.record_refusal(now, &job, reason);
            self.log_refusal(now, &job, reason, wait);
            self.refuse_job(arrival.customer, &job, reason, wait);
        } else {
            self.claim_job(now, &job, holders);
            self.accept(now, job, wait);
        }
    }

    /// Forecasts the wait of a job that arrives. If it is too long for the objective,
    /// the job will be ranked behind all that can still meet theirs.
    fn expected_wait(&self, now: Duration, job: &Job) -> Duration {
        let work = job.submission.work();
        let load = self.job_load(now, job);
        let wait = load.forecast(job.rank.level()).wait(work);
        if now + wait <= job.start_by {
            return wait;
        }
        wait.max(load.forecast(LATE_LEVEL).wait(work))
    }

    fn accept(&mut self, now: Duration, mut job: Job, wait: Duration) {
        self.stats.accepted += 1;
        self.record_admission(now, &job, wait);
        self.events.push(Event::Accepted {
            job: job.submission.job,
            queue: job.queue.clone(),
            tasks: job.unfinished(),
            wait,
            objective: job.due.saturating_sub(now),
            patience: job.submission.patience,
            resubmitted: !job.waited.is_zero(),
        });
        if !self.confinement.is_confined(&job.queue) {
            self.admission.record_arrival(now, &job);
        }
        self.delay_for_earlier_runs(&mut job);
        self.recall_crashes(&mut job);
        let id = job.submission.job;
        let tasks = job.unblock();
        self.charge_job(&job.submission);
        self.jobs.insert(id, job);
        for task in tasks {
            self.enqueue(task);
        }
        self.give_up_if_culprit(now, id);
    }

    /// Delays tasks of a resubmitted job whose earlier runs may continue, until their
    /// side has reported the ends or is removed.
    fn delay_for_earlier_runs(&self, job: &mut Job) {
        if is_seeded(Mutant::AgainAtOnce) {
            return;
        }
        let earlier: Vec<Task> = self
            .fleet
            .iter()
            .flat_map(|(_, side)| &side.runs)
            .filter(|run| run.task.job == job.submission.job)
            .map(|run| run.task)
            .collect();
        for task in earlier {
            if let Some(slot) = job.slot(task) {
                slot.not_before = Duration::MAX;
            }
        }
    }

    /// Returns the reason to refuse a job that would start after `wait`, if any.
    fn refusal_reason(&self, now: Duration, job: &Job, wait: Duration) -> Option<Reason> {
        if self.confinement.is_confined(&job.queue) {
            return (!self.is_useful(now + wait, job)).then_some(Reason::Confined);
        }
        if !self.is_served(now, &job.service) {
            return self
                .lacks_upstream(now, &job.service)
                .then_some(Reason::NoUpstream);
        }
        (!self.is_useful(now + wait, job)).then_some(Reason::Overload)
    }

    /// Returns whether no upstream of a service is known or still expected.
    fn lacks_upstream(&self, now: Duration, service: &str) -> bool {
        let mut sides = self.fleet.iter();
        !self.admission.is_starting(now)
            && !sides.any(|(key, side)| {
                self.fleet.service(key) == Some(service) && self.rules.is_in_service(side)
            })
    }

    /// Returns whether a job that starts at `start` may run past the exit of this entry
    /// or of the one that forwarded it.
    fn may_run_past_exit(
        &self,
        start: Duration,
        forwarder_exit: Option<Duration>,
        job: &Job,
    ) -> bool {
        let mean_slowness = self.fleet.mean_slowness.max(1.0);
        let run = job
            .submission
            .critical_path()
            .mul_f64(mean_slowness * EXIT_SAFETY_FACTOR);
        let end = start + run;
        self.admission.has_exited_by(end) || forwarder_exit.is_some_and(|exit| end > exit)
    }

    /// Returns whether a job that starts at `start` may end before its answer has
    /// lost its value.
    pub(super) fn is_useful(&self, start: Duration, job: &Job) -> bool {
        start + self.min_run_time(&job.submission) <= job.useful_until
    }

    /// Answers with the state of a job at this entry.
    pub fn inspect(&mut self, customer: u64, job: u64) {
        let answer = if let Some(state) = self.history.get(job) {
            Answer::State(state)
        } else {
            self.jobs.get(&job).map_or(Answer::NoJob, |job| {
                let state = if job.may_have_run() {
                    Phase::Running
                } else {
                    Phase::Queued
                };
                Answer::State(state)
            })
        };
        self.answer(customer, answer);
    }

    /// Answers with the number of a queue's jobs of which no task has started, at
    /// all entries.
    pub fn count_pending(&mut self, customer: u64, host: &str, path: &str) {
        let Some(rules) = self.rules.get() else {
            self.refuse(customer, Reason::NoRules, Duration::ZERO);
            return;
        };
        let Some((queue, _)) = route(rules, host, path) else {
            self.answer(customer, Answer::NoQueue);
            return;
        };
        let name = queue.name.clone();
        let own = self.pending_of(&name);
        let others = self.peers.pending_of(&name);
        self.answer(customer, Answer::Pending(own.saturating_add(others)));
    }

    /// Returns the number of a queue's jobs at this entry of which no task has
    /// started.
    pub(super) fn pending_of(&self, queue: &str) -> u32 {
        let waits = |job: &&Job| job.queue == queue && !job.may_have_run();
        u32::try_from(self.jobs.values().filter(waits).count()).unwrap_or(u32::MAX)
    }

    /// Records that a customer has disconnected; a job without customers is
    /// stopped.
    pub fn remove_customer(&mut self, now: Duration, job: u64, customer: u64) {
        self.admission.remove_parked(customer);
        self.forwarding.remove_customer(job, customer);
        self.apply_forwarding(now);
        let Some(open_job) = self.jobs.get_mut(&job) else {
            return;
        };
        open_job.customers.retain(|other| *other != customer);
        if open_job.customers.is_empty() {
            self.stats.abandoned += 1;
            self.events.push(Event::Abandoned {
                job,
                age: now.saturating_sub(open_job.accepted),
                started: open_job.may_have_run(),
            });
            if let Some(job) = self.drop_job(now, job) {
                self.settle_abandoned(now, &job);
            }
        }
    }

    /// Cancels a job at this entry; returns false if it is unknown here.
    pub(super) fn cancel_here(&mut self, now: Duration, job: u64) -> bool {
        if self.jobs.contains_key(&job) {
            self.finish(now, job, Phase::Cancelled);
            return true;
        }
        self.history.get(job).is_some()
    }

    /// Continues a job after the end of one of its runs: finishes it, unblocks
    /// dependent tasks, or queues the task again.
    pub(super) fn continue_job(&mut self, now: Duration, task: Task, ending: Ending) {
        if self.end_if_cancelled(now, task.job, ending) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if ending == Ending::Done {
            if job.is_done() {
                self.finish(now, task.job, Phase::Completed);
                return;
            }
            for unblocked in job.unblock() {
                self.enqueue(unblocked);
            }
            return;
        }
        let max_failures = job.max_failures;
        let Some(slot) = job.slot(task) else { return };
        if let Some(verdict) = slot.crashes.verdict() {
            self.give_up_culprit(now, task, verdict);
            return;
        }
        if slot.failures >= max_failures {
            self.finish(now, task.job, Phase::Failed);
            return;
        }
        if ending == Ending::Failed {
            slot.not_before = now + FAILURE_BACKOFF * (1 << slot.failures.min(6));
        }
        self.enqueue(task);
    }

    /// Finishes a job and answers its customers.
    pub(super) fn finish(&mut self, now: Duration, job: u64, state: Phase) {
        let Some(open_job) = self.drop_job(now, job) else {
            return;
        };
        match state {
            Phase::Completed => self.stats.completed += 1,
            Phase::Failed => self.stats.failed += 1,
            Phase::Queued | Phase::Running | Phase::Cancelled => {}
        }
        let longest_runs = open_job.sum_longest_runs();
        let response_time = now.saturating_sub(open_job.accepted);
        let objective = open_job
            .objective_for(longest_runs)
            .saturating_sub(open_job.waited);
        self.settle_ended(now, &open_job, state, response_time <= objective);
        self.events.push(Event::Answered {
            job,
            queue: open_job.queue.clone(),
            state,
            response_time,
            objective,
            longest_runs,
            reruns: open_job.reruns(),
        });
        self.history.insert(now, job, state);
        for customer in open_job.customers {
            self.answer(customer, Answer::State(state));
        }
    }

    /// Removes a job, stops its runs and withdraws its announcements.
    pub(super) fn drop_job(&mut self, now: Duration, job: u64) -> Option<Job> {
        let open_job = self.jobs.remove(&job)?;
        self.release_job(&open_job.submission);
        self.remember_crashes(now, &open_job);
        for task in open_job.waiting() {
            self.placement.dequeue(&open_job, task);
        }
        let mut stops: BTreeMap<super::Key, Vec<Run>> = BTreeMap::new();
        for (side, run) in open_job.placed() {
            stops.entry(side).or_default().push(run);
        }
        for (side, runs) in stops {
            self.send(side, Frame::Stop(runs));
        }
        for (number, side) in &open_job.reserved {
            let step = Step {
                job,
                number: *number,
            };
            self.send(*side, Frame::Unreserve(step));
        }
        Some(open_job)
    }

    /// Gives up jobs past their deadline, and late unstarted jobs that can't end
    /// before their answers have lost their value.
    pub(super) fn expire(&mut self, now: Duration) {
        // The late jobs of a service all wait behind the same work.
        let mut forecasts: BTreeMap<(&str, bool), Forecast> = BTreeMap::new();
        let mut overdue = Vec::new();
        for (id, job) in &self.jobs {
            let cannot_end = now >= job.due && !job.may_have_run() && {
                let confined = self.confinement.is_confined(&job.queue);
                let forecast = forecasts
                    .entry((&job.service, confined))
                    .or_insert_with(|| self.job_load(now, job).forecast(LATE_LEVEL));
                let wait = forecast.wait(job.submission.work());
                !self.is_useful(now + wait, job)
            };
            if cannot_end || now >= job.deadline {
                overdue.push(*id);
            }
        }
        self.give_up(now, &overdue);
    }

    /// Gives up all open jobs, since the entry exits.
    pub fn give_up_all(&mut self, now: Duration) {
        let all: Vec<u64> = self.jobs.keys().copied().collect();
        self.give_up(now, &all);
        self.forwarding.give_up_all(now);
        self.apply_forwarding(now);
    }

    /// Removes jobs that can't be completed here, and answers their customers.
    fn give_up(&mut self, now: Duration, jobs: &[u64]) {
        for id in jobs.iter().copied() {
            let Some(job) = self.drop_job(now, id) else {
                continue;
            };
            self.stats.expired += 1;
            self.settle(now, &job, Outcome::GivenUp);
            let started = job.may_have_run();
            let reason = if self.confinement.is_confined(&job.queue) {
                Reason::Confined
            } else if self.is_served(now, &job.service) {
                Reason::Overload
            } else {
                Reason::NoUpstream
            };
            let mut wait = Duration::ZERO;
            if started {
                self.events.push(Event::GivenUp {
                    job: id,
                    queue: job.queue.clone(),
                    age: now.saturating_sub(job.accepted),
                    unfinished: job.unfinished(),
                });
            } else {
                let forecast = self.job_load(now, &job).forecast(LATE_LEVEL);
                wait = forecast.wait(job.submission.work());
                self.log_refusal(now, &job, reason, wait);
            }
            for customer in &job.customers {
                if started {
                    self.answer(*customer, Answer::Expired);
                } else {
                    self.refuse(*customer, reason, wait);
                }
            }
        }
    }

    /// Returns the shortest run time that is likely for a job once it starts.
    fn min_run_time(&self, submission: &Submission) -> Duration {
        submission
            .critical_path()
            .mul_f64(self.fleet.mean_slowness.clamp(MIN_RUN_TIME_RATIO, 1.0))
    }

    pub(super) fn log_refusal(&mut self, now: Duration, job: &Job, reason: Reason, wait: Duration) {
        // A job that was ranked as late has been counted then.
        if reason == Reason::Overload && !job.rank.late {
            self.fairness.record_miss(now, &job.queue);
        }
        self.events.push(Event::Refused {
            job: job.submission.job,
            queue: job.queue.clone(),
            reason,
            wait,
            useful_for: job.useful_until.saturating_sub(now),
            age: now.saturating_sub(job.accepted),
        });
    }

    /// Refuses a customer's job, unless it may have run at another entry.
    pub(super) fn refuse_job(&mut self, customer: u64, job: &Job, reason: Reason, wait: Duration) {
        if job.has_run {
            self.answer(customer, Answer::Unknown);
        } else {
            self.refuse(customer, reason, wait);
        }
    }

    /// Refuses a customer's job whose expected wait is `wait`. The job may be
    /// submitted again when the work before it has likely been done.
    pub(super) fn refuse(&mut self, customer: u64, reason: Reason, wait: Duration) {
        self.stats.refused += 1;
        let least = match reason {
            Reason::Overload | Reason::EntryLate | Reason::Confined => {
                wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
            }
            Reason::NoRules
            | Reason::Leaving
            | Reason::NoUpstream
            | Reason::Stale
            | Reason::Memory => MIN_RETRY_AFTER,
        };
        let retry_after = self.placement.retry_delay(least);
        self.answer(
            customer,
            Answer::Refused {
                reason,
                retry_after,
            },
        );
    }
}
