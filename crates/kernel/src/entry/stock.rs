//! Tickets of the home that new jobs should have.
//!
//! Entries that compete for the same sides know of each other's tasks only
//! from reports that lag. New jobs therefore get their homes from a few
//! entries: one for every [`SIDES_PER_HOME`] sides. Every entry orders those
//! that it is connected to by a hash of their names and takes the first. Views
//! may differ; any entry may be a home, so that costs time but breaks nothing.
//! Tickets are fetched in batches ahead of need, so no job waits for one.

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

/// Sides that one home places tasks on before a second one shares the work.
const SIDES_PER_HOME: usize = 256;

/// Tickets fetched at once, and the number at which more are fetched.
const BATCH: u16 = 256;
const LOW: usize = 128;

/// Tickets of another entry.
#[derive(Debug, Default)]
pub(super) struct Stock {
    jobs: VecDeque<Job>,
    asked: bool,
}

impl Stock {
    /// Takes a ticket with at least half its life left.
    fn take(&mut self, home: Incarnation, now: Duration) -> Option<Job> {
        let soon = (now + TICKET_LIFETIME / 2).as_secs();
        while let Some(job) = self.jobs.pop_front() {
            if job.home == home && job.expires > soon {
                return Some(job);
            }
        }
        None
    }
}

impl Entry {
    /// Issues a ticket for a new job, of this entry or of another that should
    /// be its home.
    pub fn ticket(&mut self, now: Duration) -> Job {
        let home = self.preferred_home();
        if home == self.identity.incarnation {
            return self.mint(now);
        }
        let ticket = self.stock.take(home, now);
        if self.stock.jobs.len() < LOW && !self.stock.asked {
            self.stock.asked = true;
            self.ask_tickets(home);
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
            .map(|(name, incarnation)| (score(name), incarnation))
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
        let spread = usize::try_from(score(own.0) % homes as u64).unwrap_or(0);
        entries[spread].1
    }

    fn ask_tickets(&mut self, home: Incarnation) {
        let job = Job {
            home,
            sequence: 0,
            expires: 0,
        };
        self.call(Customer::Stock, job, Request::Issue(BATCH));
    }

    /// Issues tickets to another entry.
    pub(super) fn issue(&mut self, now: Duration, to: Incarnation, forward: &Forward, count: u16) {
        let count = if self.leaving || self.retired {
            0
        } else {
            count
        };
        let answer = Answer::Tickets((0..count).map(|_| self.mint(now)).collect());
        let call = forward.call;
        self.send(to, Frame::Reply(Reply { call, answer }));
    }

    /// Takes the answer to a request for tickets; `None` if it is lost.
    pub(super) fn restock(&mut self, answer: Option<&Answer>) {
        self.stock.asked = false;
        if let Some(Answer::Tickets(jobs)) = answer {
            self.stock.jobs.extend(jobs);
        }
    }
}

fn score(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
