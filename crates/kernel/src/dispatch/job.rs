//! A job and its tasks, at the entry that accepted it.

use super::{backlog::Rank, crash_count::Crashes, fleet::Key, holding::Submitted};
use std::time::Duration;
use wire::lease::{Need, Queue, Run, Task};

/// Factor on a job's critical path for the decision whether it can still meet
/// its objective: estimates are rough, and a step takes as long as its slowest
/// task.
pub(super) const ESTIMATE_SAFETY_FACTOR: f64 = 1.3;

/// Largest processor time of a task, in core-milliseconds: 34 years of a core. Sums over
/// all tasks that wait stay within 64 bits.
const MAX_TASK_WORK: u64 = 1 << 40;

/// Factor on a job's objective after which the service contract counts the
/// answer as missed.
const USEFUL_FACTOR: u32 = 3;

/// Largest factor by which a run time above the estimate extends the objective;
/// customers' estimates are too low by up to this factor.
const MAX_OVERRUN_FACTOR: u32 = 2;

/// A step of a job: a number of tasks with the same requirements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task occupies while it runs.
    pub need: Need,
    /// Run time of a task, as the customer estimates it.
    pub estimate: Duration,
    /// Numbers of earlier steps whose tasks must all succeed first.
    pub depends_on: Vec<u16>,
    /// Label that the host must have.
    pub label: Option<String>,
    /// Rack on which the tasks run fastest.
    pub rack: Option<String>,
    /// Largest number of the step's tasks on one host at a time.
    pub max_per_host: Option<u16>,
}

/// A job as a customer submits it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Submission {
    /// Identifier of the job, chosen by the customer; the same on resubmission.
    pub job: u64,
    /// Input, passed to every task.
    pub input: String,
    /// The steps; each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Time that the customer waits for the answer, from submission.
    pub patience: Duration,
}

/// State of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// A step that it depends on has not ended.
    Blocked,
    /// It waits for free resources.
    Waiting,
    /// A run of it was sent to a side and has not ended.
    Placed { side: Key, attempt: u32 },
    /// It succeeded.
    Done,
}

#[derive(Debug)]
pub(super) struct Slot {
    pub(super) state: State,
    /// Number of the last run.
    pub(super) attempt: u32,
    /// Number of runs that failed.
    pub(super) failures: u32,
    /// Crashes of upstreams that had a run of it.
    pub(super) crashes: Crashes,
    /// Side of the last run that did not succeed.
    pub(super) avoid: Option<Key>,
    /// Earliest start of the next run.
    pub(super) not_before: Duration,
    /// Time until which it is placed only on a side that claims it.
    pub(super) claim_only_until: Duration,
    /// Run time of the successful run.
    pub(super) spent: Duration,
    /// What was expected of the last run.
    pub(super) plan: Plan,
}

/// What an entry expects of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Plan {
    /// Usual run time at a host of usual speed, as far from the task's data as this
    /// one; `None` while it is unknown.
    pub(super) usual: Option<Duration>,
    /// Factor for the distance from the task's data.
    pub(super) distance: f64,
    /// The host's rate.
    pub(super) rate: f64,
    /// Expected end.
    pub(super) ends_at: Duration,
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    pub(super) submission: Submission,
    pub(super) queue: String,
    pub(super) service: String,
    /// Level at which it is served while it can meet its objective; 0 comes first.
    pub(super) level: u8,
    pub(super) max_failures: u32,
    pub(super) accepted: Duration,
    /// Time that the customer has likely waited at another entry before; zero
    /// for a first submission.
    pub(super) waited: Duration,
    /// Factor on the run time that gives the first part of the objective.
    pub(super) objective_factor: f64,
    /// Fixed part of the objective.
    pub(super) target: Duration,
    /// End of the objective.
    pub(super) due: Duration,
    /// Latest start with which the job likely meets its objective.
    pub(super) start_by: Duration,
    /// Sort key of its waiting tasks.
    pub(super) rank: Rank,
    /// Time after which an answer has no value.
    pub(super) useful_until: Duration,
    /// Time at which the customer stops waiting.
    pub(super) deadline: Duration,
    /// Tasks, by step.
    pub(super) tasks: Vec<Vec<Slot>>,
    /// [`Submission::tails`].
    pub(super) tails: Vec<Duration>,
    /// Whether any run has started, so that the job can't be reported as not run.
    pub(super) has_run: bool,
    /// Steps with waiting tasks, and the sides to which they were announced.
    pub(super) reserved: Vec<(u16, Key)>,
    /// Its last submission here.
    pub(super) submitted: Submitted,
    /// When the other entries were told that this one holds it.
    pub(super) announced_at: Option<Duration>,
    /// Numbers of the customers that wait for the answer.
    pub(super) customers: Vec<u64>,
}

