//! Admission control for leased tasks. Only the side sends orders to its
//! upstream, so the side alone accounts for the host's capacity.
//!
//! A run occupies capacity from its start order until the upstream has listed
//! its end, or until it is proved that the run never started. Every run has a
//! short lease that [`Guard`] renews. The guard stops the runs of an entry that
//! has been silent for [`Timing::orphan_timeout`], so that a job resubmitted
//! through another entry never runs beside its own earlier runs.

mod action;
mod announce;
mod availability;
mod clock;
mod hold;
mod order;
mod peer;
mod queue;
mod release;
mod report;
mod rows;

pub use crate::timing::{MAX_REPORT_INTERVAL, Timing};
pub use action::{Action, Announcement, Hold, Order};
pub use hold::{Inventory, Observation};
pub use order::Admission;
pub use rows::{UnreadableRow, UnreadableRows};

use crate::{
    event::{Event, Evidence},
    liveness::Liveness,
    millis,
    mutation::{Mutant, is_seeded},
    rate::Rate,
};
use availability::Availability;
use queue::Queue;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{Crash, End, Ending, Frame, Need, Refusal, Run, Task},
};

/// Time after the last contact for which the ends of a disconnected entry's
/// runs are kept.
const END_RETENTION: Duration = Duration::from_secs(10);

/// Time for which a cancelled job is refused: longer than any customer waits.
const FORBIDDEN_RETENTION: Duration = Duration::from_mins(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A start order is sent; there is no answer yet.
    Starting,
    Running,
    /// The answer to the start order is lost; a stop order revokes the run.
    Unknown,
    /// A stop order is sent.
    Stopping,
}

/// What is known of the upstream's receipt of a run's start orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receipt {
    /// Nothing.
    Unknown,
    /// It has accepted one of them; another may still be on its way.
    OneAccepted,
    /// It has accepted the only one, in time.
    Accepted,
    /// An inventory has listed the run.
    Listed,
}

#[derive(Debug)]
struct Slot {
    attempt: u32,
    entry: Incarnation,
    need: Need,
    phase: Phase,
    ordered_at: Duration,
    /// End of the lease in the start order, on the upstream's clock in milliseconds.
    lease: u64,
    /// The start order, while it may be repeated.
    order: Option<Order>,
    receipt: Receipt,
    /// Whether the order was sent twice; the first may still be on its way.
    repeated: bool,
    /// Whether its task may have crashed another upstream.
    trial: bool,
    /// Set if the upstream has crashed since the start order.
    crash: Option<Crash>,
    /// Time of the last stop order.
    stop_sent_at: Option<Duration>,
    /// Time of the first stop order.
    stopped_since: Option<Duration>,
    /// The upstream's clock when it accepted a stop order, in milliseconds.
    revoked_at: Option<u64>,
    /// Estimated duration, in milliseconds.
    estimate: u32,
    /// Usual duration at a host of usual speed, in milliseconds; 0 if the run does
    /// not count for the host's rate.
    usual: u32,
    percent: u8,
    progressed_at: Duration,
    progress_sent_at: Duration,
}

#[derive(Debug)]
struct Peer {
    /// Latest time, on the own clock, at which the entry is known to have run.
    last_contact: Duration,
    /// Time, on the own clock, before all departures of customers that the entry may not
    /// have known of when it last reported.
    renewed_at: Duration,
    /// Start of the latest connection.
    joined_at: Duration,
    liveness: Liveness,
    connected: bool,
    /// Runs received in start frames on this connection.
    received: u32,
    /// Ends not yet acknowledged; the first has the number `first_end`.
    ends: VecDeque<End>,
    first_end: u64,
    /// Number of the next end to send on this connection.
    next_unsent: u64,
    /// Time since which the side would no longer choose this entry.
    surplus_since: Option<Duration>,
    /// Time of the last report to the entry.
    reported_at: Duration,
    /// Whether there are changes that no report to the entry has included yet.
    unreported: bool,
    /// Shortest time between two reports that the entry has requested.
    requested_interval: Duration,
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Runs for which a start order was sent.
    pub started: u64,
    /// Runs refused without an order to the upstream.
    pub refused: u64,
    /// Start orders without an answer from the upstream.
    pub unanswered: u64,
    /// Runs stopped because their entry was silent.
    pub orphaned: u64,
    /// Runs that the upstream listed and this side had not ordered.
    pub foreign: u64,
    /// Restarts of the upstream.
    pub restarts: u64,
}

