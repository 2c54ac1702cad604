//! Which task is placed next, and where.

use super::{Dispatcher, Key, fleet::Side, job::State};
use crate::millis;
use hashbrown::HashMap;
use rand::RngExt;
use std::time::Duration;
use wire::lease::{Frame, Need, Progress, Run, Start, Task};

/// Order among waiting tasks: by priority, then by when their objectives are
/// missed.
pub(super) type Rank = (u8, Duration);

/// Waiting tasks that may find no room before the rest are not tried.
const MISSES: u32 = 12;

/// Weight of the used share of a host in the choice, against slowness.
const LOAD_WEIGHT: f64 = 0.25;

/// Weight of chance, which keeps entries from choosing alike.
const CHANCE_WEIGHT: f64 = 0.15;

/// Cost of another failure domain, against slowness.
const DOMAIN_WEIGHT: f64 = 0.02;

/// Factor on the slowness of a host away from a task's data.
const FAR_FACTOR: f64 = 1.5;

/// Time that a run takes to stop and start elsewhere, beside its own.
const MOVE_COST: Duration = Duration::from_millis(80);

/// Time without progress after which a run is moved at any cost.
const STILL: Duration = Duration::from_millis(400);

impl Dispatcher {
    /// Places as many waiting tasks as find room.
    pub(super) fn place(&mut self, now: Duration) {
        let mut misses = 0;
        let mut orders: HashMap<(Key, u64, u16), Vec<Run>> = HashMap::new();
        let mut sequence: Vec<(Key, u64, u16)> = Vec::new();
        let waiting: Vec<(Rank, Task)> = self.waiting.iter().copied().collect();
        for (rank, task) in waiting {
            if misses >= MISSES {
                break;
            }
            match self.place_task(now, task) {
                Placing::Placed(side, run) => {
                    self.waiting.remove(&(rank, task));
                    let key = (side, task.job, task.step);
                    let runs = orders.entry(key).or_insert_with(|| {
                        sequence.push(key);
                        Vec::new()
                    });
                    runs.push(run);
                }
                Placing::NoRoom => misses += 1,
                Placing::Later => {}
                Placing::Void => {
                    self.waiting.remove(&(rank, task));
                }
            }
        }
        for key in sequence {
            let runs = orders.remove(&key).unwrap_or_default();
            self.order(key, runs);
        }
    }

