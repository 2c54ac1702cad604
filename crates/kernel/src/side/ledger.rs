//! The ledger of tasks that a side has received.
//!
//! Every task received is recorded until its ticket expires, so that none
//! starts twice. Results are retained for recovery, within a limit of bytes.

use super::Start;
use hashbrown::HashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::{
    frame::{Kept, Outcome},
    id::{Incarnation, Job, Task},
};

/// Most bytes of results that a side retains for recovery; the oldest are
/// dropped first.
pub const RETAINED_RESULT_BYTES: usize = 16 << 20;

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Queued(Box<Start>),
    Running,
    Ended(Outcome),
    /// Proved not to have started; its home may resend it.
    Voided,
    /// Ended; its result was dropped to bound the memory.
    Released,
}

#[derive(Debug, Default)]
struct Record {
    total: u16,
    tombstone: bool,
    /// Positions and states, unordered: a side has few tasks of one job, so a
    /// search is cheap.
    tasks: Vec<(u16, State)>,
}

impl Record {
    fn get(&mut self, index: u16) -> Option<&mut State> {
        let found = self.tasks.iter_mut().find(|(other, _)| *other == index);
        found.map(|(_, state)| state)
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

    fn is_open(&self) -> bool {
        let is_open_state = |state: &State| matches!(state, State::Running | State::Queued(_));
        self.tasks.iter().any(|(_, state)| is_open_state(state))
    }
}

/// Tasks received, by job, and the queue of waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    jobs: HashMap<Job, Record>,
    expiry: BTreeSet<(u64, Job)>,
    queue: VecDeque<Task>,
    retained: VecDeque<Task>,
    retained_bytes: usize,
}

impl Ledger {
    /// Returns the number of recorded jobs.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of waiting tasks.
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no further task of the job may start.
    pub(super) fn is_tombstoned(&self, job: &Job) -> bool {
        self.jobs.get(job).is_some_and(|record| record.tombstone)
    }

    /// Queues a task. Returns false if it was received before and not voided.
    pub(super) fn push(&mut self, total: u16, start: Start) -> bool {
        let task = start.task;
        let record = self.record(task.job);
        record.total = total;
        let is_new = matches!(record.get(task.index), None | Some(State::Voided));
        if is_new {
            record.insert(task.index, State::Queued(Box::new(start)));
            self.queue.push_back(task);
        }
        is_new
    }

    /// Removes the next task from the queue and records it as running.
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
            if self.void_task(task) {
                voided.entry(task.job).or_default().push(task.index);
            }
        }
        voided
    }

    /// Tombstones a job, so that none of its tasks starts, whether received or
    /// not, and returns the voided ones.
    pub(super) fn tombstone(&mut self, job: Job) -> Vec<u16> {
        let record = self.record(job);
        record.tombstone = true;
        let all: Vec<u16> = record.tasks.iter().map(|(index, _)| *index).collect();
        self.void(job, &all)
    }

    /// Voids those of the given tasks that wait, and returns them.
    pub(super) fn void(&mut self, job: Job, indices: &[u16]) -> Vec<u16> {
        let voided: Vec<u16> = indices
            .iter()
            .copied()
            .filter(|index| self.void_task(Task { job, index: *index }))
            .collect();
        if !voided.is_empty() {
            self.queue
                .retain(|task| task.job != job || !voided.contains(&task.index));
        }
        voided
    }

    /// Voids all waiting tasks of a home entry.
    pub(super) fn void_home(&mut self, home: Incarnation) {
        let (of_home, others) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|task| task.job.home == home);
        self.queue = others;
        let of_home: VecDeque<Task> = of_home;
        for task in of_home {
            self.void_task(task);
        }
    }

    /// Records a task's outcome and drops the oldest results beyond
    /// [`RETAINED_RESULT_BYTES`].
    pub(super) fn end(&mut self, task: Task, outcome: &Outcome) {
        let Some(state) = self.state(task) else {
            return;
        };
        *state = State::Ended(outcome.clone());
        self.retained.push_back(task);
        self.retained_bytes += result_bytes(outcome);
        while self.retained_bytes > RETAINED_RESULT_BYTES {
            let Some(oldest) = self.retained.pop_front() else {
                return;
            };
            self.release(oldest);
        }
    }

    /// Returns the open tasks and retained results of an entry's jobs.
    pub(super) fn kept_for(&self, home: Incarnation) -> Vec<Kept> {
        self.jobs
            .iter()
            .filter(|(job, _)| job.home == home)
            .flat_map(|(job, record)| record.kept(*job))
            .collect()
    }

    /// Returns the open tasks and retained results of some jobs.
    pub(super) fn kept_of(&self, jobs: &[Job]) -> Vec<Kept> {
        jobs.iter()
            .filter_map(|job| Some((*job, self.jobs.get(job)?)))
            .flat_map(|(job, record)| record.kept(job))
            .collect()
    }

    /// Removes the jobs whose tickets expired before `now`, in seconds since the
    /// Unix epoch, and returns them. Jobs with waiting or running tasks stay.
    pub(super) fn expire(&mut self, now: u64) -> Vec<Job> {
        let expired: Vec<Job> = self
            .expiry
            .iter()
            .take_while(|(expires, _)| *expires < now)
            .map(|(_, job)| *job)
            .filter(|job| !self.jobs.get(job).is_some_and(Record::is_open))
            .collect();
        for job in &expired {
            self.remove_job(*job);
        }
        expired
    }

    fn remove_job(&mut self, job: Job) {
        self.expiry.remove(&(job.expires, job));
        let Some(record) = self.jobs.remove(&job) else {
            return;
        };
        for (_, state) in &record.tasks {
            if let State::Ended(outcome) = state {
                self.retained_bytes -= result_bytes(outcome);
            }
        }
        while let Some(task) = self.retained.front()
            && !self.jobs.contains_key(&task.job)
        {
            self.retained.pop_front();
        }
    }

    /// Drops a result; the record that its task has started stays.
    fn release(&mut self, task: Task) {
        if let Some(state @ State::Ended(_)) = self.state(task)
            && let State::Ended(outcome) = std::mem::replace(state, State::Released)
        {
            self.retained_bytes -= result_bytes(&outcome);
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
    fn void_task(&mut self, task: Task) -> bool {
        match self.state(task) {
            Some(state @ State::Queued(_)) => {
                *state = State::Voided;
                true
            }
            _ => false,
        }
    }
}

fn result_bytes(outcome: &Outcome) -> usize {
    const RECORD_OVERHEAD_BYTES: usize = 64;
    let (Outcome::Answer(payload) | Outcome::Failure(payload)) = outcome;
    payload.as_bytes().len() + RECORD_OVERHEAD_BYTES
}
