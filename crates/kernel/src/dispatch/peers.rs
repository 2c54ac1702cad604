//! Exchange with other entries: heartbeats, rules and cancellations.

use super::{Answer, Dispatcher, Event, Phase, rules::is_newer};
use crate::millis;
use std::{collections::BTreeMap, time::Duration};
use wire::{
    frame::{Endpoint, Hello},
    id::Incarnation,
    lease::{Cancel, Cancelled, Frame, Heartbeat, Rules, Share},
};

/// Shortest interval at which the sides get the list of entries. When a whole
/// site starts, the list changes with each entry that joins.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between heartbeats to another entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a message after which an entry's connection is replaced.
const MAX_SILENCE: Duration = Duration::from_millis(900);

/// Time for which an entry that has rules waits for newer ones from the store
/// before it requests them from another entry. The store tells all entries of a
/// change at the same time; only those that it does not reach need another's copy.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Time after which requested rules are requested from another entry.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for other entries to reply whether they have a job.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// State of a connected entry.
#[derive(Debug, Default)]
pub(super) struct Peer {
    last_received: Duration,
    last_sent: Duration,
    /// Its clock, in milliseconds, in its last heartbeat; echoed to it.
    clock: u64,
    /// Number of its jobs of which no task has started, by queue name.
    pub(super) pending: BTreeMap<String, u32>,
    /// Work waiting there, in core-milliseconds, by level.
    pub(super) waiting: Vec<(u8, u64)>,
    /// Work arriving there, in core-milliseconds per second, by level.
    pub(super) arriving: Vec<(u8, u64)>,
    /// Its shares of the hosts that it uses, by service.
    pub(super) shares: BTreeMap<String, Share>,
}

/// Requests for newer rules to other entries.
#[derive(Debug, Default)]
pub(super) struct Pull {
    /// When another entry was first seen to have newer rules.
    behind_since: Option<Duration>,
    /// When the last request was sent.
    sent_at: Option<Duration>,
}

/// A customer's cancellation that was sent to the other entries.
#[derive(Debug)]
pub(super) struct Cancellation {
    customer: u64,
    until: Duration,
    replies_due: usize,
}

impl Dispatcher {
    /// Records a new connection to another entry, and requests its rules if this
    /// entry has none.
    pub fn join_entry(&mut self, now: Duration, hello: &Hello) {
        let peer = Peer {
            last_received: now,
            ..Peer::default()
        };
        self.peers.insert(hello.incarnation, peer);
        if self.rules.is_none() {
            self.pull(now, hello.incarnation);
        }
    }

