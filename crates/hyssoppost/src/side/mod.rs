//! The side process. One task owns its whole state and handles the events of
//! the upstream and of the entries.

mod dump;
mod meter;
mod process;
mod upstream;

use crate::{
    Error, admin,
    clock::Clock,
    http,
    link::{self, Local},
    settings,
};
use kernel::side::Side;
use std::net::SocketAddr;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
};
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
};

/// Capacity of the process's event queue, in events.
const EVENT_QUEUE_CAPACITY: usize = 16_384;

/// An event that the process handles.
#[derive(Debug)]
enum Event {
    Link(link::Event),
    Announced(upstream::Announcement),
    Finished(upstream::Finished),
    Leave,
}

impl From<link::Event> for Event {
    fn from(event: link::Event) -> Self {
        Self::Link(event)
    }
}

/// The process's state as [`Handle`] sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Status {
    leaving: bool,
    idle: bool,
}

/// A running side.
#[derive(Debug)]
pub struct Handle {
    upstream: http::Handle,
    admin: http::Handle,
    incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
    process: JoinHandle<()>,
    drain: std::time::Duration,
}

/// Binds a side's listeners and starts it.
#[expect(
    clippy::unused_async,
    reason = "the sockets belong to the runtime that polls the future"
)]
pub async fn spawn(settings: settings::Side) -> Result<Handle, Error> {
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (dump_requests, dump_queue) = mpsc::channel(1);
    let incarnation = Incarnation(rand::random());
    let common = &settings.common;
    let hello = Hello {
        version: VERSION,
        role: Role::Side,
        name: common.name.clone(),
        incarnation,
        domain: common.domain.clone(),
        rack: settings.rack.clone(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    };
    let local = Local::new(hello, common.keys.clone());
    let kernel = Side::new(incarnation);
    let (status, watched) = watch::channel(Status::default());
    let admin = admin::bind(common, dump_requests)?;
    let upstream = upstream::bind(settings.upstream, events.clone())?;
    let entries = process::Directory {
        seeds: settings.entries,
        discover: settings.discover,
    };
    let process = process::Process::new(kernel, local, status, events.clone(), entries)?;
    let process = tokio::spawn(process.run(Clock::default(), event_queue, dump_queue));
    log::info!(
        "event=side_started name={} incarnation={incarnation} upstream={} admin={}",
        common.name,
        upstream.address(),
        admin.address()
    );
    Ok(Handle {
        upstream,
        admin,
        incarnation,
        events,
        status: watched,
        process,
        drain: settings.common.drain,
    })
}

impl Handle {
    /// Returns the address that accepts the upstream's announcements.
    pub fn upstream(&self) -> SocketAddr {
        self.upstream.address()
    }

    /// Returns the address of the admin interface.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the side's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Accepts no new tasks, waits until those running have ended, and stops.
    /// Stops earlier once the drain time of the settings is over or `force`
    /// resolves.
    pub async fn drain(mut self, force: impl Future<Output = ()>) -> Result<(), Error> {
        // Fails only if the process has ended; then the wait below ends at once.
        let _ = self.events.send(Event::Leave).await;
        let idle = self.status.wait_for(|status| status.leaving && status.idle);
        let drained = tokio::select! {
            idle = tokio::time::timeout(self.drain, idle) => idle.is_ok(),
            () = force => false,
        };
        self.process.abort();
        // Waits until the aborted task has dropped its connections.
        let _ = (&mut self.process).await;
        tokio::time::sleep(RESULT_FLUSH_TIME).await;
        if drained {
            Ok(())
        } else {
            Err(Error::DrainIncomplete)
        }
    }

    /// Stops at once, as if the process had been killed.
    pub fn kill(self) {
        self.process.abort();
    }
}

/// Time to send the last results after the process's task has ended.
const RESULT_FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(100);
