//! The entry process for leased tasks.

use super::{
    EXIT_MARGIN, Entries, INBOX, Seeds, drive, dump, front, hello,
    record::{self, Recorder},
    rules, timing,
};
use crate::{
    Error, admin,
    clock::Clock,
    entry::registry,
    http,
    link::{self, Local},
    mesh::Mesh,
    meter, settings,
};
use hashbrown::HashMap;
use kernel::dispatch::{Action, Answer, Dispatcher};
pub(super) use platform::customer::Operation;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::{JoinHandle, JoinSet},
};
use wire::{
    Frame,
    frame::{Hello, Role},
    id::Incarnation,
    lease::{self, Rules},
};

/// Share of a planned stop before which the entry does not end, in hundredths:
/// the balancer takes about two seconds to notice that it leaves.
const STAY_SHARE: u32 = 45;

/// Time without a job after which a leaving entry ends.
const QUIET: Duration = Duration::from_millis(200);

/// What the process's task waits for.
#[derive(Debug)]
pub(super) enum Event {
    Link(link::Event),
    /// The settings name other entries to begin with.
    Seeds(Seeds),
    Ask {
        customer: u64,
        host: String,
        path: String,
        operation: Operation,
        reply: oneshot::Sender<Answer>,
    },
    /// A customer went away before its answer.
    Gone {
        job: u64,
        customer: u64,
    },
    Rules(Rules),
    Registry(registry::Event),
    /// The balancer is to send no more connections, and the entry ends after
    /// this time.
    Leave(Duration),
    /// That time is over.
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

impl From<Rules> for Event {
    fn from(rules: Rules) -> Self {
        Self::Rules(rules)
    }
}

/// What the process shows to its interfaces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Status {
    pub(super) ready: bool,
    pub(super) leaving: bool,
    pub(super) idle: bool,
}

/// A running entry.
#[derive(Debug)]
pub struct Handle {
    /// Dropping them would stop them.
    _admin: (http::Handle, Option<http::Handle>),
    customers: http::Handle,
    readiness: http::Handle,
    events: mpsc::Sender<Event>,
    status: watch::Receiver<Status>,
    process: JoinHandle<()>,
    services: JoinSet<()>,
    drain: Duration,
}

/// Binds an entry's listeners and starts it.
pub async fn spawn(settings: settings::Entry, lease: &settings::Lease) -> Result<Handle, Error> {
    let (events, inbox) = mpsc::channel(INBOX);
    let (dump_requests, dumps) = mpsc::channel(1);
    let listener = link::listen(settings.links).await?;
    let links = listener.local_addr()?;
    let advertised = settings.advertise.unwrap_or(links);
    let hello = hello(&settings.common, Role::Entry, advertised.to_string());
    let incarnation = hello.incarnation;
    let local = Local::new(hello, settings.common.keys.clone());
    let mut services = JoinSet::new();
    services.spawn(link::accept(listener, local.clone(), events.clone()));
    let (status, watched) = watch::channel(Status::default());
    let admin = admin::bind(&settings.common, dump_requests).await?;
    let metrics = admin::bind_metrics(&settings.common).await?;
    let customers = front::bind(&settings, events.clone(), watched.clone()).await?;
    let readiness = front::bind_readiness(lease.readiness, watched.clone()).await?;
    let store = platform::store::Client::open(settings.store)?;
    services.spawn(rules::follow(store.clone(), events.clone()));
    let (marks, learnt) = watch::channel(registry::Marks::new());
    services.spawn(register(
        store,
        own(&settings, advertised),
        learnt,
        events.clone(),
    ));
    let seed = settings.seed.unwrap_or_else(rand::random);
    let clock = Clock::default();
    let domain = &settings.common.domain;
    let mut kernel = Dispatcher::new(clock.now(), domain, timing(lease), seed);
    kernel.set_remote_factor(lease.away);
    let process = Process {
        recorder: Recorder::new(settings.common.sample),
        published: Duration::ZERO,
        confirmed: None,
        kernel,
        mesh: Mesh::new(local, events.clone(), settings.peers.clone()),
        marks,
        status,
        customers: HashMap::new(),
    };
    let process = tokio::spawn(drive::run(process, clock, inbox, dumps));
    log::info!(
        "event=entry_started name={} incarnation={incarnation} customers={} links={links} readiness={} admin={}",
        settings.common.name,
        customers.address(),
        readiness.address(),
        admin.address(),
    );
    Ok(Handle {
        _admin: (admin, metrics),
        customers,
        readiness,
        events,
        status: watched,
        process,
        services,
        drain: settings.common.drain,
    })
}

fn own(settings: &settings::Entry, advertised: SocketAddr) -> registry::Own {
    registry::Own {
        environment: settings.common.environment.clone(),
        region: settings.region.clone(),
        name: settings.common.name.clone(),
        address: advertised.to_string(),
    }
}

async fn register(
    store: platform::store::Client,
    own: registry::Own,
    learnt: watch::Receiver<registry::Marks>,
    events: mpsc::Sender<Event>,
) {
    registry::follow_entries(&store, &own, learnt, &events).await;
}

impl Handle {
    /// Returns the means to set other entries to begin with.
    pub fn entries(&self) -> Entries<impl From<Seeds> + use<>> {
        Entries(self.events.clone())
    }

    /// Returns the address for customers.
    pub fn customers(&self) -> SocketAddr {
        self.customers.address()
    }

