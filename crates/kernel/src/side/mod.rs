//! The side: starts tasks on the upstream beside it, at most once each.
//!
//! A side refuses work that it cannot verify to be current: tasks for an earlier
//! incarnation of itself, frames with an expired permit, jobs of fenced homes,
//! tombstoned jobs, and all work while its configuration is not confirmed.
//! Every refusal proves that the task has not started here and never will.

mod admit;
mod ledger;

pub use ledger::RETAINED_RESULT_BYTES;

use crate::{
    PEER_TIMEOUT,
    entry::{Adoption, compare_revisions},
    millis,
    mutation::{Mutant, is_seeded},
};
use hashbrown::{HashMap, HashSet};
use ledger::Ledger;
use std::{collections::BTreeMap, time::Duration};
use wire::{
    Frame, Payload,
    frame::{Config, Done, Endpoint, Handover, Heartbeat, Load, Offer, Outcome, Rule, State},
    id::{Incarnation, Job, Task},
};

/// Shortest time between two requests for a copy of the document.
const COPY_INTERVAL: Duration = Duration::from_mins(1);

/// Most tasks that wait at one side.
pub const MAX_QUEUED_TASKS: usize = 1_024;

/// An action for the runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to the entry of this incarnation.
    Send(Incarnation, Frame),
    /// Start a task at the upstream, exactly once.
    Start(Start),
    /// Connect to these entries; the list replaces the previous one.
    Entries(Vec<Endpoint>),
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task; the side starts it at most once.
    pub task: Task,
    /// Request kind, as the entry sent it.
    pub kind: String,
    /// Input for the upstream, a JSON document.
    pub payload: Payload,
    /// Time, on the side's clock, after which the answer is useless.
    pub deadline: Duration,
}

#[derive(Debug)]
struct Peer {
    last_received: Duration,
    connected: bool,
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Tasks started.
    pub started: u64,
    /// Tasks refused, by code number.
    pub refused: BTreeMap<u16, u64>,
    /// Frames that had no effect.
    pub wasted: u64,
    /// Configurations refused as stale or conflicting.
    pub stale_configs: u64,
}

/// The state machine of a side.
#[derive(Debug)]
pub struct Side {
    incarnation: Incarnation,
    offer: Offer,
    rule: Option<Rule>,
    config: Option<Config>,
    next_copy: Duration,
    /// Time, on the own clock, at which the configuration was last confirmed.
    confirmed_at: Option<Duration>,
    ledger: Ledger,
    running: u16,
    peers: HashMap<Incarnation, Peer>,
    fenced: HashSet<Incarnation>,
    /// Entries that are recovering a job of a fenced home.
    recovering: HashMap<Job, Vec<Incarnation>>,
    entries: Vec<Endpoint>,
    leaving: bool,
    last_heartbeat: Duration,
    reported_ready: bool,
    stats: Stats,
    actions: Vec<Action>,
}

