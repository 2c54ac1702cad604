//! The state of one job at its home entry.

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

/// Receiver of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Customer {
    /// The HTTP request of this number at this entry.
    Local(u64),
    /// A request that another entry forwarded.
    Remote {
        /// The other entry.
        entry: Incarnation,
        /// Number of the request at the other entry.
        call: u64,
    },
    /// This entry, which prefetches tickets.
    Prefetch,
}

/// State of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Not sent, or returned by a side that has not started it.
    Waiting,
    /// Sent to a side.
    Placed(Key),
    /// Answered by the upstream.
    Answered(Payload),
}

/// An accepted job that has not ended.
#[derive(Debug)]
pub struct Work {
    /// What the customer submitted.
    pub submission: Submission,
    /// [`fingerprint`] of the submission.
    pub fingerprint: u64,
    /// Time of acceptance.
    pub accepted: Duration,
    /// Sort key among the waiting jobs of the team; the lowest goes first.
    pub rank: Duration,
    /// Time at which the job fails unless it has ended.
    pub deadline: Duration,
    /// State of each task, by its position in the job.
    pub tasks: Vec<Task>,
    /// Tasks in state [`Task::Waiting`], in the order of placement.
    pub waiting: VecDeque<u16>,
    /// Number of tasks in state [`Task::Answered`].
    pub answered: usize,
    /// Sides that have ever been sent a task of the job.
    pub sides: Vec<Key>,
    /// Receivers of the answer.
    pub customers: Vec<Customer>,
}

impl Work {
    /// Accepts a submission.
    ///
    /// # Panics
    ///
    /// Panics with more than 65,535 tasks; the document's limits exclude them.
    pub fn new(submission: Submission, now: Duration, rank: Duration) -> Self {
        let count = u16::try_from(submission.tasks.len())
            .expect("the document limits jobs to 65,535 tasks");
        Self {
            fingerprint: fingerprint(&submission),
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

    /// Marks a placed task as waiting again; the caller must have proof that it
    /// has not started. Returns false if the task is not placed at `side`.
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

    /// Stores a task's answer. Returns false if the task is not placed at
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

    /// Returns the job's answer once every task is answered.
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

    /// Returns whether any task of the job has started.
    pub fn started(&self) -> Started {
        let is_placed = |task: &Task| matches!(task, Task::Placed(_));
        if self.answered > 0 {
            Started::Some
        } else if self.tasks.iter().any(is_placed) {
            Started::Unknown
        } else {
            Started::None
        }
    }
}

/// Returns a hash that distinguishes a resubmission from another job under the
/// same ticket.
pub fn fingerprint(submission: &Submission) -> u64 {
    let mut hasher = DefaultHasher::new();
    submission.service.hash(&mut hasher);
    submission.kind.hash(&mut hasher);
    submission.team.hash(&mut hasher);
    submission.tasks.hash(&mut hasher);
    hasher.finish()
}

/// Creates the answer of a job that failed.
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
