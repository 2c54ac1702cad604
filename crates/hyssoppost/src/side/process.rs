//! The task that owns the side's state and handles its events.

use super::{
    Event, Status, dump, meter,
    upstream::{self, Announcement},
};
use crate::{
    Error,
    admin::Dump,
    clock::Clock,
    link::{self, Joined, Local},
    mesh::Mesh,
};
use kernel::side::{Action, Side};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::{mpsc, watch};
use wire::frame::Offer;

/// Interval at which silent connections and queued tasks are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without an announcement after which the upstream counts as stopped.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Most events handled before the resulting actions are executed.
const MAX_BATCH_EVENTS: usize = 128;

#[derive(Debug)]
pub(super) struct Process {
    kernel: Side,
    mesh: Mesh<Event>,
    status: watch::Sender<Status>,
    discover: bool,
    client: upstream::Client,
    announced_at: Option<Duration>,
    published_at: Duration,
}

/// Sources of the addresses of entries to connect to.
#[derive(Debug)]
pub(super) struct Directory {
    /// Addresses from the settings.
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether to connect to the entries that connected ones report, too.
    pub(super) discover: bool,
}

impl Process {
    pub(super) fn new(
        kernel: Side,
        local: Local,
        status: watch::Sender<Status>,
        events: mpsc::Sender<Event>,
        entries: Directory,
    ) -> Result<Self, Error> {
        Ok(Self {
            kernel,
            mesh: Mesh::new(local, events.clone(), entries.seeds),
            status,
            client: upstream::Client::open(events)?,
            discover: entries.discover,
            announced_at: None,
            published_at: Duration::ZERO,
        })
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
        self.mesh.update_dialers();
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
                    let state = dump::side(&self.kernel, self.mesh.local(), clock.now());
                    // The send fails if the requester has disconnected.
                    let _ = reply.send(state);
                }
                _ = tick.tick() => self.tick(clock.now()),
            }
            self.execute_actions(clock.now());
            self.publish_status();
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Link(link::Event::Joined(joined)) => self.handle_joined(now, joined),
            Event::Link(link::Event::Frame(number, frame)) => {
                if let Some(from) = self.mesh.receive(number) {
                    self.kernel.frame(now, from, frame);
                }
            }
            Event::Link(link::Event::Lost(number)) => self.handle_lost(number),
            Event::Announced(announcement) => self.handle_announcement(now, announcement),
            Event::Finished(finished) => {
                let upstream::Finished {
                    task,
                    spent,
                    outcome,
                } = finished;
                self.kernel.finished(now, task, spent, outcome);
            }
            Event::Leave => self.kernel.leave(now),
        }
    }

    fn handle_joined(&mut self, now: Duration, joined: Joined) {
        if let Some(admitted) = self.mesh.admit(joined) {
            self.kernel.join(now, admitted.peer.incarnation);
        }
    }

    fn handle_lost(&mut self, number: u64) {
        if let Some(peer) = self.mesh.remove_connection(number) {
            self.kernel.lose(peer.incarnation);
        }
    }

    fn handle_announcement(&mut self, now: Duration, announcement: Announcement) {
        self.announced_at = Some(now);
        self.client.set_address(announcement.address);
        let offer = Offer {
            service: announcement.service,
            kinds: announcement.kinds,
            slots: announcement.slots.min(upstream::MAX_CONNECTIONS),
        };
        self.kernel.announce(now, offer);
    }

    fn tick(&mut self, now: Duration) {
        for entry in self.kernel.silent(now) {
            self.mesh.close(entry, "silent");
            self.kernel.lose(entry);
        }
        let silent = self
            .announced_at
            .is_some_and(|at| now.saturating_sub(at) > ANNOUNCEMENT_TIMEOUT);
        if silent {
            log::warn!("event=upstream_silent");
            self.announced_at = None;
            self.kernel.withdraw(now);
        }
        self.kernel.tick(now);
        if now.saturating_sub(self.published_at) >= crate::meter::PUBLISH_INTERVAL {
            self.published_at = now;
            meter::publish(&self.kernel, self.mesh.local(), now);
        }
    }

    fn execute_actions(&mut self, now: Duration) {
        for action in self.kernel.take_actions() {
            match action {
                Action::Send(to, frame) => self.mesh.send(to, frame),
                Action::Start(start) => self.client.start(now, start),
                Action::Entries(entries) if self.discover => self.mesh.set_registered(entries),
                Action::Entries(_) => {}
            }
        }
    }

    fn publish_status(&self) {
        let idle = self.kernel.is_idle();
        self.status.send_if_modified(|status| {
            let leaving = self.kernel.is_leaving();
            let changed = status.idle != idle || status.leaving != leaving;
            *status = Status { leaving, idle };
            changed
        });
    }
}
