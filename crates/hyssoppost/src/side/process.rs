//! The task that owns the side's state.

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

/// Interval at which silences and queued tasks are looked for.
const TICK: Duration = Duration::from_millis(50);

/// Silence after which the upstream counts as gone.
const UPSTREAM_SILENCE: Duration = Duration::from_secs(3);

/// Events handled before the actions that follow are carried out.
const BATCH: usize = 128;

#[derive(Debug)]
pub(super) struct Process {
    kernel: Side,
    mesh: Mesh<Event>,
    status: watch::Sender<Status>,
    discover: bool,
    client: upstream::Client,
    announced: Option<Duration>,
    published: Duration,
}

/// Which entries to connect to.
#[derive(Debug)]
pub(super) struct Directory {
    /// Addresses to begin with.
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether to follow the entries' own list as well.
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
            announced: None,
            published: Duration::ZERO,
        })
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
        self.mesh.dial_known();
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
                    let state = dump::side(&self.kernel, self.mesh.local(), clock.now());
                    // The asker may have gone away.
                    let _ = reply.send(state);
                }
                _ = tick.tick() => self.tick(clock.now()),
            }
            self.act(clock.now());
            self.report();
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Link(link::Event::Joined(joined)) => self.joined(now, joined),
            Event::Link(link::Event::Frame(number, frame)) => {
                if let Some(from) = self.mesh.peer(number) {
                    self.kernel.frame(now, from, frame);
                }
            }
            Event::Link(link::Event::Lost(number)) => self.lost(number),
            Event::Announced(announcement) => self.announced(now, announcement),
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

    fn joined(&mut self, now: Duration, joined: Joined) {
        if let Some(admitted) = self.mesh.admit(joined) {
            self.kernel.join(now, admitted.peer.incarnation);
        }
    }

    fn lost(&mut self, number: u64) {
        if let Some(peer) = self.mesh.lost(number) {
            self.kernel.lose(peer.incarnation);
        }
    }

    fn announced(&mut self, now: Duration, announcement: Announcement) {
        self.announced = Some(now);
        self.client.target(announcement.address);
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
            .announced
            .is_some_and(|at| now.saturating_sub(at) > UPSTREAM_SILENCE);
        if silent {
            log::warn!("event=upstream_silent");
            self.announced = None;
            self.kernel.withdraw(now);
        }
        self.kernel.tick(now);
        if now.saturating_sub(self.published) >= crate::meter::INTERVAL {
            self.published = now;
            meter::publish(&self.kernel, self.mesh.local(), now);
        }
    }

    fn act(&mut self, now: Duration) {
        for action in self.kernel.take_actions() {
            match action {
                Action::Send(to, frame) => self.mesh.send(to, frame),
                Action::Start(start) => self.client.start(now, start),
                Action::Entries(entries) if self.discover => self.mesh.register(entries),
                Action::Entries(_) => {}
            }
        }
    }

    fn report(&self) {
        let idle = self.kernel.is_idle();
        self.status.send_if_modified(|status| {
            let leaving = self.kernel.is_leaving();
            let changed = status.idle != idle || status.leaving != leaving;
            *status = Status { leaving, idle };
            changed
        });
    }
}
