//! Forwarding: an entry with little processor passes its customers' jobs to a
//! stronger entry, which owns them, and sends the replies to the customers.
//!
//! [`Forwarding`] is the state machine of both ends, without I/O. An entry is the
//! *forwarder* of the jobs that it passes on, and the *owner* of those that it takes
//! over. A job is forwarded once.
//!
//! A job must not run at two owners. A customer submits a job again, possibly
//! elsewhere, [`Timing::resubmit_after`] after its connection broke or after a reply
//! that leaves the outcome unknown. By then the former owner's runs have ended:
//!
//! - The owner drops a forwarder's jobs when their connection is lost, or when the
//!   latest value of its own clock that the forwarder has echoed is older than
//!   [`Timing::forward_timeout`]. A delayed frame or a paused process renews nothing,
//!   since the clock is the owner's and includes suspension. The forwarder names a clock
//!   that is older than every departure that it may not know of ([`super::barrier`]).
//! - A job is taken over only if it names a recent value of the owner's clock, so a
//!   delayed job does not start after its forwarder has given it up.
//! - The forwarder reports a job as not run only if its owner has refused it. If the
//!   owner is lost, the outcome is unknown.

mod forwarder;
mod owner;

use super::{Answer, Event};
use crate::{
    guard::Timing,
    millis,
    mutation::{Mutant, is_seeded},
    neighbourhood,
};
use forwarder::{Held, Open};
use owner::FIRST_TAKEN;
use rand::{SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};
use wire::{
    Payload,
    frame::{Endpoint, Hello},
    id::Incarnation,
    lease::{Frame, Heartbeat, Pulse, Reply},
};

/// Interval between pulses on a connection with forwarded jobs: a fifth of the
/// time after which the owner drops them.
const PULSE_INTERVAL: Duration = Duration::from_millis(100);

/// Largest relative rate at which the clocks of two processes drift apart.
const MAX_CLOCK_DRIFT: f64 = 1e-3;

/// A customer's submission whose body has not been parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the job.
    pub job: u64,
    /// Host name that the request names.
    pub host: String,
    /// Path of the request, with the job's identifier.
    pub path: String,
    /// Time that the customer waits for the answer.
    pub patience: Duration,
    /// When the request arrived.
    pub arrived: Duration,
    /// Body of the request.
    pub body: Payload,
}

/// An effect that the dispatcher carries out.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Output {
    Send(Incarnation, Frame),
    /// Answer a customer of this entry.
    Answer(u64, Answer),
    /// Send the owner's reply to a customer of this entry.
    Respond(u64, Reply),
    /// Serve a customer's request at this entry.
    Serve(u64, Request),
    /// The customer of a job that was taken over has gone.
    Drop {
        job: u64,
        customer: u64,
    },
    /// Answer a job that was taken over.
    Reply {
        to: Incarnation,
        call: u64,
        answer: Answer,
    },
    Event(Event),
}

/// A connected entry.
#[derive(Debug)]
struct Peer {
    name: String,
    domain: String,
    /// Processor in thousandths of a core; 0 if it is unknown.
    processor: u32,
    is_weak: bool,
    /// Its clock in its last heartbeat or pulse, in milliseconds.
    clock: u64,
    /// When it sent that, on this entry's clock, as estimated from the least
    /// difference of both clocks: frames that waited while this process had no
    /// processor carry old clocks.
    clock_at: Duration,
    /// The same before the last barrier was sent, and before the last that has passed.
    before_sent: (u64, Duration),
    before_passed: (u64, Duration),
    /// That difference, in milliseconds.
    offset: f64,
    /// When it was last updated.
    offset_at: Duration,
    /// When its last frame arrived.
    last_received: Duration,
    /// Latest value of this entry's clock that it has echoed.
    echoed: Duration,
    last_pulse_at: Duration,
    /// Whether it has rules and shares of hosts, and is not shutting down.
    is_available: bool,
    /// How late its event loop runs, in milliseconds.
    lateness_ms: u32,
    /// Number of jobs forwarded to it that are open.
    open: usize,
    /// Since when there are any.
    open_since: Duration,
    /// Whether it was too silent at the last tick.
    is_suspect: bool,
    /// Number of its jobs that this entry owns.
    taken: usize,
}

