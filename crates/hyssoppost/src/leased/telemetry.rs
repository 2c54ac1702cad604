//! Log lines and metrics derived from a kernel's events.

use crate::{link::Local, logging, meter};
use kernel::{
    dispatch::{Dispatcher, Phase},
    event::{Event, Severity},
    guard::Guard,
    millis,
};
use metrics::{counter, gauge, histogram};
use std::time::{Duration, Instant};
use wire::lease::Ending;

/// Most notable events logged per second; all of them may be logged in one
/// burst. Bounds the cost of logging when many jobs fail at once.
const MAX_NOTABLE_PER_SECOND: u32 = 200;

/// Logs and counts events.
#[derive(Debug)]
pub(super) struct Recorder {
    /// One in `sample` jobs has its routine events logged. The choice depends on
    /// the job's identifier, so every process logs the same jobs.
    sample: u64,
    /// Notable events that may still be logged in the current second.
    remaining: u32,
    refilled: Instant,
    suppressed: u64,
}

impl Recorder {
    pub(super) fn new(sample: u64) -> Self {
        Self {
            sample: sample.max(1),
            remaining: MAX_NOTABLE_PER_SECOND,
            refilled: Instant::now(),
            suppressed: 0,
        }
    }

    pub(super) fn observe(&mut self, event: &Event) {
        update_metrics(event);
        match event.severity() {
            Severity::Routine if !self.is_sampled(event) => {}
            Severity::Routine => log::info!("{event}"),
            Severity::Notable => {
                if self.may_log() {
                    log::warn!("{event}");
                } else {
                    self.suppressed += 1;
                }
            }
        }
    }

    fn is_sampled(&self, event: &Event) -> bool {
        // Most customers choose identifiers at random; the multiplication
        // spreads sequential ones as well.
        let hash = event
            .job()
            .map(|job| job.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32);
        hash.is_none_or(|hash| hash % self.sample == 0)
    }

    fn may_log(&mut self) -> bool {
        if self.refilled.elapsed() >= Duration::from_secs(1) {
            self.refilled = Instant::now();
            self.remaining = MAX_NOTABLE_PER_SECOND;
            if self.suppressed > 0 {
                log::warn!("event=log_suppressed lines={}", self.suppressed);
                self.suppressed = 0;
            }
        }
        let allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        allowed
    }
}

fn update_metrics(event: &Event) {
    match event {
        Event::Accepted { queue, .. } => {
            counter!("hyssoppost_jobs_accepted_total", "queue" => queue.clone()).increment(1);
        }
        Event::Refused {
            queue, reason, age, ..
        } => {
            let when = if age.is_zero() { "at_once" } else { "later" };
            let labels = [
                ("queue", queue.clone()),
                ("reason", reason.to_string()),
                ("when", when.to_owned()),
            ];
            counter!("hyssoppost_jobs_refused_total", &labels).increment(1);
            histogram!("hyssoppost_refusal_seconds").record(age.as_secs_f64());
        }
        Event::Answered {
            queue,
            state,
            response_time,
            objective,
            ..
        } => {
            let outcome = match state {
                Phase::Completed if response_time <= objective => "in_time",
                Phase::Completed => "late",
                Phase::Failed => "failed",
                _ => "cancelled",
            };
            counter!("hyssoppost_jobs_total", "queue" => queue.clone(), "outcome" => outcome)
                .increment(1);
            histogram!("hyssoppost_job_seconds", "queue" => queue.clone(), "outcome" => outcome)
                .record(response_time.as_secs_f64());
            let share = response_time.as_secs_f64() / objective.as_secs_f64().max(1e-3);
            histogram!("hyssoppost_job_objective_ratio", "queue" => queue.clone()).record(share);
        }
        Event::GivenUp { queue, .. } => {
            counter!("hyssoppost_jobs_given_up_total", "queue" => queue.clone()).increment(1);
        }
        Event::Abandoned { .. } => counter!("hyssoppost_jobs_abandoned_total").increment(1),
        Event::JobForwarded { .. } => counter!("hyssoppost_jobs_forwarded_total").increment(1),
        Event::JobTakenOver { .. } => counter!("hyssoppost_jobs_taken_over_total").increment(1),
        Event::ForwardLost { .. } => counter!("hyssoppost_forwards_lost_total").increment(1),
        Event::ForwarderLost { jobs, .. } => {
            counter!("hyssoppost_forwarded_jobs_dropped_total").increment(u64::from(*jobs));
        }
        _ => update_run_metrics(event),
    }
}