    fn place_task(&mut self, now: Duration, task: Task) -> Placing {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return Placing::Void;
        };
        let Some(slot) = job.slot(task) else {
            return Placing::Void;
        };
        if slot.state != State::Waiting {
            return Placing::Void;
        }
        if slot.resume > now {
            return Placing::Later;
        }
        let Some(key) = self.choose(now, task) else {
            return Placing::NoRoom;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return Placing::Void;
        };
        job.ordered = true;
        let need = job.step(task).need;
        let Some(slot) = job.slot(task) else {
            return Placing::Void;
        };
        slot.attempt += 1;
        let run = Run {
            task,
            attempt: slot.attempt,
        };
        slot.state = State::Placed {
            side: key,
            attempt: slot.attempt,
            since: now,
        };
        if let Some(side) = self.fleet.get_mut(key) {
            side.runs.insert(run);
            side.launch(need);
        }
        Placing::Placed(key, run)
    }

    /// Sends the runs of one step that go to one side.
    fn order(&mut self, (key, job, step): (Key, u64, u16), runs: Vec<Run>) {
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

    fn choose(&mut self, now: Duration, task: Task) -> Option<Key> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task);
        let avoid = job.tasks[usize::from(task.step)][usize::from(task.index)].avoid;
        let mut best: Option<(f64, Key)> = None;
        let mut fallback = None;
        for (key, side) in self.fleet.iter() {
            if !self.may_run(now, side, &job.service, step.label.as_deref())
                || !step.need.fits(side.room())
                || is_crowded(job, step.spread, task, key)
            {
                continue;
            }
            if avoid == Some(key) {
                fallback = Some(key);
                continue;
            }
            let cost = self.cost(side, step.rack.as_deref())
                + self.random_share(key, task) * CHANCE_WEIGHT;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key).or(fallback)
    }

    /// Returns whether the rules and the side's state allow a task there.
    fn may_run(&self, now: Duration, side: &Side, service: &str, label: Option<&str>) -> bool {
        let Some(upstream) = &side.upstream else {
            return false;
        };
        let out = self
            .rules
            .as_ref()
            .is_none_or(|rules| rules.out.contains(&side.domain));
        let labelled = label.is_none_or(|label| upstream.labels.iter().any(|own| own == label));
        !out && labelled
            && upstream.service == service
            && side.is_open(now)
            && !side.is_aside(now)
    }

    fn cost(&self, side: &Side, rack: Option<&str>) -> f64 {
        let capacity = side.upstream.as_ref().map_or(0, |known| known.capacity.cpu);
        let used = 1.0 - f64::from(side.room().cpu) / f64::from(capacity.max(1));
        let far = rack.is_some_and(|rack| {
            side.upstream
                .as_ref()
                .is_none_or(|known| known.labels.iter().all(|own| own != rack))
        });
        let slowness = side.slowness / self.fleet.mean.max(1e-3);
        slowness * if far { FAR_FACTOR } else { 1.0 }
            + used * LOAD_WEIGHT
            + if side.domain == self.domain { 0.0 } else { DOMAIN_WEIGHT }
    }

    /// Returns a number from 0 to 1 that differs from entry to entry.
    fn random_share(&self, key: Key, task: Task) -> f64 {
        let mixed = (key.0 ^ self.salt)
            .wrapping_add(task.job.rotate_left(u32::from(task.index)))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        f64::from(u32::try_from(mixed >> 32).unwrap_or_default()) / f64::from(u32::MAX)
    }

    /// Puts a task in the queue.
    pub(super) fn enqueue(&mut self, task: Task) {
        if let Some(job) = self.jobs.get(&task.job) {
            self.waiting.insert(((job.priority, job.due), task));
            self.changed = true;
        }
    }

    /// Returns whether a slow run would end sooner if it were stopped and
    /// started at another host.
    pub(super) fn is_better_elsewhere(&mut self, now: Duration, progress: Progress) -> bool {
        let task = progress.run.task;
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let placed = job.placed().iter().any(|(_, run)| *run == progress.run);
        if !placed {
            return false;
        }
        let typical = job.step(task).estimate.mul_f64(self.fleet.mean.max(0.1));
        let elapsed = Duration::from_millis(progress.elapsed.into());
        let hung = Duration::from_millis(progress.still.into()) >= STILL;
        let total = if progress.percent == 0 {
            elapsed * 100
        } else {
            elapsed * 100 / u32::from(progress.percent)
        };
        let left = total.saturating_sub(elapsed);
        let slow = left > typical * 2 + MOVE_COST;
        (hung || slow) && self.choose(now, task).is_some()
    }

    /// Returns a random pause for customers to come back after.
    pub(super) fn retry_pause(&mut self, least: Duration) -> Duration {
        least.mul_f64(self.random.random_range(1.0..2.0))
    }

    /// Returns all room that upstreams of a service have in use and free.
    pub(super) fn capacity(&self, now: Duration, service: &str) -> (Need, Need) {
        let mut all = Need::default();
        let mut free = Need::default();
        for (_, side) in self.fleet.iter() {
            if self.may_run(now, side, service, None)
                && let Some(upstream) = &side.upstream
            {
                all = all.plus(upstream.capacity);
                free = free.plus(side.room());
            }
        }
        (all, free)
    }
}

/// What became of an attempt to place a task.
enum Placing {
    Placed(Key, Run),
    NoRoom,
    Later,
    Void,
}

/// Returns whether a side has as many tasks of the step as may run at one host.
fn is_crowded(job: &super::Job, spread: Option<u16>, task: Task, key: Key) -> bool {
    let Some(most) = spread else { return false };
    let there = job.tasks[usize::from(task.step)]
        .iter()
        .filter(|slot| matches!(slot.state, State::Placed { side, .. } if side == key));
    there.count() >= usize::from(most)
}
