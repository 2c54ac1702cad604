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
    /// Forecasts the wait of a job, which may belong to a confined queue.
    pub(super) fn forecast_job(&self, now: Duration, job: &Job, level: u8) -> Forecast {
        if self.confinement.is_confined(&job.queue) {
            self.forecast_confined(now, &job.service)
        } else {
            self.forecast(now, &job.service, level)
        }
    }

    /// Forecasts the wait of a confined queue's job, from this entry's share of the
    /// hosts of the service's confined queues.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    fn forecast_confined(&self, now: Duration, service: &str) -> Forecast {
        let usable = self.rules.usable(now, &self.fleet, service);
        let share = usable
            .filter(|(key, _)| self.confinement.is_confined_host(service, *key))
            .fold(Share::default(), |sum, (_, side)| sum.plus(side.share()));
        let of_service = |job: &&Job| job.service == service;
        let queued_work: u64 = self
            .confined_jobs()
            .filter(of_service)
            .map(waiting_work)
            .sum();
        Forecast {
            startup_left: Duration::ZERO,
            queued_work: queued_work as f64 * self.fleet.mean_slowness.max(1.0)
                - share.free as f64 * self.fleet.mean_run_ms / 1e3,
            overtaking: 0.0,
            throughput: share.total.max(1) as f64,
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

    /// Forecasts a job's wait from the work at all entries and the usable sides.
    #[expect(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
    pub(super) fn forecast(&self, now: Duration, service: &str, level: u8) -> Forecast {
        let fleet = self.fleet_share(now, service);
        if fleet.total == 0 && self.admission.is_starting(now) {
            return Forecast {
                startup_left: self.admission.startup_left(now),
                ..Forecast::default()
            };
        }
        let throughput = fleet.total.max(1) as f64;
        let mean_slowness = self.fleet.mean_slowness.max(1.0);
        let waiting = self.unconfined_work();
        let queued_work = work_ahead(waiting.chain(self.peers.waiting()), level) as f64;
        let arriving = self.admission.arriving(now).chain(self.peers.arriving());
        let overtaking = match level.checked_sub(1) {
            Some(above) => work_ahead(arriving, above) as f64 * mean_slowness / throughput,
            None => 0.0,
        };
        Forecast {
            startup_left: Duration::ZERO,
            queued_work: queued_work * mean_slowness
                - fleet.free as f64 * self.fleet.mean_run_ms / 1e3,
            overtaking: overtaking.min(if level == LATE_LEVEL {
                MAX_OVERTAKING_LATE
            } else {
                MAX_OVERTAKING
            }),
            throughput,
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

/// Inputs from which the wait of a job is estimated.
#[derive(Debug, Clone, Copy, Default)]
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
