//! Actions that the guard requests from its runtime, and announcements that
//! the runtime passes to it.

use std::time::Duration;
use wire::lease::{Addressed, Run, Upstream};

/// An action for the runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to the entry of this incarnation.
    Send(Addressed),
    /// Order the upstream to start a run.
    Start(Order),
    /// Order the upstream to stop a run.
    Stop {
        /// Run to stop; if it has not started, it must not start afterwards.
        run: Run,
        /// Fencing token; the upstream refuses tokens below the highest seen.
        token: u64,
    },
    /// Renew the leases at the upstream and wait for a run to end.
    Hold(Hold),
    /// Connect to these entries; the list replaces the previous one.
    Entries(Vec<wire::frame::Endpoint>),
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Run to start; the upstream starts it at most once.
    pub run: Run,
    /// Input for the task, as its customer sent it.
    pub input: String,
    /// End of the lease, on the upstream's clock in milliseconds.
    pub deadline: u64,
    /// Fencing token; the upstream refuses tokens below the highest seen.
    pub token: u64,
    /// Identifier of the upstream; any other upstream must refuse the order.
    pub upstream: String,
}

/// A call that renews all leases and returns an [`Inventory`](super::Inventory).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Fencing token; the upstream refuses tokens below the highest seen.
    pub token: u64,
    /// Number of the last end received; the upstream drops ends up to it.
    pub acknowledged: u64,
    /// End of all leases, on the upstream's clock in milliseconds; `None`
    /// renews none.
    pub deadline: Option<u64>,
    /// Longest time that the upstream waits for a run to end before it answers.
    pub wait: Duration,
}

/// An upstream's announcement of its state to the side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The part that the side passes on to entries.
    pub upstream: Upstream,
    /// Time of the upstream's start, in milliseconds since the Unix epoch; differs
    /// with each restart.
    pub started_at: u64,
    /// Whether the upstream is shutting down and starts no new tasks.
    pub leaving: bool,
    /// The upstream's clock, in milliseconds.
    pub clock: u64,
}
