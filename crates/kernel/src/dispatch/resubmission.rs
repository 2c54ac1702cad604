//! Detects resubmitted jobs by their customers' patience.
//!
//! A customer that resubmits a job after a broken connection states the time
//! that it has left. If this is less than nearly all customers of its queue
//! state, the customer has likely waited before, and its objective counts from
//! then. After an outage such customers arrive together with new ones; without
//! the distinction the new ones would wait behind jobs that are late already.

use std::{collections::BTreeMap, time::Duration};

/// Number of customers of a queue from which the first floor is learnt.
const WARMUP_SAMPLES: usize = 64;

/// One in this many first submissions states less patience than the floor.
const BELOW_FLOOR_ONE_IN: f64 = 50.0;

/// Share by which the floor falls when a customer states less. It rises by a
/// share [`BELOW_FLOOR_ONE_IN`] times smaller otherwise, so that it converges to
/// that quantile. Small enough that the customers of one outage hardly move it.
const FLOOR_STEP: f64 = 0.01;

/// Share of the resubmission time by which a customer may state less than the
/// floor and still update it.
const FLOOR_TOLERANCE: f64 = 0.1;

/// Consecutive customers that state far less than the floor after which it is
/// learnt from scratch: the queue's customers have changed.
const RESET_AFTER_OUTLIERS: u32 = 100;

/// Patience that one queue's customers state.
#[derive(Debug, Default)]
struct Queue {
    /// Low quantile of the stated patience, in milliseconds.
    floor: Option<f64>,
    samples: Vec<f64>,
    /// Consecutive customers that stated far less than the floor.
    outliers: u32,
}

/// The patience floors of all queues.
#[derive(Debug, Default)]
pub(super) struct Detector(BTreeMap<String, Queue>);

impl Detector {
    /// Learns from the patience that a customer states, and returns whether it
    /// has likely submitted the job before. Customers resubmit a job no earlier
    /// than `resubmit_after` after its first submission.
    pub(super) fn learn(
        &mut self,
        queue: &str,
        patience: Duration,
        resubmit_after: Duration,
    ) -> bool {
        let stated = patience.as_secs_f64() * 1e3;
        if !self.0.contains_key(queue) {
            self.0.insert(queue.to_owned(), Queue::default());
        }
        self.0.get_mut(queue).is_some_and(|queue_state| {
            queue_state.learn(stated, resubmit_after.as_secs_f64() * 1e3)
        })
    }

    /// Sets floors, in milliseconds, for queues that have none.
    pub(super) fn restore(&mut self, floors: &[(String, u32)]) {
        for (queue, floor) in floors {
            let queue_state = self.0.entry(queue.clone()).or_default();
            queue_state.floor.get_or_insert(f64::from(*floor));
        }
    }

    /// Returns the floors, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    pub(super) fn floors(&self) -> Vec<(String, u32)> {
        self.0
            .iter()
            .filter_map(|(queue, queue_state)| Some((queue.clone(), queue_state.floor?)))
            .map(|(queue, floor)| (queue, floor.clamp(0.0, f64::from(u32::MAX)) as u32))
            .collect()
    }
}

impl Queue {
    fn learn(&mut self, stated: f64, resubmit_after: f64) -> bool {
        let Some(floor) = &mut self.floor else {
            self.samples.push(stated);
            if self.samples.len() >= WARMUP_SAMPLES {
                self.samples.sort_by(f64::total_cmp);
                self.floor = Some(self.samples[1]);
                self.samples = Vec::new();
            }
            return false;
        };
        let below_floor = stated < *floor;
        // A resubmission says little about how long first submissions wait.
        let is_outlier = stated < *floor - resubmit_after * FLOOR_TOLERANCE;
        self.outliers = if is_outlier { self.outliers + 1 } else { 0 };
        if self.outliers >= RESET_AFTER_OUTLIERS {
            *self = Self::default();
            return false;
        }
        if !is_outlier {
            *floor *= if below_floor {
                1.0 - FLOOR_STEP
            } else {
                1.0 + FLOOR_STEP / BELOW_FLOOR_ONE_IN
            };
        }
        below_floor
    }
}
