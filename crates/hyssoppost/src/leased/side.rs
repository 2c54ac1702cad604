//! The side process for leased tasks: starts and stops them at the upstream
//! beside it.

use super::{
    EVENT_QUEUE_CAPACITY, EXIT_MARGIN, SeedSender, Seeds, TICK_INTERVAL, availability, dump,
    event_loop, hello,
    telemetry::{self, Recorder},
    timing,
};
use crate::{
    Error, admin,
    clock::Clock,
    entry::registry,
    http,
    link::{self, Local},
    logging::Pacer,
    mesh::Mesh,
    meter, settings,
};
use kernel::{
    guard::{Action, Admission, Guard, Inventory},
    neighbourhood::Neighbours,
};
use platform::upstream::{Client, Failure, Report};
use poem::{EndpointExt, Request, Response, endpoint::make, http::StatusCode};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
};
use wire::{
    Frame,
    frame::{Endpoint, Hello, Role},
    id::Incarnation,
    lease::{self, Run},
};

/// Interval at which surplus connections are looked for.
const SURPLUS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the knowledge that the failure domain is in service beyond which no run starts,
/// as a share of the time in which an evacuation must take effect. The rest is for the
/// orders that are on their way to the upstream.
const MAX_AVAILABILITY_AGE_PERCENT: u32 = 40;

/// An event that the process handles.
#[derive(Debug)]
enum Event {
    Link(link::Event),
    /// The settings file lists other seeds.
    Seeds(Seeds),
    Report(Report),
    /// The upstream's answer to the order to start a run.
    Admission(Run, Admission),
    /// The upstream has executed a stop, at this time on its clock in
    /// milliseconds.
    Stopped {
        run: Run,
        token: u64,
        at: u64,
    },
    /// The upstream's list of its runs, or why the call for it failed.
    Inventory(Result<Inventory, Failure>),
    Registry(registry::Event),
    /// An answer of the store on the side's failure domain, or the lack of one.
    Availability(availability::Update),
    Leave,
}

impl From<Seeds> for Event {
    fn from(seeds: Seeds) -> Self {
        Self::Seeds(seeds)
    }
}

impl From<registry::Event> for Event {
    fn from(event: registry::Event) -> Self {
        Self::Registry(event)
    }
}

impl From<availability::Update> for Event {
    fn from(update: availability::Update) -> Self {
        Self::Availability(update)
    }
}

impl From<link::Event> for Event {
    fn from(event: link::Event) -> Self {
        Self::Link(event)
    }
}

/// A running side.
#[derive(Debug)]
pub struct Handle {
    /// Kept because dropping a handle stops its server.
    _admin: (http::Handle, Option<http::Handle>),
    reports: http::Handle,
    events: mpsc::Sender<Event>,
    idle: watch::Receiver<bool>,
    process: JoinHandle<()>,
    _services: JoinSet<()>,
    drain: Duration,
}

/// Binds a side's listeners and starts it.
#[expect(
    clippy::unused_async,
    reason = "the sockets belong to the runtime that polls the future"
)]
pub async fn spawn(settings: settings::Side, leased: &settings::Leased) -> Result<Handle, Error> {
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (dump_requests, dump_queue) = mpsc::channel(1);
    let hello = hello(&settings.common, Role::Side, String::new(), 0);
    let incarnation = hello.incarnation;
    let local = Local::new(hello, settings.common.keys.clone());
    let admin = admin::bind(&settings.common, dump_requests)?;
    let metrics = admin::bind_metrics(&settings.common)?;
    let reports = bind_reports(settings.upstream, leased.service.clone(), events.clone())?;
    let clock = Clock::default();
    let mut timing = timing(&leased.lease);
    timing.max_capacity_age = leased.max_capacity_age;
    let client =
        Client::open(leased.address, timing.answer_timeout()).map_err(store::Error::from)?;
    let (idle, watched) = watch::channel(false);
    let (isolated, isolation) = watch::channel(true);
    let (uninformed, reads_due) = watch::channel(false);
    let mut services = JoinSet::new();
    if let Some(address) = leased.store {
        timing.max_availability_age =
            Some(leased.evacuation_bound * MAX_AVAILABILITY_AGE_PERCENT / 100);
        let store = platform::store::Client::open(address)?;
        services.spawn(availability::follow(
            store.clone(),
            settings.common.domain.clone(),
            clock,
            reads_due,
            events.clone(),
        ));
        let (environment, region) = (settings.common.environment.clone(), leased.region.clone());
        let events = events.clone();
        services.spawn(async move {
            registry::find_entries(store, &environment, &region, isolation, &events).await;
        });
    }
    let mut kernel = Guard::new(timing, clock.now());
    kernel.set_release_jitter(rand::random());
    let process = Process {
        recorder: Recorder::new(settings.common.sample),
        published_at: Duration::ZERO,
        neighbours: Neighbours::new(&settings.common.name, clock.now()),
        surplus_checked_at: Duration::ZERO,
        kernel,
        mesh: Mesh::new(local, events.clone(), settings.entries.clone()),
        client,
        unreadable_lists: Pacer::default(),
        events: events.clone(),
        isolated,
        uninformed,
        idle,
    };
    // A side has no customers.
    let (_, calls) = mpsc::channel(1);
    let process = tokio::spawn(event_loop::run(
        process,
        clock,
        event_queue,
        calls,
        dump_queue,
    ));
    log::info!(
        "event=side_started name={} incarnation={incarnation} reports={} upstream={}",
        settings.common.name,
        reports.address(),
        leased.address
    );
    Ok(Handle {
        _admin: (admin, metrics),
        reports,
        events,
        idle: watched,
        process,
        _services: services,
        drain: settings.common.drain,
    })
}

