//! Log lines and metrics derived from a kernel's events.

use crate::{admin::FORECAST_ERROR, link::Local, logging, meter};
use hashbrown::HashMap;
use kernel::{
    accuracy::{Level, Outcome, Settlement},
    dispatch::{Dispatcher, Phase, Reason},
    event::{Event, Severity},
    guard::Guard,
    millis,
    pressure::{Pressure, SAMPLING_FACTOR},
};
use metrics::{Counter, Histogram, counter, gauge, histogram};
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
    /// Whether routine events of fewer jobs are logged.
    samples_less: bool,
    /// Notable events that may still be logged in the current second.
    remaining: u32,
    refilled: Instant,
    suppressed: u64,
    metrics: Metrics,
}

impl Recorder {
    pub(super) fn new(sample: u64) -> Self {
        Self {
            sample: sample.max(1),
            samples_less: false,
            remaining: MAX_NOTABLE_PER_SECOND,
            refilled: Instant::now(),
            suppressed: 0,
            metrics: Metrics::default(),
        }
    }

    /// Sets whether the routine events of one job in [`SAMPLING_FACTOR`] times as
    /// many are logged.
    pub(super) fn sample_less(&mut self, less: bool) {
        self.samples_less = less;
    }

    pub(super) fn observe(&mut self, event: &Event) {
        self.metrics.update(event);
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
        let sample = if self.samples_less {
            self.sample.saturating_mul(SAMPLING_FACTOR)
        } else {
            self.sample
        };
        hash.is_none_or(|hash| hash % sample == 0)
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

/// Handles of the metrics that events update. Each is registered when it is first
/// used, so that only what has happened is listed, and then kept: a registration
/// formats and hashes the name and the labels.
#[derive(Debug, Default)]
struct Metrics {
    queues: HashMap<String, QueueMetrics>,
    runs: Vec<(Ending, RunMetrics)>,
    refusal_seconds: Option<Histogram>,
    run_wait: Option<Histogram>,
    /// Counters without labels, by name.
    plain: Vec<(&'static str, Counter)>,
}

#[derive(Debug, Default)]
struct QueueMetrics {
    accepted: Option<Counter>,
    given_up: Option<Counter>,
    objective_ratio: Option<Histogram>,
    outcomes: Vec<(&'static str, Counter, Histogram)>,
    /// By reason, and whether the refusal was sent at once.
    refused: Vec<(Reason, bool, Counter)>,
    admissions: Vec<(Level, Outcome, Counter)>,
    forecast_errors: Vec<(Level, Histogram)>,
    /// By whether the refusal was wrong.
    judged: Vec<(bool, Counter)>,
}

#[derive(Debug)]
struct RunMetrics {
    count: Counter,
    seconds: Histogram,
    work: Option<Counter>,
}

impl Metrics {
    fn update(&mut self, event: &Event) {
        match event {
            Event::Accepted { queue, .. } => {
                let register =
                    || counter!("hyssoppost_jobs_accepted_total", "queue" => queue.clone());
                let metrics = self.queue(queue);
                metrics.accepted.get_or_insert_with(register).increment(1);
            }
            Event::Refused {
                queue, reason, age, ..
            } => {
                self.queue(queue)
                    .count_refusal(queue, *reason, age.is_zero());
                self.refusal_seconds
                    .get_or_insert_with(|| histogram!("hyssoppost_refusal_seconds"))
                    .record(age.as_secs_f64());
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
                let metrics = self.queue(queue);
                metrics.count_answer(queue, outcome, *response_time, *objective);
            }
            Event::GivenUp { queue, .. } => {
                let register =
                    || counter!("hyssoppost_jobs_given_up_total", "queue" => queue.clone());
                let metrics = self.queue(queue);
                metrics.given_up.get_or_insert_with(register).increment(1);
            }
            Event::Settled {
                queue, settlement, ..
            } => self.queue(queue).record_settlement(queue, settlement),
            Event::RefusalJudged(judgement) => {
                let queue = &judgement.queue;
                self.queue(queue)
                    .count_judgement(queue, judgement.is_wrong());
            }
            Event::Culprit { .. } => self.count("hyssoppost_culprits_total"),
            Event::QueueConfined { .. } => self.count("hyssoppost_confinements_total"),
            Event::DeparturesLate { .. } => self.count("hyssoppost_departures_late_total"),
            Event::RenewalLate { .. } => self.count("hyssoppost_renewals_late_total"),
            Event::Abandoned { .. } => self.count("hyssoppost_jobs_abandoned_total"),
            Event::HeldElsewhere { .. } => self.count("hyssoppost_jobs_held_elsewhere_total"),
            Event::LetGo { .. } => self.count("hyssoppost_jobs_let_go_total"),
            Event::JobForwarded { .. } => self.count("hyssoppost_jobs_forwarded_total"),
            Event::JobTakenOver { .. } => self.count("hyssoppost_jobs_taken_over_total"),
            Event::ForwardLost { .. } => self.count("hyssoppost_forwards_lost_total"),
            Event::ForwarderLost { jobs, .. } => {
                self.add("hyssoppost_forwarded_jobs_dropped_total", (*jobs).into());
            }
            _ => self.update_runs(event),
        }
    }

    fn update_runs(&mut self, event: &Event) {
        match event {
            Event::Placed { waited, .. } => self
                .run_wait
                .get_or_insert_with(|| histogram!("hyssoppost_run_wait_seconds"))
                .record(waited.as_secs_f64()),
            Event::Ended {
                ending, spent, cpu, ..
            } => {
                let work = millis(*spent) * u64::from(*cpu) / 1_000;
                let metrics = self.count_run(*ending, *spent);
                let register = || counter!("hyssoppost_work_core_milliseconds_total", "ending" => ending_label(*ending));
                metrics.work.get_or_insert_with(register).increment(work);
            }
            Event::RunEnded { ending, spent, .. } => {
                self.count_run(*ending, *spent);
            }
            Event::Moved { .. } => self.count("hyssoppost_runs_moved_total"),
            Event::Ejected { .. } => self.count("hyssoppost_upstreams_aside_total"),
            Event::RateInvalid { .. } => self.count("hyssoppost_rates_invalid_total"),
            Event::RunUnanswered { .. } => self.count("hyssoppost_orders_unanswered_total"),
            Event::RunOrphaned { .. } => self.count("hyssoppost_runs_orphaned_total"),
            Event::StopUnanswered { .. } => self.count("hyssoppost_stops_unanswered_total"),
            Event::RunsLeft { runs, .. } => {
                self.add("hyssoppost_runs_left_total", u64::from(*runs));
            }
            Event::Suspended { .. } => self.count("hyssoppost_suspensions_total"),
            Event::DomainOut { .. } => self.count("hyssoppost_domain_changes_total"),
            Event::UpstreamCrashed { .. } => self.count("hyssoppost_upstream_crashes_total"),
            _ => {}
        }
    }

    fn queue(&mut self, name: &str) -> &mut QueueMetrics {
        self.queues.entry_ref(name).or_default()
    }

    fn count(&mut self, name: &'static str) {
        self.add(name, 1);
    }

    fn add(&mut self, name: &'static str, number: u64) {
        let known = self.plain.iter().position(|(known, _)| *known == name);
        let index = known.unwrap_or_else(|| {
            self.plain.push((name, counter!(name)));
            self.plain.len() - 1
        });
        self.plain[index].1.increment(number);
    }

    /// Counts the end of a run; returns the metrics of its ending.
    fn count_run(&mut self, ending: Ending, spent: Duration) -> &mut RunMetrics {
        let known = self.runs.iter().position(|(known, _)| *known == ending);
        let index = known.unwrap_or_else(|| {
            let label = ending_label(ending);
            let metrics = RunMetrics {
                count: counter!("hyssoppost_runs_total", "ending" => label.clone()),
                seconds: histogram!("hyssoppost_run_seconds", "ending" => label),
                work: None,
            };
            self.runs.push((ending, metrics));
            self.runs.len() - 1
        });
        let metrics = &mut self.runs[index].1;
        metrics.count.increment(1);
        metrics.seconds.record(spent.as_secs_f64());
        metrics
    }
}

impl QueueMetrics {
    fn count_refusal(&mut self, queue: &str, reason: Reason, at_once: bool) {
        let same = |known: &(Reason, bool, Counter)| (known.0, known.1) == (reason, at_once);
        let index = self.refused.iter().position(same).unwrap_or_else(|| {
            let labels = [
                ("queue", queue.to_owned()),
                ("reason", reason.to_string()),
                ("when", if at_once { "at_once" } else { "later" }.to_owned()),
            ];
            let counter = counter!("hyssoppost_jobs_refused_total", &labels);
            self.refused.push((reason, at_once, counter));
            self.refused.len() - 1
        });
        self.refused[index].2.increment(1);
    }

    fn record_settlement(&mut self, queue: &str, settlement: &Settlement) {
        let Settlement { level, outcome, .. } = *settlement;
        let same = |known: &(Level, Outcome, Counter)| (known.0, known.1) == (level, outcome);
        let index = self.admissions.iter().position(same).unwrap_or_else(|| {
            let labels = [
                ("queue", queue.to_owned()),
                ("level", level.to_string()),
                ("outcome", outcome.to_string()),
            ];
            let counter = counter!("hyssoppost_admissions_total", &labels);
            self.admissions.push((level, outcome, counter));
            self.admissions.len() - 1
        });
        self.admissions[index].2.increment(1);
        let Some(error_ms) = settlement.error_ms() else {
            return;
        };
        let same = |known: &(Level, Histogram)| known.0 == level;
        let known = self.forecast_errors.iter().position(same);
        let index = known.unwrap_or_else(|| {
            let labels = [("queue", queue.to_owned()), ("level", level.to_string())];
            let histogram = histogram!(FORECAST_ERROR, &labels);
            self.forecast_errors.push((level, histogram));
            self.forecast_errors.len() - 1
        });
        self.forecast_errors[index]
            .1
            .record(f64::from(error_ms) / 1e3);
    }

    fn count_judgement(&mut self, queue: &str, wrong: bool) {
        let known = self.judged.iter().position(|(known, _)| *known == wrong);
        let index = known.unwrap_or_else(|| {
            let labels = [
                ("queue", queue.to_owned()),
                ("verdict", if wrong { "wrong" } else { "right" }.to_owned()),
            ];
            let counter = counter!("hyssoppost_refusals_judged_total", &labels);
            self.judged.push((wrong, counter));
            self.judged.len() - 1
        });
        self.judged[index].1.increment(1);
    }

    fn count_answer(
        &mut self,
        queue: &str,
        outcome: &'static str,
        response_time: Duration,
        objective: Duration,
    ) {
        let known = self
            .outcomes
            .iter()
            .position(|(known, ..)| *known == outcome);
        let index = known.unwrap_or_else(|| {
            let labels = [("queue", queue.to_owned()), ("outcome", outcome.to_owned())];
            let count = counter!("hyssoppost_jobs_total", &labels);
            let seconds = histogram!("hyssoppost_job_seconds", &labels);
            self.outcomes.push((outcome, count, seconds));
            self.outcomes.len() - 1
        });
        let (_, count, seconds) = &self.outcomes[index];
        count.increment(1);
        seconds.record(response_time.as_secs_f64());
        let share = response_time.as_secs_f64() / objective.as_secs_f64().max(1e-3);
        self.objective_ratio
            .get_or_insert_with(
                || histogram!("hyssoppost_job_objective_ratio", "queue" => queue.to_owned()),
            )
            .record(share);
    }
}

fn ending_label(ending: Ending) -> String {
    match ending {
        Ending::NotRun(refusal) => format!("not_run_{refusal}"),
        Ending::Crashed(_) => ending.to_string().replace(':', "_"),
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
    gauge!("hyssoppost_job_bytes").set(meter::count(kernel.job_memory()));
    let confined = kernel.confined_queues().count();
    gauge!("hyssoppost_queues_confined").set(meter::count(confined));
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

/// Publishes how late an entry's event loop is.
pub(super) fn publish_pressure(pressure: &Pressure) {
    gauge!("hyssoppost_loop_lateness_seconds").set(pressure.lateness().as_secs_f64());
    let limit = pressure.rate_limit().unwrap_or_default();
    gauge!("hyssoppost_admission_limit").set(limit);
}

/// Publishes a side's gauges.
pub(super) fn publish_side(kernel: &Guard, local: &Local, now: Duration) {
    meter::publish(&local.hello.name, local);
    publish_logging();
    gauge!("hyssoppost_runs_here").set(meter::count(kernel.runs()));
    gauge!("hyssoppost_upstream_rate").set(f64::from(kernel.rate()) / 1e3);
    let availability_age = kernel.availability_age(now).as_secs_f64();
    gauge!("hyssoppost_availability_age_seconds").set(availability_age);
    gauge!("hyssoppost_room_mcpu").set(f64::from(kernel.free().cpu));
    counter!("hyssoppost_upstream_lives_total").absolute(kernel.stats().restarts);
    counter!("hyssoppost_runs_foreign_total").absolute(kernel.stats().foreign);
}

fn publish_logging() {
    counter!("hyssoppost_log_lines_dropped_total").absolute(logging::dropped());
}
