//! What the entry tells: answers to customers, and views of its state.

use std::time::Duration;
use wire::lease::Need;

/// State of a job, as customers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks succeeded.
    Completed,
    /// A task failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// An answer to a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job's state; final if the customer handed the job in.
    State(Phase),
    /// The job was not run and will not be.
    Refused {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Nobody knows whether the job would have ended.
    Expired,
    /// No queue is at this address.
    NoQueue,
    /// No such job is known.
    NoJob,
    /// Jobs of the queue of which no task has started.
    Pending(u32),
}

/// Why a job was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No rules are known yet.
    NoRules,
    /// The entry leaves.
    Leaving,
    /// The job could not end in time.
    Overload,
    /// No upstream can run it.
    NoUpstream,
}

/// What an entry believes of a side.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View<'a> {
    /// The side's name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Whether tasks may be placed there.
    pub available: bool,
    /// Whether its upstream is put aside.
    pub ejected: bool,
    /// Time since it was last heard.
    pub silent: Duration,
    /// Room left.
    pub room: Need,
    /// Runs of this entry there.
    pub runs: usize,
    /// Run time against the mean of all sides.
    pub slowness: f64,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs that succeeded.
    pub completed: u64,
    /// Jobs of which a task failed for good.
    pub failed: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Jobs whose customers left.
    pub abandoned: u64,
    /// Jobs that outlived their customers' patience.
    pub expired: u64,
    /// Runs ordered.
    pub runs: u64,
    /// Runs that sides refused.
    pub rejected: u64,
    /// Runs stopped to run elsewhere.
    pub moved: u64,
    /// Runs lost with their sides.
    pub lost: u64,
}
