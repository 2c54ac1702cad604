//! Answers to customers, and read-only views of the dispatcher's state.

use crate::outcome::{Phase, Reason};
use std::time::Duration;
use wire::lease::Need;

/// An answer to a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job's state; a final one if the customer submitted the job.
    State(Phase),
    /// No task of the job has started or will start.
    Refused {
        /// The cause of the refusal.
        reason: Reason,
        /// Pause after which the customer may submit the job again.
        retry_after: Duration,
    },
    /// The job was given up after a task may have started; its outcome is
    /// unknown.
    Expired,
    /// The entry that owned the job is lost; the job's outcome is unknown.
    Unknown,
    /// No queue matches the request's host name and path.
    NoQueue,
    /// The job is unknown here and, for a cancellation, at the other entries
    /// that replied.
    NoJob,
    /// Number of the queue's jobs of which no task has started, at all entries.
    Pending(u32),
}

impl Answer {
    /// Returns whether the job has not run for a reason that concerns only this
    /// entry.
    pub fn may_succeed_elsewhere(&self) -> bool {
        match self {
            Self::Refused { reason, .. } => match reason {
                Reason::NoRules
                | Reason::Leaving
                | Reason::NoUpstream
                | Reason::Stale
                | Reason::Memory
                | Reason::EntryLate => true,
                Reason::Overload | Reason::Confined => false,
            },
            _ => false,
        }
    }
}

/// A side's state as last reported to this entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View<'a> {
    /// The side's configured name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Whether the side is connected, accepts tasks and has reported recently.
    pub available: bool,
    /// Whether its upstream is ejected.
    pub ejected: bool,
    /// Time since the last message from it.
    pub silent: Duration,
    /// Free resources in its last report, less the needs of runs sent since.
    pub room: Need,
    /// Unfinished runs of this entry there.
    pub runs: usize,
    /// Run time relative to the mean of all sides; 1 is average.
    pub slowness: f64,
    /// Learnt speed of its host, per mille of the usual.
    pub rate: u16,
}

/// Counts since the entry's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs that succeeded.
    pub completed: u64,
    /// Jobs of which a task failed as often as its queue allows.
    pub failed: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Jobs whose customers have all disconnected.
    pub abandoned: u64,
    /// Jobs given up: past their deadline, unlikely to end in time, or open when
    /// the entry stopped.
    pub expired: u64,
    /// Runs sent to sides.
    pub runs: u64,
    /// Runs that sides refused.
    pub rejected: u64,
    /// Slow or stalled runs stopped so that they can start on another host.
    pub moved: u64,
    /// Jobs forwarded to other entries.
    pub forwarded: u64,
    /// Jobs taken over from other entries.
    pub taken_over: u64,
    /// Jobs taken over and dropped, since the entry that forwarded them was lost.
    pub forwarder_lost: u64,
    /// Forwarded jobs whose owners were lost before they replied.
    pub owner_lost: u64,
    /// Runs at sides that stayed disconnected until the runs' leases had expired.
    pub lost: u64,
}
