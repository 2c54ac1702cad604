//! Memory of the jobs that have not ended, within a bound.
//!
//! A short document may decode to many tasks, so a job counts by what it holds, not by its
//! size on the wire. The sum covers jobs of customers and those taken over from other
//! entries, which have bounds of their own for what they pass on.

use super::{
    Dispatcher, Submission,
    job::{Slot, Step},
};

/// Memory of a task beside its slot, in bytes: its place in the backlog and its run.
const TASK_BYTES: usize = size_of::<Slot>() + 192;

/// Memory of a job beside its steps and tasks, in bytes: its names and its entries in the
/// maps of jobs and customers.
const JOB_BYTES: usize = 2 << 10;

/// Memory of the open jobs.
#[derive(Debug)]
pub(super) struct Memory {
    /// Most bytes of all jobs.
    limit: usize,
    used: usize,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            limit: usize::MAX,
            used: 0,
        }
    }
}

/// Returns the memory that a job holds until it ends, in bytes.
pub(super) fn job_bytes(submission: &Submission) -> usize {
    let steps = submission.steps.iter().map(step_bytes);
    JOB_BYTES + submission.input.len() + steps.sum::<usize>()
}

fn step_bytes(step: &Step) -> usize {
    let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    size_of::<Step>()
        + size_of_val(step.depends_on.as_slice())
        + text(&step.label)
        + text(&step.rack)
        + usize::from(step.count) * TASK_BYTES
}

impl Dispatcher {
    /// Sets the most memory that open jobs may hold, in bytes; unlimited initially.
    pub fn set_job_memory(&mut self, limit: usize) {
        self.memory.limit = limit;
    }

    /// Returns the memory of the open jobs, in bytes.
    pub fn job_memory(&self) -> usize {
        self.memory.used
    }

    /// Returns whether there is room for a job beside the open and the parked ones.
    pub(super) fn has_room_for(&self, submission: &Submission) -> bool {
        let parked = self.admission.parked_submissions().map(job_bytes);
        let held = self.memory.used + parked.sum::<usize>();
        held.saturating_add(job_bytes(submission)) <= self.memory.limit
    }

    pub(super) fn charge_job(&mut self, submission: &Submission) {
        self.memory.used += job_bytes(submission);
    }

    pub(super) fn release_job(&mut self, submission: &Submission) {
        self.memory.used -= job_bytes(submission);
    }
}
