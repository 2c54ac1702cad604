//! One job at its home entry.

use crate::{
    fleet::Key,
    mutation::{Mutant, is_seeded},
};
use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use wire::{
    Payload,
    frame::{Answer, Failure, Started, Submission},
    id::Incarnation,
};

/// Who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Customer {
    /// An HTTP request at this entry.
    Local(u64),
    /// A request that another entry forwarded.
    Remote {
        /// The other entry.
        entry: Incarnation,
        /// Its number for the request.
        call: u64,
    },
    /// This entry's own stock of tickets.
    Stock,
}

/// State of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Not sent, or proved not to have started.
    Waiting,
    /// Sent to a side.
    Placed(Key),
    /// Answered.
    Answered(Payload),
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Work {
    /// What the customer submitted.
    pub submission: Submission,
    /// Fingerprint of the submission.
    pub digest: u64,
    /// When the job was accepted.
    pub accepted: Duration,
    /// Place among the waiting jobs of its team; the lowest goes first.
    pub rank: Duration,
    /// When the job fails if it has not ended.
    pub deadline: Duration,
    /// One state a task.
    pub tasks: Vec<Task>,
    /// Tasks in state [`Task::Waiting`], in the order of placement.
    pub waiting: VecDeque<u16>,
    /// Number of tasks in state [`Task::Answered`].
    pub answered: usize,
    /// Sides that ever got a task of the job.
    pub sides: Vec<Key>,
    /// Who waits for the answer.
    pub customers: Vec<Customer>,
}

impl Work {
    /// Accepts a submission.
    ///
    /// # Panics
    ///
    /// With more than 65,535 tasks, which the document's limits exclude.
    pub fn new(submission: Submission, now: Duration, rank: Duration) -> Self {
        let count = u16::try_from(submission.tasks.len()).expect("limited on submission");
        Self {
            digest: digest(&submission),
            accepted: now,
            rank,
            deadline: now + Duration::from_millis(submission.deadline.into()),
            tasks: vec![Task::Waiting; count.into()],
            waiting: (0..count).collect(),
            answered: 0,
            sides: Vec::new(),
            customers: Vec::new(),
            submission,
        }
    }

    /// Marks a task as sent.
    pub fn place(&mut self, index: u16, side: Key) {
        self.tasks[usize::from(index)] = Task::Placed(side);
        if !self.sides.contains(&side) {
            self.sides.push(side);
        }
    }

    /// Marks a placed task as waiting again; it must be proved not to have
    /// started. Returns false if the task is not placed at `side`.
    pub fn unplace(&mut self, index: u16, side: Key) -> bool {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else {
            return false;
        };
        if *task != Task::Placed(side) {
            return false;
        }
        *task = Task::Waiting;
        self.waiting.push_front(index);
        true
    }

    /// Records a task's answer. Returns false if the task is not placed at
    /// `side`.
    pub fn answer(&mut self, index: u16, side: Key, payload: Payload) -> bool {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else {
            return false;
        };
        if *task != Task::Placed(side) {
            return false;
        }
        *task = Task::Answered(payload);
        self.answered += 1;
        true
    }

    /// Returns the whole answer once every task has its own.
    pub fn complete(&self) -> Option<Answer> {
        let partial = is_seeded(Mutant::Partial) && self.answered > 0;
        if self.answered < self.tasks.len() && !partial {
            return None;
        }
        let answers = self.tasks.iter().filter_map(|task| match task {
            Task::Answered(payload) => Some(payload.clone()),
            Task::Waiting | Task::Placed(_) => None,
        });
        Some(Answer::Complete(answers.collect()))
    }

    /// Returns what is known about started tasks.
    pub fn started(&self) -> Started {
        let placed = |task: &Task| matches!(task, Task::Placed(_));
        if self.answered > 0 {
            Started::Some
        } else if self.tasks.iter().any(placed) {
            Started::Unknown
        } else {
            Started::None
        }
    }
}

/// Returns a fingerprint by which a resubmission is told from another job.
pub fn digest(submission: &Submission) -> u64 {
    let mut hasher = DefaultHasher::new();
    submission.service.hash(&mut hasher);
    submission.kind.hash(&mut hasher);
    submission.team.hash(&mut hasher);
    submission.tasks.hash(&mut hasher);
    hasher.finish()
}

/// Makes the answer of a job that failed.
pub fn failed_answer(
    code: wire::Code,
    ran: Started,
    retry_after: Duration,
    detail: &str,
) -> Answer {
    Answer::Failed(Failure {
        code,
        ran,
        retry_after: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
        detail: detail.to_owned(),
    })
}
