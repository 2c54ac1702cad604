//! Learnt speed of one host, relative to what is usual for the same kind of run at
//! all hosts.
//!
//! An entry knows the kind of a run and states with the start order how long the
//! run takes at a host of usual speed. The side divides that time by the measured
//! one. Single ratios are rough: estimates are off by a factor of 1.6, and one run
//! in thirty takes seven times as long for reasons of its own. [`Tracker`] therefore
//! bounds the influence of each.

use std::collections::VecDeque;

/// Rate of a host of usual speed, and of one of which nothing is known.
pub const USUAL_RATE: u16 = 1_000;

/// Lowest and highest rate that is sent or believed.
pub const MIN_RATE: u16 = 250;
/// See [`MIN_RATE`].
pub const MAX_RATE: u16 = 4_000;

/// Largest difference from the present value, as a natural logarithm, that one
/// observation counts with. It covers estimates that are off by a factor of 1.6
/// and cuts off runs that take seven times as long.
const MAX_DEVIATION: f64 = 0.5;

/// Number of observations over which a value is averaged. With estimates off by up
/// to 1.6 times the standard error is then about 2.5 %; a host that has become five
/// times slower is found late by its entries before its rate explains that.
const MEMORY: f64 = 96.0;

/// Number of jobs that the assumption of a usual speed counts for at the start.
const PRIOR_JOBS: f64 = 4.0;

/// Run time whose measurement counts half: some milliseconds of an order's and an
/// end's way are then as uncertain as the estimate.
const HALF_WEIGHT_MS: f64 = 20.0;

/// Number of the last jobs that are remembered, so that each counts once.
const REMEMBERED_JOBS: usize = 64;

/// Mean of the logarithms of noisy ratios, with bounded influence of each (Huber's
/// estimator as a recursion).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tracker {
    log: f64,
    weight: f64,
}

impl Tracker {
    /// Makes a tracker that starts at a ratio of 1 as if it had `weight`
    /// observations of it.
    pub(crate) fn new(weight: f64) -> Self {
        Self { log: 0.0, weight }
    }

    /// Adds a positive ratio, which counts as `weight` observations.
    pub(crate) fn observe(&mut self, ratio: f64, weight: f64) {
        let deviation = (ratio.ln() - self.log).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.weight = (self.weight + weight).min(MEMORY);
        self.log += deviation * weight / self.weight.max(weight);
    }

    /// Returns the ratio.
    pub(crate) fn ratio(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the number of observations, up to [`MEMORY`].
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }
}

/// Returns how much a run counts that usually takes `usual_ms`: the inverse of the
/// variance of its measured ratio.
pub(crate) fn run_weight(usual_ms: f64) -> f64 {
    let noise = HALF_WEIGHT_MS / usual_ms.max(1e-3);
    1.0 / (1.0 + noise * noise)
}

/// The rate of one host.
#[derive(Debug)]
pub struct Rate {
    tracker: Tracker,
    /// The last jobs of which a run counts, oldest first.
    jobs: VecDeque<u64>,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            tracker: Tracker::new(PRIOR_JOBS),
            jobs: VecDeque::with_capacity(REMEMBERED_JOBS),
        }
    }
}

impl Rate {
    /// Returns whether the run of a job that is ordered now counts: it is the job's
    /// first at this host. The choice is made before the run so that it does not
    /// depend on its duration.
    pub fn select(&mut self, job: u64) -> bool {
        if self.jobs.contains(&job) {
            return false;
        }
        if self.jobs.len() == REMEMBERED_JOBS {
            self.jobs.pop_front();
        }
        self.jobs.push_back(job);
        true
    }

    /// Records a selected run that has succeeded after `spent` milliseconds and
    /// usually takes `usual` milliseconds; 0 if that is unknown.
    pub fn record(&mut self, usual: u32, spent: u32) {
        if usual == 0 {
            return;
        }
        let (usual, spent) = (f64::from(usual), f64::from(spent.max(1)));
        self.tracker.observe(usual / spent, run_weight(usual));
    }

    /// Returns the rate, per mille of the usual speed.
    pub fn per_mille(&self) -> u16 {
        let rate = (self.tracker.ratio() * f64::from(USUAL_RATE)).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the range"
        )]
        let rate = rate.clamp(f64::from(MIN_RATE), f64::from(MAX_RATE)) as u16;
        rate
    }
}

/// Returns whether a received rate is within the bounds.
pub fn is_valid(rate: u16) -> bool {
    (MIN_RATE..=MAX_RATE).contains(&rate)
}