impl Job {
    /// Makes a job of a submission, which is served at `level`. `waited` is the time that the customer has
    /// likely waited at another entry before.
    pub(super) fn new(
        now: Duration,
        waited: Duration,
        customer: u64,
        queue: &Queue,
        level: u8,
        submission: Submission,
    ) -> Self {
        let target = Duration::from_millis(queue.target.into());
        let mut job = Self {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            level,
            max_failures: queue.attempts.max(1),
            accepted: now,
            waited,
            objective_factor: queue.objective_factor,
            target,
            due: now,
            start_by: now,
            rank: Rank::default(),
            useful_until: now,
            deadline: now + submission.patience,
            tasks: submission.slots(),
            tails: submission.tails(),
            has_run: false,
            reserved: Vec::new(),
            submitted: Submitted {
                arrived: now,
                patience: submission.patience,
            },
            announced_at: None,
            customers: vec![customer],
            submission,
        };
        let objective = job.objective_for(Duration::ZERO);
        job.due = (now + objective).saturating_sub(waited);
        job.start_by = job.due.saturating_sub(
            job.submission
                .critical_path()
                .mul_f64(ESTIMATE_SAFETY_FACTOR),
        );
        job.useful_until = now + job.submission.patience.min(objective * USEFUL_FACTOR);
        job.rank = job.rank_at(now);
        job
    }

    /// Returns the objective for a measured run time. The run time counts as at
    /// least the estimate, since estimates are rough, and as at most
    /// [`MAX_OVERRUN_FACTOR`] times the estimate, so that slow hosts don't extend
    /// the objective.
    pub(super) fn objective_for(&self, run_time: Duration) -> Duration {
        let estimate = self.submission.critical_path();
        run_time
            .clamp(estimate, estimate * MAX_OVERRUN_FACTOR)
            .mul_f64(self.objective_factor)
            + self.target
    }

    /// Returns the sum of each step's longest run time.
    pub(super) fn sum_longest_runs(&self) -> Duration {
        let steps = self.tasks.iter();
        steps
            .filter_map(|slots| slots.iter().map(|slot| slot.spent).max())
            .sum()
    }

    pub(super) fn id(&self, step: u16, index: u16) -> Task {
        Task {
            job: self.submission.job,
            occurrence: 0,
            step,
            index,
        }
    }

    pub(super) fn slot(&mut self, task: Task) -> Option<&mut Slot> {
        self.tasks
            .get_mut(usize::from(task.step))?
            .get_mut(usize::from(task.index))
    }

    pub(super) fn step(&self, task: Task) -> &Step {
        &self.submission.steps[usize::from(task.step)]
    }

    /// Returns whether a task may have crashed an upstream.
    pub(super) fn is_suspicious(&self, task: Task) -> bool {
        let slots = self.tasks.get(usize::from(task.step));
        let slot = slots.and_then(|slots| slots.get(usize::from(task.index)));
        slot.is_some_and(|slot| slot.crashes.are_suspicious())
    }

    /// Returns the tasks that upstreams crashed with, and these crashes.
    pub(super) fn crashes(&self) -> Vec<(Task, Crashes)> {
        let mut crashed = Vec::new();
        self.for_each_slot(|task, slot| {
            if slot.crashes.is_any() {
                crashed.push((task, slot.crashes));
            }
        });
        crashed
    }

    /// Returns all tasks.
    pub(super) fn all_tasks(&self) -> Vec<Task> {
        let mut tasks = Vec::new();
        self.for_each_slot(|task, _| tasks.push(task));
        tasks
    }

    /// Returns the unfinished runs with their sides.
    pub(super) fn placed(&self) -> Vec<(Key, Run)> {
        let mut runs = Vec::new();
        self.for_each_slot(|task, slot| {
            if let State::Placed { side, attempt } = slot.state {
                runs.push((side, Run { task, attempt }));
            }
        });
        runs
    }

    /// Returns whether a task may have started.
    pub(super) fn may_have_run(&self) -> bool {
        let mut slots = self.tasks.iter().flatten();
        self.has_run || slots.any(|slot| matches!(slot.state, State::Placed { .. }))
    }

    /// Returns the sort key of its waiting tasks as of `now`.
    pub(super) fn rank_at(&self, now: Duration) -> Rank {
        let unstarted = !self.may_have_run();
        Rank {
            late: unstarted && now > self.start_by,
            level: self.level,
            unstarted,
            due: self.due,
        }
    }

    /// Returns whether no waiting task of a step may start yet.
    pub(super) fn is_paused(&self, now: Duration, step: u16) -> bool {
        let slots = self.tasks.get(usize::from(step)).into_iter().flatten();
        let mut waiting = slots.filter(|slot| slot.state == State::Waiting);
        waiting.all(|slot| slot.not_before > now)
    }

