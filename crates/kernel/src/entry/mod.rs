//! The entry: accepts jobs, places their tasks and gathers the answers.
//!
//! Only the entry named in a job's identifier starts the job's tasks, and only
//! this incarnation of it. A task that may have started is never sent again.

mod archive;
mod config;
mod place;
mod recover;
mod serve;
mod sides;
mod stock;

pub use archive::Archive;
pub use config::{Adoption, compare_revisions};
pub use recover::Recovery;

use crate::{
    HEARTBEAT_INTERVAL,
    authority::Authority,
    document::Document,
    fleet::{Fleet, Key, Pool},
    learn::Estimator,
    millis,
    policy::Choose,
    queue::Queue,
    work::{Customer, Work},
};
use hashbrown::{HashMap, HashSet};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use wire::{
    Code, Frame,
    frame::{Answer, Config, Endpoint, Heartbeat, Started, State},
    id::{Incarnation, Job, Task},
};

/// What the runtime must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame on the connection to the process of this incarnation.
    Send(Incarnation, Frame),
    /// Answer an HTTP request.
    Answer(u64, Arc<Answer>),
    /// This incarnation was fenced and must not go on.
    Fenced,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs accepted.
    pub jobs: u64,
    /// Jobs that ended whole.
    pub completed: u64,
    /// Tasks sent to sides.
    pub tasks: u64,
    /// Frames that carried them.
    pub runs: u64,
    /// Results received.
    pub results: u64,
    /// Frames that moved no work forward, by cause.
    pub wasted: BTreeMap<&'static str, u64>,
    /// Jobs refused or failed, by code number.
    pub failures: BTreeMap<u16, u64>,
    /// Sides put aside.
    pub ejections: u64,
    /// Silent connections found.
    pub silent_connections: u64,
    /// Stale or conflicting configurations refused.
    pub stale_configs: u64,
}

impl Stats {
    fn waste(&mut self, cause: &'static str) {
        *self.wasted.entry(cause).or_default() += 1;
    }
}

/// Another entry.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The entry's name.
    pub name: String,
    /// Last time anything was heard from it.
    pub last_received: Duration,
    /// Its clock at its last heartbeat, in milliseconds.
    pub clock: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A request that another entry answers.
#[derive(Debug)]
struct Call {
    home: Incarnation,
    job: Job,
    customer: Customer,
}

/// How an entry is set up.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The entry's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Seed for random choices.
    pub seed: u64,
    /// Most bytes of ended jobs' answers held.
    pub archive_bytes: usize,
}

/// The entry's state.
#[derive(Debug)]
pub struct Entry {
    identity: Identity,
    choose: Choose,
    random: SmallRng,
    document: Document,
    config: Option<Config>,
    authority: Authority,
    fleet: Fleet,
    side_index: HashMap<Incarnation, Key>,
    placed: HashMap<Key, HashSet<Task>>,
    open: HashMap<Job, Work>,
    archive: Archive,
    estimator: Estimator,
    queues: HashMap<Vec<Pool>, Queue>,
    queued: usize,
    team_load: HashMap<String, u32>,
    deadlines: BTreeSet<(Duration, Job)>,
    peers: HashMap<Incarnation, Peer>,
    known: Vec<Endpoint>,
    /// The known entries, if the peers have not been told since they changed.
    news: Vec<Endpoint>,
    calls: HashMap<u64, Call>,
    next_call: u64,
    recoveries: HashMap<Incarnation, Recovery>,
    next_ticket: u64,
    stock: stock::Stock,
    leaving: bool,
    retired: bool,
    last_beat: Duration,
    next_pull: Duration,
    stats: Stats,
    actions: Vec<Action>,
}

