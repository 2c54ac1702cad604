//! Generates random jobs for a site and submits them.

use super::plan::{Kind, Plan};
use crate::client::{Client, Job};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::time::{Duration, Instant};

/// Deadline of every job, in milliseconds from its submission.
const DEADLINE_MS: i64 = 30_000;

/// A job with its submission time and its ideal response time.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Submission time from the start of the run.
    pub at: Duration,
    /// The job, without a ticket.
    pub job: Job,
    /// Whether its kind is repeatable, so that it needs no ticket.
    pub repeatable: bool,
    /// Response time if all slots were free: the longest task, one round trip
    /// between customer and entry and one between domains.
    pub ideal: Duration,
    /// Sum of the run times of its tasks.
    pub work: Duration,
}

/// How a job ended.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Planned submission time from the start of the run.
    pub at: Duration,
    /// Time of the answer or failure from the start of the run.
    pub ended: Duration,
    /// Time from the last submission to the answer.
    pub response_time: Duration,
    /// Same as [`Arrival::ideal`].
    pub ideal: Duration,
    /// Same as [`Arrival::work`].
    pub work: Duration,
    /// Number of tasks of the job.
    pub tasks: usize,
    /// Number of the result code; `None` if there was no answer.
    pub code: Option<u16>,
    /// Whether the answer contains the right answer for each task, in order.
    pub correct: bool,
}

impl Outcome {
    /// Returns the outcome of a job that was never answered.
    pub fn unanswered(arrival: &Arrival, start: Instant) -> Self {
        Self {
            at: arrival.at,
            ended: start.elapsed(),
            response_time: Duration::ZERO,
            ideal: arrival.ideal,
            work: arrival.work,
            tasks: arrival.job.tasks.len(),
            code: None,
            correct: false,
        }
    }
}

/// Parameters of the generated jobs.
#[derive(Debug, Clone)]
pub struct Load {
    /// Mean share of the slots that the jobs keep busy.
    pub share: f64,
    /// Time over which jobs are submitted.
    pub length: Duration,
    /// Share of the tasks that take `straggler_factor` times as long.
    pub stragglers: f64,
    /// Factor on the run time of stragglers.
    pub straggler_factor: f64,
    /// Share of the jobs whose tasks always fail.
    pub failing: f64,
    /// Interval of higher load, if any.
    pub burst: Option<Burst>,
    /// Seed of the random jobs; the same seed gives the same jobs.
    pub seed: u64,
}

/// An interval of higher load.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// Start, from the start of the run.
    pub at: Duration,
    /// Duration of the burst.
    pub length: Duration,
    /// Factor on the rate of submissions.
    pub factor: f64,
}

impl Load {
    /// Returns a constant load without stragglers, failing jobs or bursts.
    pub fn steady(share: f64, length: Duration, seed: u64) -> Self {
        Self {
            share,
            length,
            stragglers: 0.0,
            straggler_factor: 1.0,
            failing: 0.0,
            burst: None,
            seed,
        }
    }

    /// Generates the jobs of a run, in the order of their submission.
    pub fn draw(&self, plan: &Plan) -> Vec<Arrival> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let slots = f64::from(u32::try_from(plan.total_slots()).unwrap_or(u32::MAX));
        let interval = mean_work(plan) / (slots * self.share);
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let factor = self.factor(Duration::from_secs_f64(at));
            at -= random.random::<f64>().max(f64::MIN_POSITIVE).ln() * interval / factor;
            let time = Duration::from_secs_f64(at);
            if time >= self.length {
                return arrivals;
            }
            let number = arrivals.len();
            arrivals.push(self.draw_job(plan, time, number, &mut random));
        }
    }

    fn factor(&self, at: Duration) -> f64 {
        match self.burst {
            Some(burst) if at >= burst.at && at < burst.at + burst.length => burst.factor,
            _ => 1.0,
        }
    }

    fn draw_job(&self, plan: &Plan, at: Duration, number: usize, random: &mut SmallRng) -> Arrival {
        let kind = draw_kind(plan, random);
        let count = random.random_range(kind.tasks.0..=kind.tasks.1);
        let failing = random.random_bool(self.failing);
        let mut longest = 0.0_f64;
        let mut work = 0.0;
        let tasks = (0..count).map(|index| {
            let mut ms = draw_run_ms(kind, random);
            if random.random_bool(self.stragglers) {
                ms *= self.straggler_factor;
            }
            longest = longest.max(ms);
            work += ms;
            let mut task = json!({ "task": format!("{}-{number}-{index}", self.seed), "ms": ms });
            if failing {
                task["fail"] = true.into();
            }
            task
        });
        let job = Job {
            service: plan.service.clone(),
            ticket: None,
            kind: kind.name.to_owned(),
            team: None,
            deadline_ms: Some(DEADLINE_MS),
            tasks: tasks.collect(),
        };
        let round_trips = (plan.customer_delay + plan.domain_delay) * 2;
        Arrival {
            at,
            job,
            repeatable: kind.repeatable,
            ideal: Duration::from_secs_f64(longest / 1e3) + round_trips,
            work: Duration::from_secs_f64(work / 1e3),
        }
    }
}

/// Submits a job and checks its answer against its tasks.
pub async fn submit(
    client: &Client,
    arrival: &Arrival,
    ticket: Option<String>,
    start: Instant,
) -> Outcome {
    let job = Job {
        ticket,
        ..arrival.job.clone()
    };
    let started = Instant::now();
    let answer = client.submit(&job).await;
    let response_time = started.elapsed();
    let correct = answer.as_ref().is_ok_and(|answer| {
        answer.answers.len() == job.tasks.len()
            && job.tasks.iter().zip(&answer.answers).all(|(task, answer)| {
                let expected = format!("\"task\":{}", task["task"]);
                answer.get().contains(&expected)
            })
    });
    Outcome {
        at: arrival.at,
        ended: start.elapsed(),
        response_time,
        ideal: arrival.ideal,
        work: arrival.work,
        tasks: job.tasks.len(),
        code: answer.ok().map(|answer| answer.code),
        correct,
    }
}

/// Returns the mean sum of a job's run times, in seconds.
fn mean_work(plan: &Plan) -> f64 {
    let mean = |kind: &Kind| {
        let tasks = f64::from(kind.tasks.0 + kind.tasks.1) / 2.0;
        // The run time is log-uniform between its bounds.
        let (low, high) = kind.run_ms;
        let run = (high - low) / (high / low).ln();
        kind.share * tasks * run / 1e3
    };
    plan.kinds.iter().map(mean).sum()
}

fn draw_kind<'a>(plan: &'a Plan, random: &mut SmallRng) -> &'a Kind {
    let mut remaining: f64 = random.random();
    for kind in &plan.kinds {
        remaining -= kind.share;
        if remaining < 0.0 {
            return kind;
        }
    }
    &plan.kinds[plan.kinds.len() - 1]
}

fn draw_run_ms(kind: &Kind, random: &mut SmallRng) -> f64 {
    let (low, high) = kind.run_ms;
    low * (high / low).powf(random.random())
}
