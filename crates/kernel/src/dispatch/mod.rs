//! The entry's state machine for leased tasks: accepts jobs, places their tasks
//! on sides with free resources, and answers the customers.
//!
//! A job belongs to the entry that accepted it. Its tasks wait at that entry
//! until a side has room for them, so they run where room is free first. A task
//! is placed again only after its earlier run has provably ended: its side
//! reported the end or refused the run, or every lease that the run could have
//! has expired.

mod answer;
mod arrivals;
mod backlog;
mod fleet;
mod follow;
mod forecast;
mod history;
mod job;
mod park;
mod peers;
mod place;
mod resubmission;
mod rules;
mod serve;

pub use answer::{Answer, Phase, Reason, Stats, View};
pub use fleet::{Fleet, Key};
pub use job::{Job, Step, Submission};
pub use rules::route;

use crate::{
    event::{Event, Way},
    guard::Timing,
    mutation::{Mutant, is_seeded},
    reconnect,
};
use arrivals::Arrivals;
use backlog::Backlog;
use fleet::{Link, Side};
use history::History;
use peers::Peer;
use rand::{SeedableRng, rngs::SmallRng};
use resubmission::Detector;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wire::{
    frame::{Endpoint, Hello},
    id::Incarnation,
    lease::{Addressed, Echo, End, Ending, Frame, Rules, Run},
};

/// Pause before a task that a side refused is placed again.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(5);

/// Time after the start within which an entry receives its rules and sides: all
/// that know its address have tried to connect by then. Jobs that arrive before
/// wait rather than being refused for lack of information.
const STARTUP_GRACE: Duration = reconnect::MAX_INTERVAL;

/// An action that the runtime carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to a process.
    Send(Addressed),
    /// Answer the customer with this number.
    Answer(u64, Answer),
}

/// State machine of an entry. Times are durations since the Unix epoch.
#[derive(Debug)]
pub struct Dispatcher {
    timing: Timing,
    domain: String,
    /// Differs between entries, so that they break ties differently.
    salt: u64,
    random: SmallRng,
    /// Factor on the run time of a task on another rack than its data.
    remote_factor: f64,
    rules: Option<Rules>,
    /// [`Rules::digest`] of the rules in force; 0 without rules.
    rules_digest: u64,
    pull: peers::Pull,
    fleet: Fleet,
    peers: BTreeMap<Incarnation, Peer>,
    entries: Vec<Endpoint>,
    /// Whether the sides' list of entries is out of date.
    entries_changed: bool,
    entries_sent_at: Duration,
    jobs: BTreeMap<u64, Job>,
    waiting: Backlog,
    /// Steps with waiting tasks for which no [`Frame::Reserve`] was sent.
    unreserved: BTreeSet<(u64, u16)>,
    /// Time until which missing rules and sides are expected.
    startup_ends: Duration,
    /// Jobs that arrived before the rules.
    parked: Vec<park::Parked>,
    resubmissions: Detector,
    arrivals: Arrivals,
    history: History,
    cancellations: BTreeMap<u64, peers::Cancellation>,
    next_call: u64,
    /// Time of the entry's exit, if it is shutting down.
    exit_at: Option<Duration>,
    needs_placement: bool,
    stats: Stats,
    actions: Vec<Action>,
    events: Vec<Event>,
}

