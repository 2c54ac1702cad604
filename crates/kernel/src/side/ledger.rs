//! What a side remembers of the tasks that it received.
//!
//! Every task received is remembered until its ticket expires, so that none
//! starts twice; results are kept within a limit of bytes, for recovery.

use super::Start;
use hashbrown::HashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::{
    frame::{Kept, Outcome},
    id::{Incarnation, Job, Task},
};

/// Bytes of results that a side keeps for recovery, oldest dropped first.
pub const RETAINED_RESULT_BYTES: usize = 16 << 20;

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Queued(Box<Start>),
    Running,
    Ended(Outcome),
    /// Proved not to have started; its home may send it again.
    Voided,
    /// Ended, and its result was dropped to bound the memory.
    Released,
}

#[derive(Debug, Default)]
struct Record {
    total: u16,
    tombstone: bool,
    /// By position, unordered; a side holds few tasks of one job.
    tasks: Vec<(u16, State)>,
}

impl Record {
    fn get(&mut self, index: u16) -> Option<&mut State> {
        let entry = self.tasks.iter_mut().find(|(other, _)| *other == index);
        entry.map(|(_, state)| state)
    }

    fn insert(&mut self, index: u16, state: State) {
        match self.get(index) {
            Some(old) => *old = state,
            None => self.tasks.push((index, state)),
        }
    }

    fn kept(&self, job: Job) -> impl Iterator<Item = Kept> {
        self.tasks.iter().filter_map(move |(index, state)| {
            let outcome = match state {
                State::Queued(_) | State::Running => None,
                State::Ended(outcome) => Some(outcome.clone()),
                State::Voided | State::Released => return None,
            };
            Some(Kept {
                job,
                index: *index,
                total: self.total,
                outcome,
            })
        })
    }

    fn is_busy(&self) -> bool {
        let busy = |state: &State| matches!(state, State::Running | State::Queued(_));
        self.tasks.iter().any(|(_, state)| busy(state))
    }
}

/// Tasks received, by job, and the queue of those that wait.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    jobs: HashMap<Job, Record>,
    expiry: BTreeSet<(u64, Job)>,
    queue: VecDeque<Task>,
    kept: VecDeque<Task>,
    kept_bytes: usize,
}

impl Ledger {
    /// Returns the number of jobs remembered.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of tasks that wait.
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the job's tasks are barred from starting.
    pub(super) fn is_tombstoned(&self, job: &Job) -> bool {
        self.jobs.get(job).is_some_and(|record| record.tombstone)
    }

    /// Queues a task. Returns false if it was received before and is not
    /// proved to be void.
    pub(super) fn push(&mut self, total: u16, start: Start) -> bool {
        let task = start.task;
        let record = self.record(task.job);
        record.total = total;
        let fresh = matches!(record.get(task.index), None | Some(State::Voided));
        if fresh {
            record.insert(task.index, State::Queued(Box::new(start)));
            self.queue.push_back(task);
        }
        fresh
    }

    /// Takes the next task to start; it counts as running from now on.
    pub(super) fn pop(&mut self) -> Option<Start> {
        while let Some(task) = self.queue.pop_front() {
            if let Some(state @ State::Queued(_)) = self.state(task)
                && let State::Queued(start) = std::mem::replace(state, State::Running)
            {
                return Some(*start);
            }
        }
        None
    }

    /// Voids every queued task and returns them by job.
    pub(super) fn void_queue(&mut self) -> BTreeMap<Job, Vec<u16>> {
        let mut voided: BTreeMap<Job, Vec<u16>> = BTreeMap::new();
        while let Some(task) = self.queue.pop_front() {
            if self.void_one(task) {
                voided.entry(task.job).or_default().push(task.index);
            }
        }
        voided
    }

    /// Bars a job's tasks from starting, received or not, and returns those
    /// voided.
    pub(super) fn tombstone(&mut self, job: Job) -> Vec<u16> {
        let record = self.record(job);
        record.tombstone = true;
        let all: Vec<u16> = record.tasks.iter().map(|(index, _)| *index).collect();
        self.void(job, &all)
    }

