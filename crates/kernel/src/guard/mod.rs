//! The side's state for leased tasks: the only process that gives orders to
//! the upstream beside it, and so the one that guards the host's capacity.
//!
//! A run counts against the capacity from the order to start it until the
//! upstream has listed its end, or until it is proved that it never ran.
//! Whatever runs holds a short lease that [`Guard`] renews; it stops the runs
//! of an entry that it has not heard for [`Timing::orphan_timeout`], so that a job sent
//! again through another entry never meets its own earlier runs.

mod action;
mod hold;
mod order;
mod queue;
mod timing;

pub use action::{Action, Announcement, Hold, Order};
pub use hold::{Inventory, Observation};
pub use order::Admission;
pub use timing::Timing;

use crate::{
    event::Event,
    millis,
    mutation::{Mutant, is_seeded},
};
use queue::Queue;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{Echo, End, Ending, Ends, Frame, Need, Refusal, Run, Status, Task},
};

/// Longest time without a [`Status`] to a connected entry.
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two [`Status`] frames, which gathers changes that come
/// together, where a side has up to [`ENTRIES_AT_FULL_RATE`] entries.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(4);

/// Entries beyond which reports become rarer. All sides report to all entries,
/// and both grow with a deployment: with the square of the entries between two
/// reports, their number a second stays what it is here, up to [`MAX_REPORT_INTERVAL`].
const ENTRIES_AT_FULL_RATE: u32 = 6;

/// Time for which ends wait for an entry that does not come back.
const KEEP_ENDS: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Ordered; no answer yet.
    Starting,
    /// Started.
    Running,
    /// The order's answer is lost; a stop bars it.
    Unknown,
    /// A stop is ordered.
    Stopping,
}

#[derive(Debug)]
struct Slot {
    attempt: u32,
    entry: Incarnation,
    need: Need,
    phase: Phase,
    ordered: Duration,
    /// End of the lease that the start order carried, on the upstream's clock.
    lease: u64,
    /// The order, for as long as it may be repeated.
    order: Option<Order>,
    /// Whether a list of the upstream has shown the run.
    listed: bool,
    /// When a stop was last ordered.
    stopped: Option<Duration>,
    /// The upstream's clock when it had taken a stop.
    barred: Option<u64>,
    estimate: u32,
    percent: u8,
    moved: Duration,
    told: Duration,
}

#[derive(Debug, Default)]
struct Peer {
    /// Own clock at which the entry is known to have lived.
    contact: Duration,
    connected: bool,
    received: u32,
    /// Ends not yet acknowledged; the first has the number `first`.
    ends: VecDeque<End>,
    first: u64,
    /// Number of the next end to send on this connection.
    unsent: u64,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Runs ordered.
    pub started: u64,
    /// Runs refused before any order.
    pub refused: u64,
    /// Orders without an answer.
    pub unanswered: u64,
    /// Runs stopped because their entry was silent.
    pub orphaned: u64,
    /// Runs at the upstream that nobody here ordered.
    pub foreign: u64,
    /// Restarts of the upstream seen.
    pub restarts: u64,
}

/// The side's state.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a condition of its own"
)]
pub struct Guard {
    timing: Timing,
    token: u64,
    announced: Option<Announcement>,
    /// Start of the upstream's life that the lists speak of.
    started_at: u64,
    /// The upstream's clock and ours when it was last heard.
    clock: Option<(u64, Duration)>,
    heard: Duration,
    /// Whether all runs at the upstream are known.
    runs_known: bool,
    /// No run outlives this time without a further order.
    leased: Duration,
    cursor: u64,
    runs: BTreeMap<Task, Slot>,
    queue: Queue,
    peers: BTreeMap<Incarnation, Peer>,
    /// Token of the call under way that renews leases.
    holding: Option<u64>,
    /// When that call was made.
    held_at: Duration,
    leaving: bool,
    dirty: bool,
    reported: Duration,
    stats: Stats,
    actions: Vec<Action>,
    events: Vec<Event>,
    /// Whether the last report said that tasks may start.
    told: bool,
}

