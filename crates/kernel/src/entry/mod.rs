//! The entry: accepts jobs, places their tasks and collects the answers.
//!
//! Only the incarnation named in a job's identifier, its home, sends the job's
//! tasks to sides. A task that may have started is never sent again.

mod archive;
mod config;
mod place;
mod prefetch;
mod recover;
mod serve;
mod sides;

pub use archive::Archive;
pub use config::{Adoption, compare_revisions};
pub use recover::Recovery;

use crate::{
    HEARTBEAT_INTERVAL,
    document::Document,
    estimate::Estimator,
    fleet::{Fleet, Key, Pool},
    freshness::Tracker,
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

/// An action that the runtime must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame on the connection to the process of this incarnation.
    Send(Incarnation, Frame),
    /// Answer the HTTP request of this number.
    Answer(u64, Arc<Answer>),
    /// A side has fenced this incarnation; the process must be restarted.
    Fenced,
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs accepted.
    pub jobs: u64,
    /// Jobs whose tasks were all answered.
    pub completed: u64,
    /// Tasks sent to sides.
    pub tasks: u64,
    /// Run frames sent; each contains tasks of one job.
    pub runs: u64,
    /// Results received.
    pub results: u64,
    /// Frames received without effect, by cause.
    pub wasted: BTreeMap<&'static str, u64>,
    /// Jobs refused or failed, by code number.
    pub failures: BTreeMap<u16, u64>,
    /// Ejections of sides.
    pub ejections: u64,
    /// Connections closed because nothing was received on them.
    pub silent_connections: u64,
    /// Stale or conflicting configurations refused.
    pub stale_configs: u64,
}

impl Stats {
    fn count_wasted(&mut self, cause: &'static str) {
        *self.wasted.entry(cause).or_default() += 1;
    }
}

/// Another entry.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name, unique in the environment.
    pub name: String,
    /// Time at which the last frame was received from it.
    pub last_received: Duration,
    /// Its clock at its last heartbeat, in milliseconds since the Unix epoch; 0
    /// before the first.
    pub clock: u64,
    /// Whether it accepts no more jobs.
    pub leaving: bool,
}

/// A request that was forwarded to another entry.
#[derive(Debug)]
struct Call {
    home: Incarnation,
    job: Job,
    customer: Customer,
}

/// Identity and parameters of an entry.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name, unique in the environment.
    pub name: String,
    /// Incarnation, new with each start of the process.
    pub incarnation: Incarnation,
    /// Seed of the generator that placement policies use.
    pub seed: u64,
    /// Limit on the answers kept of ended jobs, in bytes.
    pub archive_bytes: usize,
}

/// State machine of one entry.
#[derive(Debug)]
pub struct Entry {
    identity: Identity,
    choose: Choose,
    random: SmallRng,
    document: Document,
    config: Option<Config>,
    freshness: Tracker,
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
    endpoints: Vec<Endpoint>,
    /// The known entries if they are to be sent with the next heartbeats, else
    /// empty.
    unsent_endpoints: Vec<Endpoint>,
    calls: HashMap<u64, Call>,
    next_call: u64,
    recoveries: HashMap<Incarnation, Recovery>,
    next_ticket: u64,
    prefetched: prefetch::Buffer,
    leaving: bool,
    fenced: bool,
    last_heartbeat: Duration,
    next_pull: Duration,
    stats: Stats,
    actions: Vec<Action>,
}

impl Entry {
    /// Creates an entry without sides, peers and configuration.
    pub fn new(identity: Identity, choose: Choose) -> Self {
        Self {
            random: SmallRng::seed_from_u64(identity.seed),
            archive: Archive::new(identity.archive_bytes),
            identity,
            choose,
            document: Document::default(),
            config: None,
            freshness: Tracker::default(),
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
            endpoints: Vec::new(),
            unsent_endpoints: Vec::new(),
            calls: HashMap::new(),
            next_call: 0,
            recoveries: HashMap::new(),
            next_ticket: 0,
            prefetched: prefetch::Buffer::default(),
            leaving: false,
            fenced: false,
            last_heartbeat: Duration::ZERO,
            next_pull: Duration::ZERO,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Removes and returns the actions that the runtime must carry out.
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

    /// Returns the time since the configuration was confirmed to be the latest.
    pub fn config_age(&self, now: Duration) -> Duration {
        self.freshness.age(now)
    }

    /// Returns the counters.
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

    /// Returns the number of tasks that wait for placement.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns whether the entry accepts no more jobs.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Stops accepting jobs; accepted jobs continue.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Fails the jobs that have not ended when the time limit of a planned stop
    /// has passed.
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

    /// Returns whether no job is open and no forwarded request is unanswered.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.calls.is_empty()
    }

    /// Handles everything that is due: heartbeats, deadlines, lost sides,
    /// recoveries, expired tickets and ends of ejections. Must be called
    /// periodically.
    pub fn tick(&mut self, now: Duration) {
        self.freshness.tick(now, self.revision());
        self.expire_jobs(now);
        self.expire_sides(now);
        self.expire_recoveries(now);
        self.archive.expire(now);
        self.fleet.end_ejections(now);
        if now.saturating_sub(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            self.send_heartbeats(now);
        }
        self.place(now);
    }

    fn send_heartbeats(&mut self, now: Duration) {
        let sides = self
            .fleet
            .iter()
            .filter(|(_, member)| member.link.is_connected())
            .map(|(_, member)| (member.incarnation, member.clock, self.state_of(member)));
        let state = State::default();
        let entries = self.peers.iter().map(|(id, peer)| (*id, peer.clock, state));
        let receivers: Vec<(Incarnation, u64, State)> = sides.chain(entries).collect();
        let entries = std::mem::take(&mut self.unsent_endpoints);
        for (receiver, echo, state) in receivers {
            let heartbeat = self.build_heartbeat(now, echo, state, &entries);
            self.send(receiver, Frame::Heartbeat(heartbeat));
        }
    }

    fn build_heartbeat(
        &self,
        now: Duration,
        echo: u64,
        state: State,
        entries: &[Endpoint],
    ) -> Heartbeat {
        Heartbeat {
            clock: millis(now),
            echo,
            revision: self.revision(),
            age: millis(self.freshness.age(now)),
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
            Customer::Prefetch => self.refill(Some(answer)),
        }
    }

    fn count_failure(&mut self, code: Code) {
        *self.stats.failures.entry(code.number()).or_default() += 1;
    }
}
