//! The other entries: what they last reported, the list of all entries, and
//! cancellations that they were asked for.

use std::{collections::BTreeMap, time::Duration};
use wire::{
    frame::Endpoint,
    id::Incarnation,
    lease::{Cancelled, Heartbeat, Share},
};

/// Shortest interval at which the sides get the list of entries. When a whole
/// site starts, the list changes with each entry that joins.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between heartbeats to another entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The same while the own loop is late: with the lateness from which jobs are
/// refused it stays well within [`MAX_SILENCE`].
const THIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a message after which an entry's connection is replaced.
const MAX_SILENCE: Duration = Duration::from_millis(900);

/// Time for other entries to reply whether they have a job.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// The connected entries, the list of all entries, and open cancellations.
#[derive(Debug)]
pub(super) struct Peers {
    connected: BTreeMap<Incarnation, Peer>,
    listed: Listed,
    cancellations: BTreeMap<u64, Cancellation>,
    /// Number of the last cancellation sent.
    last_call: u64,
}

/// State of a connected entry.
#[derive(Debug, Default)]
struct Peer {
    last_received: Duration,
    last_sent: Duration,
    /// Number of its jobs of which no task has started, by queue name.
    pending: BTreeMap<String, u32>,
    /// Work waiting there, in core-milliseconds, by level.
    waiting: Vec<(u8, u64)>,
    /// Work arriving there, in core-milliseconds per second, by level.
    arriving: Vec<(u8, u64)>,
    /// Its shares of the hosts that it uses, by service.
    shares: BTreeMap<String, Share>,
    /// Time by which its event loop is late.
    lateness: Duration,
}

/// The list of all entries, which the sides get.
#[derive(Debug, Default)]
struct Listed {
    entries: Vec<Endpoint>,
    /// Whether the sides' list is out of date.
    changed: bool,
    sent_at: Duration,
}

/// A customer's cancellation that was sent to the other entries.
#[derive(Debug)]
pub(super) struct Cancellation {
    pub(super) customer: u64,
    pub(super) job: u64,
    until: Duration,
    replies_due: usize,
}

impl Cancellation {
    pub(super) fn new(now: Duration, customer: u64, job: u64) -> Self {
        Self {
            customer,
            job,
            until: now + CANCEL_TIMEOUT,
            replies_due: 0,
        }
    }
}

impl Peers {
    /// Makes the state of an entry that knows no others.
    pub(super) fn new() -> Self {
        Self {
            connected: BTreeMap::new(),
            listed: Listed::default(),
            cancellations: BTreeMap::new(),
            last_call: 0,
        }
    }

    /// Records a new connection to another entry.
    pub(super) fn join(&mut self, now: Duration, entry: Incarnation) {
        let peer = Peer {
            last_received: now,
            ..Peer::default()
        };
        self.connected.insert(entry, peer);
    }

    /// Records that the connection to another entry is lost.
    pub(super) fn lose(&mut self, entry: Incarnation) {
        self.connected.remove(&entry);
    }

    /// Returns the latest time at which a connected entry may have run without a heartbeat
    /// of it having arrived.
    pub(super) fn last_ran(&self, entry: Incarnation) -> Option<Duration> {
        let peer = self.connected.get(&entry)?;
        Some(peer.last_received + THIN_HEARTBEAT_INTERVAL)
    }

    /// Returns whether any entry is connected.
    pub(super) fn any_connected(&self) -> bool {
        !self.connected.is_empty()
    }

    /// Returns whether an entry is connected.
    pub(super) fn is_connected(&self, entry: Incarnation) -> bool {
        self.connected.contains_key(&entry)
    }

    /// Returns the connected entries.
    pub(super) fn connected(&self) -> Vec<Incarnation> {
        self.connected.keys().copied().collect()
    }

