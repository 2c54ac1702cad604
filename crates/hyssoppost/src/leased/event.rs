//! Events that an entry process handles, and its state as its interfaces see it.

use super::{Seeds, rules};
use crate::{entry::registry, link};
use platform::customer::{Operation, Response};
use std::time::Duration;
use tokio::sync::oneshot;
use wire::Payload;

/// An event that the process handles.
#[derive(Debug)]
pub(super) enum Event {
    Link(link::Event),
    /// The settings file lists other seeds.
    Seeds(Seeds),
    Call {
        /// When its request arrived.
        arrived: Duration,
        customer: u64,
        host: String,
        path: String,
        operation: Operation,
        reply: oneshot::Sender<Response>,
    },
    /// A submission with its body as received.
    Request {
        customer: u64,
        job: u64,
        host: String,
        path: String,
        patience: Duration,
        /// When the request's body had arrived.
        arrived: Duration,
        body: Payload,
        reply: oneshot::Sender<Response>,
    },
    /// A customer disconnected before its answer.
    Disconnected {
        job: u64,
        customer: u64,
    },
    /// The barrier of this number, behind all departures that had arrived before it.
    Barrier(u64),
    Rules(rules::Update),
    Registry(registry::Event),
    /// Fail readiness checks, and stop within this time.
    Leave(Duration),
    /// The time to stop is over: end all open jobs.
    Abandon,
}

impl From<Seeds> for Event {
    fn from(seeds: Seeds) -> Self {
        Self::Seeds(seeds)
    }
}

impl From<link::Event> for Event {
    fn from(event: link::Event) -> Self {
        Self::Link(event)
    }
}

impl From<registry::Event> for Event {
    fn from(event: registry::Event) -> Self {
        Self::Registry(event)
    }
}

impl From<rules::Update> for Event {
    fn from(update: rules::Update) -> Self {
        Self::Rules(update)
    }
}

/// The process's state as the HTTP interfaces and [`Handle`] see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions are independent"
)]
pub(super) struct Status {
    /// Whether the entry should get new connections.
    pub(super) ready: bool,
    /// Whether it can serve jobs at all; it may be too late to be ready.
    pub(super) serves: bool,
    /// Whether submissions are passed on with their bodies as received.
    pub(super) wants_requests: bool,
    pub(super) leaving: bool,
    pub(super) idle: bool,
}
