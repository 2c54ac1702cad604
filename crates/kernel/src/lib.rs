//! The dispatcher's decisions, free of I/O.
//!
//! [`entry::Entry`] and [`side::Side`] are state machines: the runtime passes in the
//! time, a frame or another event, and drain the actions that follow. Time is a
//! [`std::time::Duration`] since the Unix epoch that never goes back within a
//! process. Randomness comes from a seeded generator. The same code therefore
//! runs under the network, under tests and under the model checker.

pub mod authority;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod guard;
pub mod ini;
pub mod learn;
pub mod mutation;
pub mod policy;
pub mod queue;
pub mod side;
pub mod work;

use std::time::Duration;

/// Interval between heartbeats on a connection.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a peer counts as gone.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a lost side has to reconnect before its tasks count as unknown.
pub const RECONNECT_GRACE: Duration = Duration::from_secs(3);

/// Greatest age of a task's permit, by the side's own clock.
pub const MAX_PERMIT_AGE: Duration = Duration::from_millis(2_500);

/// Greatest age of a vouch for the configuration under which work starts.
pub const MAX_CONFIG_AGE: Duration = Duration::from_secs(3);

/// Life of a ticket.
pub const TICKET_LIFETIME: Duration = Duration::from_mins(2);

/// Converts a duration to whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