/// The state machine of a side for leased tasks.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions are independent"
)]
pub struct Guard {
    timing: Timing,
    token: u64,
    /// Next increment of the token if the upstream has seen a higher one.
    token_step: u64,
    announced: Option<Announcement>,
    /// Announcement of a process that has not answered a call yet.
    unconfirmed: Option<Announcement>,
    /// Start of the upstream's present process, in milliseconds since the Unix
    /// epoch.
    started_at: u64,
    /// The same of its earlier processes.
    previous_starts: VecDeque<u64>,
    /// Whether a hold call was sent since the last restart that was detected.
    held_since_restart: bool,
    /// The upstream's clock, in milliseconds, and the own clock at the newest
    /// inventory.
    clock: Option<(u64, Duration)>,
    /// The same of the last inventory, if it was too far ahead to be used.
    doubted_clock: Option<(u64, Duration)>,
    /// Time of the last inventory.
    last_received: Duration,
    /// Time of the first failed hold call since the last inventory.
    failing_since: Option<Duration>,
    /// Whether the last hold call was refused a connection.
    was_refused: bool,
    /// Whether every run at the upstream is one of `runs`.
    runs_known: bool,
    /// Time after which all leases have expired unless one is granted or renewed.
    leases_end: Duration,
    /// Number of the last end received from the upstream.
    last_end: u64,
    /// Whether ends of the upstream's present process were unreadable.
    has_lost_ends: bool,
    /// Unreadable rows of the last inventory: runs in progress, and ends.
    unreadable_rows: (usize, usize),
    /// Time after which the leases that an earlier side has renewed have expired.
    earlier_leases_end: Duration,
    runs: BTreeMap<Task, Slot>,
    queue: Queue,
    availability: Availability,
    /// Cancelled jobs that an entry may have without knowing, and when that was learnt.
    forbidden: BTreeMap<u64, Duration>,
    /// Speed of the upstream's present process.
    rate: Rate,
    peers: BTreeMap<Incarnation, Peer>,
    /// Fencing token of the hold call in progress.
    hold_token: Option<u64>,
    /// Time at which the last hold call was sent.
    hold_sent_at: Duration,
    leaving: bool,
    /// Whether there are changes that no peer is marked with yet.
    dirty: bool,
    /// Time for which a surplus entry is kept.
    surplus_time: Duration,
    stats: Stats,
    actions: Vec<Action>,
    events: Vec<Event>,
    /// The value of `accepting` in the last report.
    reported_accepting: bool,
}

impl Guard {
    /// Creates a guard without an upstream or entries.
    pub fn new(timing: Timing, now: Duration) -> Self {
        Self {
            timing,
            token: millis(now),
            token_step: order::MIN_TOKEN_STEP,
            announced: None,
            unconfirmed: None,
            started_at: 0,
            previous_starts: VecDeque::new(),
            held_since_restart: false,
            clock: None,
            doubted_clock: None,
            last_received: Duration::ZERO,
            failing_since: None,
            was_refused: false,
            runs_known: false,
            leases_end: Duration::ZERO,
            last_end: 0,
            has_lost_ends: false,
            unreadable_rows: (0, 0),
            earlier_leases_end: now + timing.real_max_lease(),
            runs: BTreeMap::new(),
            queue: Queue::default(),
            availability: Availability::default(),
            forbidden: BTreeMap::new(),
            rate: Rate::default(),
            peers: BTreeMap::new(),
            hold_token: None,
            hold_sent_at: Duration::ZERO,
            leaving: false,
            dirty: false,
            surplus_time: release::MIN_SURPLUS_TIME,
            stats: Stats::default(),
            actions: Vec::new(),
            events: Vec::new(),
            reported_accepting: false,
        }
    }

    /// Removes and returns the actions for the runtime, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Removes and returns the events to log, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the counters since the start of the process.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the number of runs that occupy capacity.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the upstream's learnt rate, per mille of the usual speed.
    pub fn rate(&self) -> u16 {
        self.rate.per_mille()
    }

