//! The entry process for leased tasks: accepts jobs and places their tasks.

use super::{
    EVENT_QUEUE_CAPACITY, EXIT_MARGIN, SeedSender, Seeds, TICK_INTERVAL,
    admission::{Admission, notable_wait},
    barrier::Barrier,
    dump,
    event::{Event, Status},
    event_loop, frontend, hello, rules,
    telemetry::{self, Recorder},
    timing,
};
use crate::{
    Error, admin,
    budget::{Limits, Pool},
    clock::Clock,
    entry::registry,
    http,
    link::{self, Local},
    mesh::Mesh,
    meter, settings,
};
use hashbrown::HashMap;
use kernel::{
    dispatch::{Action, Dispatcher, Request},
    event::Event as KernelEvent,
    pressure::{Gate, MAX_TURN_CALLS, Measures, Pressure},
};
use platform::{
    customer::{Operation, Response},
    operator::RequestLimits,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::{JoinHandle, JoinSet},
};
use wire::{
    Frame,
    frame::{Hello, Role},
    id::Incarnation,
    lease,
};

/// Share of the drain time during which a leaving entry keeps running even if it
/// is idle, in percent. The load balancer takes about two seconds to notice that
/// the entry is leaving, and sends new connections until then.
const MIN_DRAIN_PERCENT: u32 = 45;

/// Shortest interval at which the forecasts for jobs refused unread are renewed.
const GATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without open jobs after which a leaving entry stops.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(200);

