//! Forecasts of a job's wait, from the work and the hosts of all entries.

use super::{
    Dispatcher,
    backlog::{LATE_LEVEL, work_ahead},
    job::{Job, State},
};
use std::{collections::BTreeMap, time::Duration};
use wire::lease::Share;

/// Largest processor share assumed for overtaking jobs; their rate is an average.
const MAX_OVERTAKING: f64 = 0.95;

/// The same bound for late jobs. It is lower so that fewer of them are given up:
/// bursts end, and a late answer is better than none.
const MAX_OVERTAKING_LATE: f64 = 0.5;

impl Dispatcher {
    /// Returns the load that a job meets. A confined queue's job meets only the work of
    /// the service's confined queues, on this entry's share of their hosts.
    pub(super) fn job_load(&self, now: Duration, job: &Job) -> Load {
        if !self.confinement.is_confined(&job.queue) {
            return self.load(now, &job.service);
        }
        let usable = self.rules.usable(now, &self.fleet, &job.service);
        let share = usable
            .filter(|(key, _)| self.confinement.is_confined_host(&job.service, *key))
            .fold(Share::default(), |sum, (_, side)| sum.plus(side.share()));
        let of_service = |other: &&Job| other.service == job.service;
        let waiting = self.confined_jobs().filter(of_service).map(waiting_work);
        Load {
            // Their levels do not matter: all of it is ahead.
            waiting: vec![(0, waiting.sum())],
            ..self.load_of(share)
        }
    }

    fn confined_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.confinement.is_active().then(|| self.jobs.values());
        let is_confined = |job: &&Job| self.confinement.is_confined(&job.queue);
        jobs.into_iter().flatten().filter(is_confined)
    }

    /// Returns the work that waits at this entry and is not confined, in
    /// core-milliseconds, by level.
    pub(super) fn unconfined_work(&self) -> impl Iterator<Item = (u8, u64)> {
        let mut confined: BTreeMap<u8, u64> = BTreeMap::new();
        for job in self.confined_jobs() {
            *confined.entry(job.rank.level()).or_default() += waiting_work(job);
        }
        self.placement.backlog().levels().map(move |(level, work)| {
            let own = confined.get(&level).copied().unwrap_or_default();
            (level, work.saturating_sub(own))
        })
    }

    /// Returns the load of a service: the work at all entries, and the usable sides.
    pub(super) fn load(&self, now: Duration, service: &str) -> Load {
        let fleet = self.fleet_share(now, service);
        if fleet.total == 0 && self.admission.is_starting(now) {
            return Load {
                startup_left: self.admission.startup_left(now),
                ..self.load_of(fleet)
            };
        }
        let arriving = self.admission.arriving(now).chain(self.peers.arriving());
        Load {
            waiting: self.unconfined_work().chain(self.peers.waiting()).collect(),
            arriving: arriving.collect(),
            ..self.load_of(fleet)
        }
    }

    /// Returns the load of hosts for which no work waits or arrives.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    fn load_of(&self, hosts: Share) -> Load {
        Load {
            startup_left: Duration::ZERO,
            waiting: Vec::new(),
            arriving: Vec::new(),
            mean_slowness: self.fleet.mean_slowness.max(1.0),
            free_work: hosts.free as f64 * self.fleet.mean_run_ms / 1e3,
            throughput: hosts.total.max(1) as f64,
        }
    }

    /// Returns the processors of a service's usable hosts at their rates, and the free
    /// part. Where
    /// each side takes tasks from some entries only, the shares of all entries add
    /// up to more than this one sees.
    fn fleet_share(&self, now: Duration, service: &str) -> Share {
        let (mut seen, mut share) = (Share::default(), Share::default());
        let is_shared = |key| !self.confinement.is_confined_host(service, key);
        let usable = self.rules.usable(now, &self.fleet, service);
        for (_, side) in usable.filter(|(key, _)| is_shared(*key)) {
            seen = seen.plus(side.processors());
            share = share.plus(side.share());
        }
        let all = self.peers.shares(service).fold(share, Share::plus);
        if all.total > seen.total { all } else { seen }
    }
}

/// Work and hosts that a job meets, from which its wait is forecast at any level.
#[derive(Debug)]
pub(super) struct Load {
    /// Remaining time in which the first sides are expected; zero after that.
    startup_left: Duration,
    /// Waiting work in core-milliseconds, by level.
    waiting: Vec<(u8, u64)>,
    /// Arriving work in core-milliseconds per second, by level.
    arriving: Vec<(u8, u64)>,
    /// Run time divided by estimate, at least 1.
    mean_slowness: f64,
    /// Work that free hosts can start at once, in core-milliseconds.
    free_work: f64,
    /// Capacity, in core-milliseconds per second.
    throughput: f64,
}

impl Load {
    /// Forecasts the wait at a level.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    pub(super) fn forecast(&self, level: u8) -> Forecast {
        let work_at = |levels: &[(u8, u64)], level| {
            work_ahead(levels.iter().copied(), level) as f64 * self.mean_slowness
        };
        let overtaking = level.checked_sub(1).map_or(0.0, |above| {
            work_at(&self.arriving, above) / self.throughput
        });
        Forecast {
            startup_left: self.startup_left,
            queued_work: work_at(&self.waiting, level) - self.free_work,
            overtaking: overtaking.min(if level == LATE_LEVEL {
                MAX_OVERTAKING_LATE
            } else {
                MAX_OVERTAKING
            }),
            throughput: self.throughput,
        }
    }
}

/// Inputs from which the wait of a job is estimated.
#[derive(Debug)]
pub(super) struct Forecast {
    /// Remaining time in which the first sides are expected; zero after that.
    startup_left: Duration,
    /// Work queued before it, in core-milliseconds; negative if there is room.
    queued_work: f64,
    /// Share of the processor time that more urgent arrivals take, from 0 to 1.
    overtaking: f64,
    /// Capacity, in core-milliseconds per second.
    throughput: f64,
}

impl Forecast {
    /// Returns the expected wait of a job of `own` core-milliseconds. More urgent
    /// jobs also overtake it while some of its own tasks wait.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    pub(super) fn wait(&self, own: u64) -> Duration {
        let left = self.throughput * (1.0 - self.overtaking);
        let work = self.queued_work + own as f64 * self.overtaking;
        let seconds = if work > 0.0 { work / left } else { 0.0 };
        self.startup_left + Duration::from_secs_f64(seconds.min(3_600.0))
    }
}

/// Returns the work of a job's waiting tasks, in core-milliseconds.
fn waiting_work(job: &Job) -> u64 {
    let steps = job.tasks.iter().zip(&job.submission.steps);
    steps
        .map(|(slots, step)| {
            let waiting = slots.iter().filter(|slot| slot.state == State::Waiting);
            waiting.count() as u64 * step.work()
        })
        .sum()
}
