//! The side: starts tasks on the upstream beside it, at most once each.
//!
//! A side refuses whatever it cannot show to be current: tasks for an earlier
//! incarnation of itself, frames older than the permit, fenced homes,
//! tombstoned jobs, and any work while its configuration is not vouched for.
//! Every refusal is a proof that the task did not and will not start here.

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

/// Least time between two copies of the document.
const COPY: Duration = Duration::from_mins(1);

/// Tasks that wait at a side at most.
pub const MAX_QUEUED_TASKS: usize = 1_024;

/// What the runtime must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to the entry of this incarnation.
    Send(Incarnation, Frame),
    /// Start a task at the upstream; it must be started exactly once.
    Start(Start),
    /// The entries of the environment changed.
    Entries(Vec<Endpoint>),
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// Request kind.
    pub kind: String,
    /// Input.
    pub payload: Payload,
    /// When its answer is of no use any more.
    pub deadline: Duration,
}

#[derive(Debug)]
struct Peer {
    heard: Duration,
    connected: bool,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Tasks started.
    pub started: u64,
    /// Tasks refused, by code number.
    pub refused: BTreeMap<u16, u64>,
    /// Frames of no use.
    pub wasted: u64,
    /// Stale or conflicting configurations refused.
    pub stale_configs: u64,
}

/// The side's state.
#[derive(Debug)]
pub struct Side {
    incarnation: Incarnation,
    offer: Offer,
    rule: Option<Rule>,
    config: Option<Config>,
    next_copy: Duration,
    vouched: Option<Duration>,
    ledger: Ledger,
    running: u16,
    peers: HashMap<Incarnation, Peer>,
    fenced: HashSet<Incarnation>,
    heirs: HashMap<Job, Vec<Incarnation>>,
    entries: Vec<Endpoint>,
    leaving: bool,
    last_beat: Duration,
    reported_ready: bool,
    stats: Stats,
    actions: Vec<Action>,
}

impl Side {
    /// Makes a side without upstream, entries or configuration.
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
            vouched: None,
            ledger: Ledger::default(),
            running: 0,
            peers: HashMap::new(),
            fenced: HashSet::new(),
            heirs: HashMap::new(),
            entries: Vec::new(),
            leaving: false,
            last_beat: Duration::ZERO,
            reported_ready: false,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Drains what the runtime must do.
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

    /// Returns what the document in force says of this side.
    pub fn state(&self) -> Option<State> {
        self.rule.map(|rule| rule.state)
    }

