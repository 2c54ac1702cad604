//! What happens on a day: hosts, and jobs with their true run times.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Spread of run times about their mean, and of estimates about run times, as
/// the standard deviation of the logarithm.
const RUN_SPREAD: f64 = 0.4;
const ESTIMATE_SPREAD: f64 = 0.3;

/// Largest run time against the mean.
const LONGEST: f64 = 4.0;

/// Factor on the run time in the objective, and time beside it.
pub const SLACK: f64 = 1.6;
/// See [`SLACK`].
pub const TARGET: Duration = Duration::from_millis(60);

/// Factor on the objective beyond which an answer is of no use.
pub const USEFUL: u32 = 3;

/// Time that customers wait beyond the last useful moment.
const BEYOND: Duration = Duration::from_millis(1_500);

/// Processor of a task, in thousandths of a core.
pub const CPU: u32 = 5_000;

/// Size of a host, in thousandths of a core.
pub const CAPACITY: u32 = 64_000;

/// Time that hosts take against the fastest, in turn.
const SPEEDS: [f64; 3] = [1.0, 1.0, 1.3];

/// A kind of job: short and wide, middling, long.
struct Kind {
    tasks: u16,
    mean_ms: f64,
    priority: u8,
    /// Share of the jobs.
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

/// How large a day is, and what goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Hosts.
    pub hosts: usize,
    /// Entries.
    pub entries: usize,
    /// Work that arrives, as a share of what the hosts can do.
    pub load: f64,
    /// Factor on the arrivals in the second quarter of the day.
    pub burst: f64,
    /// Share of the hosts that are lost for the third quarter.
    pub lost: f64,
    /// Time over which jobs arrive.
    pub length: Duration,
    /// Seed.
    pub seed: u64,
}

/// One job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Arrival.
    pub at: Duration,
    /// Tasks, all of [`CPU`].
    pub tasks: u16,
    /// Run time of each on the fastest host.
    pub run: Duration,
    /// Run time that the customer states.
    pub estimate: Duration,
    /// 0 comes first.
    pub priority: u8,
    /// Work, in core-seconds.
    pub work: f64,
}

impl Job {
    /// Returns when the objective is missed.
    pub fn due(&self) -> Duration {
        self.at + self.run.mul_f64(SLACK) + TARGET
    }

    /// Returns when an answer is of no use any more.
    pub fn useless(&self) -> Duration {
        self.at + (self.run.mul_f64(SLACK) + TARGET) * USEFUL
    }

    /// Returns how long the customer waits.
    pub fn patience(&self) -> Duration {
        let objective = self.estimate.mul_f64(SLACK) + TARGET;
        objective * USEFUL + BEYOND
    }
}

/// A day.
#[derive(Debug, Clone)]
pub struct Day {
    /// How it was made.
    pub shape: Shape,
    /// Time that each host takes against the fastest.
    pub speeds: Vec<f64>,
    /// Jobs in the order of arrival.
    pub jobs: Vec<Job>,
}

impl Day {
    /// Draws a day.
    pub fn new(shape: Shape) -> Self {
        let mut random = SmallRng::seed_from_u64(shape.seed);
        let speeds: Vec<f64> = SPEEDS.iter().copied().cycle().take(shape.hosts).collect();
        let power: f64 = speeds.iter().map(|speed| cores(CAPACITY) / speed).sum();
        let mean: f64 = KINDS
            .iter()
            .map(|kind| kind.share * f64::from(kind.tasks) * kind.mean_ms / 1e3 * cores(CPU))
            .sum();
        let rate = power * shape.load / mean;
        let (mut jobs, mut at) = (Vec::new(), 0.0);
        let length = shape.length.as_secs_f64();
        loop {
            let burst = (length / 4.0..length / 2.0).contains(&at);
            let rate = if burst { rate * shape.burst } else { rate };
            at -= (1.0 - random.random::<f64>()).ln() / rate;
            if at >= length {
                return Self {
                    shape,
                    speeds,
                    jobs,
                };
            }
            jobs.push(draw(&mut random, Duration::from_secs_f64(at)));
        }
    }

    /// Returns whether a host is lost.
    pub fn is_lost(&self, host: usize, now: Duration) -> bool {
        let length = self.shape.length;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a share of a few hosts"
        )]
        let lost = (self.shape.hosts as f64 * self.shape.lost) as usize;
        host < lost && now >= length / 2 && now < length * 3 / 4
    }
}

fn draw(random: &mut SmallRng, at: Duration) -> Job {
    let mut left: f64 = random.random();
    let kind = KINDS
        .iter()
        .find(|kind| {
            left -= kind.share;
            left < 0.0
        })
        .unwrap_or(&KINDS[0]);
    let run = kind.mean_ms * spread(random, RUN_SPREAD).min(LONGEST);
    let estimate = run * spread(random, ESTIMATE_SPREAD);
    Job {
        at,
        tasks: kind.tasks,
        run: Duration::from_secs_f64(run / 1e3),
        estimate: Duration::from_secs_f64(estimate / 1e3),
        priority: kind.priority,
        work: f64::from(kind.tasks) * run / 1e3 * cores(CPU),
    }
}

/// Draws a factor of mean 1.
fn spread(random: &mut SmallRng, deviation: f64) -> f64 {
    let (u, v): (f64, f64) = (1.0 - random.random::<f64>(), random.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (normal * deviation - deviation * deviation / 2.0).exp()
}

fn cores(thousandths: u32) -> f64 {
    f64::from(thousandths) / 1e3
}