/// State of forwarding, at both ends.
#[derive(Debug)]
pub(super) struct Forwarding {
    timing: Timing,
    domain: String,
    random: SmallRng,
    name: String,
    /// Own processor in thousandths of a core; 0 if it is unknown.
    processor: u32,
    is_weak: bool,
    /// Whether the list of entries names another one.
    knows_others: bool,
    startup_ends: Duration,
    exit_at: Option<Duration>,
    entries: Vec<Endpoint>,
    peers: BTreeMap<Incarnation, Peer>,
    next_call: u64,
    open: BTreeMap<u64, Open>,
    /// Calls of the open jobs, by job.
    calls: BTreeMap<u64, u64>,
    held: Vec<Held>,
    next_taken: u64,
    /// Jobs of other entries, with their customer numbers, by sender and call.
    taken: BTreeMap<(Incarnation, u64), (u64, u64)>,
    /// Senders and calls, by customer number.
    takers: BTreeMap<u64, (Incarnation, u64)>,
    /// Time before which no contact with a forwarder has expired.
    next_expiry: Duration,
    outputs: Vec<Output>,
}

impl Forwarding {
    /// Makes the state of an entry that forwards nothing and knows no peers. Jobs may
    /// wait for peers until `startup_ends`.
    pub(super) fn new(timing: Timing, domain: &str, startup_ends: Duration, seed: u64) -> Self {
        Self {
            timing,
            domain: domain.to_owned(),
            random: SmallRng::seed_from_u64(!seed),
            name: String::new(),
            processor: 0,
            is_weak: false,
            knows_others: false,
            startup_ends,
            exit_at: None,
            entries: Vec::new(),
            peers: BTreeMap::new(),
            next_call: 0,
            open: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: Vec::new(),
            next_taken: FIRST_TAKEN,
            taken: BTreeMap::new(),
            takers: BTreeMap::new(),
            next_expiry: Duration::MAX,
            outputs: Vec::new(),
        }
    }

    /// Sets this entry's name and its processor in thousandths of a core.
    pub(super) fn set_processor(&mut self, name: &str, processor: u32) {
        name.clone_into(&mut self.name);
        self.processor = processor;
        self.rate_entries();
    }

    /// Sets the list of entries.
    pub(super) fn set_entries(&mut self, entries: &[Endpoint]) {
        entries.clone_into(&mut self.entries);
        self.rate_entries();
    }

    /// Determines which entries are weak.
    fn rate_entries(&mut self) {
        let weak = neighbourhood::weak(&self.entries);
        self.is_weak = self.processor > 0 && weak.contains(self.name.as_str());
        self.knows_others = self.entries.iter().any(|entry| entry.name != self.name);
        for peer in self.peers.values_mut() {
            peer.is_weak = weak.contains(peer.name.as_str());
        }
    }

    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether this entry passes its jobs to others.
    pub(super) fn is_weak(&self) -> bool {
        self.is_weak
    }

    /// Returns whether requests should be passed to [`Forwarding::forward`] before
    /// their bodies are parsed.
    pub(super) fn wants_requests(&self, now: Duration) -> bool {
        self.may_forward(now) || !self.open.is_empty()
    }

    /// Returns whether this entry is weak, or may turn out to be once it knows the
    /// other entries.
    fn may_forward(&self, now: Duration) -> bool {
        self.is_weak || (self.processor > 0 && !self.knows_others && self.is_starting(now))
    }

    fn is_starting(&self, now: Duration) -> bool {
        now < self.startup_ends && self.exit_at.is_none()
    }

    /// Returns whether a peer is connected to which this entry forwards jobs. Unlike
    /// [`Forwarding::choose`] this does not depend on when it was last heard from,
    /// so that the entry's readiness does not change with every late frame.
    pub(super) fn has_owner(&self) -> bool {
        self.is_weak && self.peers.values().any(Peer::may_own)
    }

    /// Returns the number of jobs that wait for a reply or for a peer.
    pub(super) fn open_forwards(&self) -> usize {
        self.open.len() + self.held.len()
    }

    /// Starts the shutdown: `end` is the time of this entry's exit.
    pub(super) fn leave(&mut self, end: Duration) {
        self.exit_at = Some(end);
    }

    // Connections.

    /// Records a new connection to another entry.
    pub(super) fn join(&mut self, now: Duration, hello: &Hello) {
        self.lose(now, hello.incarnation);
        let weak = neighbourhood::weak(&self.entries);
        let peer = Peer {
            name: hello.name.clone(),
            domain: hello.domain.clone(),
            processor: hello.processor,
            is_weak: weak.contains(hello.name.as_str()),
            clock: 0,
            clock_at: Duration::ZERO,
            before_sent: (0, Duration::ZERO),
            before_passed: (0, Duration::ZERO),
            offset: f64::INFINITY,
            offset_at: now,
            last_received: now,
            echoed: Duration::ZERO,
            last_pulse_at: Duration::ZERO,
            is_available: false,
            lateness_ms: 0,
            open: 0,
            open_since: Duration::ZERO,
            is_suspect: false,
            taken: 0,
        };
        self.peers.insert(hello.incarnation, peer);
    }

