//! Jobs in a site's shape, submitted at random times.

use super::plan::{Kind, Plan};
use crate::client::{Client, Job};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::time::{Duration, Instant};

/// Longest a job of the lab may take, in milliseconds.
const DEADLINE_MS: i64 = 30_000;

/// A job to submit, and how well it could do.
#[derive(Debug, Clone)]
pub struct Item {
    /// When, from the start of the run.
    pub at: Duration,
    /// The job, without a ticket.
    pub job: Job,
    /// Whether its kind is repeatable.
    pub repeatable: bool,
    /// Response time with every slot free: the longest task, one round trip
    /// between customer and entry and one between domains.
    pub ideal: Duration,
    /// Work of all tasks together.
    pub work: Duration,
}

/// What became of a job.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// When it was submitted, from the start of the run.
    pub at: Duration,
    /// When it ended, from the start of the run.
    pub ended: Duration,
    /// Response time.
    pub took: Duration,
    /// See [`Item::ideal`].
    pub ideal: Duration,
    /// See [`Item::work`].
    pub work: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Result code's number; `None` if the connection failed.
    pub code: Option<u16>,
    /// Whether the answer holds every task's own answer, in order.
    pub whole: bool,
}

impl Outcome {
    /// Describes a job whose answer never came.
    pub fn lost(item: &Item, start: Instant) -> Self {
        Self {
            at: item.at,
            ended: start.elapsed(),
            took: Duration::ZERO,
            ideal: item.ideal,
            work: item.work,
            tasks: item.job.tasks.len(),
            code: None,
            whole: false,
        }
    }
}

/// How much load to make, and how it is disturbed.
#[derive(Debug, Clone)]
pub struct Load {
    /// Share of the slots that the jobs keep busy.
    pub share: f64,
    /// Time over which jobs are submitted.
    pub length: Duration,
    /// Share of tasks that take `straggler_factor` times as long.
    pub stragglers: f64,
    /// How much longer stragglers take.
    pub straggler_factor: f64,
    /// Share of jobs whose tasks always fail.
    pub poison: f64,
    /// Start, length and factor of a burst.
    pub burst: Option<Burst>,
    /// Seed.
    pub seed: u64,
}

/// A time of higher load.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// Start.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Times the ordinary load.
    pub factor: f64,
}

impl Load {
    /// Steady load without disturbance.
    pub fn steady(share: f64, length: Duration, seed: u64) -> Self {
        Self {
            share,
            length,
            stragglers: 0.0,
            straggler_factor: 1.0,
            poison: 0.0,
            burst: None,
            seed,
        }
    }

    /// Draws the jobs of a run, in the order of their submission.
    pub fn draw(&self, plan: &Plan) -> Vec<Item> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let slots = f64::from(u32::try_from(plan.total_slots()).unwrap_or(u32::MAX));
        let interval = mean_work(plan) / (slots * self.share);
        let mut at = 0.0;
        let mut items = Vec::new();
        loop {
            let factor = self.factor(Duration::from_secs_f64(at));
            at -= random.random::<f64>().max(f64::MIN_POSITIVE).ln() * interval / factor;
            let time = Duration::from_secs_f64(at);
            if time >= self.length {
                return items;
            }
            let number = items.len();
            items.push(self.draw_job(plan, time, number, &mut random));
        }
    }

    fn factor(&self, at: Duration) -> f64 {
        match self.burst {
            Some(burst) if at >= burst.at && at < burst.at + burst.length => burst.factor,
            _ => 1.0,
        }
    }

    fn draw_job(&self, plan: &Plan, at: Duration, number: usize, random: &mut SmallRng) -> Item {
        let kind = draw_kind(plan, random);
        let count = random.random_range(kind.tasks.0..=kind.tasks.1);
        let poison = random.random_bool(self.poison);
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
            if poison {
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
        let trips = (plan.customer_delay + plan.domain_delay) * 2;
        Item {
            at,
            job,
            repeatable: kind.repeatable,
            ideal: Duration::from_secs_f64(longest / 1e3) + trips,
            work: Duration::from_secs_f64(work / 1e3),
        }
    }
}

/// Submits a job and compares its answer with its tasks.
pub async fn submit(
    client: &Client,
    item: &Item,
    ticket: Option<String>,
    start: Instant,
) -> Outcome {
    let job = Job {
        ticket,
        ..item.job.clone()
    };
    let begun = Instant::now();
    let answer = client.submit(&job).await;
    let took = begun.elapsed();
    let whole = answer.as_ref().is_ok_and(|answer| {
        answer.answers.len() == job.tasks.len()
            && job.tasks.iter().zip(&answer.answers).all(|(task, answer)| {
                let expected = format!("\"task\":{}", task["task"]);
                answer.get().contains(&expected)
            })
    });
    Outcome {
        at: item.at,
        ended: start.elapsed(),
        took,
        ideal: item.ideal,
        work: item.work,
        tasks: job.tasks.len(),
        code: answer.ok().map(|answer| answer.code),
        whole,
    }
}

/// Returns the mean work of a job, in seconds.
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
    let mut left: f64 = random.random();
    for kind in &plan.kinds {
        left -= kind.share;
        if left < 0.0 {
            return kind;
        }
    }
    &plan.kinds[plan.kinds.len() - 1]
}

fn draw_run_ms(kind: &Kind, random: &mut SmallRng) -> f64 {
    let (low, high) = kind.run_ms;
    low * (high / low).powf(random.random())
}
