//! Confinement of queues whose tasks crash upstreams to a part of the hosts.
//!
//! One crash takes a host for seconds, and it can't be known beforehand which of a
//! queue's tasks is the next to crash one. Where such tasks arrive faster than hosts
//! return, all hosts are lost to all queues, however early each task is given up. So
//! the queue gets hosts of its own, and the others keep the rest.

use super::{
    crash_count::Verdict,
    fleet::{Fleet, Key, Link, Side},
    job::Job,
    rules::ActiveRules,
};
use crate::neighbourhood;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wire::lease::{Queue, Task};

/// Time for which a task that was given up counts against its queue. It spans several
/// restarts of an upstream: while all confined hosts are down there is no evidence.
const EVIDENCE_TIME: Duration = Duration::from_secs(10);

/// Number of a queue's jobs with such tasks from which the queue is confined. A single
/// task may have been a suspect twice by coincidence, where upstreams crash for another
/// reason.
const MIN_JOBS: usize = 2;

/// Confined queues get one in this many of a service's hosts.
const HOSTS_PART: usize = 4;

/// A task that was given up, as evidence against its queue.
#[derive(Debug, Clone)]
pub(super) struct Evidence {
    pub(super) at: Duration,
    pub(super) task: Task,
    pub(super) queue: String,
    pub(super) verdict: Verdict,
}

/// A change of the confined queues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    /// A queue is confined to this number of hosts.
    Confined(String, usize),
    /// A queue may use all hosts again.
    Released(String),
}

/// The confined queues and their hosts.
#[derive(Debug, Default)]
pub(super) struct Confinement {
    evidence: Vec<Evidence>,
    queues: BTreeSet<String>,
    /// Time of the last job by queue.
    arrivals: BTreeMap<String, Duration>,
    /// Hosts of the confined queues, by service.
    hosts: BTreeMap<String, BTreeSet<Key>>,
}

impl Confinement {
    /// Records that a job of a queue has arrived.
    pub(super) fn record_arrival(&mut self, now: Duration, queue: &str) {
        if let Some(at) = self.arrivals.get_mut(queue) {
            *at = now;
        } else {
            // Rules drop queues and add others.
            let is_recent = |at: &Duration| now.saturating_sub(*at) <= EVIDENCE_TIME;
            self.arrivals.retain(|_, at| is_recent(at));
            self.arrivals.insert(queue.to_owned(), now);
        }
    }

    /// Records a task that was given up.
    pub(super) fn record(&mut self, evidence: Evidence) {
        let known = |known: &Evidence| known.task == evidence.task;
        if !self.evidence.iter().any(known) {
            self.evidence.push(evidence);
        }
    }

    /// Returns the tasks that count against their queues.
    pub(super) fn evidence(&self) -> impl Iterator<Item = &Evidence> {
        self.evidence.iter()
    }

    /// Returns whether any queue is confined.
    pub(super) fn is_active(&self) -> bool {
        !self.queues.is_empty()
    }

    /// Returns whether a queue is confined.
    pub(super) fn is_confined(&self, queue: &str) -> bool {
        self.queues.contains(queue)
    }

    /// Returns the confined queues.
    pub(super) fn queues(&self) -> impl Iterator<Item = &str> {
        self.queues.iter().map(String::as_str)
    }

    /// Returns whether a side's host is one of those to which queues are confined.
    pub(super) fn is_confined_host(&self, service: &str, key: Key) -> bool {
        let hosts = self.hosts.get(service);
        hosts.is_some_and(|hosts| hosts.contains(&key))
    }

    /// Returns whether a queue's tasks may run at a side.
    pub(super) fn admits(&self, queue: &str, service: &str, key: Key) -> bool {
        !self.is_active() || self.is_confined(queue) == self.is_confined_host(service, key)
    }