    /// Returns the copy of the document, which may be older than the revision
    /// in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Returns the time since the configuration was last vouched for.
    pub fn config_age(&self, now: Duration) -> Duration {
        self.vouched
            .map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// Returns the load over all entries.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: u16::try_from(self.ledger.queued()).unwrap_or(u16::MAX),
        }
    }

    /// Returns the number of jobs remembered.
    pub fn remembered(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the offer of the upstream.
    pub fn offered(&self) -> &Offer {
        &self.offer
    }

    /// Returns whether the side is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the counts since the start.
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
        self.barrier(now).is_none()
    }

    /// Returns whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.ledger.queued() == 0
    }

    /// Starts no more tasks; those running go on and queued ones are refused.
    pub fn leave(&mut self, now: Duration) {
        self.leaving = true;
        self.flush(now);
        self.beat(now);
    }

    /// Records what the upstream announced.
    pub fn announce(&mut self, now: Duration, offer: Offer) {
        if self.offer == offer {
            return;
        }
        self.offer = offer;
        for entry in self.connected().collect::<Vec<_>>() {
            self.send(entry, Frame::Offer(self.offer.clone()));
        }
        self.flush(now);
    }

    /// Records that the upstream has left or is silent.
    pub fn withdraw(&mut self, now: Duration) {
        let gone = Offer {
            slots: 0,
            ..self.offer.clone()
        };
        self.announce(now, gone);
    }

    /// Records a connection to an entry and tells it what is held for it.
    pub fn join(&mut self, now: Duration, entry: Incarnation) {
        let peer = Peer {
            heard: now,
            connected: true,
        };
        self.peers.insert(entry, peer);
        self.send(entry, Frame::Offer(self.offer.clone()));
        let handover = Handover {
            home: entry,
            fenced: false,
            kept: self.ledger.held_for(entry),
        };
        self.send(entry, Frame::Handover(handover));
        let beat = self.make_beat(now);
        self.send(entry, Frame::Heartbeat(beat));
    }

    /// Records that the connection to an entry is lost.
    pub fn lose(&mut self, entry: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.connected = false;
        }
    }

    /// Returns the entries whose connections have been silent for too long.
    pub fn silent(&self, now: Duration) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.connected && now.saturating_sub(peer.heard) > PEER_TIMEOUT)
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    /// Takes a frame from an entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        let Some(peer) = self.peers.get_mut(&from) else {
            self.stats.wasted += 1;
            return;
        };
        peer.heard = now;
        match frame {
            Frame::Run(run) => self.run(now, from, run),
            Frame::Void(void) => self.void(from, &void),
            Frame::Heartbeat(beat) => self.heartbeat(now, from, beat),
            Frame::Config(config) => self.keep_copy(config),
            Frame::Rule(rule) => self.obey(now, from, rule),
            Frame::Pull => self.send_config(from),
            Frame::Recover(recover) => self.recover(now, from, &recover),
            _ => self.stats.wasted += 1,
        }
    }

    /// Records how a started task ended.
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
        for entry in self.receivers(task.job) {
            self.send(entry, Frame::Done(done.clone()));
        }
    }

    /// Does what is due: heartbeats, queued tasks, expired tickets.
    pub fn tick(&mut self, now: Duration) {
        for job in self.ledger.expire(now.as_secs()) {
            self.heirs.remove(&job);
        }
        self.flush(now);
        self.start_queued(now);
        if now.saturating_sub(self.last_beat) >= crate::HEARTBEAT_INTERVAL {
            self.beat(now);
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

    fn heartbeat(&mut self, now: Duration, from: Incarnation, beat: Heartbeat) {
        if beat.revision > self.revision() {
            let Heartbeat {
                revision, state, ..
            } = beat;
            self.obey(now, from, Rule { revision, state });
        }
        let ours = self.revision();
        if beat.revision == ours && ours > 0 {
            let vouched = Duration::from_millis(beat.echo.saturating_sub(beat.age));
            self.vouched = self.vouched.max(Some(vouched));
        }
        if !beat.entries.is_empty() && beat.entries != self.entries {
            self.entries.clone_from(&beat.entries);
            self.actions.push(Action::Entries(beat.entries));
        }
        self.flush(now);
        self.start_queued(now);
        if self.may_start(now) != self.reported_ready {
            self.beat(now);
        }
    }

    /// Takes what a document says of this side. The revision never falls.
    fn obey(&mut self, now: Duration, from: Incarnation, rule: Rule) {
        let ours = self.revision();
        let lower = rule.revision < ours && !is_seeded(Mutant::Revert);
        let other = rule.revision == ours && self.rule != Some(rule);
        if lower || other {
            self.stats.stale_configs += 1;
            return;
        }
        if rule.revision == ours {
            return;
        }
        self.rule = Some(rule);
        self.flush(now);
        self.beat(now);
        if now >= self.next_copy {
            self.next_copy = now + COPY;
            self.send(from, Frame::Pull);
        }
    }

    /// Keeps a copy of the document, for entries that start while the store is
    /// out.
    fn keep_copy(&mut self, config: Config) {
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

    fn beat(&mut self, now: Duration) {
        self.last_beat = now;
        self.reported_ready = self.may_start(now);
        let beat = self.make_beat(now);
        for entry in self.connected().collect::<Vec<_>>() {
            self.send(entry, Frame::Heartbeat(beat.clone()));
        }
    }

    fn make_beat(&self, now: Duration) -> Heartbeat {
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
