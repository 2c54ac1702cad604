//! Placement: which waiting task is next, and on which side it runs.

use super::{Dispatcher, Event, Job, Key, Way, fleet::Side, job::State};
use crate::millis;
use rand::{RngExt, seq::SliceRandom};
use std::{collections::BTreeMap, time::Duration};
use wire::lease::{Frame, Progress, Reserve, Run, Start, Step, Task};

/// Number of tasks without a suitable side after which a placement round ends.
const MAX_MISSES: u32 = 12;

/// Number of sides to which a step with waiting tasks is announced, at least.
const MIN_RESERVE_SIDES: usize = 16;
/// The same for each waiting task; the larger number applies.
const RESERVE_SIDES_PER_TASK: usize = 2;

/// Weight of a host's used share in the placement cost, relative to slowness.
const LOAD_WEIGHT: f64 = 0.25;

/// Weight of the tie-breaker, which keeps entries from all choosing one side.
const RANDOM_WEIGHT: f64 = 0.15;

/// Placement cost of another failure domain, relative to slowness.
const DOMAIN_COST: f64 = 0.02;

/// Time to stop a run and start it elsewhere, without the run time itself.
const MOVE_COST: Duration = Duration::from_millis(80);

/// Time without progress after which a run may count as stalled.
const STALL_TIME: Duration = Duration::from_millis(400);

/// Percent of its work that a stalled run would have done meanwhile at its mean rate.
const STALL_PERCENTS: u32 = 5;

impl Dispatcher {
    /// Places waiting tasks in order, until too many have found no side.
    pub(super) fn place(&mut self, now: Duration) {
        let mut misses = 0;
        let mut orders: BTreeMap<(Key, u64, u16), Vec<Run>> = BTreeMap::new();
        let mut sequence: Vec<(Key, u64, u16)> = Vec::new();
        let mut last = None;
        while misses < MAX_MISSES {
            let Some((rank, task)) = self.waiting.next(last) else {
                break;
            };
            last = Some((rank, task));
            match self.place_task(now, task) {
                Placement::Placed(side, run) => {
                    let key = (side, task.job, task.step);
                    let runs = orders.entry(key).or_insert_with(|| {
                        sequence.push(key);
                        Vec::new()
                    });
                    runs.push(run);
                }
                Placement::NoRoom => misses += 1,
                Placement::Deferred => {}
            }
        }
        for key in sequence {
            let runs = orders.remove(&key).unwrap_or_default();
            self.send_start(key, runs);
            self.unreserve(key.1, key.2);
            self.rerank(now, key.1);
        }
        if misses > 0 {
            for (job, step) in std::mem::take(&mut self.unreserved) {
                self.reserve(now, job, step);
            }
        }
    }