    /// Returns the entries from which no message has arrived for
    /// [`MAX_SILENCE`].
    pub(super) fn silent(&self, now: Duration) -> Vec<Incarnation> {
        self.connected
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.last_received) > MAX_SILENCE)
            .map(|(entry, _)| *entry)
            .collect()
    }

    /// Records a heartbeat; returns false if its sender is not connected.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Duration,
        from: Incarnation,
        heartbeat: Heartbeat,
    ) -> bool {
        let Some(peer) = self.connected.get_mut(&from) else {
            return false;
        };
        peer.last_received = now;
        peer.pending = heartbeat.pending.into_iter().collect();
        peer.waiting = heartbeat.waiting;
        peer.arriving = heartbeat.arriving;
        peer.shares = heartbeat.shares.into_iter().collect();
        peer.lateness = Duration::from_millis(heartbeat.lateness.into());
        true
    }

    /// Returns the entries to which a heartbeat is due, and counts the heartbeats as
    /// sent. They are less frequent if `thin`.
    pub(super) fn take_due_heartbeats(&mut self, now: Duration, thin: bool) -> Vec<Incarnation> {
        let interval = if thin {
            THIN_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        self.connected
            .iter_mut()
            .filter(|(_, peer)| now.saturating_sub(peer.last_sent) >= interval)
            .map(|(entry, peer)| {
                peer.last_sent = now;
                *entry
            })
            .collect()
    }

    /// Makes the heartbeats to all entries due.
    pub(super) fn expedite_heartbeats(&mut self) {
        for peer in self.connected.values_mut() {
            peer.last_sent = Duration::ZERO;
        }
    }

    /// Returns the time by which a connected entry's event loop is late.
    pub(super) fn lateness(&self, entry: Incarnation) -> Option<Duration> {
        self.connected.get(&entry).map(|peer| peer.lateness)
    }

    /// Returns the number of a queue's jobs of which no task has started, at all
    /// connected entries.
    pub(super) fn pending_of(&self, queue: &str) -> u32 {
        let peers = self.connected.values();
        peers
            .map(|peer| peer.pending.get(queue).copied().unwrap_or_default())
            .fold(0, u32::saturating_add)
    }

    /// Returns the work waiting at each entry, in core-milliseconds, by level.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (u8, u64)> {
        let peers = self.connected.values();
        peers.flat_map(|peer| &peer.waiting).copied()
    }

    /// Returns the work arriving at each entry, in core-milliseconds per second,
    /// by level.
    pub(super) fn arriving(&self) -> impl Iterator<Item = (u8, u64)> {
        let peers = self.connected.values();
        peers.flat_map(|peer| &peer.arriving).copied()
    }

    /// Returns the entries' shares of the hosts of a service.
    pub(super) fn shares(&self, service: &str) -> impl Iterator<Item = Share> {
        let peers = self.connected.values();
        peers.filter_map(|peer| peer.shares.get(service)).copied()
    }

    /// Sets the list of all entries.
    pub(super) fn set_listed(&mut self, entries: &[Endpoint]) {
        self.listed.changed |= self.listed.entries != entries;
        self.listed.entries = entries.to_vec();
    }

    /// Returns the list of all entries.
    pub(super) fn listed(&self) -> &[Endpoint] {
        &self.listed.entries
    }

    /// Returns whether the sides must get the changed list now, and counts it as
    /// sent.
    pub(super) fn take_due_list(&mut self, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.listed.sent_at) >= ENTRIES_INTERVAL;
        if !self.listed.changed || !is_due {
            return false;
        }
        self.listed.changed = false;
        self.listed.sent_at = now;
        true
    }

    /// Records that a customer's cancellation is sent to all connected entries;
    /// returns its number.
    pub(super) fn start_cancellation(&mut self, mut cancellation: Cancellation) -> u64 {
        self.last_call += 1;
        cancellation.replies_due = self.connected.len();
        self.cancellations.insert(self.last_call, cancellation);
        self.last_call
    }

    /// Records an entry's reply to a cancellation; returns the cancellation and whether
    /// an entry had the job once this is known.
    pub(super) fn record_reply(&mut self, reply: Cancelled) -> Option<(Cancellation, bool)> {
        let call = self.cancellations.get_mut(&reply.call)?;
        call.replies_due = call.replies_due.saturating_sub(1);
        if !reply.found && call.replies_due > 0 {
            return None;
        }
        let call = self.cancellations.remove(&reply.call)?;
        Some((call, reply.found))
    }

    /// Removes and returns the cancellations whose replies are overdue.
    pub(super) fn take_overdue_cancellations(&mut self, now: Duration) -> Vec<Cancellation> {
        self.cancellations
            .extract_if(.., |_, call| now >= call.until)
            .map(|(_, call)| call)
            .collect()
    }
}
