//! The lateness of the entry's event loop: what the dispatcher does less often
//! because of it, and what the customers' interface needs to refuse jobs unread.

use super::{Dispatcher, Job, Reason, backlog::LATE_LEVEL, fairness::level_of};
use crate::pressure::Lane;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Lateness of the own event loop.
#[derive(Debug, Default)]
pub(super) struct LoopLateness {
    value: Duration,
    /// Whether echoes and heartbeats are less frequent.
    pub(super) thin_frames: bool,
}

impl Dispatcher {
    /// Sets the time by which the entry's event loop is late, and whether to send
    /// echoes and heartbeats less often.
    pub fn set_lateness(&mut self, lateness: Duration, thin_frames: bool) {
        self.loop_lateness = LoopLateness {
            value: lateness,
            thin_frames,
        };
    }

    /// Returns the time by which the entry's event loop is late.
    pub fn lateness(&self) -> Duration {
        self.loop_lateness.value
    }

    /// Returns the time by which another entry's event loop is late, if it is
    /// connected.
    pub fn peer_lateness(&self, entry: wire::id::Incarnation) -> Option<Duration> {
        self.peers.lateness(entry)
    }

    /// Returns whether a job is open, parked or has ended recently.
    pub fn knows(&self, job: u64) -> bool {
        self.jobs.contains_key(&job)
            || self.history.get(job).is_some()
            || self.admission.has_parked(job)
    }

    /// Returns the expected wait of a new job in each queue.
    pub fn lanes(&self, now: Duration) -> Vec<Lane> {
        let Some(rules) = self.rules.get() else {
            return Vec::new();
        };
        // Queues of one service and priority share a forecast.
        let mut waits: BTreeMap<(&String, u8), Duration> = BTreeMap::new();
        let mut lanes = Vec::with_capacity(rules.queues.len());
        for queue in &rules.queues {
            let level = level_of(queue);
            let wait = *waits
                .entry((&queue.service, queue.priority))
                .or_insert_with(|| self.load(now, &queue.service).forecast(level).wait(0));
            lanes.push(Lane {
                host: queue.host.clone(),
                prefix: queue.prefix.clone(),
                name: queue.name.clone(),
                wait,
            });
        }
        lanes
    }

    /// Returns the time until all work that waits now has likely started, over all
    /// services.
    pub fn drained_in(&self, now: Duration) -> Duration {
        let queues = self.rules.get().into_iter().flat_map(|rules| &rules.queues);
        let services: BTreeSet<&str> = queues.map(|queue| queue.service.as_str()).collect();
        services
            .into_iter()
            .map(|service| self.load(now, service).forecast(LATE_LEVEL).wait(0))
            .max()
            .unwrap_or_default()
    }

    /// Returns the interval between two echoes to the same side.
    pub(super) fn echo_interval(&self) -> Duration {
        if self.loop_lateness.thin_frames {
            let max_silence = self.timing.max_silence();
            self.fleet.thin_echo_interval(max_silence, self.lateness())
        } else {
            self.fleet.echo_interval()
        }
    }

    /// Refuses a job that has waited in the entry's own queue until it could not
    /// end in time even if it started now. Returns the job if there is time left.
    pub(super) fn refuse_overtaken(
        &mut self,
        now: Duration,
        customer: u64,
        job: Job,
    ) -> Option<Job> {
        if job.accepted >= now || self.is_useful(now, &job) {
            return Some(job);
        }
        self.log_refusal(now, &job, Reason::EntryLate, Duration::ZERO);
        self.refuse_job(customer, &job, Reason::EntryLate, Duration::ZERO);
        None
    }
}