impl Entry {
    /// Makes an entry that knows no sides, peers or configuration.
    pub fn new(identity: Identity, choose: Choose) -> Self {
        Self {
            random: SmallRng::seed_from_u64(identity.seed),
            archive: Archive::new(identity.archive_bytes),
            identity,
            choose,
            document: Document::default(),
            config: None,
            authority: Authority::default(),
            fleet: Fleet::default(),
            side_index: HashMap::new(),
            placed: HashMap::new(),
            open: HashMap::new(),
            estimator: Estimator::default(),
            queues: HashMap::new(),
            queued: 0,
            team_load: HashMap::new(),
            deadlines: BTreeSet::new(),
            peers: HashMap::new(),
            known: Vec::new(),
            news: Vec::new(),
            calls: HashMap::new(),
            next_call: 0,
            recoveries: HashMap::new(),
            next_ticket: 0,
            stock: stock::Stock::default(),
            leaving: false,
            retired: false,
            last_beat: Duration::ZERO,
            next_pull: Duration::ZERO,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Drains what the runtime must do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Returns the age of the configuration's confirmation.
    pub fn config_age(&self, now: Duration) -> Duration {
        self.authority.age(now)
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the sides.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the connected entries.
    pub fn peers(&self) -> impl Iterator<Item = (&Incarnation, &Peer)> {
        self.peers.iter()
    }

    /// Returns the jobs that have not ended.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&Job, &Work)> {
        self.open.iter()
    }

    /// Returns the number of tasks that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns whether the entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Stops accepting jobs; those accepted go on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Gives up what has not ended, at the end of a planned stop's bound.
    pub fn abandon(&mut self) {
        let jobs: Vec<Job> = self.open.keys().copied().collect();
        for job in jobs {
            let started = self.open.get(&job).map_or(Started::None, Work::started);
            let code = match started {
                Started::None => Code::Draining,
                Started::Some | Started::Unknown => Code::OutcomeUnknown,
            };
            self.fail(
                job,
                code,
                started,
                "the entry stopped before the job had ended",
            );
        }
    }

    /// Returns whether nothing is left to do.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.calls.is_empty()
    }

    /// Does what is due: heartbeats, deadlines, lost sides, probes.
    pub fn tick(&mut self, now: Duration) {
        self.authority.tick(now, self.revision());
        self.expire_jobs(now);
        self.expire_sides(now);
        self.expire_recoveries(now);
        self.archive.expire(now);
        self.fleet.probe(now);
        if now.saturating_sub(self.last_beat) >= HEARTBEAT_INTERVAL {
            self.last_beat = now;
            self.beat(now);
        }
        self.place(now);
    }

    fn beat(&mut self, now: Duration) {
        let sides = self
            .fleet
            .iter()
            .filter(|(_, member)| member.link.is_connected())
            .map(|(_, member)| (member.incarnation, member.clock, self.state_of(member)));
        let state = State::default();
        let entries = self.peers.iter().map(|(id, peer)| (*id, peer.clock, state));
        let all: Vec<(Incarnation, u64, State)> = sides.chain(entries).collect();
        let entries = std::mem::take(&mut self.news);
        for (peer, echo, state) in all {
            let beat = self.make_beat(now, echo, state, &entries);
            self.send(peer, Frame::Heartbeat(beat));
        }
    }

    fn make_beat(&self, now: Duration, echo: u64, state: State, entries: &[Endpoint]) -> Heartbeat {
        Heartbeat {
            clock: millis(now),
            echo,
            revision: self.revision(),
            age: millis(self.authority.age(now)),
            state,
            leaving: self.leaving,
            ready: true,
            load: wire::frame::Load::default(),
            entries: entries.to_vec(),
        }
    }

    fn send(&mut self, to: Incarnation, frame: Frame) {
        self.actions.push(Action::Send(to, frame));
    }

    fn respond(&mut self, customer: Customer, answer: &Arc<Answer>) {
        match customer {
            Customer::Local(number) => self.actions.push(Action::Answer(number, answer.clone())),
            Customer::Remote { entry, call } => {
                let answer = answer.as_ref().clone();
                self.send(entry, Frame::Reply(wire::frame::Reply { call, answer }));
            }
            Customer::Stock => self.restock(Some(answer)),
        }
    }

    fn count_failure(&mut self, code: Code) {
        *self.stats.failures.entry(code.number()).or_default() += 1;
    }
}
