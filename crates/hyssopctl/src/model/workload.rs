//! Generates the hosts and the jobs of a simulation.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Log-normal distributions of run times relative to the kind's mean, and of
/// estimates relative to the run time: standard deviation of the logarithm.
const RUN_TIME_DEVIATION: f64 = 0.4;
const ESTIMATE_DEVIATION: f64 = 0.3;

/// Run times are capped at this multiple of the kind's mean.
const MAX_RUN_TIME_FACTOR: f64 = 4.0;

/// The objective is the run time times this factor, plus [`OBJECTIVE_MARGIN`].
pub const OBJECTIVE_FACTOR: f64 = 1.6;

/// Constant part of the objective.
pub const OBJECTIVE_MARGIN: Duration = Duration::from_millis(60);

/// An answer is useless after this multiple of the objective.
pub const USEFUL_FACTOR: u32 = 3;

/// Time for which customers wait beyond the end of an answer's usefulness.
const PATIENCE_MARGIN: Duration = Duration::from_millis(1_500);

/// Processor need of a task, in thousandths of a core.
pub const TASK_MCPU: u32 = 5_000;

/// Processor capacity of a host, in thousandths of a core.
pub const HOST_MCPU: u32 = 64_000;

/// Run time relative to the fastest host, assigned to the hosts in rotation.
const SLOWDOWNS: [f64; 3] = [1.0, 1.0, 1.3];

/// Distribution of one kind of job.
struct Kind {
    tasks: u16,
    mean_ms: f64,
    priority: u8,
    /// Share of all jobs; the shares add up to 1.
    share: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        tasks: 8,
        mean_ms: 60.0,
        priority: 0,
        share: 0.25,
    },
    Kind {
        tasks: 2,
        mean_ms: 200.0,
        priority: 1,
        share: 0.70,
    },
    Kind {
        tasks: 4,
        mean_ms: 900.0,
        priority: 2,
        share: 0.05,
    },
];

/// Size of a simulation, and its disturbances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Parameters {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of entries.
    pub entries: usize,
    /// Arriving work as a share of the hosts' capacity.
    pub load: f64,
    /// Factor on the rate of arrivals in the second quarter.
    pub burst: f64,
    /// Share of the hosts that are down in the third quarter, from 0 to 1.
    pub lost: f64,
    /// Time over which jobs arrive.
    pub length: Duration,
    /// Seed of the random jobs and of the entries.
    pub seed: u64,
}

/// A job, with times that the product does not know in advance.
#[derive(Debug, Clone)]
pub struct Job {
    /// Arrival from the start of the workload.
    pub at: Duration,
    /// Number of tasks, each with a need of [`TASK_MCPU`].
    pub tasks: u16,
    /// Run time of each task on the fastest host.
    pub run: Duration,
    /// Run time as estimated by the customer.
    pub estimate: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Work, in core-seconds.
    pub work: f64,
}

impl Job {
    /// Returns the time after which the objective is missed.
    pub fn due(&self) -> Duration {
        self.at + self.run.mul_f64(OBJECTIVE_FACTOR) + OBJECTIVE_MARGIN
    }

    /// Returns the time after which an answer is useless.
    pub fn useful_until(&self) -> Duration {
        self.at + (self.run.mul_f64(OBJECTIVE_FACTOR) + OBJECTIVE_MARGIN) * USEFUL_FACTOR
    }

    /// Returns how long the customer waits, which depends on the estimate.
    pub fn patience(&self) -> Duration {
        let objective = self.estimate.mul_f64(OBJECTIVE_FACTOR) + OBJECTIVE_MARGIN;
        objective * USEFUL_FACTOR + PATIENCE_MARGIN
    }
}

/// Hosts and jobs of a simulation.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Parameters from which it was generated.
    pub parameters: Parameters,
    /// Run time at each host relative to the fastest.
    pub slowdowns: Vec<f64>,
    /// Jobs in order of arrival.
    pub jobs: Vec<Job>,
}

impl Workload {
    /// Generates a workload; the same parameters give the same one.
    pub fn new(parameters: Parameters) -> Self {
        let mut random = SmallRng::seed_from_u64(parameters.seed);
        let slowdowns: Vec<f64> = SLOWDOWNS
            .iter()
            .copied()
            .cycle()
            .take(parameters.hosts)
            .collect();
        let capacity: f64 = slowdowns
            .iter()
            .map(|slowdown| cores(HOST_MCPU) / slowdown)
            .sum();
        let mean: f64 = KINDS
            .iter()
            .map(|kind| kind.share * f64::from(kind.tasks) * kind.mean_ms / 1e3 * cores(TASK_MCPU))
            .sum();
        let rate = capacity * parameters.load / mean;
        let (mut jobs, mut at) = (Vec::new(), 0.0);
        let length = parameters.length.as_secs_f64();
        loop {
            let burst = (length / 4.0..length / 2.0).contains(&at);
            let rate = if burst { rate * parameters.burst } else { rate };
            at -= (1.0 - random.random::<f64>()).ln() / rate;
            if at >= length {
                return Self {
                    parameters,
                    slowdowns,
                    jobs,
                };
            }
            jobs.push(draw(&mut random, Duration::from_secs_f64(at)));
        }
    }

    /// Returns whether a host is down.
    pub fn is_lost(&self, host: usize, now: Duration) -> bool {
        let length = self.parameters.length;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "the number of hosts is small"
        )]
        let lost = (self.parameters.hosts as f64 * self.parameters.lost) as usize;
        host < lost && now >= length / 2 && now < length * 3 / 4
    }
}

fn draw(random: &mut SmallRng, at: Duration) -> Job {
    let mut remaining: f64 = random.random();
    let kind = KINDS
        .iter()
        .find(|kind| {
            remaining -= kind.share;
            remaining < 0.0
        })
        .unwrap_or(&KINDS[0]);
    let run = kind.mean_ms * draw_factor(random, RUN_TIME_DEVIATION).min(MAX_RUN_TIME_FACTOR);
    let estimate = run * draw_factor(random, ESTIMATE_DEVIATION);
    Job {
        at,
        tasks: kind.tasks,
        run: Duration::from_secs_f64(run / 1e3),
        estimate: Duration::from_secs_f64(estimate / 1e3),
        priority: kind.priority,
        work: f64::from(kind.tasks) * run / 1e3 * cores(TASK_MCPU),
    }
}

/// Draws a log-normal factor with a mean of 1.
fn draw_factor(random: &mut SmallRng, deviation: f64) -> f64 {
    let (u, v): (f64, f64) = (1.0 - random.random::<f64>(), random.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (normal * deviation - deviation * deviation / 2.0).exp()
}

fn cores(thousandths: u32) -> f64 {
    f64::from(thousandths) / 1e3
}