fn update_run_metrics(event: &Event) {
    match event {
        Event::Placed { waited, .. } => {
            histogram!("hyssoppost_run_wait_seconds").record(waited.as_secs_f64());
        }
        Event::Ended {
            ending, spent, cpu, ..
        } => {
            record_run_end(*ending, *spent);
            let work = millis(*spent) * u64::from(*cpu) / 1_000;
            counter!("hyssoppost_work_core_milliseconds_total", "ending" => ending_label(*ending))
                .increment(work);
        }
        Event::RunEnded { ending, spent, .. } => record_run_end(*ending, *spent),
        Event::Moved { .. } => counter!("hyssoppost_runs_moved_total").increment(1),
        Event::Ejected { .. } => counter!("hyssoppost_upstreams_aside_total").increment(1),
        Event::RateInvalid { .. } => counter!("hyssoppost_rates_invalid_total").increment(1),
        Event::RunUnanswered { .. } => counter!("hyssoppost_orders_unanswered_total").increment(1),
        Event::RunOrphaned { .. } => counter!("hyssoppost_runs_orphaned_total").increment(1),
        _ => {}
    }
}

fn record_run_end(ending: Ending, spent: Duration) {
    counter!("hyssoppost_runs_total", "ending" => ending_label(ending)).increment(1);
    histogram!("hyssoppost_run_seconds", "ending" => ending_label(ending))
        .record(spent.as_secs_f64());
}

fn ending_label(ending: Ending) -> String {
    match ending {
        Ending::NotRun(refusal) => format!("not_run_{refusal}"),
        other => other.to_string(),
    }
}

/// Publishes an entry's gauges. `rules_read_at` is the time on the process's clock
/// at which the store last returned the rules.
pub(super) fn publish_entry(
    kernel: &Dispatcher,
    local: &Local,
    now: Duration,
    rules_read_at: Option<Duration>,
) {
    meter::publish(&local.hello.name, local);
    publish_logging();
    gauge!("hyssoppost_forwards_open").set(meter::count(kernel.open_forwards()));
    gauge!("hyssoppost_jobs_open").set(meter::count(kernel.open_jobs()));
    gauge!("hyssoppost_tasks_waiting").set(meter::count(kernel.backlog()));
    let (open, ejected) = kernel.sides(now);
    gauge!("hyssoppost_sides_open").set(meter::count(open));
    gauge!("hyssoppost_sides_aside").set(meter::count(ejected));
    let version = kernel.rules().map_or(0, |rules| rules.version);
    counter!("hyssoppost_rules_version").absolute(version);
    if let Some(rules_read_at) = rules_read_at {
        let rules_age = now.saturating_sub(rules_read_at).as_secs_f64();
        gauge!("hyssoppost_rules_age_seconds").set(rules_age);
    }
}

/// Publishes a side's gauges.
pub(super) fn publish_side(kernel: &Guard, local: &Local) {
    meter::publish(&local.hello.name, local);
    publish_logging();
    gauge!("hyssoppost_runs_here").set(meter::count(kernel.runs()));
    gauge!("hyssoppost_upstream_rate").set(f64::from(kernel.rate()) / 1e3);
    gauge!("hyssoppost_room_mcpu").set(f64::from(kernel.free().cpu));
    counter!("hyssoppost_upstream_lives_total").absolute(kernel.stats().restarts);
    counter!("hyssoppost_runs_foreign_total").absolute(kernel.stats().foreign);
}

fn publish_logging() {
    counter!("hyssoppost_log_lines_dropped_total").absolute(logging::dropped());
}
