//! How long customers usually wait, by queue.
//!
//! A customer that comes again after a broken connection states the time that
//! it has left. Where that is less than nearly all customers of its queue
//! state, it has waited before, and its objective counts from then. After an
//! outage such customers come together with new ones; without the difference
//! the new ones would wait behind those that are late already.

use std::{collections::BTreeMap, time::Duration};

/// Customers of a queue that are listened to before any is judged.
const WARMUP_SAMPLES: usize = 64;

/// Share of customers that may state less than the mark, as one in so many.
const BELOW_FLOOR_ONE_IN: f64 = 50.0;

/// Share of the mark by which it falls when a customer states less; it rises by
/// a share [`BELOW_FLOOR_ONE_IN`] times smaller, so that one in [`BELOW_FLOOR_ONE_IN`] states less. Small
/// enough that the customers of one outage do not move it.
const FLOOR_STEP: f64 = 0.01;

/// Share of the resend time by which a customer may state less than the mark
/// and still be learnt from.
const TOLERANCE: f64 = 0.1;

/// Customers in a row that state much less after which the mark is learnt
/// anew: customers of the queue have changed.
const RESET_AFTER_OUTLIERS: u32 = 100;

/// What one queue's customers state.
#[derive(Debug, Default)]
struct Queue {
    /// In milliseconds; what is less is rare.
    floor: Option<f64>,
    samples: Vec<f64>,
    /// Customers in a row that stated much less.
    outliers: u32,
}

/// What is known of all queues.
#[derive(Debug, Default)]
pub(super) struct Detector(BTreeMap<String, Queue>);

impl Detector {
    /// Learns how long a customer waits, and returns whether it has likely come
    /// again; customers do so after `resend`.
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

    /// Takes marks that were learnt before, or by others, in milliseconds.
    pub(super) fn restore(&mut self, floors: &[(String, u32)]) {
        for (queue, floor) in floors {
            let queue_state = self.0.entry(queue.clone()).or_default();
            queue_state.floor.get_or_insert(f64::from(*floor));
        }
    }

    /// Returns the marks, in milliseconds.
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
        // One that has come again says little about how long others wait.
        let is_outlier = stated < *floor - resubmit_after * TOLERANCE;
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
