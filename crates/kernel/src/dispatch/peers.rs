//! Exchange with other entries: heartbeats, rules and cancellations.

use super::{Answer, Dispatcher, Event, Phase, rules::is_newer};
use crate::millis;
use std::{collections::BTreeMap, time::Duration};
use wire::{
    frame::{Endpoint, Hello},
    id::Incarnation,
    lease::{Cancel, Cancelled, Frame, Heartbeat, Rules},
};

/// Interval between heartbeats to another entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a message after which an entry's connection is replaced.
const MAX_SILENCE: Duration = Duration::from_millis(900);

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
}

/// A customer's cancellation that was sent to the other entries.
#[derive(Debug)]
pub(super) struct Cancellation {
    customer: u64,
    until: Duration,
    replies_due: usize,
}

impl Dispatcher {
    /// Records a new connection to another entry and requests its rules.
    pub fn join_entry(&mut self, now: Duration, hello: &Hello) {
        let peer = Peer {
            last_received: now,
            ..Peer::default()
        };
        self.peers.insert(hello.incarnation, peer);
        self.send(hello.incarnation, Frame::Pull);
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

    /// Sets the list of entries, and sends it to all sides if it changed.
    pub fn set_entries(&mut self, entries: &[Endpoint]) {
        if self.entries == entries {
            return;
        }
        self.entries = entries.to_vec();
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

    /// Puts rules in force unless they are older than the current ones, and sends
    /// them to the other entries. `from` is the sending entry; `None` for the
    /// store. Returns whether the rules were adopted.
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
        self.needs_placement = true;
        let peers: Vec<Incarnation> = self.peers.keys().copied().collect();
        for peer in peers {
            self.send(peer, Frame::Rules(rules.clone()));
        }
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
        let revision = self.rules.as_ref().map_or(0, |rules| rules.revision);
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_received = now;
        peer.clock = heartbeat.clock;
        peer.pending = heartbeat.pending.into_iter().collect();
        peer.waiting = heartbeat.waiting;
        peer.arriving = heartbeat.arriving;
        if heartbeat.revision > revision {
            self.send(from, Frame::Pull);
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
            pending: pending
                .into_iter()
                .map(|(queue, count)| (queue.to_owned(), count))
                .collect(),
            waiting: self.waiting.levels().collect(),
            arriving: self.arrivals.levels(now).collect(),
        }
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
