//! Results of jobs that have ended.

use super::Phase;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Time for which the state of an ended job is kept.
const STATE_RETENTION: Duration = Duration::from_mins(2);

/// Final states of recent jobs, for customers that resubmit or inspect them.
#[derive(Debug, Default)]
pub(super) struct History {
    states: BTreeMap<u64, Phase>,
    order: VecDeque<(Duration, u64)>,
}

impl History {
    pub(super) fn insert(&mut self, now: Duration, job: u64, state: Phase) {
        self.states.insert(job, state);
        self.order.push_back((now + STATE_RETENTION, job));
    }

    pub(super) fn get(&self, job: u64) -> Option<Phase> {
        self.states.get(&job).copied()
    }

    pub(super) fn expire(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, job)) = self.order.pop_front() {
                self.states.remove(&job);
            }
        }
    }
}
