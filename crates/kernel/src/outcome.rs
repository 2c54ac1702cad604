//! States of jobs and causes of refusals, as customers and the log see them.

use std::fmt;

/// State of a job, as reported to customers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks succeeded.
    Completed,
    /// A task failed as often as its queue allows, or crashed its upstreams.
    Failed,
    /// A customer cancelled it.
    Cancelled,
}

impl fmt::Display for Phase {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Why a job was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The entry has not received rules yet.
    NoRules,
    /// The entry is shutting down, and the job might run longer than it does.
    Leaving,
    /// The job is expected to end after its answer has lost its value.
    Overload,
    /// No upstream of the service is in use.
    NoUpstream,
    /// The job was forwarded by another entry and took too long to arrive.
    Stale,
    /// The entry's event loop is late.
    EntryLate,
    /// There is no memory for it.
    Memory,
    /// The queue's tasks crash upstreams, and the hosts to which it is confined have no
    /// room in time.
    Confined,
}

impl fmt::Display for Reason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Self::NoRules => "no_rules",
            Self::Leaving => "leaving",
            Self::Overload => "overload",
            Self::NoUpstream => "no_upstream",
            Self::Stale => "stale",
            Self::EntryLate => "entry_late",
            Self::Memory => "memory",
            Self::Confined => "confined",
        })
    }
}