impl Side {
    /// Creates a side without an upstream, entries or a configuration.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            offer: Offer {
                service: String::new(),
                kinds: Vec::new(),
                slots: 0,
            },
            rule: None,
            config: None,
            next_copy: Duration::ZERO,
            confirmed_at: None,
            ledger: Ledger::default(),
            running: 0,
            peers: HashMap::new(),
            fenced: HashSet::new(),
            recovering: HashMap::new(),
            entries: Vec::new(),
            leaving: false,
            last_heartbeat: Duration::ZERO,
            reported_ready: false,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Removes and returns the actions for the runtime, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns this side's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.rule.map_or(0, |rule| rule.revision)
    }

    /// Returns this side's state in the revision in force; `None` without one.
    pub fn state(&self) -> Option<State> {
        self.rule.map(|rule| rule.state)
    }

    /// Returns the stored copy of the document; it may be older than the
    /// revision in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Returns the time since the configuration was last confirmed;
    /// [`Duration::MAX`] if it never was.
    pub fn config_age(&self, now: Duration) -> Duration {
        self.confirmed_at
            .map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// Returns the side's load, summed over all entries.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: u16::try_from(self.ledger.queued()).unwrap_or(u16::MAX),
        }
    }

    /// Returns the number of jobs in the ledger.
    pub fn remembered(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the upstream's offer; it has no slots while the upstream is absent.
    pub fn offered(&self) -> &Offer {
        &self.offer
    }

    /// Returns whether the side is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the counters since the start of the process.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the connected entries.
    pub fn connected(&self) -> impl Iterator<Item = Incarnation> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.connected)
            .map(|(incarnation, _)| *incarnation)
    }

    /// Returns whether a task could start now.
    pub fn may_start(&self, now: Duration) -> bool {
        self.start_refusal(now).is_none()
    }

    /// Returns whether no task runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.ledger.queued() == 0
    }

    /// Stops accepting tasks: those running continue and queued ones are refused.
    pub fn leave(&mut self, now: Duration) {
        self.leaving = true;
        self.refuse_queued(now);
        self.send_heartbeats(now);
    }

    /// Records the upstream's offer and sends a changed one to all entries.
    pub fn announce(&mut self, now: Duration, offer: Offer) {
        if self.offer == offer {
            return;
        }
        self.offer = offer;
        for entry in self.connected().collect::<Vec<_>>() {
            self.send(entry, Frame::Offer(self.offer.clone()));
        }
        self.refuse_queued(now);
    }

    /// Records that the upstream has left or is silent.
    pub fn withdraw(&mut self, now: Duration) {
        let absent = Offer {
            slots: 0,
            ..self.offer.clone()
        };
        self.announce(now, absent);
    }

    /// Records a connection to an entry and sends it the offer, a handover
    /// of its jobs and a heartbeat.
    pub fn join(&mut self, now: Duration, entry: Incarnation) {
        let peer = Peer {
            last_received: now,
            connected: true,
        };
        self.peers.insert(entry, peer);
        self.send(entry, Frame::Offer(self.offer.clone()));
        let handover = Handover {
            home: entry,
            fenced: false,
            kept: self.ledger.kept_for(entry),
        };
        self.send(entry, Frame::Handover(handover));
        let heartbeat = self.build_heartbeat(now);
        self.send(entry, Frame::Heartbeat(heartbeat));
    }

    /// Records that the connection to an entry is lost.
    pub fn lose(&mut self, entry: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.connected = false;
        }
    }

    /// Returns the connected entries that have been silent for longer than
    /// [`PEER_TIMEOUT`].
    pub fn silent(&self, now: Duration) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, peer)| {
                peer.connected && now.saturating_sub(peer.last_received) > PEER_TIMEOUT
            })
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    /// Handles a frame from an entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        let Some(peer) = self.peers.get_mut(&from) else {
            self.stats.wasted += 1;
            return;
        };
        peer.last_received = now;
        match frame {
            Frame::Run(run) => self.run(now, from, run),
            Frame::Void(void) => self.void(from, &void),
            Frame::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat),
            Frame::Config(config) => self.store_copy(config),
            Frame::Rule(rule) => self.apply_rule(now, from, rule),
            Frame::Pull => self.send_config(from),
            Frame::Recover(recover) => self.recover(now, from, &recover),
            _ => self.stats.wasted += 1,
        }
    }

    /// Records the outcome of a started task and sends it to the job's home and
    /// to entries that recover the job. `spent` is the upstream's time.
    pub fn finished(&mut self, now: Duration, task: Task, spent: Duration, outcome: Outcome) {
        self.running = self.running.saturating_sub(1);
        self.ledger.end(task, &outcome);
        self.start_queued(now);
        let done = Done {
            job: task.job,
            index: task.index,
            spent: u32::try_from(spent.as_micros()).unwrap_or(u32::MAX),
            outcome,
            load: self.load(),
        };
        for entry in self.result_receivers(task.job) {
            self.send(entry, Frame::Done(done.clone()));
        }
    }

    /// Handles due heartbeats, queued tasks and expired tickets.
    pub fn tick(&mut self, now: Duration) {
        for job in self.ledger.expire(now.as_secs()) {
            self.recovering.remove(&job);
        }
        self.refuse_queued(now);
        self.start_queued(now);
        if now.saturating_sub(self.last_heartbeat) >= crate::HEARTBEAT_INTERVAL {
            self.send_heartbeats(now);
        }
    }

    fn start_queued(&mut self, now: Duration) {
        if !self.may_start(now) {
            return;
        }
        while self.running < self.offer.slots {
            let Some(start) = self.ledger.pop() else {
                return;
            };
            self.running += 1;
            self.stats.started += 1;
            self.actions.push(Action::Start(start));
        }
    }

    fn receive_heartbeat(&mut self, now: Duration, from: Incarnation, heartbeat: Heartbeat) {
        if heartbeat.revision > self.revision() {
            let Heartbeat {
                revision, state, ..
            } = heartbeat;
            self.apply_rule(now, from, Rule { revision, state });
        }
        let current = self.revision();
        if heartbeat.revision == current && current > 0 {
            let confirmed_at = Duration::from_millis(heartbeat.echo.saturating_sub(heartbeat.age));
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
        if !heartbeat.entries.is_empty() && heartbeat.entries != self.entries {
            self.entries.clone_from(&heartbeat.entries);
            self.actions.push(Action::Entries(heartbeat.entries));
        }
        self.refuse_queued(now);
        self.start_queued(now);
        if self.may_start(now) != self.reported_ready {
            self.send_heartbeats(now);
        }
    }

    /// Applies a document's rule for this side. The revision never decreases.
    fn apply_rule(&mut self, now: Duration, from: Incarnation, rule: Rule) {
        let current = self.revision();
        let is_stale = rule.revision < current && !is_seeded(Mutant::Revert);
        let is_conflicting = rule.revision == current && self.rule != Some(rule);
        if is_stale || is_conflicting {
            self.stats.stale_configs += 1;
            return;
        }
        if rule.revision == current {
            return;
        }
        self.rule = Some(rule);
        self.refuse_queued(now);
        self.send_heartbeats(now);
        if now >= self.next_copy {
            self.next_copy = now + COPY_INTERVAL;
            self.send(from, Frame::Pull);
        }
    }

    /// Stores a copy of the document, for entries that start while the store is
    /// unavailable.
    fn store_copy(&mut self, config: Config) {
        match compare_revisions(self.config.as_ref(), &config) {
            Adoption::Adopted => self.config = Some(config),
            Adoption::Stale | Adoption::Conflict => self.stats.stale_configs += 1,
            Adoption::Same | Adoption::Invalid(_) => {}
        }
    }

    fn send_config(&mut self, to: Incarnation) {
        if let Some(config) = self.config.clone() {
            self.send(to, Frame::Config(config));
        }
    }

    fn send_heartbeats(&mut self, now: Duration) {
        self.last_heartbeat = now;
        self.reported_ready = self.may_start(now);
        let heartbeat = self.build_heartbeat(now);
        for entry in self.connected().collect::<Vec<_>>() {
            self.send(entry, Frame::Heartbeat(heartbeat.clone()));
        }
    }

    fn build_heartbeat(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            clock: millis(now),
            echo: 0,
            revision: self.revision(),
            age: millis(self.config_age(now)),
            state: State::default(),
            leaving: self.leaving,
            ready: self.may_start(now),
            load: self.load(),
            entries: Vec::new(),
        }
    }

    fn send(&mut self, to: Incarnation, frame: Frame) {
        self.actions.push(Action::Send(to, frame));
    }
}
