//! Run time estimates by service and request kind.

use hashbrown::HashMap;
use std::time::Duration;

/// Estimate for a kind without a recorded run time.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// Weight of the previous mean; a new run time has weight 1.
const HISTORY_WEIGHT: u32 = 63;

/// Exponentially weighted mean run times.
#[derive(Debug, Default)]
pub struct Estimator {
    means: HashMap<String, HashMap<String, Duration>>,
}

impl Estimator {
    /// Records the time that a task took at its upstream.
    pub fn record(&mut self, service: &str, kind: &str, run_time: Duration) {
        let kinds = self.means.entry_ref(service).or_default();
        let mean = kinds.entry_ref(kind).or_insert(run_time);
        *mean = (*mean * HISTORY_WEIGHT + run_time) / (HISTORY_WEIGHT + 1);
    }

    /// Returns the estimated run time of a task.
    pub fn mean(&self, service: &str, kind: &str) -> Duration {
        let recorded = self.means.get(service).and_then(|kinds| kinds.get(kind));
        recorded.copied().unwrap_or(DEFAULT_RUN_TIME)
    }
}
