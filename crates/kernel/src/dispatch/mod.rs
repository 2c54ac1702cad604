//! The entry's state for leased tasks: takes jobs that their customers named,
//! places their tasks on sides with room, and answers.
//!
//! A job belongs to the entry that took it. Its tasks wait here until a side
//! has room for them, so the shortest wait decides where they run. A task is
//! placed anew only when its earlier run is proved over: its end was listed,
//! its side has refused it, or all leases that it could hold have run out.

mod answer;
mod arrivals;
mod backlog;
mod fleet;
mod follow;
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

/// Pause before a task that was refused is placed anew.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(5);

/// Time from an entry's start in which its rules and sides are expected: sides
/// that have lost an entry dial it again at least that often. Jobs that come
/// before wait; none is refused for what the entry cannot know yet.
const STARTUP_GRACE: Duration = Duration::from_millis(800);

/// What the runtime must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame.
    Send(Addressed),
    /// Answer the customer of this number.
    Answer(u64, Answer),
}

/// The entry's state.
#[derive(Debug)]
pub struct Dispatcher {
    timing: Timing,
    domain: String,
    /// Keeps this entry's choices apart from others'.
    salt: u64,
    random: SmallRng,
    /// Factor on the run time of a task away from its data.
    remote_factor: f64,
    rules: Option<Rules>,
    fleet: Fleet,
    peers: BTreeMap<Incarnation, Peer>,
    entries: Vec<Endpoint>,
    jobs: BTreeMap<u64, Job>,
    waiting: Backlog,
    /// Steps with waiting tasks that no side has been told of.
    unreserved: BTreeSet<(u64, u16)>,
    /// When rules and sides are no longer expected.
    startup_ends: Duration,
    /// Jobs that came before the rules.
    parked: Vec<park::Parked>,
    resubmissions: Detector,
    arrivals: Arrivals,
    history: History,
    cancellations: BTreeMap<u64, peers::Cancellation>,
    next_call: u64,
    /// When the entry will have left.
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
            fleet: Fleet::default(),
            peers: BTreeMap::new(),
            entries: Vec::new(),
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

    /// Drains what the runtime must do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Drains what was decided.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the counts since the start.
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

    /// Returns the number of tasks that wait for room.
    pub fn backlog(&self) -> usize {
        self.waiting.len()
    }

    /// Returns what the entry believes of each side.
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

    /// Returns the numbers of sides that are connected and of those whose
    /// upstreams are put aside.
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

    /// Sets the factor on the run time of a task away from its data, as the
    /// deployment states it; 1 at first.
    pub fn set_remote_factor(&mut self, factor: f64) {
        self.remote_factor = factor;
    }

    /// Takes what was learnt before, or by others, of how long customers wait:
    /// queues with milliseconds.
    pub fn restore_floors(&mut self, patience_floors: &[(String, u32)]) {
        self.resubmissions.restore(patience_floors);
    }

    /// Returns what was learnt of how long customers wait.
    pub fn patience_floors(&self) -> Vec<(String, u32)> {
        self.resubmissions.floors()
    }

    /// Takes only jobs that are likely to end before `end`.
    pub fn leave(&mut self, end: Duration) {
        self.exit_at = Some(end);
    }

    /// Returns whether the entry leaves.
    pub fn is_leaving(&self) -> bool {
        self.exit_at.is_some()
    }

    /// Records a connection to a side.
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

    /// Returns the sides whose connections have been silent for too long.
    pub fn silent_sides(&self, now: Duration) -> Vec<Key> {
        self.fleet
            .iter()
            .filter(|(_, side)| side.link != Link::Lost)
            .filter(|(_, side)| now.saturating_sub(side.last_received) > self.timing.max_silence())
            .map(|(key, _)| key)
            .collect()
    }

    /// Takes a frame from a side or another entry.
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

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.expire_sides(now);
        self.unpark(now);
        self.expire(now);
        self.demote_late(now);
        self.place(now);
        self.send_echoes(now);
        self.send_heartbeats(now);
        self.history.expire(now);
    }

    /// Places tasks if anything has changed that may let them start.
    pub fn place_if_changed(&mut self, now: Duration) {
        if std::mem::take(&mut self.needs_placement) {
            self.place(now);
        }
    }

    /// Forgets sides that have been silent until all that ran there is over.
    fn expire_sides(&mut self, now: Duration) {
        let over = if is_seeded(Mutant::EarlyOver) {
            Duration::ZERO
        } else {
            self.timing.run_expiry()
        };
        let expired: Vec<Key> = self
            .fleet
            .iter()
            .filter(|(_, side)| side.link == Link::Lost)
            .filter(|(_, side)| now.saturating_sub(side.last_received) > over)
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
