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
//!   since the clock is the owner's and includes suspension.
//! - A job is taken over only if it names a recent value of the owner's clock, so a
//!   delayed job does not start after its forwarder has given it up.
//! - The forwarder reports a job as not run only if its owner has refused it. If the
//!   owner is lost, the outcome is unknown.

use super::{Answer, Event, Reason};
use crate::{
    guard::Timing,
    millis,
    mutation::{Mutant, is_seeded},
    neighbourhood,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};
use wire::{
    Payload,
    codec::MAX_FRAME_BYTES,
    frame::{Endpoint, Hello},
    id::Incarnation,
    lease::{Forward, Forwarded, Frame, Heartbeat, Pulse, Reply, Withdraw},
};

/// Customer numbers from here on stand for forwarded jobs at their owner. The
/// numbers of an entry's own customers count from 0.
const FIRST_TAKEN: u64 = 1 << 63;

/// Interval between pulses on a connection with forwarded jobs: a fifth of the
/// time after which the owner drops them.
const PULSE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a job waits for a peer that is connected and has not been heard
/// from recently. Where this process or the peer lacks processor, frames are
/// handled late.
const MAX_HOLD: Duration = Duration::from_millis(150);

/// Time after the customer's patience at which the forwarder stops waiting for an
/// owner that is alive. The owner answers by then; this bounds the wait if a fault
/// there has lost the job.
const REPLY_GRACE: Duration = Duration::from_secs(1);

/// Largest relative rate at which the clocks of two processes drift apart.
const MAX_CLOCK_DRIFT: f64 = 1e-3;

/// Least pause before a customer submits a job again that this entry has not
/// forwarded.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest body that is forwarded: half of the largest frame, since one frame that
/// is too large closes the connection with all its forwards.
const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES / 2;

/// Ratio of the costs of two peers above which they count as equal.
const NEAR_TIE: f64 = 0.8;

/// Cost of a millisecond of a peer's lateness. A job open for each core of a peer
/// costs 1, so 20 ms count as much as one job for each core.
const LATENESS_COST: f64 = 0.05;

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

/// A forwarded job that has no reply yet.
#[derive(Debug)]
struct Open {
    customers: Vec<u64>,
    peer: Incarnation,
    request: Request,
    /// Whether another peer has refused it.
    is_retry: bool,
}

/// A job that waits for a usable peer.
#[derive(Debug)]
struct Held {
    customer: u64,
    request: Request,
    until: Duration,
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

