//! The task that owns the entry's state.

use super::{Call, Event, Phase, Reply, Status, dump, meter, registry};
use crate::{
    admin::Dump,
    clock::Clock,
    link::{self, Joined, Link, Local, Order},
};
use hashbrown::{HashMap, HashSet};
use kernel::{
    entry::{Action, Adoption, Entry},
    work::{Customer, failed},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};
use wire::{
    Code, Frame,
    frame::{Hello, Known, Request, Role, Started},
    id::{Incarnation, Job},
};

/// Interval at which deadlines and silences are looked for.
const TICK: Duration = Duration::from_millis(20);

/// Events handled before the actions that follow are carried out.
const BATCH: usize = 256;

#[derive(Debug)]
struct Connection {
    peer: Hello,
    dialled: Option<SocketAddr>,
}

#[derive(Debug)]
struct Pending {
    job: Option<Job>,
    reply: oneshot::Sender<Reply>,
}

#[derive(Debug)]
pub(super) struct Process {
    kernel: Entry,
    local: Local,
    status: watch::Sender<Status>,
    events: mpsc::Sender<Event>,
    links: HashMap<Incarnation, Link>,
    order: Order,
    connections: HashMap<u64, Connection>,
    pending: HashMap<u64, Pending>,
    dialers: HashMap<SocketAddr, JoinHandle<()>>,
    passive: HashSet<SocketAddr>,
    seeds: Vec<SocketAddr>,
    registered: Vec<Known>,
    retired: bool,
    published: Duration,
}

impl Drop for Process {
    fn drop(&mut self) {
        for dialer in self.dialers.values() {
            dialer.abort();
        }
        for (_, link) in self.links.drain() {
            link.close();
        }
    }
}