    /// Decides which queues are confined, and to which hosts.
    pub(super) fn update(
        &mut self,
        now: Duration,
        rules: &ActiveRules,
        fleet: &Fleet,
    ) -> Vec<Change> {
        let is_recent = |known: &Evidence| now.saturating_sub(known.at) <= EVIDENCE_TIME;
        self.evidence.retain(is_recent);
        if self.evidence.is_empty() && self.queues.is_empty() {
            return Vec::new();
        }
        let queues = rules.get().map_or(&[][..], |rules| &rules.queues);
        let before = std::mem::take(&mut self.queues);
        let suspicious = queues.iter().filter(|queue| {
            let least = if before.contains(&queue.name) {
                1
            } else {
                MIN_JOBS
            };
            self.count_jobs(&queue.name) >= least
        });
        let suspicious: BTreeSet<&str> = suspicious.map(|queue| queue.name.as_str()).collect();
        let is_busy = |queue: &str| {
            let last = self.arrivals.get(queue);
            last.is_some_and(|at| now.saturating_sub(*at) <= EVIDENCE_TIME)
        };
        // Confinement helps nobody unless another queue needs the other hosts.
        let protects = |queue: &&Queue| {
            queues.iter().any(|other| {
                other.service == queue.service
                    && !suspicious.contains(other.name.as_str())
                    && is_busy(&other.name)
            })
        };
        self.hosts.clear();
        for queue in queues
            .iter()
            .filter(|queue| suspicious.contains(queue.name.as_str()))
            .filter(protects)
        {
            let hosts = self
                .hosts
                .entry(queue.service.clone())
                .or_insert_with(|| choose_hosts(rules, fleet, &queue.service));
            if !hosts.is_empty() {
                self.queues.insert(queue.name.clone());
            }
        }
        self.changes(&before, queues)
    }

    /// Returns the number of a queue's jobs of which a task was given up as a suspect.
    fn count_jobs(&self, queue: &str) -> usize {
        let of_queue = self
            .evidence
            .iter()
            .filter(|known| known.queue == queue && known.verdict == Verdict::Suspect);
        let jobs: BTreeSet<u64> = of_queue.map(|known| known.task.job).collect();
        jobs.len()
    }

    fn changes(&self, before: &BTreeSet<String>, queues: &[Queue]) -> Vec<Change> {
        let host_count = |name: &String| {
            let queue = queues.iter().find(|queue| queue.name == *name);
            let hosts = queue.and_then(|queue| self.hosts.get(&queue.service));
            hosts.map_or(0, BTreeSet::len)
        };
        let confined = self.queues.difference(before);
        let confined = confined.map(|name| Change::Confined(name.clone(), host_count(name)));
        let released = before.difference(&self.queues).cloned();
        confined.chain(released.map(Change::Released)).collect()
    }
}

/// Chooses the hosts of a service's confined queues; none if the service has only one
/// host. All entries choose the same, as far as they know the same sides. A host that
/// is down remains chosen: in its place another would be lost.
fn choose_hosts(rules: &ActiveRules, fleet: &Fleet, service: &str) -> BTreeSet<Key> {
    let serves = |side: &Side| {
        side.link != Link::Lost && side.serves(service, None) && !rules.is_out(&side.domain)
    };
    let mut sides: Vec<(u64, Key)> = fleet
        .iter()
        .filter(|(_, side)| serves(side))
        .map(|(key, side)| (neighbourhood::weight(&side.name, service), key))
        .collect();
    if sides.len() < 2 {
        return BTreeSet::new();
    }
    sides.sort_unstable();
    sides.truncate(sides.len().div_ceil(HOSTS_PART));
    sides.into_iter().map(|(_, key)| key).collect()
}

/// What decides on which sides a task may run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Eligibility<'a> {
    pub(super) now: Duration,
    pub(super) rules: &'a ActiveRules,
    pub(super) fleet: &'a Fleet,
    pub(super) confinement: &'a Confinement,
}

impl Eligibility<'_> {
    /// Returns whether a job's tasks that need a label may run at a side.
    pub(super) fn admits(&self, key: Key, side: &Side, job: &Job, label: Option<&str>) -> bool {
        self.rules.may_run(self.now, side, &job.service, label)
            && side.takes_orders(self.now)
            && self.confinement.admits(&job.queue, &job.service, key)
    }
}
