//! The entry process: customers on one side, sides and other entries on the
//! other, and one task between them that owns all state.

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

/// Events that wait for the process's task.
const INBOX: usize = 65_536;

/// A customer's request.
#[derive(Debug)]
struct Call {
    /// The ticket's job; `None` asks for a new ticket.
    job: Option<Job>,
    request: Request,
    reply: oneshot::Sender<Reply>,
    number: u64,
}

/// The answer to a [`Call`].
#[derive(Debug)]
struct Reply {
    job: Option<Job>,
    answer: Arc<Answer>,
}

/// What the process's task waits for.
#[derive(Debug)]
enum Event {
    Link(link::Event),
    Call(Call),
    /// The customer of this number has gone away.
    Gone(u64),
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

/// What the process shows to its customers' interface.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Status {
    phase: Phase,
    idle: bool,
}

/// Where the process is in its life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// No fresh configuration.
    #[default]
    Waiting,
    /// Accepts jobs.
    Ready,
    /// Accepts no new jobs.
    Leaving,
    /// Fenced.
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
    let (events, inbox) = mpsc::channel(INBOX);
    let (dump_requests, dumps) = mpsc::channel(1);
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
    let admin = admin::bind(&settings.common, dump_requests).await?;
    let customers = customers::bind(&settings, events.clone(), watched.clone()).await?;
    let store = store::gateway::Client::open(&settings.store.to_string())?;
    services.spawn(registry::run(
        store,
        registry::Own {
            environment: settings.common.environment.clone(),
            region: settings.region.clone(),
            name: settings.common.name.clone(),
            address: advertised.to_string(),
        },
        events.clone(),
    ));
    let process = process::Process::new(kernel, local, status, events.clone(), settings.peers);
    let process = tokio::spawn(process.run(Clock::default(), inbox, dumps));
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

    /// Returns the address for sides and other entries.
    pub fn links(&self) -> SocketAddr {
        self.links
    }

    /// Returns the entry's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until the entry has a configuration in force.
    pub async fn ready(&mut self) {
        // An error means that the process has ended, which no wait mends.
        let _ = self
            .status
            .wait_for(|status| status.phase == Phase::Ready)
            .await;
    }

    /// Returns whether the entry was fenced and must be replaced.
    pub fn is_fenced(&self) -> bool {
        self.status.borrow().phase == Phase::Fenced
    }

    /// Waits until the entry was fenced.
    pub async fn fenced(&mut self) {
        // As above.
        let _ = self
            .status
            .wait_for(|status| status.phase == Phase::Fenced)
            .await;
    }

    /// Accepts no new jobs, lets those accepted end within the bound of the
    /// settings, or until `hurry` resolves, and stops.
    pub async fn drain(mut self, hurry: impl Future<Output = ()>) -> Result<(), Error> {
        // A process that has ended drains at once.
        let _ = self.events.send(Event::Leave).await;
        let idle = self
            .status
            .wait_for(|status| status.phase == Phase::Leaving && status.idle);
        let whole = tokio::select! {
            idle = tokio::time::timeout(self.drain, idle) => idle.is_ok(),
            () = hurry => false,
        };
        if !whole {
            let _ = self.events.send(Event::Abandon).await;
        }
        self.customers.close().await;
        self.process.abort();
        self.services.abort_all();
        if whole {
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
