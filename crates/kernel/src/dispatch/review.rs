//! Review of admissions and refusals: passes what happens to jobs to [`Accuracy`].

use super::{Dispatcher, Event, Job, Phase, Reason, fairness::PROMOTED_LEVEL};
use crate::accuracy::{
    Accuracy, Level, Outcome,
    watch::{Host, Refusal},
};
use std::time::Duration;

impl Dispatcher {
    /// Returns how forecasts compare with what happened, by queue.
    pub fn accuracy(&self) -> &Accuracy {
        &self.accuracy
    }

    /// Records the admission of a job that is expected to wait for `wait`.
    pub(super) fn record_admission(&mut self, now: Duration, job: &Job, wait: Duration) {
        let level = if now + wait > job.start_by {
            Level::Late
        } else if job.level == PROMOTED_LEVEL {
            Level::Promoted
        } else {
            Level::Priority
        };
        self.accuracy
            .record_admission(now, job.submission.job, level, wait, job.deadline);
    }

    /// Records the refusal of a job that has arrived, if its reason is want of room.
    pub(super) fn record_refusal(&mut self, now: Duration, job: &Job, reason: Reason) {
        if reason != Reason::Overload {
            return;
        }
        let steps = job.submission.steps.iter();
        let Some(most) = steps.max_by_key(|step| step.work() * u64::from(step.count)) else {
            return;
        };
        let mean_slowness = self.fleet.mean_slowness;
        let ratio = if mean_slowness.is_finite() && mean_slowness > 0.0 {
            mean_slowness
        } else {
            1.0
        };
        let run_s = job.submission.critical_path().as_secs_f64() * ratio;
        #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
        let work = job.submission.work() as f64 * ratio;
        let refusal = Refusal {
            job: job.submission.job,
            service: job.service.clone(),
            label: most.label.clone(),
            need: most.need,
            work,
            run_time: Duration::try_from_secs_f64(run_s).unwrap_or(Duration::MAX),
            useful_until: job.useful_until,
        };
        self.accuracy.record_refusal(now, &job.queue, refusal);
    }

    /// Records that a job has ended in `state`, and whether within its objective.
    pub(super) fn settle_ended(&mut self, now: Duration, job: &Job, state: Phase, in_time: bool) {
        let outcome = match state {
            Phase::Completed if in_time => Outcome::InTime,
            Phase::Completed => Outcome::Missed,
            _ => Outcome::Unjudged,
        };
        self.settle(now, job, outcome);
    }

    /// Records that the customers of a job have left.
    pub(super) fn settle_abandoned(&mut self, now: Duration, job: &Job) {
        let outcome = if now > job.due {
            Outcome::Missed
        } else {
            Outcome::Unjudged
        };
        self.settle(now, job, outcome);
    }

    /// Records the end of an admitted job.
    pub(super) fn settle(&mut self, now: Duration, job: &Job, outcome: Outcome) {
        let (id, has_run) = (job.submission.job, job.may_have_run());
        let settlement = self.accuracy.settle(now, id, &job.queue, has_run, outcome);
        let event = settlement.map(|settlement| Event::Settled {
            job: id,
            queue: job.queue.clone(),
            settlement,
        });
        self.events.extend(event);
    }

    /// Judges refusals by the hosts as last reported, and reports a queue's decisions.
    pub(super) fn review_decisions(&mut self, now: Duration) {
        if self.accuracy.is_due(now) {
            let hosts: Vec<Host> = self
                .fleet
                .iter()
                .filter_map(|(key, side)| {
                    let upstream = side.upstream.as_ref()?;
                    let service = &upstream.service;
                    let is_usable = self.rules.may_run(now, side, service, None)
                        && !self.confinement.is_confined_host(service, key);
                    is_usable.then(|| Host {
                        service,
                        labels: &upstream.labels,
                        room: side.room(),
                        speed: side.speed(),
                    })
                })
                .collect();
            let judgements = self.accuracy.judge(now, &hosts);
            self.events
                .extend(judgements.into_iter().map(Event::RefusalJudged));
        }
        if let Some((queue, counts)) = self.accuracy.take_report(now) {
            self.events.push(Event::Decisions { queue, counts });
        }
    }
}
