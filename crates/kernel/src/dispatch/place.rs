//! Placement: which waiting task is next, and on which side it runs.

use super::{
    Dispatcher, Event, Key, Way,
    backlog::Rank,
    confinement::Eligibility,
    fleet::Side,
    job::{Plan, State},
    placement::{is_at_host_limit, predict_run},
};
use crate::millis;
use std::{collections::BTreeMap, time::Duration};
use wire::lease::{Frame, Progress, Reserve, Run, Start, Step, Task};

/// Number of tasks without a suitable side after which a placement round ends.
const MAX_MISSES: u32 = 12;

/// Time to stop a run and start it elsewhere, without the run time itself.
const MOVE_COST: Duration = Duration::from_millis(80);

/// Time without progress after which a run may count as stalled.
const STALL_TIME: Duration = Duration::from_millis(400);

/// Percent of its work that a stalled run would have done meanwhile at its mean rate.
const STALL_PERCENTS: u32 = 5;

impl Dispatcher {
    /// Places waiting tasks in order, until too many have found no side.
    pub(super) fn place(&mut self, now: Duration) {
        if self.pause.is_catching_up() {
            return;
        }
        let mut misses = 0;
        let mut orders: BTreeMap<(Key, u64, u16), Vec<Run>> = BTreeMap::new();
        let mut sequence: Vec<(Key, u64, u16)> = Vec::new();
        let mut last = None;
        while misses < MAX_MISSES {
            let Some((rank, task)) = self.placement.backlog().next(last) else {
                break;
            };
            let group = self.next_group(rank, task);
            last = group.last().map(|task| (rank, *task));
            for task in self.longest_first(group) {
                match self.place_task(now, task) {
                    Attempt::Placed(side, run) => {
                        let key = (side, task.job, task.step);
                        let runs = orders.entry(key).or_insert_with(|| {
                            sequence.push(key);
                            Vec::new()
                        });
                        runs.push(run);
                    }
                    Attempt::NoRoom => misses += 1,
                    Attempt::Deferred => {}
                }
            }
        }
        for key in sequence {
            let runs = orders.remove(&key).unwrap_or_default();
            self.send_start(key, runs);
            self.unreserve(key.1, key.2);
            self.rerank(now, key.1);
        }
        if misses > 0 {
            for (job, step) in self.placement.take_unannounced() {
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
            if let Some(job) = self.jobs.get(&id) {
                self.fairness.record_miss(now, &job.queue);
            }
        }
    }

    /// Updates a job's sort key and moves its waiting tasks accordingly.
    pub(super) fn rerank(&mut self, now: Duration, id: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            self.placement.rerank(now, job);
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
        if job.is_paused(now, number) || self.may_be_held_elsewhere(now, id) {
            self.placement.postpone_announcement(id, number);
            return;
        }
        let step = &job.submission.steps[usize::from(number)];
        let eligibility = Eligibility {
            now,
            rules: &self.rules,
            fleet: &self.fleet,
            confinement: &self.confinement,
        };
        let sides =
            self.placement
                .choose_announced(&eligibility, &self.usual, job, (number, count));
        let reserve = |clock| Reserve {
            clock,
            step: Step { job: id, number },
            count,
            need: step.need,
            level: job.level,
            slack: u32::try_from(millis(job.start_by.saturating_sub(now))).unwrap_or(u32::MAX),
            begun: job.may_have_run(),
        };
        let frames: Vec<(Key, Frame)> = sides
            .iter()
            .map(|(key, clock)| (*key, Frame::Reserve(reserve(*clock))))
            .collect();
        if frames.is_empty() {
            self.placement.postpone_announcement(id, number);
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
                self.placement.postpone_announcement(step.job, step.number);
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
        if self.pause.is_catching_up() || self.may_be_held_elsewhere(now, step.job) {
            return None;
        }
        let job = self.jobs.get(&step.job)?;
        let side = self.fleet.get(from)?;
        let task = job.claimable(now, step.number, from)?;
        let wanted = job.step(task);
        let allowed = self
            .eligibility(now)
            .admits(from, side, job, wanted.label.as_deref())
            && !(job.is_suspicious(task) && side.has_trial(now))
            && !is_at_host_limit(job, wanted.max_per_host, task, from);
        allowed.then_some(task)
    }

    fn place_task(&mut self, now: Duration, task: Task) -> Attempt {
        if self.may_be_held_elsewhere(now, task.job) {
            return Attempt::Deferred;
        }
        let slot = self.jobs.get_mut(&task.job).and_then(|job| job.slot(task));
        if let Some(slot) = slot {
            if slot.not_before > now {
                return Attempt::Deferred;
            }
            if slot.claim_only_until > now {
                return Attempt::NoRoom;
            }
        }
        let Some(key) = self.choose_side(now, task) else {
            return Attempt::NoRoom;
        };
        match self.assign(now, task, key, false) {
            Some(run) => Attempt::Placed(key, run),
            None => Attempt::NoRoom,
        }
    }

    /// Creates the next run of a task at a side, without sending it.
    fn assign(&mut self, now: Duration, task: Task, key: Key, claimed: bool) -> Option<Run> {
        let job = self.jobs.get_mut(&task.job)?;
        let need = job.step(task).need;
        if job.rank.unstarted {
            self.accuracy.record_start(now, task.job);
        }
        self.placement.dequeue(job, task);
        let slot = job.slot(task)?;
        let suspicious = slot.crashes.are_suspicious();
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
        let plan = self.plan(now, task, key)?;
        self.jobs.get_mut(&task.job)?.slot(task)?.plan = plan;
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
        if suspicious {
            side.record_trial(now, run);
        }
        Some(run)
    }

    /// Sends the runs of one step to a side.
    fn send_start(&mut self, (key, job, step): (Key, u64, u16), runs: Vec<Run>) {
        let (Some(job), Some(side)) = (self.jobs.get(&job), self.fleet.get_mut(key)) else {
            return;
        };
        self.stats.runs += runs.len() as u64;
        let task = job.id(step, 0);
        let usual = self.placement.usual_run(&self.usual, side, job, task);
        let suspicious = |run: &&Run| job.is_suspicious(run.task);
        let trials = runs.iter().filter(suspicious).copied().collect();
        let step = &job.submission.steps[usize::from(step)];
        let start = Start {
            clock: side.status.map_or(0, |status| status.clock),
            input: job.submission.input.clone(),
            need: step.need,
            estimate: u32::try_from(millis(step.estimate)).unwrap_or(u32::MAX),
            usual: usual.map_or(0, |usual| u32::try_from(millis(usual)).unwrap_or(u32::MAX)),
            runs,
            trials,
        };
        self.send(key, Frame::Start(start));
    }

    /// Returns the side with room for a task on which it costs least.
    fn choose_side(&self, now: Duration, task: Task) -> Option<Key> {
        let job = self.jobs.get(&task.job)?;
        let eligibility = self.eligibility(now);
        self.placement
            .choose_side(&eligibility, &self.usual, job, task)
    }

    /// Returns what is expected of a run that starts at a side now.
    fn plan(&self, now: Duration, task: Task, key: Key) -> Option<Plan> {
        let job = self.jobs.get(&task.job)?;
        let side = self.fleet.get(key)?;
        let step = job.step(task);
        let distance = self.placement.distance(side, step.rack.as_deref());
        let run = predict_run(&self.fleet, &self.usual, job, step.estimate);
        Some(Plan {
            usual: self.placement.usual_run(&self.usual, side, job, task),
            distance,
            rate: side.speed(),
            ends_at: now + run.mul_f64(distance / side.speed()),
        })
    }

    /// Returns the waiting tasks of a job from the first one on. While hosts are
    /// equally fast, the order within a job does not matter: only the first then.
    fn next_group(&self, rank: Rank, first: Task) -> Vec<Task> {
        let uniform = self
            .jobs
            .get(&first.job)
            .is_none_or(|job| self.fleet.speeds(&job.service).uniform);
        let mut group = vec![first];
        while !uniform
            && let Some(last) = group.last()
            && let Some((_, next)) = self.placement.backlog().next(Some((rank, *last)))
            && next.job == first.job
        {
            group.push(next);
        }
        group
    }

    /// Sorts tasks of one job so that the longest are placed on the fastest hosts.
    fn longest_first(&self, mut group: Vec<Task>) -> Vec<Task> {
        if group.len() > 1
            && let Some(job) = group.first().and_then(|task| self.jobs.get(&task.job))
        {
            group.sort_by_key(|task| std::cmp::Reverse(job.step(*task).estimate));
        }
        group
    }

    /// Adds a waiting task to the backlog.
    pub(super) fn enqueue(&mut self, task: Task) {
        if let Some(job) = self.jobs.get(&task.job) {
            self.placement.enqueue(job, task);
        }
    }

    /// Returns whether a run is stalled or would end sooner on another host.
    pub(super) fn should_move(&self, now: Duration, progress: Progress) -> bool {
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
        let is_sooner = |side: &Side| left > typical.mul_f64(2.0 / side.speed()) + MOVE_COST;
        let fastest = self.fleet.speeds(&job.service).fastest;
        left > typical.mul_f64(2.0 / fastest) + MOVE_COST
            && self
                .choose_side(now, task)
                .and_then(|key| self.fleet.get(key))
                .is_some_and(is_sooner)
    }

    /// Returns whether another upstream of the service is in use.
    fn has_alternative(&self, now: Duration, service: &str, run: Run) -> bool {
        self.rules
            .usable(now, &self.fleet, service)
            .any(|(_, side)| !side.runs.contains(&run))
    }

    /// Returns whether any upstream of a service is in use.
    pub(super) fn is_served(&self, now: Duration, service: &str) -> bool {
        let mut usable = self.rules.usable(now, &self.fleet, service);
        usable.next().is_some()
    }
}

/// Returns whether a run has stalled for [`STALL_TIME`] and [`STALL_PERCENTS`].
pub(super) fn is_stalled(progress: Progress) -> bool {
    let stalled = Duration::from_millis(progress.stalled.into());
    let active = progress.elapsed.saturating_sub(progress.stalled);
    let step = active / u32::from(progress.percent.max(1));
    stalled >= STALL_TIME && stalled > Duration::from_millis(step.into()) * STALL_PERCENTS
}

/// Outcome of an attempt to place a task.
enum Attempt {
    Placed(Key, Run),
    NoRoom,
    Deferred,
}
