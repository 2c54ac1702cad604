//! Floor under the share of its jobs that each queue gets served while hosts are short.
//!
//! Priorities decide which jobs wait. Without a floor, the least urgent queue pays for
//! every shortage alone: while the others fill the hosts it gets nothing, even if it
//! asks for little. A queue whose served share falls below the mean of its service is
//! therefore served before all others until its share has risen again (max-min fairness,
//! relative to each queue's demand).

use super::arrivals::remaining;
use std::{collections::BTreeMap, time::Duration};
use wire::lease::Queue;

/// Time constant of the averages. A shortage as short as a customers' burst must count,
/// and several jobs of a rare queue must arrive within it.
const AVERAGING_WINDOW: Duration = Duration::from_secs(2);

/// Time after its last job for which a queue is remembered; its counts have then
/// decayed to nothing.
const MEMORY_TIME: Duration = Duration::from_secs(20);

/// Part of the mean served share below which a queue is promoted.
const MIN_RELATIVE_SHARE: f64 = 0.9;

/// Level of jobs of queues whose share is too low, before all priorities. At the level
/// of the most urgent queue they would lose to its jobs, which are due sooner.
pub(super) const PROMOTED_LEVEL: u8 = 0;

/// Recent jobs of a queue. Jobs are counted, and not their work: one estimate that is
/// far too high would decide the share.
#[derive(Debug, Default)]
struct Demand {
    offered: f64,
    /// Those of them that were not served in time.
    missed: f64,
    at: Duration,
}

/// Recent demand of all queues at one entry.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    queues: BTreeMap<String, Demand>,
}

impl Fairness {
    /// Records a job that has arrived.
    pub(super) fn record_offer(&mut self, now: Duration, queue: &str) {
        if !self.queues.contains_key(queue) {
            // Rules drop queues and add others.
            let is_recent = |demand: &Demand| now.saturating_sub(demand.at) <= MEMORY_TIME;
            self.queues.retain(|_, demand| is_recent(demand));
            self.queues.insert(queue.to_owned(), Demand::default());
        }
        if let Some(demand) = self.queues.get_mut(queue) {
            demand.advance(now);
            demand.offered += 1.0;
        }
    }

    /// Records that a job that has arrived was refused for want of room, or has waited
    /// too long to meet its objective.
    pub(super) fn record_miss(&mut self, now: Duration, queue: &str) {
        if let Some(demand) = self.queues.get_mut(queue) {
            demand.advance(now);
            demand.missed += 1.0;
        }
    }

    /// Returns the level at which a queue's next job is served: that of its priority, or
    /// [`PROMOTED_LEVEL`] while its share is too low.
    pub(super) fn level(&self, now: Duration, queue: &Queue, queues: &[Queue]) -> u8 {
        let own = self.queues.get(&queue.name);
        let share = own.map_or(1.0, |demand| served_share(demand.offered, demand.missed));
        // Without a shortage no sum is needed: the mean is at most 1, and rules may list a
        // thousand queues.
        if share >= MIN_RELATIVE_SHARE {
            return level_of(queue);
        }
        let of_service = queues.iter().filter(|other| other.service == queue.service);
        let (mut offered, mut missed) = (0.0, 0.0);
        for demand in of_service.filter_map(|other| self.queues.get(&other.name)) {
            let decay = demand.decay(now);
            offered += demand.offered * decay;
            missed += demand.missed * decay;
        }
        if share >= served_share(offered, missed) * MIN_RELATIVE_SHARE {
            level_of(queue)
        } else {
            PROMOTED_LEVEL
        }
    }
}

/// Returns the level of a queue's jobs by its priority.
pub(super) fn level_of(queue: &Queue) -> u8 {
    queue.priority.saturating_add(PROMOTED_LEVEL + 1)
}

impl Demand {
    /// Decays the counts to `now`.
    fn advance(&mut self, now: Duration) {
        let decay = self.decay(now);
        self.offered *= decay;
        self.missed *= decay;
        self.at = self.at.max(now);
    }

    fn decay(&self, now: Duration) -> f64 {
        remaining(now.saturating_sub(self.at), AVERAGING_WINDOW)
    }
}

/// Returns the share of the jobs that were served in time; 1 without jobs.
fn served_share(offered: f64, missed: f64) -> f64 {
    if offered > 0.0 {
        (1.0 - missed / offered).max(0.0)
    } else {
        1.0
    }
}
