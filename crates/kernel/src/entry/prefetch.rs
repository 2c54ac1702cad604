//! Selection of a home for new jobs, and tickets prefetched from it.
//!
//! Entries that place tasks on the same sides learn of each other's tasks only
//! from delayed load reports. New jobs therefore have few homes: one entry for
//! every [`SIDES_PER_HOME`] sides. Each entry sorts the entries that it is
//! connected to by a hash of their names and takes the first ones. Entries may
//! select different homes; any entry can be a home, so this affects latency,
//! not correctness. Tickets are fetched in batches in advance, so that no job
//! waits for one.

use super::Entry;
use crate::{TICKET_LIFETIME, work::Customer};
use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use wire::{
    Frame,
    frame::{Answer, Forward, Reply, Request},
    id::{Incarnation, Job},
};

/// Number of sides above which a second home is used.
const SIDES_PER_HOME: usize = 256;

/// Number of tickets requested at a time.
const BATCH_TICKETS: u16 = 256;

/// Number of remaining tickets below which more are requested.
const REFILL_TICKETS: usize = 128;

/// Tickets issued by another entry that no job uses yet.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    jobs: VecDeque<Job>,
    requested: bool,
}

impl Buffer {
    /// Removes a ticket of `home` with at least half of its lifetime left.
    fn take(&mut self, home: Incarnation, now: Duration) -> Option<Job> {
        let min_expiry = (now + TICKET_LIFETIME / 2).as_secs();
        while let Some(job) = self.jobs.pop_front() {
            if job.home == home && job.expires > min_expiry {
                return Some(job);
            }
        }
        None
    }
}

impl Entry {
    /// Returns a ticket for a new job whose home is the preferred entry, or this
    /// one if no ticket of the preferred entry is available.
    pub fn ticket(&mut self, now: Duration) -> Job {
        let home = self.preferred_home();
        if home == self.identity.incarnation {
            return self.mint(now);
        }
        let ticket = self.prefetched.take(home, now);
        if self.prefetched.jobs.len() < REFILL_TICKETS && !self.prefetched.requested {
            self.prefetched.requested = true;
            self.request_tickets(home);
        }
        ticket.unwrap_or_else(|| self.mint(now))
    }

    /// Issues a ticket whose home is this entry.
    pub fn mint(&mut self, now: Duration) -> Job {
        self.next_ticket += 1;
        Job {
            home: self.identity.incarnation,
            sequence: self.next_ticket,
            expires: (now + TICKET_LIFETIME).as_secs(),
        }
    }

    fn preferred_home(&self) -> Incarnation {
        let own = (self.identity.name.as_str(), self.identity.incarnation);
        let peers = self.peers.iter().filter(|(_, peer)| !peer.leaving);
        let mut entries: Vec<(u64, Incarnation)> = peers
            .map(|(incarnation, peer)| (peer.name.as_str(), *incarnation))
            .chain((!self.leaving).then_some(own))
            .map(|(name, incarnation)| (name_hash(name), incarnation))
            .collect();
        entries.sort_unstable();
        let homes = self
            .fleet
            .len()
            .div_ceil(SIDES_PER_HOME)
            .clamp(1, entries.len().max(1));
        entries.truncate(homes);
        let is_home = entries.iter().any(|(_, entry)| *entry == own.1);
        if is_home || entries.is_empty() {
            return own.1;
        }
        let choice = usize::try_from(name_hash(own.0) % homes as u64).unwrap_or(0);
        entries[choice].1
    }

    fn request_tickets(&mut self, home: Incarnation) {
        let job = Job {
            home,
            sequence: 0,
            expires: 0,
        };
        self.call(Customer::Prefetch, job, Request::Issue(BATCH_TICKETS));
    }

    /// Issues `count` tickets to another entry; none while this one is leaving.
    pub(super) fn issue(&mut self, now: Duration, to: Incarnation, forward: &Forward, count: u16) {
        let count = if self.leaving || self.fenced {
            0
        } else {
            count
        };
        let answer = Answer::Tickets((0..count).map(|_| self.mint(now)).collect());
        let call = forward.call;
        self.send(to, Frame::Reply(Reply { call, answer }));
    }

    /// Stores the tickets of an answer; `None` if the request was lost.
    pub(super) fn refill(&mut self, answer: Option<&Answer>) {
        self.prefetched.requested = false;
        if let Some(Answer::Tickets(jobs)) = answer {
            self.prefetched.jobs.extend(jobs);
        }
    }
}

fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
