//! The entry's state machine for leased tasks: accepts jobs, places their tasks
//! on sides with free resources, and answers the customers.
//!
//! A job belongs to the entry that accepted it. Its tasks wait at that entry
//! until a side has room for them, so they run where room is free first. A task
//! is placed again only after its earlier run has provably ended: its side
//! reported the end or refused the run, or every lease that the run could have
//! has expired.

mod admission;
mod answer;
mod arrivals;
mod backlog;
mod barrier;
mod cancellation;
mod confinement;
mod crash_count;
mod crashes;
mod exchange;
mod fairness;
mod fleet;
mod follow;
mod forecast;
mod forward;
mod history;
mod holding;
mod job;
mod lateness;
mod loop_lateness;
mod memory;
mod park;
mod pause;
mod peers;
mod place;
mod placement;
mod resubmission;
mod review;
mod rules;
mod serve;
mod takeover;
mod usual;

pub use crate::outcome::{Phase, Reason};
pub use answer::{Answer, Stats, View};
pub use fleet::{Fleet, Key};
pub use forward::Request;
pub use job::{Job, Step, Submission};
pub use rules::route;

use crate::{
    accuracy::Accuracy,
    event::{Event, Way},
    mutation::{Mutant, is_seeded},
    timing::Timing,
};
use admission::Admission;
use barrier::Barrier;
use cancellation::Cancellations;
use confinement::{Confinement, Eligibility};
use crashes::CrashMemory;
use fairness::Fairness;
use fleet::{Link, Side};
use forward::Forwarding;
use history::History;
use holding::Holdings;
use loop_lateness::LoopLateness;
use memory::Memory;
use pause::Pause;
use peers::Peers;
use placement::Placement;
use rules::ActiveRules;
use std::{collections::BTreeMap, time::Duration};
use usual::Usual;
use wire::{
    frame::Hello,
    id::Incarnation,
    lease::{Addressed, Echo, End, Ending, Frame, Reply, Rules, Run},
};

/// Pause before a task that a side refused is placed again.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(5);

/// Time without orders at a side after which its renewal is late: a report, a barrier and
/// an echo.
const LATE_RENEWAL: Duration = Duration::from_millis(300);

/// An action that the runtime carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to a process.
    Send(Addressed),
    /// Answer the customer with this number.
    Answer(u64, Answer),
    /// Send an owner's reply to the customer with this number.
    Respond(u64, Reply),
    /// Send the answer to a forwarded job, with its call, to the entry that
    /// forwarded it.
    Reply(Incarnation, u64, Answer),
    /// Decode a customer's request and submit it here: no peer is usable.
    Serve(u64, Request),
    /// Pass a barrier of this number along the way of customers' departures, then report
    /// it with [`Dispatcher::record_barrier`].
    Barrier(u64),
}

/// State machine of an entry. Times are durations since the Unix epoch.
#[derive(Debug)]
pub struct Dispatcher {
    timing: Timing,
    rules: ActiveRules,
    peers: Peers,
    admission: Admission,
    fairness: Fairness,
    placement: Placement,
    forwarding: Forwarding,
    confinement: Confinement,
    crash_memory: CrashMemory,
    fleet: Fleet,
    usual: Usual,
    jobs: BTreeMap<u64, Job>,
    history: History,
    cancellations: Cancellations,
    holdings: Holdings,
    loop_lateness: LoopLateness,
    pause: Pause,
    barrier: Barrier,
    accuracy: Accuracy,
    memory: Memory,
    stats: Stats,
    actions: Vec<Action>,
    events: Vec<Event>,
}

