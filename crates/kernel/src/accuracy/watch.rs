//! Refused jobs under observation.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::lease::Need;

/// Most jobs under observation.
const MAX_WATCHED: usize = 64;

/// Most of them of one queue, so that a frequent one leaves room for others.
const MAX_WATCHED_OF_QUEUE: usize = 16;

/// Longest observation of a job.
const MAX_WATCH_TIME: Duration = Duration::from_secs(10);

/// Interval at which the hosts' free processors are added up: two of the shortest
/// intervals between a side's reports.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Longest interval for which a report is taken to hold. After a longer one, as when the
/// process was paused, it is unknown what was free.
const MAX_INTERVAL: Duration = Duration::from_millis(300);

/// Part of a job's work that may be missing, for rounding.
const ROUNDING: f64 = 1e-6;

/// A usable host, as last reported.
#[derive(Debug, Clone, Copy)]
pub struct Host<'a> {
    /// Service of its upstream.
    pub service: &'a str,
    /// Labels of its upstream.
    pub labels: &'a [String],
    /// Free resources.
    pub room: Need,
    /// Speed, as a multiple of the usual.
    pub speed: f64,
}

/// What a refused job would have needed.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Identifier of the job.
    pub job: u64,
    /// Its service.
    pub service: String,
    /// Label that its hosts must have.
    pub label: Option<String>,
    /// Resources of a task of the step with the most work.
    pub need: Need,
    /// Likely work of all tasks at the usual speed, in core-milliseconds.
    pub work: f64,
    /// Likely run time of the job once it has started.
    pub run_time: Duration,
    /// Time after which an answer has no value.
    pub useful_until: Duration,
}

/// A refusal that was watched to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Judgement {
    /// Identifier of the job.
    pub job: u64,
    /// Its queue.
    pub queue: String,
    /// Time after which the free processors would have sufficed; `None` if they never
    /// did, so that the refusal was right.
    pub enough_after: Option<Duration>,
}

impl Judgement {
    /// Returns whether the refusal was wrong.
    pub fn is_wrong(&self) -> bool {
        self.enough_after.is_some()
    }
}

#[derive(Debug)]
struct Watched {
    queue: String,
    refusal: Refusal,
    at: Duration,
    until: Duration,
    /// Work that the free processors would not have done yet, in core-milliseconds.
    left: f64,
}

/// Refused jobs under observation, oldest first.
///
/// A refusal is wrong if the processor time that was free on the usable hosts of the
/// job's service, while its answer would still have been of use, would have sufficed to
/// run it. Free is what the hosts' sides have last reported to this entry, in whole tasks
/// of the job. The job is taken to use its work divided by its run time at most, so that
/// it takes at least its run time. Time that an earlier refused job would have used
/// counts for no later one; other entries' refusals are unknown here.
///
/// At most 64 jobs are watched at a time, 16 of one queue; the rest are not judged. What is
/// under observation when the clock is set back or the process pauses is not judged
/// either.
#[derive(Debug, Default)]
pub struct Watch {
    watched: VecDeque<Watched>,
    advanced_at: Duration,
}

impl Watch {
    /// Watches a refused job, if there is room and its needs make sense.
    pub fn insert(&mut self, now: Duration, queue: &str, refusal: Refusal) {
        let of_queue = self.watched.iter().filter(|other| other.queue == queue);
        let is_full = self.watched.len() >= MAX_WATCHED || of_queue.count() >= MAX_WATCHED_OF_QUEUE;
        let is_sound = refusal.work.is_finite()
            && refusal.work > 0.0
            && !refusal.run_time.is_zero()
            && refusal.need.cpu > 0;
        if is_full || !is_sound {
            return;
        }
        if self.watched.is_empty() {
            self.advanced_at = now;
        }
        self.watched.push_back(Watched {
            queue: queue.to_owned(),
            at: now,
            until: refusal.useful_until.min(now.saturating_add(MAX_WATCH_TIME)),
            left: refusal.work,
            refusal,
        });
    }

    /// Returns whether [`Watch::advance`] should be called with the hosts.
    pub fn is_due(&self, now: Duration) -> bool {
        let passed = now.checked_sub(self.advanced_at);
        !self.watched.is_empty() && passed.is_none_or(|passed| passed >= WATCH_INTERVAL)
    }

    /// Adds the processor time that was free since the last call; returns the jobs whose
    /// observation has ended.
    pub fn advance(&mut self, now: Duration, hosts: &[Host]) -> Vec<Judgement> {
        let since = std::mem::replace(&mut self.advanced_at, now);
        let passed = now.checked_sub(since);
        if passed.is_none_or(|passed| passed > MAX_INTERVAL) {
            self.watched.clear();
            return Vec::new();
        }
        let mut judgements = Vec::new();
        // Core-milliseconds that earlier jobs would have used, by service.
        let mut taken: BTreeMap<String, f64> = BTreeMap::new();
        self.watched.retain_mut(|watched| {
            let Refusal {
                job,
                service,
                work,
                run_time,
                ..
            } = &watched.refusal;
            let from = watched.at.max(since);
            let interval = now.min(watched.until).saturating_sub(from);
            let seconds = interval.as_secs_f64();
            let taken = taken.entry(service.clone()).or_default();
            let free = free_cpu(hosts, &watched.refusal) * seconds - *taken;
            let most = work * seconds / run_time.as_secs_f64();
            let used = free.min(most).min(watched.left).max(0.0);
            *taken += used;
            watched.left -= used;
            let is_enough = watched.left <= work * ROUNDING;
            if !is_enough && now < watched.until {
                return true;
            }
            judgements.push(Judgement {
                job: *job,
                queue: std::mem::take(&mut watched.queue),
                enough_after: is_enough.then(|| now.saturating_sub(watched.at)),
            });
            false
        });
        judgements
    }
}

/// Returns the free processors that a job's tasks could use, in thousandths of a core at
/// the usual speed.
fn free_cpu(hosts: &[Host], refusal: &Refusal) -> f64 {
    let has_label = |host: &Host| {
        let label = refusal.label.as_ref();
        label.is_none_or(|label| host.labels.contains(label))
    };
    let suitable = hosts
        .iter()
        .filter(|host| host.service == refusal.service && has_label(host));
    let free = suitable.map(|host| {
        let tasks = count_fitting(refusal.need, host.room);
        f64::from(tasks) * f64::from(refusal.need.cpu) * host.speed
    });
    free.filter(|cpu| cpu.is_finite()).sum()
}

/// Returns how many times a need fits into the room.
fn count_fitting(need: Need, room: Need) -> u32 {
    let times = |need: u32, room: u32| room.checked_div(need).unwrap_or(u32::MAX);
    times(need.cpu, room.cpu)
        .min(times(need.memory, room.memory))
        .min(times(need.accelerators, room.accelerators))
}
