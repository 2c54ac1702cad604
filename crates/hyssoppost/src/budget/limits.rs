//! What bounds a connection, what it is doing, and why it is closed.

use std::time::Duration;

/// Memory that a connection may hold beside bodies and answers, in bytes: a head with its
/// decoded form, the buffers of the HTTP server and of the socket, and its task.
pub const CONNECTION_BYTES: usize = 48 << 10;

/// Bounds of a pool and of each of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most connections.
    pub connections: usize,
    /// Most memory of all connections, in bytes.
    pub bytes: usize,
    /// Largest head of a request, in bytes, with the lines before it.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Longest time without a byte between requests, in a body and in an answer.
    pub idle_timeout: Duration,
    /// Longest time from the end of a head to the end of the body.
    pub body_timeout: Duration,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// The body of a request is incomplete.
    Body,
    /// The process works on a request.
    Serving,
    /// An answer is being written.
    Answer,
}

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Others needed its share.
    Room,
    /// The head was too large.
    Head,
    /// The head took too long.
    HeaderTime,
    /// The body took too long.
    BodyTime,
    /// No byte was sent or taken for too long.
    IdleTime,
}

impl Cause {
    /// Returns the cause's name in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Head => "head",
            Self::HeaderTime => "header_time",
            Self::BodyTime => "body_time",
            Self::IdleTime => "idle_time",
        }
    }
}
