//! The forwarder: passes customers' jobs to their owners, and the replies back.

use super::{Forwarding, Output, Peer, Request, to_u32};
use crate::{
    dispatch::{Answer, Event, Reason},
    millis,
    mutation::{Mutant, is_seeded},
};
use rand::RngExt;
use std::time::Duration;
use wire::{
    codec::MAX_FRAME_BYTES,
    id::Incarnation,
    lease::{Forward, Forwarded, Frame, Withdraw},
};

/// Time for which a job waits for a peer that is connected and has not been heard
/// from recently. Where this process or the peer lacks processor, frames are
/// handled late.
const MAX_HOLD: Duration = Duration::from_millis(150);

/// Time after the customer's patience at which the forwarder stops waiting for an
/// owner that is alive. The owner answers by then; this bounds the wait if a fault
/// there has lost the job.
const REPLY_GRACE: Duration = Duration::from_secs(1);

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

/// A forwarded job that has no reply yet.
#[derive(Debug)]
pub(super) struct Open {
    customers: Vec<u64>,
    peer: Incarnation,
    request: Request,
    /// Whether another peer has refused it.
    is_retry: bool,
}

/// A job that waits for a usable peer.
#[derive(Debug)]
pub(super) struct Held {
    customer: u64,
    request: Request,
    until: Duration,
}

impl Forwarding {
    /// Forwards a customer's request, or holds it until it can be forwarded. Returns
    /// the request if this entry must serve it. `serves` states whether it can.
    pub(in crate::dispatch) fn forward(
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

    /// Removes a job that waits for a peer; returns its customers.
    pub(in crate::dispatch) fn take_held(&mut self, job: u64) -> Vec<u64> {
        self.held
            .extract_if(.., |held| held.request.job == job)
            .map(|held| held.customer)
            .collect()
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
            clock: peer.read_clock().0,
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
    pub(in crate::dispatch) fn record_reply(
        &mut self,
        now: Duration,
        from: Incarnation,
        forwarded: Forwarded,
    ) {
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
    pub(in crate::dispatch) fn remove_customer(&mut self, job: u64, customer: u64) {
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
    pub(super) fn lose_owner(&mut self, now: Duration, peer: Incarnation) {
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

    /// Gives up the jobs of owners that are silent, or that do not receive this
    /// entry's frames. Silence must be seen by two ticks in a row: after a pause of
    /// this process, the frames that arrived meanwhile are handled between them. To
    /// report an outcome as unknown late is safe, since the customer resubmits after
    /// that.
    pub(super) fn expire_owners(&mut self, now: Duration) {
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
    pub(super) fn expire_open(&mut self, now: Duration) {
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
    pub(super) fn release_held(&mut self, now: Duration, serves: bool) {
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
    pub(in crate::dispatch) fn give_up_all(&mut self, now: Duration) {
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
            .filter(|(_, peer)| now.saturating_sub(peer.read_clock().1) <= max_age)
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
}

impl Peer {
    /// Returns whether jobs may be forwarded to it once it is heard from.
    pub(super) fn may_own(&self) -> bool {
        !self.is_weak && self.is_available
    }

    /// Returns the cost of forwarding a job to it. A peer with a late event loop
    /// counts as if it had more jobs.
    fn cost(&self, processor: u32) -> f64 {
        let jobs = f64::from(to_u32(self.open as u64 + 1));
        jobs * 1_000.0 / f64::from(processor.max(1)) + f64::from(self.lateness_ms) * LATENESS_COST
    }
}