impl Dispatcher {
    /// Makes a dispatcher without rules, sides or jobs.
    pub fn new(now: Duration, domain: &str, timing: Timing, seed: u64) -> Self {
        let admission = Admission::new(now);
        let startup_ends = now + admission.startup_left(now);
        Self {
            timing,
            rules: ActiveRules::new(),
            peers: Peers::new(),
            admission,
            fairness: Fairness::default(),
            placement: Placement::new(domain, seed),
            forwarding: Forwarding::new(timing, domain, startup_ends, seed),
            confinement: Confinement::default(),
            crash_memory: CrashMemory::default(),
            fleet: Fleet::default(),
            usual: Usual::default(),
            jobs: BTreeMap::new(),
            history: History::default(),
            cancellations: Cancellations::default(),
            holdings: Holdings::default(),
            loop_lateness: LoopLateness::default(),
            pause: Pause::new(now, timing.orphan_timeout / 2),
            barrier: Barrier::default(),
            accuracy: Accuracy::default(),
            memory: Memory::default(),
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
        self.rules.get()
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of tasks that wait for free resources.
    pub fn backlog(&self) -> usize {
        self.placement.backlog().len()
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
            rate: side.rate,
        })
    }

    /// Returns the usual ratio of run time to estimate at a host of usual speed, by
    /// queue.
    pub fn usual_ratios(&self) -> impl Iterator<Item = (&str, f64)> {
        self.usual.ratios()
    }