impl Dispatcher {
    /// Makes a dispatcher without rules, sides or jobs.
    pub fn new(now: Duration, domain: &str, timing: Timing, seed: u64) -> Self {
        Self {
            timing,
            domain: domain.to_owned(),
            salt: seed,
            random: SmallRng::seed_from_u64(seed),
            remote_factor: 1.0,
            rules: None,
            rules_digest: 0,
            pull: peers::Pull::default(),
            fleet: Fleet::default(),
            peers: BTreeMap::new(),
            entries: Vec::new(),
            entries_changed: false,
            entries_sent_at: Duration::ZERO,
            jobs: BTreeMap::new(),
            waiting: Backlog::default(),
            unreserved: BTreeSet::new(),
            startup_ends: now + STARTUP_GRACE,
            parked: Vec::new(),
            resubmissions: Detector::default(),
            arrivals: Arrivals::default(),
            history: History::default(),
            cancellations: BTreeMap::new(),
            next_call: 0,
            exit_at: None,
            needs_placement: false,
            stats: Stats::default(),
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Takes the actions that the runtime must carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> Option<&Rules> {
        self.rules.as_ref()
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of tasks that wait for free resources.
    pub fn backlog(&self) -> usize {
        self.waiting.len()
    }

    /// Returns each side's state as last reported.
    pub fn side_views(&self, now: Duration) -> impl Iterator<Item = View<'_>> {
        self.fleet.iter().map(move |(_, side)| View {
            name: &side.name,
            domain: &side.domain,
            available: side.is_available(now),
            ejected: side.is_ejected(now),
            silent: now.saturating_sub(side.last_received),
            room: side.room(),
            runs: side.runs.len(),
            slowness: side.slowness / self.fleet.mean_slowness.max(1e-3),
        })
    }

    /// Returns the number of available sides, and how many of them have ejected
    /// upstreams.
    pub fn sides(&self, now: Duration) -> (usize, usize) {
        let available = |side: &&Side| side.is_available(now);
        let sides = self.fleet.iter().map(|(_, side)| side);
        let (ejected, used): (Vec<&Side>, Vec<&Side>) = sides
            .filter(available)
            .partition(|side| side.is_ejected(now));
        (ejected.len() + used.len(), ejected.len())
    }

    /// Returns whether jobs can be served: rules are in force and a side is
    /// connected.
    pub fn is_ready(&self) -> bool {
        let connected = self.fleet.iter().any(|(_, side)| side.link == Link::Up);
        self.rules.is_some() && connected && self.exit_at.is_none()
    }

    /// Sets the factor on the run time of a task on another rack than its data;
    /// initially 1.
    pub fn set_remote_factor(&mut self, factor: f64) {
        self.remote_factor = factor;
    }

    /// Restores patience floors learnt by an earlier process or another entry:
    /// queue names with milliseconds. Queues that have a floor keep it.
    pub fn restore_floors(&mut self, patience_floors: &[(String, u32)]) {
        self.resubmissions.restore(patience_floors);
    }

    /// Returns the patience floors: queue names with milliseconds.
    pub fn patience_floors(&self) -> Vec<(String, u32)> {
        self.resubmissions.floors()
    }

    /// Starts the shutdown: from now on only jobs that likely finish before `end`
    /// are accepted.
    pub fn leave(&mut self, end: Duration) {
        self.exit_at = Some(end);
    }

    /// Returns whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.exit_at.is_some()
    }

    /// Records a new connection to a side.
    pub fn join_side(&mut self, now: Duration, hello: &Hello) {
        if let Some(side) = self.fleet.get_mut(hello.incarnation) {
            side.reconnect(now);
            return;
        }
        let side = Side::new(&hello.name, &hello.domain, now);
        self.fleet.insert(hello.incarnation, side);
    }

    /// Records that the connection to a side is lost.
    pub fn lose_side(&mut self, key: Key) {
        if let Some(side) = self.fleet.get_mut(key) {
            side.link = Link::Lost;
        }
        for (id, job) in &mut self.jobs {
            for (step, _) in job.reserved.extract_if(.., |(_, side)| *side == key) {
                self.unreserved.insert((*id, step));
            }
        }
    }

    /// Returns the sides whose connections must be replaced, since no message
    /// has arrived for too long.
    pub fn silent_sides(&self, now: Duration) -> Vec<Key> {
        self.fleet
            .iter()
            .filter(|(_, side)| side.link != Link::Lost)
            .filter(|(_, side)| now.saturating_sub(side.last_received) > self.timing.max_silence())
            .map(|(key, _)| key)
            .collect()
    }

    /// Handles a frame from a side or another entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        match frame {
            Frame::Upstream(upstream) => {
                if let Some(side) = self.fleet.get_mut(from) {
                    side.upstream = upstream;
                    self.needs_placement = true;
                }
            }
            Frame::Status(status) => self.record_status(now, from, status),
            Frame::Ends(ends) => self.record_ends(now, from, &ends),
            Frame::OpenRuns(runs) => self.record_open_runs(now, from, &runs),
            Frame::Progress(progress) => self.review_progress(now, from, progress),
            Frame::Claim(step) => self.grant_claim(now, from, step),
            other => self.peer_frame(now, from, other),
        }
    }

    /// Does the periodic work; the runtime calls it at a fixed interval.
    pub fn tick(&mut self, now: Duration) {
        self.expire_sides(now);
        self.unpark(now);
        self.expire(now);
        self.demote_late(now);
        self.place(now);
        self.send_echoes(now);
        self.announce_entries(now);
        self.send_heartbeats(now);
        self.history.expire(now);
    }

    /// Places waiting tasks if a change since the last call may let them start.
    pub fn place_if_changed(&mut self, now: Duration) {
        if std::mem::take(&mut self.needs_placement) {
            self.place(now);
        }
    }

    /// Removes disconnected sides once all runs there must have ended.
    fn expire_sides(&mut self, now: Duration) {
        let expiry = if is_seeded(Mutant::EarlyOver) {
            Duration::ZERO
        } else {
            self.timing.run_expiry()
        };
        let expired: Vec<Key> = self
            .fleet
            .iter()
            .filter(|(_, side)| side.link == Link::Lost)
            .filter(|(_, side)| now.saturating_sub(side.last_received) > expiry)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.drop_side(now, key);
        }
    }

    fn drop_side(&mut self, now: Duration, key: Key) {
        let Some(side) = self.fleet.get_mut(key) else {
            return;
        };
        let runs: Vec<Run> = side.runs.iter().copied().collect();
        self.events.push(Event::SideGone {
            name: side.name.clone(),
            side: key,
            silent: now.saturating_sub(side.last_received),
            runs: u32::try_from(runs.len()).unwrap_or(u32::MAX),
        });
        self.stats.lost += runs.len() as u64;
        for run in runs {
            let end = End {
                run,
                ending: Ending::Lapsed,
                spent: 0,
            };
            self.record_end(now, key, end);
        }
        self.fleet.remove(key);
    }

    fn send_echoes(&mut self, now: Duration) {
        let mut frames = Vec::new();
        let interval = self.fleet.echo_interval();
        for (key, side) in self.fleet.iter_mut() {
            let Some(status) = side.status else { continue };
            let due = now.saturating_sub(side.last_echo_at) >= interval;
            if side.link != Link::Up || status.clock <= side.echoed || !due {
                continue;
            }
            side.echoed = status.clock;
            side.last_echo_at = now;
            let echo = Echo {
                clock: status.clock,
                acknowledged: side.last_end,
            };
            frames.push((key, Frame::Echo(echo)));
        }
        self.actions.extend(frames.into_iter().map(Action::Send));
    }

    fn send(&mut self, to: Incarnation, frame: Frame) {
        self.actions.push(Action::Send((to, frame)));
    }

    fn answer(&mut self, customer: u64, answer: Answer) {
        self.actions.push(Action::Answer(customer, answer));
    }
}