impl Guard {
    /// Makes a guard that knows nothing of its upstream yet.
    pub fn new(timing: Timing, now: Duration) -> Self {
        Self {
            timing,
            token: millis(now),
            announced: None,
            started_at: 0,
            clock: None,
            heard: Duration::ZERO,
            runs_known: false,
            leased: Duration::ZERO,
            cursor: 0,
            runs: BTreeMap::new(),
            queue: Queue::default(),
            peers: BTreeMap::new(),
            holding: None,
            held_at: Duration::ZERO,
            leaving: false,
            dirty: false,
            reported: Duration::ZERO,
            stats: Stats::default(),
            actions: Vec::new(),
            events: Vec::new(),
            told: false,
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

    /// Returns the number of runs that count against the capacity.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns what the upstream last said of itself.
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref()
    }

    /// Returns whether nothing runs and every end has reached its entry.
    pub fn is_idle(&self) -> bool {
        let told = |peer: &Peer| !peer.connected || peer.ends.is_empty();
        self.runs.is_empty() && self.peers.values().all(told)
    }

    /// Starts no more tasks; those running go on.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.dirty = true;
        self.queue.clear();
    }

    /// Returns whether the side leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether a task may start now.
    pub fn is_accepting(&self, now: Duration) -> bool {
        let leaving = self.announced.as_ref().is_none_or(|known| known.leaving);
        !self.leaving
            && !leaving
            && self.runs_known
            && now.saturating_sub(self.heard) <= self.timing.max_upstream_silence()
    }

    /// Returns the room left at the host.
    pub fn free(&self) -> Need {
        let Some(announced) = &self.announced else {
            return Need::default();
        };
        let early = is_seeded(Mutant::EarlyRoom);
        let used = self
            .runs
            .values()
            .filter(|run| !early || run.stopped.is_none())
            .fold(self.queue.kept(), |sum, run| sum.plus(run.need));
        announced.upstream.capacity.minus(used)
    }

