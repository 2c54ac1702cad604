//! Run times of tasks, learnt by service and request kind.

use hashbrown::HashMap;
use std::time::Duration;

/// Run time assumed of a kind that has not been seen.
const PRIOR: Duration = Duration::from_millis(200);

/// Weight of the past against one new run time, in parts of the sum.
const MEMORY: u32 = 63;

/// Mean run times, with recent tasks counting most.
#[derive(Debug, Default)]
pub struct Estimator {
    means: HashMap<String, HashMap<String, Duration>>,
}

impl Estimator {
    /// Records how long a task took at its upstream.
    pub fn record(&mut self, service: &str, kind: &str, spent: Duration) {
        let kinds = self.means.entry_ref(service).or_default();
        let mean = kinds.entry_ref(kind).or_insert(spent);
        *mean = (*mean * MEMORY + spent) / (MEMORY + 1);
    }

    /// Returns the expected run time of a task.
    pub fn mean(&self, service: &str, kind: &str) -> Duration {
        let known = self.means.get(service).and_then(|kinds| kinds.get(kind));
        known.copied().unwrap_or(PRIOR)
    }
}
