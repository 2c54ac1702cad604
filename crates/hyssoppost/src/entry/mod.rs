//! The entry process. One task owns its whole state and handles the events of
//! customers, sides and other entries.

mod customers;
mod dump;
mod meter;
mod process;
pub(crate) mod registry;

pub(crate) use dump::process;

use crate::{
    Error, admin,
    clock::Clock,
    http,
    link::{self, Local},
    settings,
};
use kernel::entry::{Entry, Identity};
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::{JoinHandle, JoinSet},
};
use wire::{
    frame::{Answer, Hello, Request, Role, VERSION},
    id::{Incarnation, Job},
};

/// Capacity of the process's event queue, in events.
const EVENT_QUEUE_CAPACITY: usize = 65_536;

/// A customer's request.
#[derive(Debug)]
struct Call {
    /// The ticket's job; `None` asks for a new ticket.
    job: Option<Job>,
    request: Request,
    reply: oneshot::Sender<Reply>,
    /// Identifies the call within the process.
    number: u64,
}

/// The answer to a [`Call`].
#[derive(Debug)]
struct Reply {
    job: Option<Job>,
    answer: Arc<Answer>,
}

/// An event that the process handles.
#[derive(Debug)]
enum Event {
    Link(link::Event),
    Call(Call),
    /// The customer of the call with this number has disconnected.
    Disconnected(u64),
    /// Issue this many tickets.
    Tickets(u16, oneshot::Sender<Vec<Job>>),
    Registry(registry::Event),
    Leave,
    Abandon,
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

/// The process's state as the customers' interface and [`Handle`] see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Status {
    phase: Phase,
    idle: bool,
}

/// Phase of the process's life cycle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// Has no current configuration.
    #[default]
    Waiting,
    /// Accepts jobs.
    Ready,
    /// Accepts no new jobs.
    Leaving,
    /// Another entry has recovered this incarnation's jobs.
    Fenced,
}

/// A running entry.
#[derive(Debug)]
pub struct Handle {
    customers: http::Handle,
    admin: http::Handle,
    links: SocketAddr,
    incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
    process: JoinHandle<()>,
    services: JoinSet<()>,
    drain: std::time::Duration,
}

/// Binds an entry's listeners and starts it.
pub async fn spawn(settings: settings::Entry) -> Result<Handle, Error> {
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (dump_requests, dump_queue) = mpsc::channel(1);
    let incarnation = Incarnation(rand::random());
    let hello = hello(&settings.common, incarnation);
    let mut local = Local::new(hello, settings.common.keys.clone());
    let listener = link::listen(settings.links).await?;
    let links = listener.local_addr()?;
    let advertised = settings.advertise.unwrap_or(links);
    local.hello.address = advertised.to_string();
    let mut services = JoinSet::new();
    services.spawn(link::accept(listener, local.clone(), events.clone()));
    let kernel = Entry::new(
        Identity {
            name: settings.common.name.clone(),
            incarnation,
            seed: settings.seed.unwrap_or_else(rand::random),
            archive_bytes: settings.archive_bytes,
        },
        settings.policy.choose,
    );
    let (status, watched) = watch::channel(Status::default());
    let admin = admin::bind(&settings.common, dump_requests)?;
    let customers = customers::bind(&settings, events.clone(), watched.clone())?;
    let store = store::gateway::Client::open(&settings.store.to_string())?;
    services.spawn(registry::run(
        store,
        registry::Instance {
            environment: settings.common.environment.clone(),
            region: settings.region.clone(),
            name: settings.common.name.clone(),
            address: advertised.to_string(),
            processor: 0,
        },
        events.clone(),
    ));
    let process = process::Process::new(kernel, local, status, events.clone(), settings.peers);
    let process = tokio::spawn(process.run(Clock::default(), event_queue, dump_queue));
    log::info!(
        "event=entry_started name={} incarnation={incarnation} customers={} links={links} admin={}",
        settings.common.name,
        customers.address(),
        admin.address()
    );
    Ok(Handle {
        customers,
        admin,
        links,
        incarnation,
        events,
        status: watched,
        process,
        services,
        drain: settings.common.drain,
    })
}

fn hello(common: &settings::Common, incarnation: Incarnation) -> Hello {
    Hello {
        version: VERSION,
        role: Role::Entry,
        name: common.name.clone(),
        incarnation,
        domain: common.domain.clone(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    }
}

impl Handle {
    /// Returns the address for customers.
    pub fn customers(&self) -> SocketAddr {
        self.customers.address()
    }

    /// Returns the address of the admin interface.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the address to which sides and other entries connect.
    pub fn links(&self) -> SocketAddr {
        self.links
    }

    /// Returns the entry's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until the entry accepts jobs.
    pub async fn ready(&mut self) {
        // An error means that the process has ended and never becomes ready.
        let _ = self
            .status
            .wait_for(|status| status.phase == Phase::Ready)
            .await;
    }

    /// Returns whether the entry was fenced and must be replaced.
    pub fn is_fenced(&self) -> bool {
        self.status.borrow().phase == Phase::Fenced
    }

    /// Waits until the entry is fenced.
    pub async fn fenced(&mut self) {
        // An error means that the process has ended.
        let _ = self
            .status
            .wait_for(|status| status.phase == Phase::Fenced)
            .await;
    }

    /// Accepts no new jobs, waits until those accepted have ended, and stops.
    /// Stops with open jobs once the drain time of the settings is over or
    /// `force` resolves.
    pub async fn drain(mut self, force: impl Future<Output = ()>) -> Result<(), Error> {
        // Fails only if the process has ended; then the wait below ends at once.
        let _ = self.events.send(Event::Leave).await;
        let idle = self
            .status
            .wait_for(|status| status.phase == Phase::Leaving && status.idle);
        let drained = tokio::select! {
            idle = tokio::time::timeout(self.drain, idle) => idle.is_ok(),
            () = force => false,
        };
        if !drained {
            let _ = self.events.send(Event::Abandon).await;
        }
        self.customers.close().await;
        self.process.abort();
        self.services.abort_all();
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