    /// Keeps new connections away, takes only jobs that end before it does, and
    /// stops once it has none, within the bound of the settings.
    pub async fn drain(mut self, hurry: impl Future<Output = ()>) -> Result<(), Error> {
        let bound = self.drain.saturating_sub(EXIT_MARGIN);
        let end = tokio::time::Instant::now() + bound;
        let stay = self.drain * STAY_SHARE / 100;
        let events = self.events.clone();
        let status = &mut self.status;
        let steps = async {
            // A process that has ended drains at once.
            let _ = events.send(Event::Leave(bound)).await;
            tokio::time::sleep(stay).await;
            loop {
                let idle = status.wait_for(|status| status.leaving && status.idle);
                if idle.await.is_err() {
                    return false;
                }
                let busy = status.wait_for(|status| !status.idle);
                if tokio::time::timeout(QUIET, busy).await.is_err() {
                    return true;
                }
            }
        };
        let whole = tokio::select! {
            whole = tokio::time::timeout_at(end, steps) => whole.unwrap_or(false),
            () = hurry => false,
        };
        if !whole {
            // As above.
            let _ = self.events.send(Event::Abandon).await;
        }
        // A request that came in the meantime has the rest of the time.
        let closing = async { tokio::join!(self.customers.close(), self.readiness.close()) };
        let last = end + EXIT_MARGIN / 2;
        let closed = tokio::time::timeout_at(last, closing).await.is_ok();
        self.services.abort_all();
        self.process.abort();
        if whole && closed {
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

struct Process {
    recorder: Recorder,
    published: Duration,
    /// When the store last told the rules.
    confirmed: Option<Duration>,
    kernel: Dispatcher,
    mesh: Mesh<Event>,
    /// What is kept in the store of how long customers wait.
    marks: watch::Sender<registry::Marks>,
    status: watch::Sender<Status>,
    customers: HashMap<u64, oneshot::Sender<Answer>>,
}

impl drive::Process for Process {
    type Event = Event;

    fn mesh(&mut self) -> &mut Mesh<Event> {
        &mut self.mesh
    }

    fn settle(&mut self, now: Duration) {
        self.kernel.place_if_changed(now);
    }

    fn due(&self) -> Option<Duration> {
        None
    }

    fn dump(&self, now: Duration) -> serde_json::Value {
        dump::entry(&self.kernel, self.mesh.local(), now)
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Seeds(Seeds(addresses)) => self.mesh.seed(addresses),
            Event::Link(event) => self.link(now, event),
            Event::Ask {
                customer,
                host,
                path,
                operation,
                reply,
            } => {
                self.customers.insert(customer, reply);
                match operation {
                    Operation::Submit(submission) => {
                        self.kernel.submit(now, customer, &host, &path, submission);
                    }
                    Operation::Inspect(job) => self.kernel.inspect(customer, job),
                    Operation::Cancel(job) => self.kernel.cancel(now, customer, job),
                    Operation::Count => self.kernel.count_pending(customer, &host, &path),
                }
            }
            Event::Gone { job, customer } => {
                self.customers.remove(&customer);
                self.kernel.remove_customer(now, job, customer);
            }
            Event::Rules(rules) => {
                self.confirmed = Some(now);
                self.kernel.adopt(now, &rules, None);
            }
            Event::Registry(registry::Event::Entries(entries)) => {
                self.mesh.register(entries);
                self.kernel.set_entries(&self.mesh.known());
            }
            Event::Registry(registry::Event::Marks(marks)) => self.kernel.restore_floors(&marks),
            Event::Registry(_) => {}
            Event::Leave(bound) => self.kernel.leave(now + bound),
            Event::Abandon => self.kernel.give_up_all(now),
        }
    }

    fn join(&mut self, now: Duration, peer: &Hello) {
        match peer.role {
            Role::Side => {
                self.kernel.join_side(now, peer);
                self.kernel.send_entries(peer.incarnation);
            }
            Role::Entry => {
                self.kernel.join_entry(now, peer);
                self.kernel.set_entries(&self.mesh.known());
            }
        }
    }

    fn lose(&mut self, peer: &Hello) {
        match peer.role {
            Role::Side => self.kernel.lose_side(peer.incarnation),
            Role::Entry => self.kernel.lose_entry(peer.incarnation),
        }
    }

    fn frame(&mut self, now: Duration, from: Incarnation, frame: lease::Frame) {
        self.kernel.frame(now, from, frame);
    }

    fn silent(&self, now: Duration) -> Vec<Incarnation> {
        let sides = self.kernel.silent_sides(now).into_iter();
        sides.chain(self.kernel.silent_entries(now)).collect()
    }

    fn tick(&mut self, now: Duration) {
        self.close_silent(now);
        self.kernel.tick(now);
        if now.saturating_sub(self.published) >= meter::INTERVAL {
            self.published = now;
            record::publish_entry(&self.kernel, self.mesh.local(), now, self.confirmed);
            self.marks.send_replace(self.kernel.patience_floors());
        }
    }

    fn act(&mut self) {
        for event in self.kernel.take_events() {
            self.recorder.take(&event);
        }
        for action in self.kernel.take_actions() {
            match action {
                Action::Send((to, frame)) => self.mesh.send(to, Frame::Lease(frame)),
                Action::Answer(customer, answer) => {
                    if let Some(reply) = self.customers.remove(&customer) {
                        // The customer may have gone away.
                        let _ = reply.send(answer);
                    }
                }
            }
        }
        self.report();
    }
}

impl Process {
    fn report(&self) {
        let status = Status {
            ready: self.kernel.is_ready(),
            leaving: self.kernel.is_leaving(),
            idle: self.kernel.open_jobs() == 0,
        };
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}