fn bind_reports(
    address: SocketAddr,
    service: String,
    events: mpsc::Sender<Event>,
) -> Result<http::Handle, Error> {
    let dropped = Arc::new(Pacer::default());
    let app = make(move |request| {
        let (service, events, dropped) = (service.clone(), events.clone(), dropped.clone());
        async move { Ok::<_, poem::Error>(receive_report(request, &service, &events, &dropped).await) }
    });
    http::bind("reports", address, Duration::from_millis(100), app.boxed())
}

async fn receive_report(
    mut request: Request,
    service: &str,
    events: &mpsc::Sender<Event>,
    dropped: &Pacer,
) -> Response {
    let body = request.take_body();
    let body = match http::body::read(&request, body).await {
        Ok(body) => body,
        Err(http::body::Error::TooLarge) => return StatusCode::PAYLOAD_TOO_LARGE.into(),
        Err(_) => return StatusCode::SERVICE_UNAVAILABLE.into(),
    };
    match platform::upstream::decode(request.uri().path(), &body, service) {
        Ok(report) => {
            if events.send(Event::Report(report)).await.is_err() {
                return StatusCode::SERVICE_UNAVAILABLE.into();
            }
            Response::builder()
                .content_type("application/json")
                .body("{}")
        }
        Err(error) => {
            if dropped.is_due() {
                log::warn!("event=report_dropped reason=\"{error}\"");
            }
            StatusCode::BAD_REQUEST.into()
        }
    }
}

impl Handle {
    /// Returns a sender that replaces the side's seeds.
    pub fn seed_sender(&self) -> SeedSender<impl From<Seeds> + use<>> {
        SeedSender(self.events.clone())
    }

    /// Returns the address that accepts the upstream's reports.
    pub fn reports(&self) -> SocketAddr {
        self.reports.address()
    }

