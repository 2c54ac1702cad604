//! Ended jobs, kept until their tickets expire so that none runs again.

use hashbrown::HashMap;
use std::{collections::VecDeque, sync::Arc, time::Duration};
use wire::{frame::Answer, id::Job};

#[derive(Debug)]
struct Record {
    digest: Option<u64>,
    answer: Option<Arc<Answer>>,
    bytes: usize,
}

/// What the archive knows about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The job has not ended here.
    Absent,
    /// The job ended; its answer is held.
    Held(Option<u64>, Arc<Answer>),
    /// The job ended; its answer was released to bound the memory.
    Released(Option<u64>),
}

/// Answers of ended jobs within a limit of bytes, oldest released first.
///
/// A record of some 48 bytes stays after its answer is released.
#[derive(Debug)]
pub struct Archive {
    records: HashMap<Job, Record>,
    held: VecDeque<Job>,
    all: VecDeque<Job>,
    bytes: usize,
    limit: usize,
}

impl Archive {
    /// Makes an archive that holds at most `limit` bytes of answers.
    pub fn new(limit: usize) -> Self {
        Self {
            records: HashMap::new(),
            held: VecDeque::new(),
            all: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Adds a job that has just ended. Without a fingerprint, any submission
    /// under its ticket gets the answer.
    pub fn insert(&mut self, job: Job, digest: Option<u64>, answer: Arc<Answer>) {
        let bytes = size(&answer);
        let record = Record {
            digest,
            answer: Some(answer),
            bytes,
        };
        self.bytes += bytes;
        self.records.insert(job, record);
        self.held.push_back(job);
        self.all.push_back(job);
        while self.bytes > self.limit {
            self.release_oldest();
        }
    }

    /// Returns what is known about a job.
    pub fn get(&self, job: &Job) -> Lookup {
        match self.records.get(job) {
            None => Lookup::Absent,
            Some(record) => match &record.answer {
                Some(answer) => Lookup::Held(record.digest, answer.clone()),
                None => Lookup::Released(record.digest),
            },
        }
    }

    /// Forgets jobs whose tickets have expired, in the order of their end.
    pub fn expire(&mut self, now: Duration) {
        while let Some(job) = self.all.front() {
            if now.as_secs() <= job.expires {
                return;
            }
            let job = *job;
            self.all.pop_front();
            if let Some(record) = self.records.remove(&job)
                && record.answer.is_some()
            {
                self.bytes -= record.bytes;
            }
        }
    }

    fn release_oldest(&mut self) {
        let Some(job) = self.held.pop_front() else {
            return;
        };
        if let Some(record) = self.records.get_mut(&job)
            && record.answer.take().is_some()
        {
            self.bytes -= record.bytes;
        }
    }
}

fn size(answer: &Answer) -> usize {
    match answer {
        Answer::Complete(answers) => answers.iter().map(|answer| answer.0.len() + 32).sum(),
        Answer::Failed(failure) => failure.detail.len() + 32,
        Answer::Tickets(_) => 0,
    }
}