    /// Voids those of a job's tasks that wait, and returns them.
    pub(super) fn void(&mut self, job: Job, indices: &[u16]) -> Vec<u16> {
        let voided: Vec<u16> = indices
            .iter()
            .copied()
            .filter(|index| self.void_one(Task { job, index: *index }))
            .collect();
        if !voided.is_empty() {
            self.queue
                .retain(|task| task.job != job || !voided.contains(&task.index));
        }
        voided
    }

    /// Voids all waiting tasks of a home.
    pub(super) fn void_home(&mut self, home: Incarnation) {
        let (gone, left) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|task| task.job.home == home);
        self.queue = left;
        let gone: VecDeque<Task> = gone;
        for task in gone {
            self.void_one(task);
        }
    }

    /// Records how a running task ended, and keeps its result within
    /// [`RETAINED_RESULT_BYTES`].
    pub(super) fn end(&mut self, task: Task, outcome: &Outcome) {
        let Some(state) = self.state(task) else {
            return;
        };
        *state = State::Ended(outcome.clone());
        self.kept.push_back(task);
        self.kept_bytes += size(outcome);
        while self.kept_bytes > RETAINED_RESULT_BYTES {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.release(oldest);
        }
    }

    /// Returns what is held for an entry's jobs.
    pub(super) fn held_for(&self, home: Incarnation) -> Vec<Kept> {
        self.jobs
            .iter()
            .filter(|(job, _)| job.home == home)
            .flat_map(|(job, record)| record.kept(*job))
            .collect()
    }

    /// Returns what is held of some jobs.
    pub(super) fn held_of(&self, jobs: &[Job]) -> Vec<Kept> {
        jobs.iter()
            .filter_map(|job| Some((*job, self.jobs.get(job)?)))
            .flat_map(|(job, record)| record.kept(job))
            .collect()
    }

    /// Forgets the jobs whose tickets expired before `now`, in seconds since
    /// the Unix epoch, and returns them.
    pub(super) fn expire(&mut self, now: u64) -> Vec<Job> {
        let over: Vec<Job> = self
            .expiry
            .iter()
            .take_while(|(expires, _)| *expires < now)
            .map(|(_, job)| *job)
            .filter(|job| !self.jobs.get(job).is_some_and(Record::is_busy))
            .collect();
        for job in &over {
            self.forget(*job);
        }
        over
    }

    fn forget(&mut self, job: Job) {
        self.expiry.remove(&(job.expires, job));
        let Some(record) = self.jobs.remove(&job) else {
            return;
        };
        for (_, state) in &record.tasks {
            if let State::Ended(outcome) = state {
                self.kept_bytes -= size(outcome);
            }
        }
        while let Some(task) = self.kept.front()
            && !self.jobs.contains_key(&task.job)
        {
            self.kept.pop_front();
        }
    }

    /// Drops a result, but not the fact that its task started.
    fn release(&mut self, task: Task) {
        if let Some(state @ State::Ended(_)) = self.state(task)
            && let State::Ended(outcome) = std::mem::replace(state, State::Released)
        {
            self.kept_bytes -= size(&outcome);
        }
    }

    fn record(&mut self, job: Job) -> &mut Record {
        self.jobs.entry(job).or_insert_with(|| {
            self.expiry.insert((job.expires, job));
            Record::default()
        })
    }

    fn state(&mut self, task: Task) -> Option<&mut State> {
        self.jobs.get_mut(&task.job)?.get(task.index)
    }

    /// Voids a task unless it has started.
    fn void_one(&mut self, task: Task) -> bool {
        match self.state(task) {
            Some(state @ State::Queued(_)) => {
                *state = State::Voided;
                true
            }
            _ => false,
        }
    }
}

fn size(outcome: &Outcome) -> usize {
    const OVERHEAD: usize = 64;
    let (Outcome::Answer(payload) | Outcome::Failure(payload)) = outcome;
    payload.as_bytes().len() + OVERHEAD
}
