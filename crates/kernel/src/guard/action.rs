//! What the guard asks of its runtime, and what it is told.

use std::time::Duration;
use wire::lease::{Addressed, Run, Upstream};

/// What the runtime must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to an entry.
    Send(Addressed),
    /// Order the upstream to start a run.
    Start(Order),
    /// Order the upstream to stop a run.
    Stop {
        /// The run.
        run: Run,
        /// Fencing token.
        token: u64,
    },
    /// Renew the leases at the upstream and wait for an end.
    Hold(Hold),
    /// The entries known have changed.
    Entries(Vec<wire::frame::Endpoint>),
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The run.
    pub run: Run,
    /// Input.
    pub input: String,
    /// End of the lease, on the upstream's clock in milliseconds.
    pub deadline: u64,
    /// Fencing token.
    pub token: u64,
    /// The upstream that the order is meant for.
    pub upstream: String,
}

/// A call that renews the leases and lists runs and ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Fencing token.
    pub token: u64,
    /// Ends up to this number have been taken.
    pub acknowledged: u64,
    /// End of all leases, on the upstream's clock in milliseconds; `None`
    /// leaves them as they are.
    pub deadline: Option<u64>,
    /// Longest time to wait for an end.
    pub wait: Duration,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// What entries need to know.
    pub upstream: Upstream,
    /// Time of its start, in milliseconds since the Unix epoch; rises from one
    /// life to the next.
    pub started_at: u64,
    /// Whether it leaves and takes no new tasks.
    pub leaving: bool,
    /// Its clock, in milliseconds.
    pub clock: u64,
}
