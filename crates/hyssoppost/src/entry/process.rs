//! The task that owns the entry's state and handles its events.

use super::{Call, Event, Phase, Reply, Status, dump, meter, registry};
use crate::{
    admin::Dump,
    clock::Clock,
    link::{self, Joined, Local},
    mesh::Mesh,
};
use hashbrown::HashMap;
use kernel::{
    entry::{Action, Adoption, Entry},
    work::{Customer, failed_answer},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot, watch};
use wire::{
    Code, Frame,
    frame::{Hello, Request, Role, Started},
    id::{Incarnation, Job},
};

/// Interval at which deadlines and silent connections are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Most events handled before the resulting actions are executed.
const MAX_BATCH_EVENTS: usize = 256;

#[derive(Debug)]
struct Pending {
    job: Option<Job>,
    reply: oneshot::Sender<Reply>,
}

#[derive(Debug)]
pub(super) struct Process {
    kernel: Entry,
    mesh: Mesh<Event>,
    status: watch::Sender<Status>,
    pending: HashMap<u64, Pending>,
    fenced: bool,
    published_at: Duration,
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
            mesh: Mesh::new(local, events, seeds),
            status,
            pending: HashMap::new(),
            fenced: false,
            published_at: Duration::ZERO,
        }
    }

    pub(super) async fn run(
        mut self,
        clock: Clock,
        mut event_queue: mpsc::Receiver<Event>,
        mut dump_queue: mpsc::Receiver<Dump>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_BATCH_EVENTS);
        loop {
            tokio::select! {
                count = event_queue.recv_many(&mut batch, MAX_BATCH_EVENTS) => {
                    if count == 0 {
                        return;
                    }
                    let now = clock.now();
                    for event in batch.drain(..) {
                        self.handle(now, event);
                    }
                }
                Some(reply) = dump_queue.recv() => {
                    let state = dump::entry(&self.kernel, self.mesh.local(), clock.now());
                    // The send fails if the requester has disconnected.
                    let _ = reply.send(state);
                }
                _ = tick.tick() => self.tick(clock.now()),
            }
            self.execute_actions();
            self.publish_status(clock.now());
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Link(link::Event::Joined(joined)) => self.handle_joined(now, joined),
            Event::Link(link::Event::Frame(number, frame)) => self.handle_frame(now, number, frame),
            Event::Link(link::Event::Lost(number)) => self.handle_lost(now, number),
            Event::Call(call) => self.handle_call(now, call),
            Event::Disconnected(number) => self.handle_disconnected(number),
            Event::Tickets(count, reply) => {
                let tickets = (0..count).map(|_| self.kernel.ticket(now)).collect();
                // The send fails if the customer has disconnected.
                let _ = reply.send(tickets);
            }
            Event::Registry(event) => self.handle_registry(now, event),
            Event::Leave => self.kernel.leave(),
            Event::Abandon => self.kernel.abandon(),
        }
    }

    fn handle_joined(&mut self, now: Duration, joined: Joined) {
        let Some(admitted) = self.mesh.admit(joined) else {
            return;
        };
        if admitted.replaces {
            self.remove_peer(now, &admitted.peer);
        }
        match admitted.peer.role {
            Role::Side => self.kernel.join_side(now, &admitted.peer),
            Role::Entry => {
                self.kernel.join_entry(now, &admitted.peer);
                self.kernel.set_entries(&self.mesh.endpoints());
            }
        }
    }

    fn handle_frame(&mut self, now: Duration, number: u64, frame: Frame) {
        if let Some(from) = self.mesh.receive(number) {
            self.kernel.frame(now, from, frame);
        }
    }

    fn handle_lost(&mut self, now: Duration, number: u64) {
        if let Some(peer) = self.mesh.remove_connection(number) {
            self.remove_peer(now, &peer);
        }
    }

    fn remove_peer(&mut self, now: Duration, peer: &Hello) {
        match peer.role {
            Role::Side => self.kernel.lose_side(now, peer.incarnation),
            Role::Entry => self.kernel.lose_entry(now, peer.incarnation),
        }
    }

    fn handle_call(&mut self, now: Duration, call: Call) {
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

    fn handle_disconnected(&mut self, number: u64) {
        if let Some(Pending { job: Some(job), .. }) = self.pending.remove(&number) {
            self.kernel.remove_customer(Customer::Local(number), job);
        }
    }

    fn handle_registry(&mut self, now: Duration, event: registry::Event) {
        match event {
            registry::Event::Document(config) => {
                let adoption = self.kernel.store_read(now, &config);
                log_adoption(&adoption, config.revision, "store");
            }
            registry::Event::Absent | registry::Event::Floors(_) => {}
            registry::Event::Failed => self.kernel.store_failed(),
            registry::Event::Entries(entries) => {
                self.mesh.set_registered(entries);
                self.kernel.set_entries(&self.mesh.endpoints());
            }
        }
    }

    fn tick(&mut self, now: Duration) {
        let silent: Vec<Incarnation> = self
            .kernel
            .silent_sides(now)
            .into_iter()
            .chain(self.kernel.silent_entries(now))
            .collect();
        for incarnation in silent {
            self.kernel.count_silent_connection();
            if let Some(peer) = self.mesh.close(incarnation, "silent") {
                self.remove_peer(now, &peer);
            }
        }
        self.kernel.tick(now);
        if now.saturating_sub(self.published_at) >= crate::meter::PUBLISH_INTERVAL {
            self.published_at = now;
            meter::publish(&self.kernel, self.mesh.local(), now);
        }
    }

    fn execute_actions(&mut self) {
        for action in self.kernel.take_actions() {
            match action {
                Action::Send(to, frame) => self.mesh.send(to, frame),
                Action::Answer(number, answer) => {
                    if let Some(pending) = self.pending.remove(&number) {
                        let job = pending.job;
                        // The send fails if the customer has disconnected.
                        let _ = pending.reply.send(Reply { job, answer });
                    }
                }
                Action::Fenced => {
                    self.fenced = true;
                    log::error!(
                        "event=fenced incarnation={}",
                        self.mesh.local().hello.incarnation
                    );
                }
            }
        }
    }

    fn phase(&self, now: Duration) -> Phase {
        if self.fenced {
            Phase::Fenced
        } else if self.kernel.is_leaving() {
            Phase::Leaving
        } else if self.kernel.config_age(now) <= kernel::MAX_CONFIG_AGE {
            Phase::Ready
        } else {
            Phase::Waiting
        }
    }

    fn publish_status(&self, now: Duration) {
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
    let answer = failed_answer(code, Started::None, Duration::ZERO, code.meaning().trim());
    // The send fails if the customer has disconnected.
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