    /// Records that the connection to another entry is lost, or was replaced: frames
    /// on it may be lost.
    pub(super) fn lose(&mut self, now: Duration, entry: Incarnation) {
        self.lose_owner(now, entry);
        self.lose_forwarder(now, entry, false);
        self.peers.remove(&entry);
    }

    /// Records that a frame arrived from another entry.
    pub(super) fn hear(&mut self, now: Duration, from: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.last_received = now;
            peer.is_suspect = false;
        }
    }

    pub(super) fn record_heartbeat(
        &mut self,
        now: Duration,
        from: Incarnation,
        heartbeat: &Heartbeat,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            let mut shares = heartbeat.shares.iter();
            let serves = heartbeat.revision > 0 && shares.any(|(_, share)| share.total > 0);
            peer.is_available = serves && !heartbeat.leaving;
            peer.lateness_ms = heartbeat.lateness;
            peer.record_clocks(now, from, heartbeat.clock, heartbeat.echo);
        }
    }

    pub(super) fn record_pulse(&mut self, now: Duration, from: Incarnation, pulse: Pulse) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.record_clocks(now, from, pulse.clock, pulse.echo);
            if let Some(pulse) = peer.due_pulse(now) {
                self.outputs.push(Output::Send(from, pulse));
            }
        }
    }

    /// Records that a barrier is sent. Returns false if no other entry has sent its clock
    /// since the last one.
    pub(super) fn send_barrier(&mut self) -> bool {
        let mut has_changed = false;
        for peer in self.peers.values_mut() {
            let clock = (peer.clock, peer.clock_at);
            has_changed |= std::mem::replace(&mut peer.before_sent, clock) != clock;
        }
        has_changed
    }

    /// Records that the barrier that was sent last has passed.
    pub(super) fn pass_barrier(&mut self) {
        for peer in self.peers.values_mut() {
            peer.before_passed = peer.before_passed.max(peer.before_sent);
        }
    }

    /// Returns the clock of another entry to echo to it, in milliseconds.
    pub(super) fn echo(&self, to: Incarnation) -> u64 {
        self.peers.get(&to).map_or(0, |peer| peer.read_clock().0)
    }

    /// Records that a heartbeat, which does the work of a pulse, was sent.
    pub(super) fn record_heartbeat_sent(&mut self, now: Duration, to: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.last_pulse_at = now;
        }
    }

    /// Does the periodic work. `serves` states whether this entry can serve jobs.
    pub(super) fn tick(&mut self, now: Duration, serves: bool) {
        self.expire_forwarders(now);
        self.expire_owners(now);
        self.expire_open(now);
        self.release_held(now, serves);
        for (entry, peer) in &mut self.peers {
            if let Some(pulse) = peer.due_pulse(now) {
                self.outputs.push(Output::Send(*entry, pulse));
            }
        }
    }
}

impl Peer {
    /// Records its clock, and the value of this entry's clock that it echoes.
    fn record_clocks(&mut self, now: Duration, from: Incarnation, clock: u64, echo: u64) {
        if clock > self.clock {
            self.clock = clock;
            self.clock_at = now.saturating_sub(self.estimate_age(now, clock));
        }
        let echoed = Duration::from_millis(echo);
        if echoed > now {
            log::warn!(
                "event=echo_invalid peer={from} echo={echo} clock={}",
                millis(now)
            );
            return;
        }
        self.echoed = self.echoed.max(echoed);
    }

    /// Estimates how long ago the peer sent its clock.
    #[expect(
        clippy::cast_precision_loss,
        reason = "times since the epoch stay far below 2^52 milliseconds"
    )]
    fn estimate_age(&mut self, now: Duration, clock: u64) -> Duration {
        let difference = now.as_secs_f64() * 1e3 - clock as f64;
        let passed = now.saturating_sub(self.offset_at).as_secs_f64() * 1e3;
        self.offset = difference.min(self.offset + passed * MAX_CLOCK_DRIFT);
        self.offset_at = now;
        Duration::try_from_secs_f64((difference - self.offset) / 1e3).unwrap_or_default()
    }

    /// Returns its latest clock, in milliseconds, and when it sent that, before which no
    /// customer has left whose departure this entry may not know of.
    fn read_clock(&self) -> (u64, Duration) {
        if is_seeded(Mutant::UnreadForward) {
            (self.clock, self.clock_at)
        } else {
            self.before_passed
        }
    }

    /// Returns a pulse if one is due.
    fn due_pulse(&mut self, now: Duration) -> Option<Frame> {
        let is_due = now.saturating_sub(self.last_pulse_at) >= PULSE_INTERVAL;
        if self.open + self.taken == 0 || !is_due {
            return None;
        }
        self.last_pulse_at = now;
        Some(Frame::Pulse(Pulse {
            clock: millis(now),
            echo: self.read_clock().0,
        }))
    }
}

fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