    /// Returns a waiting task of a step that may start at a side now, preferably
    /// one whose last run did not fail there.
    pub(super) fn claimable(&self, now: Duration, step: u16, side: Key) -> Option<Task> {
        let slots = self.tasks.get(usize::from(step))?;
        let ready = |slot: &Slot| slot.state == State::Waiting && slot.not_before <= now;
        let index = slots
            .iter()
            .position(|slot| ready(slot) && slot.avoid != Some(side))
            .or_else(|| slots.iter().position(ready))?;
        Some(self.id(step, u16::try_from(index).ok()?))
    }

    /// Returns the number of a step's tasks that wait for free resources.
    pub(super) fn count_waiting(&self, step: u16) -> u16 {
        let slots = self.tasks.get(usize::from(step)).into_iter().flatten();
        let waiting = slots.filter(|slot| slot.state == State::Waiting);
        u16::try_from(waiting.count()).unwrap_or(u16::MAX)
    }

    /// Returns the tasks that wait for free resources.
    pub(super) fn waiting(&self) -> Vec<Task> {
        let mut tasks = Vec::new();
        self.for_each_slot(|task, slot| {
            if slot.state == State::Waiting {
                tasks.push(task);
            }
        });
        tasks
    }

    /// Returns the number of all tasks.
    pub(super) fn task_count(&self) -> u32 {
        let count = self.tasks.iter().map(Vec::len).sum::<usize>();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks that have not succeeded.
    pub(super) fn unfinished(&self) -> u32 {
        let open = |slot: &&Slot| slot.state != State::Done;
        u32::try_from(self.tasks.iter().flatten().filter(open).count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of runs beyond the first of each task.
    pub(super) fn reruns(&self) -> u32 {
        let slots = self.tasks.iter().flatten();
        slots.map(|slot| slot.attempt.saturating_sub(1)).sum()
    }

    pub(super) fn is_done(&self) -> bool {
        self.tasks
            .iter()
            .flatten()
            .all(|slot| slot.state == State::Done)
    }

    /// Moves the tasks whose dependencies are done from blocked to waiting, and
    /// returns them.
    pub(super) fn unblock(&mut self) -> Vec<Task> {
        let done: Vec<bool> = self
            .tasks
            .iter()
            .map(|step| step.iter().all(|slot| slot.state == State::Done))
            .collect();
        let mut unblocked = Vec::new();
        for number in 0..self.tasks.len() {
            let depends_on = &self.submission.steps[number].depends_on;
            if !depends_on.iter().all(|step| done[usize::from(*step)]) {
                continue;
            }
            for index in 0..self.tasks[number].len() {
                let slot = &mut self.tasks[number][index];
                if slot.state == State::Blocked {
                    slot.state = State::Waiting;
                    unblocked.push((number, index));
                }
            }
        }
        let id = |(step, index)| {
            self.id(
                u16::try_from(step).unwrap_or(u16::MAX),
                u16::try_from(index).unwrap_or(u16::MAX),
            )
        };
        unblocked.into_iter().map(id).collect()
    }

    fn for_each_slot(&self, mut visit: impl FnMut(Task, &Slot)) {
        for (step, slots) in self.tasks.iter().enumerate() {
            for (index, slot) in slots.iter().enumerate() {
                let step = u16::try_from(step).unwrap_or(u16::MAX);
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                visit(self.id(step, index), slot);
            }
        }
    }
}

impl Step {
    /// Returns a task's processor time, in core-milliseconds, at most
    /// [`MAX_TASK_WORK`].
    pub fn work(&self) -> u64 {
        let work = crate::millis(self.estimate).saturating_mul(self.need.cpu.into()) / 1_000;
        work.min(MAX_TASK_WORK)
    }
}

impl Submission {
    /// Returns the estimated run time of the longest chain of dependent steps.
    ///
    /// Steps must follow those that they depend on; the adapter checks this.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().map(|step| ends[usize::from(*step)]);
            let start = before.max().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated run time of the longest chain of steps that depend on
    /// each step.
    pub(super) fn tails(&self) -> Vec<Duration> {
        let mut tails = vec![Duration::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            let chain = step.estimate + tails[number];
            for before in &step.depends_on {
                let tail = &mut tails[usize::from(*before)];
                *tail = chain.max(*tail);
            }
        }
        tails
    }

    /// Returns the processor time of all tasks, in core-milliseconds.
    pub(super) fn work(&self) -> u64 {
        let steps = self.steps.iter();
        steps.map(|step| step.work() * u64::from(step.count)).sum()
    }

    /// Returns a blocked slot for every task.
    pub(super) fn slots(&self) -> Vec<Vec<Slot>> {
        let slot = |_| Slot {
            state: State::Blocked,
            attempt: 0,
            failures: 0,
            crashes: Crashes::default(),
            avoid: None,
            not_before: Duration::ZERO,
            claim_only_until: Duration::ZERO,
            spent: Duration::ZERO,
            plan: Plan::default(),
        };
        self.steps
            .iter()
            .map(|step| (0..step.count).map(slot).collect())
            .collect()
    }
}