impl Process {
    pub(super) fn new(
        kernel: Entry,
        local: Local,
        status: watch::Sender<Status>,
        events: mpsc::Sender<Event>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            kernel,
            local,
            status,
            events,
            links: HashMap::new(),
            order: Order::default(),
            connections: HashMap::new(),
            pending: HashMap::new(),
            dialers: HashMap::new(),
            passive: HashSet::new(),
            seeds,
            registered: Vec::new(),
            retired: false,
            published: Duration::ZERO,
        }
    }

    pub(super) async fn run(
        mut self,
        clock: Clock,
        mut inbox: mpsc::Receiver<Event>,
        mut dumps: mpsc::Receiver<Dump>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let now = clock.now();
                    for event in batch.drain(..) {
                        self.handle(now, event);
                    }
                }
                Some(reply) = dumps.recv() => {
                    let state = dump::entry(&self.kernel, &self.local, clock.now());
                    // The asker may have gone away.
                    let _ = reply.send(state);
                }
                _ = tick.tick() => self.tick(clock.now()),
            }
            self.act();
            self.report(clock.now());
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Link(link::Event::Joined(joined)) => self.joined(now, joined),
            Event::Link(link::Event::Frame(number, frame)) => self.frame(now, number, frame),
            Event::Link(link::Event::Lost(number)) => self.lost(now, number),
            Event::Call(call) => self.call(now, call),
            Event::Gone(number) => self.gone(number),
            Event::Tickets(count, reply) => {
                let tickets = (0..count).map(|_| self.kernel.ticket(now)).collect();
                // The customer may have gone away.
                let _ = reply.send(tickets);
            }
            Event::Registry(event) => self.registry(now, event),
            Event::Leave => self.kernel.leave(),
            Event::Abandon => self.kernel.abandon(),
        }
    }

    fn joined(&mut self, now: Duration, joined: Joined) {
        if !self.order.admit(&joined) {
            joined.link.close();
            return;
        }
        let Joined {
            hello,
            link,
            dialled,
        } = joined;
        if hello.role == Role::Entry && !self.keeps(&hello, dialled) {
            link.close();
            return;
        }
        let incarnation = hello.incarnation;
        log::info!(
            "event=peer_joined role={:?} name={} incarnation={incarnation} connection={}",
            hello.role,
            hello.name,
            link.number()
        );
        if let Some(old) = self.links.remove(&incarnation) {
            self.connections.remove(&old.number());
            self.lose(now, &hello);
            old.close();
        }
        let connection = Connection {
            peer: hello.clone(),
            dialled,
        };
        self.connections.insert(link.number(), connection);
        self.links.insert(incarnation, link);
        match hello.role {
            Role::Side => self.kernel.join_side(now, &hello),
            Role::Entry => {
                self.kernel.join_entry(now, &hello);
                self.update_known();
            }
        }
    }

    /// Of two connections between the same entries, both keep the one that the
    /// smaller name dialled.
    fn keeps(&mut self, hello: &Hello, dialled: Option<SocketAddr>) -> bool {
        let smaller = self.local.hello.name < hello.name;
        match dialled {
            Some(address) if !smaller => {
                if let Some(dialer) = self.dialers.remove(&address) {
                    dialer.abort();
                }
                self.passive.insert(address);
                false
            }
            None if smaller => {
                if let Ok(address) = hello.address.parse() {
                    self.dial(address);
                }
                false
            }
            Some(_) | None => true,
        }
    }

    fn frame(&mut self, now: Duration, number: u64, frame: Frame) {
        if let Some(connection) = self.connections.get(&number) {
            let from = connection.peer.incarnation;
            self.kernel.frame(now, from, frame);
        }
    }

    fn lost(&mut self, now: Duration, number: u64) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        let incarnation = connection.peer.incarnation;
        if self
            .links
            .get(&incarnation)
            .is_some_and(|link| link.number() == number)
            && let Some(link) = self.links.remove(&incarnation)
        {
            link.close();
        }
        log::info!(
            "event=peer_lost role={:?} name={} incarnation={incarnation} connection={number}",
            connection.peer.role,
            connection.peer.name
        );
        self.lose(now, &connection.peer);
        if connection.peer.role == Role::Entry && connection.dialled.is_none() {
            self.passive.clear();
            self.dial_known();
        }
    }

    fn lose(&mut self, now: Duration, peer: &Hello) {
        match peer.role {
            Role::Side => self.kernel.lose_side(now, peer.incarnation),
            Role::Entry => self.kernel.lose_entry(now, peer.incarnation),
        }
    }

    fn call(&mut self, now: Duration, call: Call) {
        let Call {
            job,
            request,
            reply,
            number,
        } = call;
        let job = match (job, &request) {
            (Some(job), _) => job,
            (None, Request::Submit(submission)) => match self.kernel.validate(submission) {
                Ok(kind) if kind.repeatable => self.kernel.ticket(now),
                Ok(_) => return refuse(reply, Code::TicketRequired),
                Err(code) => return refuse(reply, code),
            },
            (None, Request::Answer | Request::Cancel | Request::Issue(_)) => {
                return refuse(reply, Code::BadTicket);
            }
        };
        let pending = Pending {
            job: Some(job),
            reply,
        };
        self.pending.insert(number, pending);
        self.kernel
            .request(now, Customer::Local(number), job, request);
    }

    fn gone(&mut self, number: u64) {
        if let Some(Pending { job: Some(job), .. }) = self.pending.remove(&number) {
            self.kernel.forget(Customer::Local(number), job);
        }
    }

    fn registry(&mut self, now: Duration, event: registry::Event) {
        match event {
            registry::Event::Document(config) => {
                let adoption = self.kernel.store_read(now, &config);
                log_adoption(&adoption, config.revision, "store");
            }
            registry::Event::Absent => {}
            registry::Event::Failed => self.kernel.store_failed(),
            registry::Event::Entries(entries) => {
                self.registered = entries;
                self.update_known();
                self.dial_known();
            }
        }
    }

    /// Entries of the registry, and those connected, which may not be there
    /// yet or any more.
    fn update_known(&mut self) {
        let mut known = self.registered.clone();
        for connection in self.connections.values() {
            let peer = &connection.peer;
            if peer.role == Role::Entry && known.iter().all(|entry| entry.name != peer.name) {
                known.push(Known {
                    name: peer.name.clone(),
                    address: peer.address.clone(),
                });
            }
        }
        let own = &self.local.hello;
        if known.iter().all(|entry| entry.name != own.name) {
            known.push(Known {
                name: own.name.clone(),
                address: own.address.clone(),
            });
        }
        known.sort_by(|left, right| left.name.cmp(&right.name));
        self.kernel.know_entries(&known);
    }

    fn dial_known(&mut self) {
        let own = self.local.hello.address.clone();
        let registered = self
            .registered
            .iter()
            .filter(|known| known.address != own)
            .filter_map(|known| known.address.parse().ok());
        let wanted: HashSet<SocketAddr> = registered.chain(self.seeds.iter().copied()).collect();
        let unwanted: Vec<SocketAddr> = self
            .dialers
            .keys()
            .filter(|address| !wanted.contains(*address) && !self.is_connected(**address))
            .copied()
            .collect();
        for address in unwanted {
            if let Some(dialer) = self.dialers.remove(&address) {
                dialer.abort();
            }
        }
        for address in wanted {
            self.dial(address);
        }
    }

    fn is_connected(&self, address: SocketAddr) -> bool {
        self.connections
            .values()
            .any(|connection| connection.dialled == Some(address))
    }

    fn dial(&mut self, address: SocketAddr) {
        if self.dialers.contains_key(&address) || self.passive.contains(&address) {
            return;
        }
        let dialer = link::dial(address, self.local.clone(), self.events.clone());
        self.dialers.insert(address, dialer);
    }

    fn tick(&mut self, now: Duration) {
        let silent: Vec<Incarnation> = self
            .kernel
            .silent_sides(now)
            .into_iter()
            .chain(self.kernel.silent_entries(now))
            .collect();
        for incarnation in silent {
            self.kernel.count_silence();
            log::warn!("event=peer_silent incarnation={incarnation}");
            if let Some(link) = self.links.remove(&incarnation) {
                let number = link.number();
                link.close();
                self.lost(now, number);
            }
        }
        self.kernel.tick(now);
        if now.saturating_sub(self.published) >= crate::meter::INTERVAL {
            self.published = now;
            meter::publish(&self.kernel, &self.local, now);
        }
    }

    fn act(&mut self) {
        for action in self.kernel.take_actions() {
            match action {
                Action::Send(to, frame) => self.send(to, frame),
                Action::Answer(number, answer) => {
                    if let Some(pending) = self.pending.remove(&number) {
                        let job = pending.job;
                        // The customer may have gone away.
                        let _ = pending.reply.send(Reply { job, answer });
                    }
                }
                Action::Retire => {
                    self.retired = true;
                    log::error!("event=fenced incarnation={}", self.local.hello.incarnation);
                }
            }
        }
    }

    fn send(&mut self, to: Incarnation, frame: Frame) {
        let sent = self.links.get(&to).is_some_and(|link| link.send(frame));
        if !sent && let Some(link) = self.links.remove(&to) {
            log::warn!("event=peer_slow incarnation={to}");
            // The reader's end reports the loss.
            link.close();
        }
    }

    fn phase(&self, now: Duration) -> Phase {
        if self.retired {
            Phase::Retired
        } else if self.kernel.is_leaving() {
            Phase::Leaving
        } else if self.kernel.config_age(now) <= kernel::FRESH {
            Phase::Ready
        } else {
            Phase::Waiting
        }
    }

    fn report(&self, now: Duration) {
        let status = Status {
            phase: self.phase(now),
            idle: self.kernel.is_idle(),
        };
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}

fn refuse(reply: oneshot::Sender<Reply>, code: Code) {
    let answer = failed(code, Started::None, Duration::ZERO, code.meaning().trim());
    // The customer may have gone away.
    let _ = reply.send(Reply {
        job: None,
        answer: Arc::new(answer),
    });
}

fn log_adoption(adoption: &Adoption, revision: u64, source: &str) {
    match adoption {
        Adoption::Adopted => log::info!("event=config_adopted revision={revision} source={source}"),
        Adoption::Same => {}
        Adoption::Stale => log::error!("event=config_stale revision={revision} source={source}"),
        Adoption::Conflict => {
            log::error!("event=config_conflict revision={revision} source={source}");
        }
        Adoption::Invalid(faults) => {
            for fault in &faults.0 {
                log::error!("event=config_invalid revision={revision} source={source} {fault}");
            }
        }
    }
}