    /// Returns what decides on which sides tasks may run.
    fn eligibility(&self, now: Duration) -> Eligibility<'_> {
        Eligibility {
            now,
            rules: &self.rules,
            fleet: &self.fleet,
            confinement: &self.confinement,
        }
    }

    /// Returns the queues that are confined to some of the hosts, since their tasks crash
    /// upstreams.
    pub fn confined_queues(&self) -> impl Iterator<Item = &str> {
        self.confinement.queues()
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

    /// Returns whether jobs can be served: rules are in force, and a side or, for a
    /// weak entry, a stronger entry is connected.
    pub fn is_ready(&self) -> bool {
        let forwards = self.rules.get().is_some() && self.forwarding.has_owner();
        (self.can_serve() || forwards) && !self.admission.is_leaving()
    }

    /// Sets the factor on the run time of a task on another rack than its data;
    /// initially 1.
    pub fn set_remote_factor(&mut self, factor: f64) {
        self.placement.set_remote_factor(factor);
    }

    /// Restores patience floors learnt by an earlier process or another entry:
    /// queue names with milliseconds. Queues that have a floor keep it.
    pub fn restore_floors(&mut self, patience_floors: &[(String, u32)]) {
        self.admission.restore_floors(patience_floors);
    }

    /// Returns the patience floors: queue names with milliseconds.
    pub fn patience_floors(&self) -> Vec<(String, u32)> {
        self.admission.floors()
    }

    /// Starts the shutdown: from now on only jobs that likely finish before `end`
    /// are accepted.
    pub fn leave(&mut self, end: Duration) {
        self.admission.leave(end);
        self.forwarding.leave(end);
        self.peers.expedite_heartbeats();
    }

    /// Returns whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.admission.is_leaving()
    }

    /// Discards the frames to a process that were decided on for an earlier connection:
    /// each end takes what was not received on that one for lost.
    pub(super) fn discard_frames(&mut self, to: Incarnation) {
        if is_seeded(Mutant::LateFrame) {
            return;
        }
        self.actions
            .retain(|action| !matches!(action, Action::Send((peer, _)) if *peer == to));
    }

    /// Records a new connection to a side.
    pub fn join_side(&mut self, now: Duration, hello: &Hello) {
        self.discard_frames(hello.incarnation);
        if let Some(side) = self.fleet.get_mut(hello.incarnation) {
            side.reconnect(now);
        } else {
            let side = Side::new(&hello.name, &hello.domain, now);
            self.fleet.insert(hello.incarnation, side);
        }
        self.tell_cancellations(now, hello.incarnation, false);
    }

    /// Records that the connection to a side is lost.
    pub fn lose_side(&mut self, key: Key) {
        if let Some(side) = self.fleet.get_mut(key) {
            side.link = Link::Lost;
        }
        for (id, job) in &mut self.jobs {
            for (step, _) in job.reserved.extract_if(.., |(_, side)| *side == key) {
                self.placement.postpone_announcement(*id, step);
            }
        }
    }

    /// Records that bytes have arrived from a side. They keep the connection;
    /// they are no report by which the side can get tasks.
    pub fn record_bytes(&mut self, now: Duration, from: Key) {
        if let Some(side) = self.fleet.get_mut(from) {
            side.liveness.record_bytes(now);
        }
    }

    /// Returns the sides whose connections must be replaced: those that are silent
    /// by [`Timing::connection_limits`].
    pub fn silent_sides(&self, now: Duration) -> Vec<Key> {
        let limits = self.timing.connection_limits();
        self.fleet
            .iter()
            .filter(|(_, side)| side.link != Link::Lost)
            .filter(|(_, side)| side.liveness.is_silent(now, side.last_received, &limits))
            .map(|(key, _)| key)
            .collect()
    }

    /// Handles a frame from a side or another entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        if let Some(side) = self.fleet.get_mut(from) {
            side.liveness.record_frame(now);
        }
        self.resume(now);
        match frame {
            Frame::Upstream(upstream) => {
                if let Some(side) = self.fleet.get_mut(from) {
                    side.set_upstream(upstream);
                    self.placement.request_round();
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
        self.resume(now);
        self.expire_sides(now);
        self.fleet.review_speeds(now);
        self.update_confinement(now);
        self.unpark(now);
        self.expire(now);
        self.demote_late(now);
        self.expire_holdings(now);
        self.announce_holdings(now);
        self.place(now);
        self.send_echoes(now);
        self.send_barrier(now);
        self.announce_entries(now);
        self.send_heartbeats(now);
        self.tick_forwarding(now);
        self.history.expire(now);
        self.send_cancellations(now);
        self.send_released();
        self.crash_memory.expire(now);
        self.review_decisions(now);
    }

    /// Places waiting tasks if a change since the last call may let them start.
    pub fn place_if_changed(&mut self, now: Duration) {
        self.resume(now);
        if self.placement.take_round_request() {
            self.place(now);
        }
    }

    /// Takes account of the time in which this process has not run. Every call from the
    /// runtime that may start a task does this first.
    pub(super) fn resume(&mut self, now: Duration) {
        if let Some(lasted) = self.pause.record_run(now) {
            self.events.push(Event::Resumed { lasted });
        }
        self.expire_forwarders(now);
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
        let mut admitted = false;
        let interval = self.echo_interval();
        let report_interval_ms = self.fleet.report_interval_ms();
        for (key, side) in self.fleet.iter_mut() {
            let Some(status) = side.status else { continue };
            let due = now.saturating_sub(side.last_echo_at) >= interval;
            let has_news = status.clock > side.echoed && due;
            if side.link != Link::Up || !(has_news || side.needs_renewal()) {
                continue;
            }
            side.echoed = status.clock;
            side.last_echo_at = now;
            let renewed_at = if is_seeded(Mutant::UnreadDeparture) {
                status.clock
            } else {
                side.before_passed
            };
            if let Some(lag) = side.record_renewal(now, renewed_at, self.timing.orphan_timeout) {
                admitted = true;
                if lag > LATE_RENEWAL {
                    let name = side.name.clone();
                    let side = key;
                    self.events.push(Event::RenewalLate { name, side, lag });
                }
            }
            let echo = Echo {
                clock: status.clock,
                renewed_at,
                acknowledged: side.last_end,
                report_interval_ms,
                availability: self.rules.availability(now, &side.domain),
            };
            frames.push((key, Frame::Echo(echo)));
        }
        self.actions.extend(frames.into_iter().map(Action::Send));
        if admitted {
            self.placement.request_round();
        }
    }

    fn send(&mut self, to: Incarnation, frame: Frame) {
        self.actions.push(Action::Send((to, frame)));
    }

    fn answer(&mut self, customer: u64, answer: Answer) {
        let action = self.answer_action(customer, answer);
        self.actions.extend(action);
    }
}
