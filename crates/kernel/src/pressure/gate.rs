//! Refusal of jobs by what is known before their bodies are parsed.

use super::REFUSAL_LATENESS;
use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

/// Least pause before a refused customer may submit its job again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest such pause, before it is lengthened at random: forecasts average over
/// about a second and say little about what comes later than this.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Factor up to which the pause is lengthened at random. `Retry-After` has whole
/// seconds, so a factor of two would give all customers the same two seconds.
const RETRY_SPREAD: f64 = 3.0;

/// Number of times that a job passes the event loop before its answer: on arrival,
/// for a claim and for the end of a run.
const PASSES: u32 = 3;

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
    admitted_per_mille: u32,
    drained_in: Duration,
    lanes: Vec<Lane>,
}

impl Gate {
    /// Makes a gate that refuses jobs. `drained_in` is the time after which the
    /// present backlog has likely been served.
    pub fn closed(
        lateness: Duration,
        admitted_per_mille: u32,
        drained_in: Duration,
        lanes: Vec<Lane>,
    ) -> Self {
        Self {
            closed: Some(Closed {
                lateness,
                admitted_per_mille,
                drained_in,
                lanes,
            }),
        }
    }

    /// Returns whether the gate refuses jobs.
    pub fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    /// Decides on a job of which the path and the time that its customer waits are
    /// known. `jitter` is a random number from 0 to 1.
    pub fn refusal(
        &self,
        host: &str,
        path: &str,
        patience: Option<Duration>,
        credit: &Credit,
        jitter: f64,
    ) -> Option<Refused> {
        let closed = self.closed.as_ref()?;
        // Without a queue the dispatcher answers, which needs no further work.
        let lane = closed.lane(host, path)?;
        let wait = lane.wait + closed.lateness * PASSES;
        let hopeless = patience.is_some_and(|patience| patience <= wait);
        if !hopeless && credit.take(closed.admitted_per_mille) {
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

/// Admits a given share of jobs, evenly spread among them.
#[derive(Debug, Default)]
pub struct Credit(AtomicU32);

impl Credit {
    /// Adds the share of one job; returns whether the job is admitted.
    fn take(&self, per_mille: u32) -> bool {
        let share = per_mille.min(1_000);
        // The counter wraps at a multiple of 1,000 only by chance; that misjudges
        // one job.
        let before = self.0.fetch_add(share, Ordering::Relaxed);
        before % 1_000 + share >= 1_000
    }
}
