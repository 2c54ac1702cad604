//! State machines of the dispatcher's processes, without I/O.
//!
//! The runtime passes the time and an event, such as a received frame, to
//! [`entry::Entry`] or [`side::Side`] and carries out the actions that these
//! return. Time is a [`std::time::Duration`] since the Unix epoch that never
//! decreases within a process. Randomness comes from a seeded generator. The
//! same code therefore runs in production, in tests and in the model checker.

pub mod accuracy;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod estimate;
pub mod event;
pub mod fleet;
pub mod freshness;
pub mod guard;
pub mod ini;
pub mod liveness;
pub mod mutation;
pub mod neighbourhood;
pub mod outcome;
pub mod policy;
pub mod pressure;
pub mod queue;
pub mod rate;
pub mod reconnect;
pub mod side;
pub mod timing;
pub mod work;

use std::time::Duration;

/// Interval between heartbeats on a connection.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a received frame after which a connection counts as lost.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a lost side has to reconnect before the outcome of its tasks counts
/// as unknown.
pub const RECONNECT_GRACE: Duration = Duration::from_secs(3);

/// Greatest age at which a side accepts a task: the time since the side's clock
/// that the entry has echoed.
pub const MAX_PERMIT_AGE: Duration = Duration::from_millis(2_500);

/// Greatest age of the configuration's confirmation at which tasks start and
/// jobs are accepted.
pub const MAX_CONFIG_AGE: Duration = Duration::from_secs(3);

/// Time from the issue of a ticket to its expiry.
pub const TICKET_LIFETIME: Duration = Duration::from_mins(2);

/// Converts a duration to whole milliseconds, at most `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