    /// Ranks unstarted jobs last once they can't meet their objectives any more.
    pub(super) fn demote_late(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.rank.unstarted && !job.rank.late && now > job.start_by)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.rerank(now, id);
        }
    }

    /// Updates a job's sort key and moves its waiting tasks accordingly.
    pub(super) fn rerank(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
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

    /// Announces a step with waiting tasks to some sides, which reserve room for it.
    fn reserve(&mut self, now: Duration, id: u64, number: u16) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let count = job.count_waiting(number);
        if count == 0 || job.reserved.iter().any(|(known, _)| *known == number) {
            return;
        }
        if job.is_paused(now, number) {
            self.unreserved.insert((id, number));
            return;
        }
        let step = &job.submission.steps[usize::from(number)];
        let mut sides: Vec<(Key, u64)> = self
            .fleet
            .iter()
            .filter(|(_, side)| self.may_run(now, side, &job.service, step.label.as_deref()))
            .filter(|(_, side)| step.need.fits(side.capacity()))
            .map(|(key, side)| (key, side.status.map_or(0, |status| status.clock)))
            .collect();
        sides.shuffle(&mut self.random);
        sides.truncate(MIN_RESERVE_SIDES.max(usize::from(count) * RESERVE_SIDES_PER_TASK));
        let reserve = |clock| Reserve {
            clock,
            step: Step { job: id, number },
            count,
            need: step.need,
            priority: job.priority,
            slack: u32::try_from(millis(job.start_by.saturating_sub(now))).unwrap_or(u32::MAX),
            begun: job.may_have_run(),
        };
        let frames: Vec<(Key, Frame)> = sides
            .iter()
            .map(|(key, clock)| (*key, Frame::Reserve(reserve(*clock))))
            .collect();
        if frames.is_empty() {
            self.unreserved.insert((id, number));
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            let known = sides.iter().map(|(key, _)| (number, *key));
            job.reserved.extend(known);
        }
        for (key, frame) in frames {
            self.send(key, frame);
        }
    }

    /// Withdraws a step's announcement once none of its tasks waits.
    fn unreserve(&mut self, id: u64, number: u16) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.reserved.is_empty() || job.count_waiting(number) > 0 {
            return;
        }
        let known: Vec<Key> = job
            .reserved
            .extract_if(.., |(step, _)| *step == number)
            .map(|(_, key)| key)
            .collect();
        for key in known {
            self.send(key, Frame::Unreserve(Step { job: id, number }));
        }
    }

    /// Sends a waiting task to a side that has reserved room for its step.
    pub(super) fn grant_claim(&mut self, now: Duration, from: Key, step: Step) {
        let task = self.claimed_task(now, from, step);
        let Some(task) = task else {
            if let Some(job) = self.jobs.get_mut(&step.job) {
                job.reserved.retain(|known| *known != (step.number, from));
                self.unreserved.insert((step.job, step.number));
            }
            self.send(from, Frame::Unreserve(step));
            return;
        };
        let is_first = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| !job.may_have_run());
        if let Some(run) = self.assign(now, task, from, true) {
            self.send_start((from, step.job, step.number), vec![run]);
        }
        self.unreserve(step.job, step.number);
        if is_first {
            self.rerank(now, step.job);
            self.promote(now, step);
        }
    }

    /// Announces a step again after its job's first start, which raises its rank.
    fn promote(&mut self, now: Duration, step: Step) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        if job.count_waiting(step.number) > 0 {
            job.reserved.retain(|(known, _)| *known != step.number);
            self.reserve(now, step.job, step.number);
        }
    }

    fn claimed_task(&self, now: Duration, from: Key, step: Step) -> Option<Task> {
        let job = self.jobs.get(&step.job)?;
        let side = self.fleet.get(from)?;
        let task = job.claimable(now, step.number, from)?;
        let wanted = job.step(task);
        let allowed = self.may_run(now, side, &job.service, wanted.label.as_deref())
            && !is_at_host_limit(job, wanted.max_per_host, task, from);
        allowed.then_some(task)
    }

    fn place_task(&mut self, now: Duration, task: Task) -> Placement {
        let slot = self.jobs.get_mut(&task.job).and_then(|job| job.slot(task));
        if let Some(slot) = slot {
            if slot.not_before > now {
                return Placement::Deferred;
            }
            if slot.claim_only_until > now {
                return Placement::NoRoom;
            }
        }
        let Some(key) = self.choose_side(now, task) else {
            return Placement::NoRoom;
        };
        match self.assign(now, task, key, false) {
            Some(run) => Placement::Placed(key, run),
            None => Placement::NoRoom,
        }
    }

    /// Creates the next run of a task at a side, without sending it.
    fn assign(&mut self, now: Duration, task: Task, key: Key, claimed: bool) -> Option<Run> {
        let job = self.jobs.get_mut(&task.job)?;
        let need = job.step(task).need;
        self.waiting.remove(job.rank, task, job.step(task).work());
        let slot = job.slot(task)?;
        slot.attempt += 1;
        let run = Run {
            task,
            attempt: slot.attempt,
        };
        slot.state = State::Placed {
            side: key,
            attempt: slot.attempt,
        };
        let waited = now.saturating_sub(job.accepted);
        let side = self.fleet.get_mut(key)?;
        self.events.push(Event::Placed {
            run,
            side: key,
            way: if claimed { Way::Claim } else { Way::Room },
            room: side.room().cpu,
            report_age: now.saturating_sub(side.last_received),
            waited,
        });
        side.runs.insert(run);
        side.record_start(need, claimed);
        Some(run)
    }

    /// Sends the runs of one step to a side.
    fn send_start(&mut self, (key, job, step): (Key, u64, u16), runs: Vec<Run>) {
        let (Some(job), Some(side)) = (self.jobs.get(&job), self.fleet.get_mut(key)) else {
            return;
        };
        self.stats.runs += runs.len() as u64;
        let step = &job.submission.steps[usize::from(step)];
        let start = Start {
            clock: side.status.map_or(0, |status| status.clock),
            input: job.submission.input.clone(),
            need: step.need,
            estimate: u32::try_from(millis(step.estimate)).unwrap_or(u32::MAX),
            runs,
        };
        self.send(key, Frame::Start(start));
    }

    fn choose_side(&mut self, now: Duration, task: Task) -> Option<Key> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task);
        let avoid = job.tasks[usize::from(task.step)][usize::from(task.index)].avoid;
        let mut best: Option<(f64, Key)> = None;
        let mut fallback = None;
        for (key, side) in self.fleet.iter() {
            if !self.may_run(now, side, &job.service, step.label.as_deref())
                || !step.need.fits(side.room())
                || is_at_host_limit(job, step.max_per_host, task, key)
            {
                continue;
            }
            if avoid == Some(key) {
                fallback = Some(key);
                continue;
            }
            let cost =
                self.cost(side, step.rack.as_deref()) + self.tie_break(key, task) * RANDOM_WEIGHT;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key).or(fallback)
    }

    /// Returns whether a side's domain, state and upstream admit a service's task.
    pub(super) fn may_run(
        &self,
        now: Duration,
        side: &Side,
        service: &str,
        label: Option<&str>,
    ) -> bool {
        let Some(host) = &side.upstream else {
            return false;
        };
        let out = self
            .rules
            .as_ref()
            .is_none_or(|rules| rules.out.contains(&side.domain));
        let tagged = label.is_none_or(|label| host.labels.iter().any(|own| own == label));
        !out && tagged && host.service == service && side.is_available(now) && !side.is_ejected(now)
    }

    fn cost(&self, side: &Side, rack: Option<&str>) -> f64 {
        let capacity = side.capacity().cpu;
        let used = 1.0 - f64::from(side.room().cpu) / f64::from(capacity.max(1));
        let off_rack = rack.is_some_and(|rack| {
            side.upstream
                .as_ref()
                .is_none_or(|known| known.labels.iter().all(|own| own != rack))
        });
        let slowness = side.slowness / self.fleet.mean_slowness.max(1e-3);
        slowness * if off_rack { self.remote_factor } else { 1.0 }
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

    /// Adds a waiting task to the backlog.
    pub(super) fn enqueue(&mut self, task: Task) {
        if let Some(job) = self.jobs.get(&task.job) {
            self.waiting.insert(job.rank, task, job.step(task).work());
            self.unreserved.insert((task.job, task.step));
            self.needs_placement = true;
        }
    }

    /// Returns whether a run is stalled or would end sooner on another host.
    pub(super) fn should_move(&mut self, now: Duration, progress: Progress) -> bool {
        let task = progress.run.task;
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let placed = job.placed().iter().any(|(_, run)| *run == progress.run);
        if !placed {
            return false;
        }
        let typical = job
            .step(task)
            .estimate
            .mul_f64(self.fleet.mean_slowness.max(0.1));
        let elapsed = Duration::from_millis(progress.elapsed.into());
        if is_stalled(progress) {
            return self.has_alternative(now, &job.service, progress.run);
        }
        if progress.percent == 0 {
            return false;
        }
        let total = elapsed * 100 / u32::from(progress.percent);
        let left = total.saturating_sub(elapsed);
        left > typical * 2 + MOVE_COST && self.choose_side(now, task).is_some()
    }

    /// Returns whether another upstream of the service is in use.
    fn has_alternative(&self, now: Duration, service: &str, run: Run) -> bool {
        self.fleet
            .iter()
            .any(|(_, side)| !side.runs.contains(&run) && self.may_run(now, side, service, None))
    }

    /// Returns a random pause from `least` to twice that, to spread resubmissions.
    pub(super) fn retry_delay(&mut self, least: Duration) -> Duration {
        least.mul_f64(self.random.random_range(1.0..2.0))
    }

    /// Returns whether any upstream of a service is in use.
    pub(super) fn is_served(&self, now: Duration, service: &str) -> bool {
        self.fleet
            .iter()
            .any(|(_, side)| self.may_run(now, side, service, None))
    }
}

/// Returns whether a run has stalled for [`STALL_TIME`] and [`STALL_PERCENTS`].
fn is_stalled(progress: Progress) -> bool {
    let stalled = Duration::from_millis(progress.stalled.into());
    let active = progress.elapsed.saturating_sub(progress.stalled);
    let step = active / u32::from(progress.percent.max(1));
    stalled >= STALL_TIME && stalled > Duration::from_millis(step.into()) * STALL_PERCENTS
}

/// Outcome of an attempt to place a task.
enum Placement {
    Placed(Key, Run),
    NoRoom,
    Deferred,
}

/// Returns whether a side has as many tasks of the step as one host may run.
fn is_at_host_limit(job: &Job, limit: Option<u16>, task: Task, key: Key) -> bool {
    let Some(most) = limit else { return false };
    let placed_there = job.tasks[usize::from(task.step)]
        .iter()
        .filter(|slot| matches!(slot.state, State::Placed { side, .. } if side == key));
    placed_there.count() >= usize::from(most)
}
