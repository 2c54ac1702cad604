//! Refusal of jobs by what is known before their bodies are parsed.

use super::REFUSAL_LATENESS;
use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    time::Duration,
};

/// Least pause before a refused customer may submit its job again.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest such pause, before it is lengthened at random: forecasts average over
/// about a second and say little about what comes later than this.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Factor up to which the pause is lengthened at random. `Retry-After` has whole
/// seconds, so a factor of two would give all customers the same two seconds.
const RETRY_SPREAD: f64 = 3.0;

/// Number of times that a job passes the event loop before its answer: on arrival,
/// for a claim and for the end of a run.
const PASSES: u32 = 3;

/// Parts into which the credit for one job is divided.
const UNITS_PER_JOB: u32 = 1_000;

/// Time for which unused credit is kept.
const MAX_CREDIT: Duration = Duration::from_millis(200);

/// What is known of a queue while the loop is late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lane {
    /// Host name of the requests that belong to the queue.
    pub host: String,
    /// Path prefix of the requests that belong to the queue.
    pub prefix: String,
    /// Name of the queue.
    pub name: String,
    /// Expected wait of a new job for free resources.
    pub wait: Duration,
}

/// What is known of a job before its body is parsed.
#[derive(Debug, Clone, Copy)]
pub struct Unread<'a> {
    /// Host name of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Time that the customer waits for the answer.
    pub patience: Duration,
}

/// A refusal of a job that has not been parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Name of the job's queue.
    pub queue: String,
    /// Expected wait for free resources, and for the loop.
    pub wait: Duration,
    /// Pause after which the customer may submit the job again.
    pub retry_after: Duration,
}

/// The loop's state as the customers' interface sees it. Refuses nothing by
/// default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gate {
    closed: Option<Closed>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Closed {
    lateness: Duration,
    drained_in: Duration,
    lanes: Vec<Lane>,
}

impl Gate {
    /// Makes a gate that refuses jobs. `drained_in` is the time after which the
    /// present backlog has likely been served.
    pub fn closed(lateness: Duration, drained_in: Duration, lanes: Vec<Lane>) -> Self {
        Self {
            closed: Some(Closed {
                lateness,
                drained_in,
                lanes,
            }),
        }
    }

    /// Returns whether the gate refuses jobs.
    pub fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    /// Decides on a job of which no more is known than its request's address, and
    /// that has waited for `waited`. `jitter` is a random number from 0 to 1.
    pub fn refusal(
        &self,
        request: &Unread<'_>,
        waited: Duration,
        credit: &Credit,
        jitter: f64,
    ) -> Option<Refused> {
        let closed = self.closed.as_ref()?;
        // Without a queue the dispatcher answers, which needs no further work.
        let lane = closed.lane(request.host, request.path)?;
        let wait = lane.wait + closed.lateness * PASSES;
        let hopeless = waited + wait >= request.patience;
        if !hopeless && waited < REFUSAL_LATENESS && credit.take() {
            return None;
        }
        Some(Refused {
            queue: lane.name.clone(),
            wait,
            retry_after: retry_after(closed.drained_in.max(REFUSAL_LATENESS), jitter),
        })
    }
}

impl Closed {
    fn lane(&self, host: &str, path: &str) -> Option<&Lane> {
        let name = host.split(':').next().unwrap_or_default();
        let of_host = |lane: &&Lane| lane.host.eq_ignore_ascii_case(name);
        let lanes = self.lanes.iter().filter(of_host);
        lanes
            .filter(|lane| path.starts_with(lane.prefix.as_str()))
            .max_by_key(|lane| lane.prefix.len())
    }
}

/// Returns a pause of at least `drained_in`, spread so that the refused customers
/// do not come back together.
fn retry_after(drained_in: Duration, jitter: f64) -> Duration {
    let least = drained_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    least.mul_f64(1.0 + jitter.clamp(0.0, 1.0) * (RETRY_SPREAD - 1.0))
}

/// Jobs that may be admitted while the loop is late.
#[derive(Debug, Default)]
pub struct Credit {
    /// In thousandths of a job.
    jobs: AtomicU32,
    /// Whether a job was refused for want of credit since this was last asked.
    short: AtomicBool,
}

impl Credit {
    /// Takes the credit for one job; returns whether there was enough.
    fn take(&self) -> bool {
        let spend = |jobs: u32| jobs.checked_sub(UNITS_PER_JOB);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        let admitted = self.jobs.fetch_update(set, fetch, spend).is_ok();
        if !admitted {
            self.short.store(true, Ordering::Relaxed);
        }
        admitted
    }

    /// Returns whether credit was short since the last call.
    pub(super) fn take_shortage(&self) -> bool {
        self.short.swap(false, Ordering::Relaxed)
    }

    /// Adds the credit of a `passed` time at a `rate` of jobs a second. No more is
    /// kept than that of [`MAX_CREDIT`], so that a quiet time is no licence for a
    /// burst.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    pub(super) fn refill(&self, rate: f64, passed: Duration) {
        let units = rate * f64::from(UNITS_PER_JOB);
        let limit = (units * MAX_CREDIT.as_secs_f64()).clamp(f64::from(UNITS_PER_JOB), 1e9) as u32;
        let added = (units * passed.as_secs_f64()).clamp(0.0, 1e9) as u32;
        let add = |jobs: u32| Some(jobs.saturating_add(added).min(limit));
        // The update never fails, since `add` always returns a value.
        let _ = self
            .jobs
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}