    /// Starts no more tasks, waits until those running have ended, and stops.
    /// Stops earlier once the drain time of the settings is over or `force`
    /// resolves.
    pub async fn drain(mut self, force: impl Future<Output = ()>) -> Result<(), Error> {
        // Fails only if the process has ended; then the wait below ends at once.
        let _ = self.events.send(Event::Leave).await;
        let idle = self.idle.wait_for(|idle| *idle);
        let bound = self.drain.saturating_sub(EXIT_MARGIN);
        let drained = tokio::select! {
            idle = tokio::time::timeout(bound, idle) => idle.is_ok(),
            () = force => false,
        };
        // Leaves time to send the last frames to the entries.
        tokio::time::sleep(TICK_INTERVAL).await;
        self.process.abort();
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

struct Process {
    recorder: Recorder,
    published_at: Duration,
    neighbours: Neighbours,
    surplus_checked_at: Duration,
    kernel: Guard,
    mesh: Mesh<Event>,
    client: Client,
    unreadable_lists: Pacer,
    events: mpsc::Sender<Event>,
    /// Whether no entry is connected.
    isolated: watch::Sender<bool>,
    /// Whether no entry has reported on the failure domain recently.
    uninformed: watch::Sender<bool>,
    idle: watch::Sender<bool>,
}

impl event_loop::Process for Process {
    type Event = Event;

    fn mesh(&mut self) -> &mut Mesh<Event> {
        &mut self.mesh
    }

    fn record_suspension(&mut self, lasted: Duration) {
        self.kernel.record_suspension(lasted);
    }

    fn settle(&mut self, now: Duration) {
        self.kernel.flush(now);
    }

    fn settle_delay(&self) -> Option<Duration> {
        self.kernel.report_delay()
    }

    fn dump(&self, now: Duration) -> serde_json::Value {
        dump::side(&self.kernel, self.mesh.local(), now)
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Seeds(Seeds(addresses)) => self.mesh.set_seeds(addresses),
            Event::Link(event) => self.handle_link(now, event),
            Event::Report(Report::Alive(announcement)) => self.kernel.announce(now, announcement),
            Event::Report(Report::Deregistered { id }) => {
                log::info!("event=upstream_ends id={id}");
                self.kernel.withdraw();
            }
            Event::Admission(run, answer) => self.kernel.record_admission(now, run, answer),
            Event::Stopped { run, token, at } => self.kernel.record_stop(run, token, at),
            Event::Inventory(Ok(inventory)) => self.kernel.record_inventory(now, &inventory),
            Event::Inventory(Err(Failure::Gone)) => self.kernel.upstream_gone(now),
            Event::Inventory(Err(Failure::Fenced)) => self.kernel.hold_fenced(now),
            Event::Inventory(Err(Failure::Unanswered)) => self.kernel.hold_failed(now),
            Event::Inventory(Err(Failure::Unreadable)) => {
                if self.unreadable_lists.is_due() {
                    log::warn!("event=lists_unreadable");
                }
                self.kernel.hold_failed(now);
            }
            Event::Registry(registry::Event::Entries(entries)) => self.set_entries(&entries),
            Event::Registry(_) => {}
            Event::Availability(availability::Update::Read {
                asked_at,
                revision,
                out,
            }) => self.kernel.record_store_read(asked_at, revision, out),
            Event::Availability(availability::Update::Failed) => {
                self.kernel.record_store_failure(now);
            }
            Event::Leave => self.kernel.leave(),
        }
    }

    fn add_peer(&mut self, now: Duration, peer: &Hello) {
        self.kernel.join(now, peer.incarnation);
    }

    fn remove_peer(&mut self, peer: &Hello) {
        self.kernel.lose(peer.incarnation);
    }

    fn frame(&mut self, now: Duration, from: Incarnation, frame: lease::Frame) {
        self.kernel.frame(now, from, frame);
    }

    fn record_bytes(&mut self, now: Duration, from: Incarnation) {
        self.kernel.record_bytes(now, from);
    }

    fn silent(&self, now: Duration) -> Vec<Incarnation> {
        self.kernel.silent(now)
    }

    fn tick(&mut self, now: Duration) {
        if self.neighbours.update(now, self.mesh.peer_names()) {
            log::info!("event=neighbours weak={}", self.neighbours.includes_weak());
            self.mesh.set_registered(self.neighbours.chosen());
        }
        self.release_surplus(now);
        self.kernel.tick(now);
        let uninformed = self.kernel.needs_store_read(now);
        self.uninformed
            .send_if_modified(|current| std::mem::replace(current, uninformed) != uninformed);
        if now.saturating_sub(self.published_at) >= meter::PUBLISH_INTERVAL {
            self.published_at = now;
            telemetry::publish_side(&self.kernel, self.mesh.local(), now);
        }
    }

    fn execute_actions(&mut self) {
        for event in self.kernel.take_events() {
            self.recorder.observe(&event);
        }
        for action in self.kernel.take_actions() {
            match action {
                Action::Send((to, frame)) => self.mesh.send(to, Frame::Lease(frame)),
                Action::Start(order) => {
                    let (client, events) = (self.client.clone(), self.events.clone());
                    tokio::spawn(async move {
                        let answer = client.start(&order).await;
                        // The send fails only if the process has ended.
                        let _ = events.send(Event::Admission(order.run, answer)).await;
                    });
                }
                Action::Stop { run, token } => {
                    let (client, events) = (self.client.clone(), self.events.clone());
                    tokio::spawn(async move {
                        if let Some(at) = client.stop(run, token).await {
                            // The send fails only if the process has ended.
                            let _ = events.send(Event::Stopped { run, token, at }).await;
                        }
                    });
                }
                Action::Hold(hold) => {
                    let (client, events) = (self.client.clone(), self.events.clone());
                    tokio::spawn(async move {
                        let result = client.hold(&hold).await;
                        // The send fails only if the process has ended.
                        let _ = events.send(Event::Inventory(result)).await;
                    });
                }
                Action::Entries(entries) => self.set_entries(&entries),
            }
        }
        let isolated = !self.mesh.has_peers();
        self.isolated
            .send_if_modified(|current| std::mem::replace(current, isolated) != isolated);
        if self.kernel.is_leaving() {
            let idle = self.kernel.is_idle();
            self.idle
                .send_if_modified(|current| std::mem::replace(current, idle) != idle);
        }
    }
}

impl Process {
    /// Connects to this side's choice of the entries.
    fn set_entries(&mut self, entries: &[Endpoint]) {
        self.neighbours.set_entries(entries);
        self.mesh.set_registered(self.neighbours.chosen());
    }

    /// Ends the connections to entries that this side would no longer choose, once
    /// they have nothing left here.
    fn release_surplus(&mut self, now: Duration) {
        if now.saturating_sub(self.surplus_checked_at) < SURPLUS_CHECK_INTERVAL {
            return;
        }
        self.surplus_checked_at = now;
        self.kernel.set_surplus(now, &self.mesh.surplus());
        for entry in self.kernel.released(now) {
            if let Some(peer) = self.mesh.release(entry) {
                self.kernel.lose(peer.incarnation);
            }
        }
    }
}