    /// Requests the rules of an entry, unless a request is in progress.
    fn pull(&mut self, now: Duration, from: Incarnation) {
        let sent_at = self.pull.sent_at;
        if sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= PULL_TIMEOUT) {
            self.pull.sent_at = Some(now);
            self.send(from, Frame::Pull);
        }
    }

    /// Records that the connection to another entry is lost.
    pub fn lose_entry(&mut self, entry: Incarnation) {
        self.peers.remove(&entry);
    }

    /// Returns the entries whose connections must be replaced, since no message
    /// has arrived for too long.
    pub fn silent_entries(&self, now: Duration) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.last_received) > MAX_SILENCE)
            .map(|(entry, _)| *entry)
            .collect()
    }

    /// Sets the list of entries; all sides get it soon if it changed.
    pub fn set_entries(&mut self, entries: &[Endpoint]) {
        self.entries_changed |= self.entries != entries;
        self.entries = entries.to_vec();
    }

    /// Sends the list of entries to all sides if it changed and is due.
    pub(super) fn announce_entries(&mut self, now: Duration) {
        let is_due = now.saturating_sub(self.entries_sent_at) >= ENTRIES_INTERVAL;
        if !self.entries_changed || !is_due {
            return;
        }
        self.entries_changed = false;
        self.entries_sent_at = now;
        let sides: Vec<Incarnation> = self.fleet.iter().map(|(key, _)| key).collect();
        for side in sides {
            self.send_entries(side);
        }
    }

    /// Sends the list of entries to a side.
    pub fn send_entries(&mut self, side: Incarnation) {
        if !self.entries.is_empty() {
            self.send(side, Frame::Entries(self.entries.clone()));
        }
    }

    /// Puts rules in force unless they are older than the current ones. `from` is
    /// the sending entry; `None` for the store. Returns whether the rules were
    /// adopted.
    ///
    /// Other entries learn the new revision from heartbeats and request what the
    /// store has not sent them: rules that every entry sent to every other would
    /// fill the links of all.
    pub fn adopt(&mut self, now: Duration, rules: &Rules, from: Option<Incarnation>) -> bool {
        if !is_newer(self.rules.as_ref(), rules) {
            return false;
        }
        self.events.push(Event::Rules {
            revision: rules.revision,
            version: rules.version,
            queues: u32::try_from(rules.queues.len()).unwrap_or(u32::MAX),
            out: rules.out.join(","),
            from,
        });
        self.rules = Some(rules.clone());
        self.rules_digest = rules.digest();
        self.pull = Pull::default();
        self.needs_placement = true;
        self.unpark(now);
        true
    }

    pub(super) fn peer_frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        match frame {
            Frame::Heartbeat(heartbeat) => self.record_heartbeat(now, from, heartbeat),
            Frame::Pull => {
                if let Some(rules) = self.rules.clone() {
                    self.send(from, Frame::Rules(rules));
                }
            }
            Frame::Rules(rules) => {
                self.adopt(now, &rules, Some(from));
            }
            Frame::Cancel(cancel) => {
                let found = self.cancel_here(now, cancel.job);
                let call = cancel.call;
                self.send(from, Frame::Cancelled(Cancelled { call, found }));
            }
            Frame::Cancelled(reply) => self.record_reply(reply),
            _ => log::debug!("event=frame_ignored peer={from}"),
        }
    }

    fn record_heartbeat(&mut self, now: Duration, from: Incarnation, heartbeat: Heartbeat) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_received = now;
        peer.clock = heartbeat.clock;
        peer.pending = heartbeat.pending.into_iter().collect();
        peer.waiting = heartbeat.waiting;
        peer.arriving = heartbeat.arriving;
        peer.shares = heartbeat.shares.into_iter().collect();
        self.compare_rules(now, from, heartbeat.revision, heartbeat.digest);
    }

    /// Requests the rules of another entry if they are newer and the store has not
    /// sent them in time.
    fn compare_rules(&mut self, now: Duration, from: Incarnation, revision: u64, digest: u64) {
        let Some(rules) = &mut self.rules else {
            if revision > 0 {
                self.pull(now, from);
            }
            return;
        };
        if revision <= rules.revision {
            return;
        }
        if digest == self.rules_digest {
            rules.revision = revision;
            return;
        }
        let behind_since = *self.pull.behind_since.get_or_insert(now);
        if now.saturating_sub(behind_since) >= STORE_WAIT {
            self.pull(now, from);
        }
    }

    /// Sends due heartbeats, and answers cancellations whose replies are overdue.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        let due: Vec<(Incarnation, u64)> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| now.saturating_sub(peer.last_sent) >= HEARTBEAT_INTERVAL)
            .map(|(entry, peer)| {
                peer.last_sent = now;
                (*entry, peer.clock)
            })
            .collect();
        if !due.is_empty() {
            let heartbeat = self.build_heartbeat(now);
            for (entry, echo) in due {
                let heartbeat = Heartbeat {
                    echo,
                    ..heartbeat.clone()
                };
                self.send(entry, Frame::Heartbeat(heartbeat));
            }
        }
        let overdue: Vec<u64> = self
            .cancellations
            .iter()
            .filter(|(_, call)| now >= call.until)
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            if let Some(call) = self.cancellations.remove(&number) {
                self.answer(call.customer, Answer::NoJob);
            }
        }
    }

    fn build_heartbeat(&self, now: Duration) -> Heartbeat {
        let mut pending: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.may_have_run() {
                *pending.entry(&job.queue).or_default() += 1;
            }
        }
        Heartbeat {
            clock: millis(now),
            echo: 0,
            revision: self.rules.as_ref().map_or(0, |rules| rules.revision),
            digest: self.rules_digest,
            pending: pending
                .into_iter()
                .map(|(queue, count)| (queue.to_owned(), count))
                .collect(),
            waiting: self.waiting.levels().collect(),
            arriving: self.arrivals.levels(now).collect(),
            shares: self.shares(now),
        }
    }

    /// Returns this entry's shares of its sides' hosts, by service.
    fn shares(&self, now: Duration) -> Vec<(String, Share)> {
        let mut shares: BTreeMap<&str, Share> = BTreeMap::new();
        for (_, side) in self.fleet.iter() {
            if let Some(upstream) = &side.upstream
                && self.may_run(now, side, &upstream.service, None)
            {
                let sum = shares.entry(&upstream.service).or_default();
                *sum = sum.plus(side.share());
            }
        }
        shares
            .into_iter()
            .map(|(service, share)| (service.to_owned(), share))
            .collect()
    }

    /// Cancels a job at this entry or, if it is unknown here, at the others.
    pub fn cancel(&mut self, now: Duration, customer: u64, job: u64) {
        if self.cancel_here(now, job) {
            self.answer(customer, Answer::State(Phase::Cancelled));
            return;
        }
        if self.peers.is_empty() {
            self.answer(customer, Answer::NoJob);
            return;
        }
        self.next_call += 1;
        let call = self.next_call;
        let peers: Vec<Incarnation> = self.peers.keys().copied().collect();
        let cancellation = Cancellation {
            customer,
            until: now + CANCEL_TIMEOUT,
            replies_due: peers.len(),
        };
        self.cancellations.insert(call, cancellation);
        for peer in peers {
            self.send(peer, Frame::Cancel(Cancel { call, job }));
        }
    }

    fn record_reply(&mut self, reply: Cancelled) {
        let Some(call) = self.cancellations.get_mut(&reply.call) else {
            return;
        };
        call.replies_due -= 1;
        let customer = call.customer;
        if reply.found {
            self.cancellations.remove(&reply.call);
            self.answer(customer, Answer::State(Phase::Cancelled));
        } else if call.replies_due == 0 {
            self.cancellations.remove(&reply.call);
            self.answer(customer, Answer::NoJob);
        }
    }
}