    /// Returns the upstream's last announcement.
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref()
    }

    /// Returns whether nothing runs and every connected entry has acknowledged
    /// the ends of its runs.
    pub fn is_idle(&self) -> bool {
        let has_all_ends = |peer: &Peer| !peer.connected || peer.ends.is_empty();
        self.runs.is_empty() && self.peers.values().all(has_all_ends)
    }

    /// Stops accepting tasks; runs in progress continue.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.dirty = true;
        self.queue.clear();
    }

    /// Returns whether the side is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether a task may start now.
    pub fn is_accepting(&self, now: Duration) -> bool {
        let leaving = self.announced.as_ref().is_none_or(|known| known.leaving);
        !self.leaving
            && !leaving
            && self.is_in_service(now)
            && self.is_capacity_current(now)
            && self.may_grant(now)
    }

    /// Returns the host's capacity that neither runs nor claims occupy.
    pub fn free(&self) -> Need {
        let Some(announced) = &self.announced else {
            return Need::default();
        };
        let frees_early = is_seeded(Mutant::EarlyRoom);
        let used = self
            .runs
            .values()
            .filter(|run| !frees_early || run.stop_sent_at.is_none())
            .fold(self.queue.reserved(), |sum, run| sum.plus(run.need));
        announced.upstream.capacity.minus(used)
    }

    /// Handles a frame from an entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.liveness.record_frame(now);
        }
        match frame {
            Frame::Echo(echo) => self.echo(now, from, echo),
            Frame::Start(start) => self.start(now, from, &start),
            Frame::Stop(runs) => self.stop_runs(now, from, &runs),
            Frame::Reserve(reserve) => self.enqueue_step(now, from, &reserve),
            Frame::Unreserve(step) => {
                self.queue.remove(from, step);
                self.claim(now);
            }
            Frame::Forbid(jobs) => self.forbid(now, &jobs),
            Frame::Entries(entries) => self.actions.push(Action::Entries(entries)),
            _ => log::debug!("event=frame_ignored entry={from}"),
        }
    }

    /// Handles timeouts, retries and due reports.
    pub fn tick(&mut self, now: Duration) {
        self.stop_orphans(now);
        self.end_lapsed(now);
        self.repeat_stops(now);
        self.retry_hold(now);
        self.queue.expire(now);
        self.forbidden
            .retain(|_, at| now.saturating_sub(*at) <= FORBIDDEN_RETENTION);
        self.claim(now);
        self.flush(now);
        self.peers.retain(|_, peer| {
            peer.connected || now.saturating_sub(peer.last_contact) <= END_RETENTION
        });
    }

    fn send_upstream(&mut self, entry: Option<Incarnation>) {
        let upstream = self
            .announced
            .as_ref()
            .map(|announced| announced.upstream.clone());
        let connected = self.peers.iter().filter(|(_, peer)| peer.connected);
        let entries: Vec<Incarnation> = match entry {
            Some(entry) => vec![entry],
            None => connected.map(|(entry, _)| *entry).collect(),
        };
        for entry in entries {
            self.send(entry, Frame::Upstream(upstream.clone()));
        }
    }

    /// Ends a run: frees its capacity and reports the end to its entry.
    fn finish(&mut self, now: Duration, task: Task, ending: Ending, evidence: Evidence) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.dirty = true;
        let ending = match (ending, run.crash) {
            (Ending::Lapsed, Some(crash)) => Ending::Crashed(crash),
            _ => ending,
        };
        let spent = u32::try_from(millis(now.saturating_sub(run.ordered_at))).unwrap_or(u32::MAX);
        if ending == Ending::Done && run.stop_sent_at.is_none() {
            self.rate.record(run.usual, spent);
        }
        let end = End {
            run: run.id(task),
            ending,
            spent,
        };
        self.events.push(Event::RunEnded {
            run: end.run,
            ending,
            evidence,
            spent: now.saturating_sub(run.ordered_at),
        });
        self.queue_end(run.entry, end);
        self.claim(now);
    }

    fn refuse(&mut self, entry: Incarnation, run: Run, refusal: Refusal) {
        self.stats.refused += 1;
        let end = End {
            run,
            ending: Ending::NotRun(refusal),
            spent: 0,
        };
        self.queue_end(entry, end);
    }

    fn send(&mut self, to: Incarnation, frame: Frame) {
        self.actions.push(Action::Send((to, frame)));
    }
}

impl Slot {
    fn id(&self, task: Task) -> Run {
        Run {
            task,
            attempt: self.attempt,
        }
    }
}
