//! State and choices of placement: the waiting tasks, the steps to announce, and
//! the side on which a task costs least.

use super::{
    backlog::Backlog,
    confinement::Eligibility,
    fleet::{Fleet, Key, Side},
    job::{Job, State},
    usual::Usual,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{collections::BTreeSet, time::Duration};
use wire::lease::Task;

/// Number of sides to which a step with waiting tasks is announced, at least.
const MIN_RESERVE_SIDES: usize = 16;
/// The same for each waiting task; the larger number applies.
const RESERVE_SIDES_PER_TASK: usize = 2;

/// Weight of a host's used share in the placement cost, relative to the run time at
/// a host of usual speed.
const LOAD_WEIGHT: f64 = 0.25;

/// Weight of the tie-breaker, which keeps entries from all choosing one side.
const RANDOM_WEIGHT: f64 = 0.15;

/// Placement cost of another failure domain, in the same unit.
const DOMAIN_COST: f64 = 0.02;

/// Placement state of an entry.
#[derive(Debug)]
pub(super) struct Placement {
    /// The entry's own failure domain.
    domain: String,
    /// Differs between entries, so that they break ties differently.
    salt: u64,
    random: SmallRng,
    /// Factor on the run time of a task on another rack than its data.
    remote_factor: f64,
    waiting: Backlog,
    /// Steps with waiting tasks for which no [`wire::lease::Frame::Reserve`] was
    /// sent.
    unreserved: BTreeSet<(u64, u16)>,
    /// Whether a change since the last round may let waiting tasks start.
    round_requested: bool,
}

impl Placement {
    /// Makes the state of an entry without waiting tasks. Entries with different
    /// seeds choose differently between equal sides.
    pub(super) fn new(domain: &str, seed: u64) -> Self {
        Self {
            domain: domain.to_owned(),
            salt: seed,
            random: SmallRng::seed_from_u64(seed),
            remote_factor: 1.0,
            waiting: Backlog::default(),
            unreserved: BTreeSet::new(),
            round_requested: false,
        }
    }

    /// Sets the factor on the run time of a task on another rack than its data.
    pub(super) fn set_remote_factor(&mut self, factor: f64) {
        self.remote_factor = factor;
    }

    /// Returns the waiting tasks.
    pub(super) fn backlog(&self) -> &Backlog {
        &self.waiting
    }

    /// Requests a placement round.
    pub(super) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// Returns whether a round was requested since the last call.
    pub(super) fn take_round_request(&mut self) -> bool {
        std::mem::take(&mut self.round_requested)
    }

    /// Adds a waiting task of a job.
    pub(super) fn enqueue(&mut self, job: &Job, task: Task) {
        self.waiting.insert(job.rank, task, job.step(task).work());
        self.postpone_announcement(task.job, task.step);
        self.request_round();
    }

    /// Removes a waiting task of a job.
    pub(super) fn dequeue(&mut self, job: &Job, task: Task) {
        self.waiting.remove(job.rank, task, job.step(task).work());
    }

    /// Updates a job's sort key and moves its waiting tasks accordingly.
    pub(super) fn rerank(&mut self, now: Duration, job: &mut Job) {
        let rank = job.rank_at(now);
        let old = std::mem::replace(&mut job.rank, rank);
        if old == rank {
            return;
        }
        for task in job.waiting() {
            let work = job.step(task).work();
            if self.waiting.remove(old, task, work) {
                self.waiting.insert(rank, task, work);
            }
        }
    }

    /// Notes that a step with waiting tasks is to be announced in a later round.
    pub(super) fn postpone_announcement(&mut self, job: u64, step: u16) {
        self.unreserved.insert((job, step));
    }

    /// Takes the steps that are to be announced.
    pub(super) fn take_unannounced(&mut self) -> BTreeSet<(u64, u16)> {
        std::mem::take(&mut self.unreserved)
    }

    /// Returns random sides to which a step with `count` waiting tasks is
    /// announced, with their clocks as last reported. Sides on which a task would miss
    /// the objective come last.
    pub(super) fn choose_announced(
        &mut self,
        eligibility: &Eligibility,
        usual: &Usual,
        job: &Job,
        (number, count): (u16, u16),
    ) -> Vec<(Key, u64)> {
        let (now, fleet) = (eligibility.now, eligibility.fleet);
        let step = &job.submission.steps[usize::from(number)];
        let mut sides: Vec<(Key, u64)> = fleet
            .iter()
            .filter(|(_, side)| step.need.fits(side.capacity()))
            .filter(|(key, side)| eligibility.admits(*key, side, job, step.label.as_deref()))
            .map(|(key, side)| (key, side.status.map_or(0, |status| status.clock)))
            .collect();
        sides.shuffle(&mut self.random);
        if !fleet.speeds(&job.service).uniform {
            let left = job.due.saturating_sub(now);
            let run = predict_run(fleet, usual, job, step.estimate);
            let is_late = |side: &Side| run.mul_f64(1.0 / side.speed()) > left;
            sides.sort_by_cached_key(|(key, _)| fleet.get(*key).is_some_and(is_late));
        }
        sides.truncate(MIN_RESERVE_SIDES.max(usize::from(count) * RESERVE_SIDES_PER_TASK));
        sides
    }

    /// Returns the side with room for a task on which it costs least. The side of
    /// its last unsuccessful run is chosen only if no other has room.
    pub(super) fn choose_side(
        &self,
        eligibility: &Eligibility,
        usual: &Usual,
        job: &Job,
        task: Task,
    ) -> Option<Key> {
        let (now, fleet) = (eligibility.now, eligibility.fleet);
        let step = job.step(task);
        let avoid = job.tasks[usize::from(task.step)][usize::from(task.index)].avoid;
        let suspicious = job.is_suspicious(task);
        let outlook = Outlook::of(now, fleet, usual, job, task);
        let mut best: Option<(f64, Key)> = None;
        let mut fallback = None;
        for (key, side) in fleet.iter() {
            if !step.need.fits(side.room())
                || !eligibility.admits(key, side, job, step.label.as_deref())
                || is_at_host_limit(job, step.max_per_host, task, key)
                || (suspicious && side.has_trial(now))
            {
                continue;
            }
            if avoid == Some(key) {
                fallback = Some(key);
                continue;
            }
            let cost = self.cost(&outlook, side, step.rack.as_deref())
                + self.tie_break(key, task) * RANDOM_WEIGHT;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key).or(fallback)
    }

    /// Returns the factor on the run time of a task whose data is on a rack.
    pub(super) fn distance(&self, side: &Side, rack: Option<&str>) -> f64 {
        let off_rack = rack.is_some_and(|rack| {
            side.upstream
                .as_ref()
                .is_none_or(|known| known.labels.iter().all(|own| own != rack))
        });
        if off_rack { self.remote_factor } else { 1.0 }
    }

    /// Returns the run time that is usual for a task at a host of usual speed, as far
    /// from its data as a side; `None` while it is unknown.
    pub(super) fn usual_run(
        &self,
        usual: &Usual,
        side: &Side,
        job: &Job,
        task: Task,
    ) -> Option<Duration> {
        let step = job.step(task);
        let ratio = usual.ratio(&job.queue)?;
        let distance = self.distance(side, step.rack.as_deref());
        Some(step.estimate.mul_f64(ratio * distance))
    }

    fn cost(&self, outlook: &Outlook, side: &Side, rack: Option<&str>) -> f64 {
        let capacity = side.capacity().cpu;
        let used = 1.0 - f64::from(side.room().cpu) / f64::from(capacity.max(1));
        let distance = self.distance(side, rack);
        distance
            + outlook.delay(distance, side)
            + used * LOAD_WEIGHT
            + if side.domain == self.domain {
                0.0
            } else {
                DOMAIN_COST
            }
    }

    /// Returns a number from 0 to 1, hashed from the side, the task and the entry.
    fn tie_break(&self, key: Key, task: Task) -> f64 {
        let mixed = (key.0 ^ self.salt)
            .wrapping_add(task.job.rotate_left(u32::from(task.index)))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        f64::from(u32::try_from(mixed >> 32).unwrap_or_default()) / f64::from(u32::MAX)
    }

    /// Returns a random pause from `least` to twice that, to spread resubmissions.
    pub(super) fn retry_delay(&mut self, least: Duration) -> Duration {
        least.mul_f64(self.random.random_range(1.0..2.0))
    }
}

/// What a task's end means for its job.
#[derive(Debug, Default)]
struct Outlook {
    /// Whether all hosts are equally fast.
    uniform: bool,
    /// Predicted run time at a host of usual speed, in seconds.
    run: f64,
    /// Predicted run time of the steps that depend on the task, in seconds.
    tail: f64,
    /// Time until the job's other tasks, and what depends on them, may have ended, in
    /// seconds.
    others: f64,
    /// Time in which the delay of the job is measured, in seconds.
    unit: f64,
}

impl Outlook {
    fn of(now: Duration, fleet: &Fleet, usual: &Usual, job: &Job, task: Task) -> Self {
        let speeds = fleet.speeds(&job.service);
        if speeds.uniform {
            return Self {
                uniform: true,
                ..Self::default()
            };
        }
        let seconds = |estimate| predict_run(fleet, usual, job, estimate).as_secs_f64();
        let mut others: f64 = 0.0;
        for (number, slots) in job.tasks.iter().enumerate() {
            let step = &job.submission.steps[number];
            let tail = seconds(job.tails[number]);
            let (run, own_step) = (seconds(step.estimate), number == usize::from(task.step));
            for (index, slot) in slots.iter().enumerate() {
                if own_step && index == usize::from(task.index) {
                    continue;
                }
                let left = match slot.state {
                    State::Blocked | State::Done => continue,
                    State::Waiting => run / speeds.fastest,
                    State::Placed { .. } => slot.plan.ends_at.saturating_sub(now).as_secs_f64(),
                };
                others = others.max(left + tail);
            }
        }
        let run = seconds(job.step(task).estimate);
        Self {
            uniform: false,
            run,
            tail: seconds(job.tails[usize::from(task.step)]),
            others,
            // The objective allows a fixed time beside a multiple of the run time, so
            // a short task loses less by a slow host than a long one.
            unit: (run + job.target.as_secs_f64()).max(1e-3),
        }
    }

    /// Returns by how much a side's speed delays the job, relative to its run time.
    fn delay(&self, distance: f64, side: &Side) -> f64 {
        if self.uniform {
            return 0.0;
        }
        let usual = self.run * distance;
        let end = |run: f64| (run + self.tail).max(self.others);
        (end(usual / side.speed()) - end(usual)) / self.unit
    }
}

/// Predicts the run time of an estimate at a host of usual speed.
pub(super) fn predict_run(fleet: &Fleet, usual: &Usual, job: &Job, estimate: Duration) -> Duration {
    let mean = Some(fleet.mean_slowness).filter(|mean| *mean > 0.0);
    let ratio = usual.ratio(&job.queue).or(mean).unwrap_or(1.0);
    estimate.mul_f64(ratio)
}

/// Returns whether a side has as many tasks of the step as one host may run.
pub(super) fn is_at_host_limit(job: &Job, limit: Option<u16>, task: Task, key: Key) -> bool {
    let Some(most) = limit else { return false };
    let placed_there = job.tasks[usize::from(task.step)]
        .iter()
        .filter(|slot| matches!(slot.state, State::Placed { side, .. } if side == key));
    placed_there.count() >= usize::from(most)
}
