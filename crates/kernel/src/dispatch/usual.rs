//! Usual ratio of run time to estimate, by queue.
//!
//! The ratio differs by kind of job and moves, so the speed of a host shows only
//! relative to the usual ratio of the kind at all hosts. An entry learns it from its
//! own runs and corrects each for the rate of its host, relative to the mean rate of
//! the sides. That mean anchors the rates: if those of all hosts are too high by one
//! factor, the usual ratio does not change, and the rates return.

use crate::rate::{Tracker, run_weight};
use std::{collections::BTreeMap, time::Duration};

/// Number of jobs after which the ratio of a queue is known. Before, runs say nothing
/// about a host.
const MIN_JOBS: f64 = 8.0;

/// Weight of the first assumption, that runs take as long as estimated.
const PRIOR_JOBS: f64 = 1.0;

/// Weight of one job in the share of late ones.
const LATE_WEIGHT: f64 = 1.0 / 16.0;

/// Share of late jobs above which the estimates have changed, and not the hosts.
const MAX_LATE_SHARE: f64 = 0.5;

#[derive(Debug)]
struct Kind {
    ratio: Tracker,
    /// Moving average of the share of jobs that took far longer than usual.
    late: f64,
}

/// What is usual for the runs of each queue.
#[derive(Debug, Default)]
pub(super) struct Usual {
    kinds: BTreeMap<String, Kind>,
}

impl Usual {
    /// Records a run of `estimate`, whose ratio of run time to estimate at a host of
    /// usual speed was `ratio`, and whose job has `tasks` tasks: each job counts once.
    pub(super) fn record(&mut self, queue: &str, estimate: Duration, ratio: f64, tasks: u32) {
        if !self.kinds.contains_key(queue) {
            let kind = Kind {
                ratio: Tracker::new(PRIOR_JOBS),
                late: 0.0,
            };
            self.kinds.insert(queue.to_owned(), kind);
        }
        if let Some(kind) = self.kinds.get_mut(queue) {
            let weight = run_weight(estimate.as_secs_f64() * 1e3);
            kind.ratio.observe(ratio, weight / f64::from(tasks.max(1)));
        }
    }

    /// Records whether a run of a job with `tasks` tasks was late.
    pub(super) fn record_late(&mut self, queue: &str, late: bool, tasks: u32) {
        if let Some(kind) = self.kinds.get_mut(queue) {
            let late = if late { 1.0 } else { 0.0 };
            kind.late += (late - kind.late) * LATE_WEIGHT / f64::from(tasks.max(1));
        }
    }

    /// Returns the usual ratio of run time to estimate, once it is known.
    pub(super) fn ratio(&self, queue: &str) -> Option<f64> {
        let kind = self.kinds.get(queue)?;
        (kind.ratio.weight() >= MIN_JOBS).then(|| kind.ratio.ratio())
    }

    /// Returns the ratios that are known, by queue.
    pub(super) fn ratios(&self) -> impl Iterator<Item = (&str, f64)> {
        let queues = self.kinds.keys().map(String::as_str);
        queues.filter_map(|queue| Some((queue, self.ratio(queue)?)))
    }

    /// Returns whether a late run of the queue says something about its host: most
    /// other runs are not late.
    pub(super) fn is_late_rare(&self, queue: &str) -> bool {
        let kind = self.kinds.get(queue);
        kind.is_some_and(|kind| kind.late <= MAX_LATE_SHARE)
    }
}
