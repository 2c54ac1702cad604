//! Ended jobs, kept until their tickets expire so that resubmissions start no
//! task again.

use hashbrown::HashMap;
use std::{collections::VecDeque, sync::Arc, time::Duration};
use wire::{frame::Answer, id::Job};

#[derive(Debug)]
struct Record {
    fingerprint: Option<u64>,
    answer: Option<Arc<Answer>>,
    bytes: usize,
}

/// Result of a lookup in the [`Archive`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// No such job has ended at this entry.
    Absent,
    /// The job ended. Holds its fingerprint, if any, and its answer.
    Held(Option<u64>, Arc<Answer>),
    /// The job ended; its answer was released to limit memory use. Holds its
    /// fingerprint, if any.
    Released(Option<u64>),
}

/// Ended jobs, with their answers up to a limit in bytes.
///
/// Above the limit the oldest answers are released; a record of about 48 bytes
/// stays until the job's ticket expires.
#[derive(Debug)]
pub struct Archive {
    records: HashMap<Job, Record>,
    answered: VecDeque<Job>,
    ended: VecDeque<Job>,
    bytes: usize,
    limit: usize,
}

impl Archive {
    /// Creates an archive that holds at most `limit` bytes of answers.
    pub fn new(limit: usize) -> Self {
        Self {
            records: HashMap::new(),
            answered: VecDeque::new(),
            ended: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Adds a job that has just ended. Without a fingerprint, every submission
    /// under its ticket receives the answer.
    pub fn insert(&mut self, job: Job, fingerprint: Option<u64>, answer: Arc<Answer>) {
        let bytes = answer_bytes(&answer);
        let record = Record {
            fingerprint,
            answer: Some(answer),
            bytes,
        };
        self.bytes += bytes;
        self.records.insert(job, record);
        self.answered.push_back(job);
        self.ended.push_back(job);
        while self.bytes > self.limit {
            self.release_oldest();
        }
    }

    /// Looks up a job.
    pub fn get(&self, job: &Job) -> Lookup {
        match self.records.get(job) {
            None => Lookup::Absent,
            Some(record) => match &record.answer {
                Some(answer) => Lookup::Held(record.fingerprint, answer.clone()),
                None => Lookup::Released(record.fingerprint),
            },
        }
    }

    /// Removes jobs whose tickets have expired, in the order in which the jobs
    /// ended.
    pub fn expire(&mut self, now: Duration) {
        while let Some(job) = self.ended.front() {
            if now.as_secs() <= job.expires {
                return;
            }
            let job = *job;
            self.ended.pop_front();
            if let Some(record) = self.records.remove(&job)
                && record.answer.is_some()
            {
                self.bytes -= record.bytes;
            }
        }
    }

    fn release_oldest(&mut self) {
        let Some(job) = self.answered.pop_front() else {
            return;
        };
        if let Some(record) = self.records.get_mut(&job)
            && record.answer.take().is_some()
        {
            self.bytes -= record.bytes;
        }
    }
}

fn answer_bytes(answer: &Answer) -> usize {
    match answer {
        Answer::Complete(answers) => answers.iter().map(|answer| answer.0.len() + 32).sum(),
        Answer::Failed(failure) => failure.detail.len() + 32,
        Answer::Tickets(_) => 0,
    }
}
