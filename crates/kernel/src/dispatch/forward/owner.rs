//! The owner: takes over the jobs of forwarders, and drops them without recent contact.

use super::{Forwarding, Output, to_u32};
use crate::{
    dispatch::{Answer, Event},
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Forward, Withdraw},
};

/// Customer numbers from here on stand for forwarded jobs at their owner. The
/// numbers of an entry's own customers count from 0.
pub(super) const FIRST_TAKEN: u64 = 1 << 63;

impl Forwarding {
    /// Takes a job over, unless the frame is too old, and returns the customer number
    /// that stands for it. A job that is `known` here is not started by the frame, so
    /// its age does not matter.
    pub(in crate::dispatch) fn accept(
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
    pub(in crate::dispatch) fn is_taken(customer: u64) -> bool {
        customer >= FIRST_TAKEN
    }

    /// Removes a job that is answered; returns its sender and call, or `None` if it
    /// was dropped.
    pub(in crate::dispatch) fn finish(&mut self, customer: u64) -> Option<(Incarnation, u64)> {
        let key = self.takers.remove(&customer)?;
        self.taken.remove(&key);
        if let Some(peer) = self.peers.get_mut(&key.0) {
            peer.taken = peer.taken.saturating_sub(1);
        }
        Some(key)
    }

    /// Handles the withdrawal of a job.
    pub(in crate::dispatch) fn record_withdrawal(&mut self, from: Incarnation, withdraw: Withdraw) {
        if let Some((job, customer)) = self.taken.get(&(from, withdraw.call)).copied() {
            self.finish(customer);
            self.outputs.push(Output::Drop { job, customer });
        }
    }

    /// Drops the jobs of forwarders without recent contact. Must run before any other
    /// work at `now`: after a pause, no task of these jobs may start.
    pub(in crate::dispatch) fn expire_forwarders(&mut self, now: Duration) {
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
    pub(super) fn lose_forwarder(&mut self, now: Duration, entry: Incarnation, connected: bool) {
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