    /// Records that a heartbeat, which does the work of a pulse, was sent.
    pub(super) fn record_heartbeat_sent(&mut self, now: Duration, to: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.last_pulse_at = now;
        }
    }

    // The forwarder's part.

    /// Forwards a customer's request, or holds it until it can be forwarded. Returns
    /// the request if this entry must serve it. `serves` states whether it can.
    pub(super) fn forward(
        &mut self,
        now: Duration,
        customer: u64,
        request: Request,
        serves: bool,
    ) -> Option<Request> {
        // A job that is open at its owner must not run at another one as well.
        if let Some(open) = self.find_open(request.job) {
            open.customers.push(customer);
            return None;
        }
        if !self.may_forward(now) || request.body.as_bytes().len() > MAX_BODY_BYTES {
            return Some(request);
        }
        if let Some(peer) = self.choose(now, None) {
            self.send_forward(now, peer, vec![customer], request, false);
            return None;
        }
        let until = if self.is_starting(now) {
            self.startup_ends
        } else {
            now + MAX_HOLD
        };
        let expects_peer = self.is_starting(now) || self.has_owner();
        if serves || !expects_peer {
            return Some(request);
        }
        self.held.push(Held {
            customer,
            request,
            until,
        });
        None
    }

    fn find_open(&mut self, job: u64) -> Option<&mut Open> {
        let call = self.calls.get(&job)?;
        self.open.get_mut(call)
    }

    fn send_forward(
        &mut self,
        now: Duration,
        to: Incarnation,
        customers: Vec<u64>,
        request: Request,
        is_retry: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        if peer.open == 0 {
            peer.open_since = now;
            peer.is_suspect = false;
        }
        peer.open += 1;
        self.next_call += 1;
        let left = |end: Duration| to_u32(millis(end.saturating_sub(now)));
        let forward = Forward {
            call: self.next_call,
            clock: peer.clock,
            job: request.job,
            host: request.host.clone(),
            path: request.path.clone(),
            patience_ms: millis(request.patience),
            waited_ms: to_u32(millis(now.saturating_sub(request.arrived))),
            exit_ms: self.exit_at.map(left),
            body: request.body.clone(),
        };
        self.calls.insert(request.job, self.next_call);
        let event = Event::JobForwarded {
            job: request.job,
            peer: to,
        };
        let open = Open {
            customers,
            peer: to,
            request,
            is_retry,
        };
        self.open.insert(self.next_call, open);
        self.outputs.push(Output::Event(event));
        self.outputs.push(Output::Send(to, Frame::Forward(forward)));
    }

    /// Removes an open job.
    fn close(&mut self, call: u64) -> Option<Open> {
        let open = self.open.remove(&call)?;
        self.calls.remove(&open.request.job);
        if let Some(peer) = self.peers.get_mut(&open.peer) {
            peer.open = peer.open.saturating_sub(1);
        }
        Some(open)
    }

    /// Handles the owner's reply.
    pub(super) fn record_reply(&mut self, now: Duration, from: Incarnation, forwarded: Forwarded) {
        let known = self.open.get(&forwarded.call);
        if known.is_none_or(|open| open.peer != from) {
            log::debug!("event=reply_ignored peer={from} call={}", forwarded.call);
            return;
        }
        let Some(open) = self.close(forwarded.call) else {
            return;
        };
        let may_retry = forwarded.reply.elsewhere && !open.is_retry && self.exit_at.is_none();
        if may_retry && let Some(other) = self.choose(now, Some(from)) {
            self.send_forward(now, other, open.customers, open.request, true);
            return;
        }
        let (last, others) = match open.customers.split_last() {
            Some((last, others)) => (*last, others),
            None => return,
        };
        for customer in others {
            let reply = forwarded.reply.clone();
            self.outputs.push(Output::Respond(*customer, reply));
        }
        self.outputs.push(Output::Respond(last, forwarded.reply));
    }

    /// Records that a customer has disconnected.
    pub(super) fn remove_customer(&mut self, job: u64, customer: u64) {
        self.held.retain(|held| held.customer != customer);
        let Some(call) = self.calls.get(&job).copied() else {
            return;
        };
        let Some(open) = self.open.get_mut(&call) else {
            return;
        };
        open.customers.retain(|other| *other != customer);
        if open.customers.is_empty() {
            self.withdraw_open(call);
        }
    }

    /// Stops waiting for a job's reply and tells its owner.
    fn withdraw_open(&mut self, call: u64) -> Option<Open> {
        let open = self.close(call)?;
        let withdraw = Frame::Withdraw(Withdraw { call });
        self.outputs.push(Output::Send(open.peer, withdraw));
        Some(open)
    }

    /// Tells the customers of all jobs open at a peer that the outcome is unknown.
    fn lose_owner(&mut self, now: Duration, peer: Incarnation) {
        if self.peers.get(&peer).is_none_or(|state| state.open == 0) {
            return;
        }
        let calls: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.peer == peer)
            .map(|(call, _)| *call)
            .collect();
        for call in calls {
            // After mere silence the peer may still get the withdrawal.
            let Some(open) = self.withdraw_open(call) else {
                continue;
            };
            if is_seeded(Mutant::ForwardedTwice)
                && let Some(other) = self.choose(now, Some(peer))
            {
                self.send_forward(now, other, open.customers, open.request, true);
                continue;
            }
            self.report_unknown(now, open);
        }
    }

    fn report_unknown(&mut self, now: Duration, open: Open) {
        self.outputs.push(Output::Event(Event::ForwardLost {
            job: open.request.job,
            peer: open.peer,
            age: now.saturating_sub(open.request.arrived),
        }));
        for customer in open.customers {
            let answer = Output::Answer(customer, Answer::Unknown);
            self.outputs.push(answer);
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

    /// Gives up the jobs of owners that are silent, or that do not receive this
    /// entry's frames. Silence must be seen by two ticks in a row: after a pause of
    /// this process, the frames that arrived meanwhile are handled between them. To
    /// report an outcome as unknown late is safe, since the customer resubmits after
    /// that.
    fn expire_owners(&mut self, now: Duration) {
        let timeout = self.timing.forward_timeout();
        let mut lost = Vec::new();
        for (entry, peer) in &mut self.peers {
            let silent = now.saturating_sub(peer.last_received) > timeout;
            // Twice as long, since it includes the peer's and this entry's own
            // intervals and delays in both directions.
            let unechoed = now.saturating_sub(peer.echoed.max(peer.open_since)) > timeout * 2;
            let is_suspect = peer.open > 0 && (silent || unechoed);
            if std::mem::replace(&mut peer.is_suspect, is_suspect) && is_suspect {
                lost.push(*entry);
            }
        }
        for entry in lost {
            self.lose_owner(now, entry);
        }
    }

    /// Gives up jobs whose customers no longer wait.
    fn expire_open(&mut self, now: Duration) {
        let overdue: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now >= open.request.arrived + open.request.patience + REPLY_GRACE)
            .map(|(call, _)| *call)
            .collect();
        for call in overdue {
            if let Some(open) = self.withdraw_open(call) {
                self.report_unknown(now, open);
            }
        }
    }

    /// Forwards held jobs if a peer is usable, and has this entry serve those that it
    /// can serve or that have waited long enough.
    fn release_held(&mut self, now: Duration, serves: bool) {
        for held in std::mem::take(&mut self.held) {
            let Held {
                customer,
                request,
                until,
            } = held;
            let expired = now >= until || self.exit_at.is_some() || !self.may_forward(now);
            match self.forward(now, customer, request, serves || expired) {
                Some(request) => self.outputs.push(Output::Serve(customer, request)),
                // A job that is held again keeps its limit.
                None => {
                    if let Some(again) = self.held.last_mut()
                        && again.customer == customer
                    {
                        again.until = until;
                    }
                }
            }
        }
    }

    /// Answers the customers of all forwarded jobs, since this entry exits.
    pub(super) fn give_up_all(&mut self, now: Duration) {
        let calls: Vec<u64> = self.open.keys().copied().collect();
        for call in calls {
            if let Some(open) = self.withdraw_open(call) {
                self.report_unknown(now, open);
            }
        }
        for held in std::mem::take(&mut self.held) {
            let answer = Answer::Refused {
                reason: Reason::Leaving,
                retry_after: RETRY_AFTER,
            };
            self.outputs.push(Output::Answer(held.customer, answer));
        }
    }

    /// Chooses the peer for a job: draws two, weighted by processor, and takes the
    /// one with the lower cost.
    fn choose(&mut self, now: Duration, except: Option<Incarnation>) -> Option<Incarnation> {
        if !self.is_weak {
            return None;
        }
        // Leaves a quarter of the owner's limit for the transit and the next pulses.
        let max_age = self.timing.forward_timeout() * 3 / 4;
        let mut usable: Vec<(Incarnation, u32)> = self
            .peers
            .iter()
            .filter(|(entry, peer)| peer.may_own() && Some(**entry) != except)
            .filter(|(_, peer)| now.saturating_sub(peer.clock_at) <= max_age)
            .map(|(entry, peer)| (*entry, peer.processor))
            .collect();
        let strongest = usable.iter().map(|(_, processor)| *processor).max()?;
        for (_, processor) in &mut usable {
            if *processor == 0 {
                *processor = strongest.max(1);
            }
        }
        let first = self.draw(&mut usable)?;
        let Some(second) = self.draw(&mut usable) else {
            return Some(first.0);
        };
        let cost = |(entry, processor): (Incarnation, u32)| {
            self.peers
                .get(&entry)
                .map_or(f64::INFINITY, |peer| peer.cost(processor))
        };
        let (costs, near) = ((cost(first), cost(second)), |entry: Incarnation| {
            self.peers
                .get(&entry)
                .is_some_and(|peer| peer.domain == self.domain)
        });
        let is_tie = costs.0.min(costs.1) >= costs.0.max(costs.1) * NEAR_TIE;
        let takes_second = match (is_tie, near(first.0), near(second.0)) {
            (true, true, false) => false,
            (true, false, true) => true,
            _ => costs.1 < costs.0,
        };
        Some(if takes_second { second.0 } else { first.0 })
    }

    /// Removes a random candidate, with a probability in proportion to its processor.
    fn draw(&mut self, candidates: &mut Vec<(Incarnation, u32)>) -> Option<(Incarnation, u32)> {
        let total: u64 = candidates
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut at = self.random.random_range(0..total);
        let index = candidates.iter().position(|(_, weight)| {
            let found = at < u64::from(*weight);
            at = at.saturating_sub(u64::from(*weight));
            found
        })?;
        Some(candidates.swap_remove(index))
    }

    // The owner's part.

    /// Takes a job over, unless the frame is too old, and returns the customer number
    /// that stands for it. A job that is `known` here is not started by the frame, so
    /// its age does not matter.
    pub(super) fn accept(
        &mut self,
        now: Duration,
        from: Incarnation,
        forward: &Forward,
        known: bool,
    ) -> Option<u64> {
        let clock = Duration::from_millis(forward.clock);
        let peer = self.peers.get_mut(&from)?;
        let is_fresh = clock <= now && now.saturating_sub(clock) <= self.timing.max_forward_age();
        if !is_fresh && !known && !is_seeded(Mutant::StaleForward) {
            return None;
        }
        if clock <= now {
            peer.echoed = peer.echoed.max(clock);
        }
        peer.taken += 1;
        let expiry = peer.echoed + self.timing.forward_timeout();
        self.next_expiry = self.next_expiry.min(expiry);
        // The forwarder may not have echoed anything for a heartbeat's interval.
        if let Some(pulse) = peer.due_pulse(now) {
            self.outputs.push(Output::Send(from, pulse));
        }
        let customer = self.next_taken;
        self.next_taken += 1;
        let key = (from, forward.call);
        if let Some((_, earlier)) = self.taken.insert(key, (forward.job, customer)) {
            // A sender does not use a number twice; the later job replaces the other.
            self.takers.remove(&earlier);
        }
        self.takers.insert(customer, key);
        self.outputs.push(Output::Event(Event::JobTakenOver {
            job: forward.job,
            from,
        }));
        Some(customer)
    }

    /// Returns whether a customer number stands for a job that was taken over.
    pub(super) fn is_taken(customer: u64) -> bool {
        customer >= FIRST_TAKEN
    }

    /// Removes a job that is answered; returns its sender and call, or `None` if it
    /// was dropped.
    pub(super) fn finish(&mut self, customer: u64) -> Option<(Incarnation, u64)> {
        let key = self.takers.remove(&customer)?;
        self.taken.remove(&key);
        if let Some(peer) = self.peers.get_mut(&key.0) {
            peer.taken = peer.taken.saturating_sub(1);
        }
        Some(key)
    }

    /// Handles the withdrawal of a job.
    pub(super) fn record_withdrawal(&mut self, from: Incarnation, withdraw: Withdraw) {
        if let Some((job, customer)) = self.taken.get(&(from, withdraw.call)).copied() {
            self.finish(customer);
            self.outputs.push(Output::Drop { job, customer });
        }
    }

    /// Drops the jobs of forwarders without recent contact. Must run before any other
    /// work at `now`: after a pause, no task of these jobs may start.
    pub(super) fn expire_forwarders(&mut self, now: Duration) {
        if now <= self.next_expiry || is_seeded(Mutant::KeptForward) {
            return;
        }
        let timeout = self.timing.forward_timeout();
        let lost: Vec<Incarnation> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.taken > 0 && now > peer.echoed + timeout)
            .map(|(entry, _)| *entry)
            .collect();
        for entry in lost {
            self.lose_forwarder(now, entry, true);
        }
        let contacts = self.peers.values().filter(|peer| peer.taken > 0);
        let earliest = contacts.map(|peer| peer.echoed).min();
        self.next_expiry = earliest.map_or(Duration::MAX, |echoed| echoed + timeout);
    }

    /// Drops a forwarder's jobs. Where the connection stands it may lead in one
    /// direction only; the forwarder gets a reply then.
    fn lose_forwarder(&mut self, now: Duration, entry: Incarnation, connected: bool) {
        if is_seeded(Mutant::KeptForward) {
            return;
        }
        let Some(peer) = self.peers.get(&entry).filter(|peer| peer.taken > 0) else {
            return;
        };
        let silent = now.saturating_sub(peer.echoed);
        let jobs: Vec<(u64, (u64, u64))> = self
            .taken
            .range((entry, 0)..=(entry, u64::MAX))
            .map(|((_, call), job)| (*call, *job))
            .collect();
        self.outputs.push(Output::Event(Event::ForwarderLost {
            peer: entry,
            jobs: to_u32(jobs.len() as u64),
            silent,
        }));
        for (call, (job, customer)) in jobs {
            self.finish(customer);
            self.outputs.push(Output::Drop { job, customer });
            if connected {
                let answer = Answer::Unknown;
                self.outputs.push(Output::Reply {
                    to: entry,
                    call,
                    answer,
                });
            }
        }
    }
}

impl Peer {
    /// Returns whether jobs may be forwarded to it once it is heard from.
    fn may_own(&self) -> bool {
        !self.is_weak && self.is_available
    }

    /// Returns the cost of forwarding a job to it. A peer with a late event loop
    /// counts as if it had more jobs.
    fn cost(&self, processor: u32) -> f64 {
        let jobs = f64::from(to_u32(self.open as u64 + 1));
        jobs * 1_000.0 / f64::from(processor.max(1)) + f64::from(self.lateness_ms) * LATENESS_COST
    }

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

    /// Returns a pulse if one is due.
    fn due_pulse(&mut self, now: Duration) -> Option<Frame> {
        let is_due = now.saturating_sub(self.last_pulse_at) >= PULSE_INTERVAL;
        if self.open + self.taken == 0 || !is_due {
            return None;
        }
        self.last_pulse_at = now;
        Some(Frame::Pulse(Pulse {
            clock: millis(now),
            echo: self.clock,
        }))
    }
}

fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