/// A running entry.
#[derive(Debug)]
pub struct Handle {
    /// Kept because dropping a handle stops its server.
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
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (call_sender, call_queue) = mpsc::channel(MAX_TURN_CALLS);
    let (dump_requests, dump_queue) = mpsc::channel(1);
    let listener = link::listen(settings.links).await?;
    let links = listener.local_addr()?;
    let advertised = settings.advertise.unwrap_or(links);
    let processor = processor(&settings);
    let hello = hello(
        &settings.common,
        Role::Entry,
        advertised.to_string(),
        processor,
    );
    let incarnation = hello.incarnation;
    let local = Local::new(hello, settings.common.keys.clone());
    let mut services = JoinSet::new();
    services.spawn(link::accept(listener, local.clone(), events.clone()));
    let (status, watched) = watch::channel(Status::default());
    let admin = admin::bind(&settings.common, dump_requests)?;
    let metrics = admin::bind_metrics(&settings.common)?;
    let clock = Clock::default();
    let admission = Arc::new(Admission::new(Recorder::new(settings.common.sample)));
    let shared = frontend::Shared::new(
        frontend::Queues {
            events: events.clone(),
            calls: call_sender,
        },
        watched.clone(),
        admission.clone(),
        clock,
    );
    let limits = settings.limits;
    let pool = Pool::new("customers", limits.connections);
    let customers = frontend::bind(&settings, pool.clone(), shared)?;
    let readiness = frontend::bind_readiness(lease.readiness, watched.clone())?;
    let store = platform::store::Client::open(settings.store)?;
    services.spawn(rules::follow(store.clone(), clock, events.clone()));
    let (floors, floor_updates) = watch::channel(registry::Floors::new());
    services.spawn(keep_registered(
        store,
        instance(&settings, advertised, processor),
        floor_updates,
        events.clone(),
    ));
    let barrier = Barrier::open(events.clone())?;
    let seed = settings.seed.unwrap_or_else(rand::random);
    let domain = &settings.common.domain;
    let mut kernel = Dispatcher::new(clock.now(), domain, timing(lease), seed);
    kernel.set_remote_factor(lease.remote_factor);
    kernel.set_processor(&settings.common.name, processor);
    kernel.set_job_memory(limits.job_bytes);
    let process = Process {
        recorder: Recorder::new(settings.common.sample),
        pressure: Pressure::new(TICK_INTERVAL),
        admission,
        gate_set_at: Duration::ZERO,
        published_at: Duration::ZERO,
        rules_read_at: None,
        limits: limits.connections,
        pool,
        clock,
        kernel,
        mesh: Mesh::new(local, events.clone(), settings.peers.clone()),
        floors,
        status,
        customers: HashMap::new(),
        barrier,
    };
    let process = tokio::spawn(event_loop::run(
        process,
        clock,
        event_queue,
        call_queue,
        dump_queue,
    ));
    log::info!(
        "event=entry_started name={} incarnation={incarnation} customers={} links={links} readiness={} admin={} \
         processor_mcpu={processor}",
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

/// Returns the limits that hold under the operators' document. It bounds what customers
/// send, and the settings bound what the process can take.
fn narrow(limits: Limits, document: &RequestLimits) -> Limits {
    let bytes = |limit: usize, stated: Option<usize>| stated.map_or(limit, |most| most.min(limit));
    let time = |limit, stated: Option<u64>| stated.map_or(limit, Duration::from_millis);
    Limits {
        head_bytes: bytes(limits.head_bytes, document.head_bytes),
        body_bytes: bytes(limits.body_bytes, document.body_bytes),
        header_timeout: time(limits.header_timeout, document.header_timeout_ms),
        idle_timeout: time(limits.idle_timeout, document.idle_timeout_ms),
        ..limits
    }
}

/// Returns the processor available to the process, in thousandths of a core; 0 if it
/// is unknown. A value out of range is reported and counts as unknown.
fn processor(settings: &settings::Entry) -> u32 {
    let Some(cores) = settings.processor else {
        return 0;
    };
    settings::thousandths(cores).unwrap_or_else(|| {
        log::warn!("event=setting_ignored section=limits key=processor value={cores}");
        0
    })
}

fn instance(
    settings: &settings::Entry,
    advertised: SocketAddr,
    processor: u32,
) -> registry::Instance {
    registry::Instance {
        environment: settings.common.environment.clone(),
        region: settings.region.clone(),
        name: settings.common.name.clone(),
        address: advertised.to_string(),
        processor,
    }
}

async fn keep_registered(
    store: platform::store::Client,
    instance: registry::Instance,
    floor_updates: watch::Receiver<registry::Floors>,
    events: mpsc::Sender<Event>,
) {
    registry::follow_entries(&store, &instance, floor_updates, &events).await;
}

impl Handle {
    /// Returns a sender that replaces the entry's seeds.
    pub fn seed_sender(&self) -> SeedSender<impl From<Seeds> + use<>> {
        SeedSender(self.events.clone())
    }

    /// Returns the address for customers.
    pub fn customers(&self) -> SocketAddr {
        self.customers.address()
    }

    /// Fails readiness checks, accepts only jobs that can end in time, and stops
    /// once no job is open. Stops with open jobs once the drain time of the
    /// settings is over or `force` resolves.
    pub async fn drain(mut self, force: impl Future<Output = ()>) -> Result<(), Error> {
        let bound = self.drain.saturating_sub(EXIT_MARGIN);
        let drain_deadline = tokio::time::Instant::now() + bound;
        let min_drain = self.drain * MIN_DRAIN_PERCENT / 100;
        let events = self.events.clone();
        let status = &mut self.status;
        let steps = async {
            // Fails only if the process has ended; then the wait below ends at once.
            let _ = events.send(Event::Leave(bound)).await;
            tokio::time::sleep(min_drain).await;
            loop {
                let idle = status.wait_for(|status| status.leaving && status.idle);
                if idle.await.is_err() {
                    return false;
                }
                let busy = status.wait_for(|status| !status.idle);
                if tokio::time::timeout(IDLE_BEFORE_EXIT, busy).await.is_err() {
                    return true;
                }
            }
        };
        let drained = tokio::select! {
            drained = tokio::time::timeout_at(drain_deadline, steps) => drained.unwrap_or(false),
            () = force => false,
        };
        if !drained {
            // The send fails only if the process has ended.
            let _ = self.events.send(Event::Abandon).await;
        }
        // A request that arrived in the meantime may use the remaining time.
        let closing = async { tokio::join!(self.customers.close(), self.readiness.close()) };
        let close_deadline = drain_deadline + EXIT_MARGIN / 2;
        let closed = tokio::time::timeout_at(close_deadline, closing)
            .await
            .is_ok();
        self.services.abort_all();
        self.process.abort();
        if drained && closed {
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
    pressure: Pressure,
    admission: Arc<Admission>,
    gate_set_at: Duration,
    published_at: Duration,
    /// When the store last returned the rules.
    rules_read_at: Option<Duration>,
    /// Limits of the settings, which the operators' document narrows.
    limits: Limits,
    /// What the customers' connections hold.
    pool: Arc<Pool>,
    clock: Clock,
    kernel: Dispatcher,
    mesh: Mesh<Event>,
    /// Patience floors to write to the store.
    floors: watch::Sender<registry::Floors>,
    status: watch::Sender<Status>,
    customers: HashMap<u64, oneshot::Sender<Response>>,
    barrier: Barrier,
}

impl event_loop::Process for Process {
    type Event = Event;

    fn mesh(&mut self) -> &mut Mesh<Event> {
        &mut self.mesh
    }

    fn settle(&mut self, now: Duration) {
        self.kernel.place_if_changed(now);
    }

    fn settle_delay(&self) -> Option<Duration> {
        None
    }

    fn dump(&self, now: Duration) -> serde_json::Value {
        dump::entry(
            &self.kernel,
            &self.pressure,
            &self.admission,
            self.mesh.local(),
            now,
        )
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Seeds(Seeds(addresses)) => self.mesh.set_seeds(addresses),
            Event::Link(event) => self.handle_link(now, event),
            // A customer that has disconnected meanwhile needs no decision.
            Event::Call { reply, .. } if reply.is_closed() => {}
            Event::Call {
                arrived,
                customer,
                host,
                path,
                operation,
                reply,
            } => {
                self.customers.insert(customer, reply);
                self.pressure.record_call(now, arrived);
                match operation {
                    Operation::Submit(submission) => {
                        let waited = notable_wait(now.saturating_sub(arrived));
                        let arrived = now.saturating_sub(waited);
                        self.kernel
                            .submit_arrived(now, arrived, customer, &host, &path, submission);
                    }
                    Operation::Inspect(job) => self.kernel.inspect(customer, job),
                    Operation::Cancel(job) => self.kernel.cancel(now, customer, job),
                    Operation::Count => self.kernel.count_pending(customer, &host, &path),
                }
            }
            Event::Request { reply, .. } if reply.is_closed() => {}
            Event::Request {
                customer,
                job,
                host,
                path,
                patience,
                arrived,
                body,
                reply,
            } => {
                self.customers.insert(customer, reply);
                self.pressure.record_call(now, arrived);
                let request = Request {
                    job,
                    host,
                    path,
                    patience,
                    arrived,
                    body,
                };
                if let Some(request) = self.kernel.forward(now, customer, request) {
                    self.serve(now, customer, &request);
                }
            }
            Event::Disconnected { job, customer } => {
                self.customers.remove(&customer);
                self.kernel.remove_customer(now, job, customer);
            }
            Event::Barrier(number) => self.kernel.record_barrier(now, number),
            Event::Rules(update) => {
                self.rules_read_at = Some(now);
                if let Some(limits) = &update.limits {
                    self.pool.set_limits(narrow(self.limits, limits));
                }
                if let Some(rules) = &update.rules {
                    self.kernel.adopt(now, rules, None);
                }
                self.kernel.confirm(update.revision, update.asked_at);
            }
            Event::Registry(registry::Event::Entries(entries)) => {
                self.mesh.set_registered(entries);
                self.kernel.set_entries(&self.mesh.endpoints());
            }
            Event::Registry(registry::Event::Floors(floors)) => self.kernel.restore_floors(&floors),
            Event::Registry(_) => {}
            Event::Leave(bound) => self.kernel.leave(now + bound),
            Event::Abandon => self.kernel.give_up_all(now),
        }
    }

    fn add_peer(&mut self, now: Duration, peer: &Hello) {
        match peer.role {
            Role::Side => {
                self.kernel.join_side(now, peer);
                self.kernel.send_entries(peer.incarnation);
            }
            Role::Entry => {
                self.kernel.join_entry(now, peer);
                self.kernel.set_entries(&self.mesh.endpoints());
            }
        }
    }

    fn remove_peer(&mut self, peer: &Hello) {
        match peer.role {
            Role::Side => self.kernel.lose_side(peer.incarnation),
            Role::Entry => {
                let now = self.clock.now();
                self.kernel.lose_entry(now, peer.incarnation);
            }
        }
    }

    fn frame(&mut self, now: Duration, from: Incarnation, frame: lease::Frame) {
        match frame {
            lease::Frame::Forward(forward) => self.take_over(now, from, &forward),
            other => self.kernel.frame(now, from, other),
        }
    }

    fn record_bytes(&mut self, now: Duration, from: Incarnation) {
        self.kernel.record_bytes(now, from);
    }

    fn silent(&self, now: Duration) -> Vec<Incarnation> {
        let sides = self.kernel.silent_sides(now).into_iter();
        sides.chain(self.kernel.silent_entries(now)).collect()
    }

    fn tick(&mut self, now: Duration) {
        self.update_pressure(now);
        self.kernel.tick(now);
        if now.saturating_sub(self.published_at) >= meter::PUBLISH_INTERVAL {
            self.published_at = now;
            telemetry::publish_entry(&self.kernel, self.mesh.local(), now, self.rules_read_at);
            telemetry::publish_pressure(&self.pressure);
            self.admission
                .review_jobs(now, |job| self.kernel.knows(job));
            self.floors.send_replace(self.kernel.patience_floors());
        }
    }

    fn execute_actions(&mut self) {
        for event in self.kernel.take_events() {
            if let KernelEvent::Refused { job, .. } = &event {
                self.admission.forget_job(*job);
            }
            self.recorder.observe(&event);
        }
        let mut unserved = Vec::new();
        for action in self.kernel.take_actions() {
            match action {
                Action::Send((to, frame)) => self.mesh.send(to, Frame::Lease(frame)),
                Action::Answer(customer, answer) => {
                    self.respond(customer, platform::customer::encode(&answer));
                }
                Action::Respond(customer, reply) => {
                    let response = Response {
                        status: reply.status,
                        retry_after: reply.retry_after,
                        body: reply.body,
                    };
                    self.respond(customer, response);
                }
                Action::Reply(to, call, answer) => {
                    let elsewhere = answer.may_succeed_elsewhere();
                    let response = platform::customer::encode(&answer);
                    self.send_reply(to, call, response, elsewhere);
                }
                Action::Serve(customer, request) => unserved.push((customer, request)),
                Action::Barrier(number) => self.barrier.send(number),
            }
        }
        if !unserved.is_empty() {
            let now = self.clock.now();
            for (customer, request) in unserved {
                self.serve(now, customer, &request);
            }
            // Serving a request causes no further action of this kind.
            self.execute_actions();
            return;
        }
        self.publish_status();
    }
}

impl Process {
    fn respond(&mut self, customer: u64, response: Response) {
        if let Some(reply) = self.customers.remove(&customer) {
            // The send fails if the customer has disconnected.
            let _ = reply.send(response);
        }
    }

    fn send_reply(&mut self, to: Incarnation, call: u64, response: Response, elsewhere: bool) {
        let reply = lease::Reply {
            status: response.status,
            retry_after: response.retry_after,
            body: response.body,
            elsewhere,
        };
        let forwarded = lease::Forwarded { call, reply };
        let frame = lease::Frame::Forwarded(forwarded);
        self.mesh.send(to, Frame::Lease(frame));
    }

    /// Serves a customer's request at this entry.
    fn serve(&mut self, now: Duration, customer: u64, request: &Request) {
        let (path, arrived) = (&request.path, request.arrived);
        let body = request.body.as_bytes();
        match platform::customer::decode_submission(path, request.patience, body) {
            Ok(submission) => {
                let (host, prefix) = (&request.host, platform::customer::split(path).0);
                self.kernel
                    .submit_arrived(now, arrived, customer, host, prefix, submission);
            }
            Err(rejection) => {
                log::info!("event=request_rejected path={path:?} reason=\"{rejection}\"");
                self.respond(customer, platform::customer::reject(&rejection));
            }
        }
    }

    /// Takes over a job that another entry has forwarded.
    fn take_over(&mut self, now: Duration, from: Incarnation, forward: &lease::Forward) {
        let path = &forward.path;
        let patience = Duration::from_millis(forward.patience_ms);
        match platform::customer::decode_submission(path, patience, forward.body.as_bytes()) {
            Ok(submission) => {
                let prefix = platform::customer::split(path).0;
                self.admission.record_job(now, forward.job);
                self.kernel
                    .take_over(now, from, forward, prefix, submission);
            }
            Err(rejection) => {
                log::info!(
                    "event=request_rejected path={path:?} from={from} reason=\"{rejection}\""
                );
                let response = platform::customer::reject(&rejection);
                self.send_reply(from, forward.call, response, false);
            }
        }
    }

    /// Measures how late the loop is, and takes or ends the measures against it.
    fn update_pressure(&mut self, now: Duration) {
        self.pressure.tick(now, &self.admission.credit);
        for event in self.pressure.take_events() {
            self.recorder.observe(&event);
        }
        let Measures {
            sample_logs,
            thin_frames,
            refuse,
        } = self.pressure.measures();
        let lateness = self.pressure.lateness();
        self.recorder.sample_less(sample_logs);
        self.kernel.set_lateness(lateness, thin_frames);
        if !refuse {
            self.admission.set_gate(Gate::default());
        } else if now.saturating_sub(self.gate_set_at) >= GATE_INTERVAL {
            self.gate_set_at = now;
            let drained_in = self.kernel.drained_in(now);
            let gate = Gate::closed(lateness, drained_in, self.kernel.lanes(now));
            self.admission.set_gate(gate);
        }
    }

    fn publish_status(&self) {
        let serves = self.kernel.is_ready();
        let status = Status {
            ready: serves && self.pressure.is_ready(),
            serves,
            wants_requests: self.kernel.wants_requests(self.clock.now()),
            leaving: self.kernel.is_leaving(),
            idle: self.kernel.open_jobs() == 0 && self.kernel.open_forwards() == 0,
        };
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}