    /// Records what the upstream says of itself.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) {
        if announcement.started_at < self.started_at {
            return;
        }
        self.see_life(now, announcement.started_at);
        let known = self.announced.as_ref();
        let changed = known.is_none_or(|known| {
            known.upstream != announcement.upstream || known.leaving != announcement.leaving
        });
        self.announced = Some(announcement);
        if changed {
            self.dirty = true;
            self.tell_upstream(None);
        }
        self.claim(now);
    }

    /// Records that the upstream has said that it ends.
    pub fn withdraw(&mut self) {
        if let Some(announced) = &mut self.announced {
            announced.leaving = true;
            self.dirty = true;
        }
        self.queue.clear();
    }

    /// Records a connection to an entry and tells it what is held for it.
    pub fn join(&mut self, now: Duration, entry: Incarnation) {
        let peer = self.peers.entry(entry).or_insert_with(|| Peer {
            first: 1,
            ..Peer::default()
        });
        peer.contact = peer.contact.max(now);
        peer.connected = true;
        peer.received = 0;
        if !is_seeded(Mutant::LostEnd) {
            peer.unsent = peer.first;
        }
        self.send_ends(entry);
        let open = self
            .runs
            .iter()
            .filter(|(_, run)| run.entry == entry)
            .map(|(task, run)| run.id(*task))
            .collect();
        self.send(entry, Frame::OpenRuns(open));
        self.tell_upstream(Some(entry));
        self.dirty = true;
    }

    /// Records that the connection to an entry is lost.
    pub fn lose(&mut self, entry: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.connected = false;
        }
        self.queue.remove_entry(entry);
    }

    /// Returns the entries whose connections have been silent for too long.
    pub fn silent(&self, now: Duration) -> Vec<Incarnation> {
        let limit = self.timing.max_silence();
        self.peers
            .iter()
            .filter(|(_, peer)| peer.connected && now.saturating_sub(peer.contact) > limit)
            .map(|(entry, _)| *entry)
            .collect()
    }

    /// Takes a frame from an entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        match frame {
            Frame::Echo(echo) => self.echo(from, echo),
            Frame::Start(start) => self.start(now, from, &start),
            Frame::Stop(runs) => self.stop_runs(now, from, &runs),
            Frame::Reserve(reserve) => self.reserve(now, from, &reserve),
            Frame::Unreserve(step) => {
                self.queue.remove(from, step);
                self.claim(now);
            }
            Frame::Entries(entries) => self.actions.push(Action::Entries(entries)),
            _ => log::debug!("event=frame_ignored entry={from}"),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.stop_orphans(now);
        self.end_lapsed(now);
        self.repeat_stops(now);
        self.hold_again(now);
        self.queue.expire(now);
        self.claim(now);
        self.flush(now);
        self.peers
            .retain(|_, peer| peer.connected || now.saturating_sub(peer.contact) <= KEEP_ENDS);
    }

    /// Reports to the entries what is due.
    pub fn flush(&mut self, now: Duration) {
        let age = now.saturating_sub(self.reported);
        if age < self.report_interval() || (age < MAX_REPORT_INTERVAL && !self.dirty) {
            return;
        }
        self.dirty = false;
        self.reported = now;
        let (free, accepting) = (self.free(), self.is_accepting(now));
        if accepting != self.told {
            self.told = accepting;
            self.events.push(Event::Accepting {
                accepting,
                leaving: self.leaving || self.announced.as_ref().is_some_and(|known| known.leaving),
                runs_known: self.runs_known,
                silent: now.saturating_sub(self.heard),
            });
        }
        let runs = u16::try_from(self.runs.len()).unwrap_or(u16::MAX);
        for (entry, peer) in self.peers.iter().filter(|(_, peer)| peer.connected) {
            let status = Status {
                clock: millis(now),
                received: peer.received,
                free,
                accepting,
                runs,
            };
            self.actions
                .push(Action::Send((*entry, Frame::Status(status))));
        }
    }

    /// Returns the least time between two reports.
    pub fn report_interval(&self) -> Duration {
        let connected = self.peers.values().filter(|peer| peer.connected);
        let entries = u32::try_from(connected.count()).unwrap_or(u32::MAX);
        let square = entries
            .saturating_mul(entries)
            .max(ENTRIES_AT_FULL_RATE * ENTRIES_AT_FULL_RATE);
        let interval = MIN_REPORT_INTERVAL.saturating_mul(square)
            / (ENTRIES_AT_FULL_RATE * ENTRIES_AT_FULL_RATE);
        interval.min(MAX_REPORT_INTERVAL)
    }

    /// Returns whether a report waits for [`Guard::report_interval`] to pass.
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    fn echo(&mut self, from: Incarnation, echo: Echo) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.contact = peer.contact.max(Duration::from_millis(echo.clock));
        while peer.first <= echo.acknowledged && peer.ends.pop_front().is_some() {
            peer.first += 1;
        }
        peer.unsent = peer.unsent.max(peer.first);
    }

    fn tell_upstream(&mut self, entry: Option<Incarnation>) {
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

    /// Ends a run: frees its room and tells its entry.
    fn finish(&mut self, now: Duration, task: Task, ending: Ending) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.dirty = true;
        let end = End {
            run: run.id(task),
            ending,
            spent: u32::try_from(millis(now.saturating_sub(run.ordered))).unwrap_or(u32::MAX),
        };
        self.events.push(Event::RunEnded {
            run: end.run,
            ending,
            spent: now.saturating_sub(run.ordered),
        });
        self.tell_end(run.entry, end);
        self.claim(now);
    }

    fn refuse(&mut self, entry: Incarnation, run: Run, refusal: Refusal) {
        self.stats.refused += 1;
        let end = End {
            run,
            ending: Ending::NotRun(refusal),
            spent: 0,
        };
        self.tell_end(entry, end);
    }

    fn tell_end(&mut self, entry: Incarnation, end: End) {
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.ends.push_back(end);
            self.send_ends(entry);
        }
    }

    fn send_ends(&mut self, entry: Incarnation) {
        let Some(peer) = self.peers.get_mut(&entry) else {
            return;
        };
        let next = peer.first + peer.ends.len() as u64;
        if !peer.connected || peer.unsent >= next {
            return;
        }
        let skip = usize::try_from(peer.unsent - peer.first).unwrap_or(usize::MAX);
        let ends = Ends {
            first: peer.unsent,
            ends: peer.ends.iter().skip(skip).copied().collect(),
        };
        peer.unsent = next;
        self.send(entry, Frame::Ends(ends));
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
