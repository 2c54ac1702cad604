//! Connections to entries: contact, and the ends of runs that are not acknowledged yet.

use super::{Action, Guard, Peer};
use crate::{
    liveness::Liveness,
    millis,
    mutation::{Mutant, is_seeded},
};
use std::{collections::VecDeque, time::Duration};
use wire::{
    id::Incarnation,
    lease::{Echo, End, Ends, Frame},
};

impl Guard {
    /// Records a connection to an entry and sends it the pending ends of its
    /// runs, its open runs and the upstream.
    pub fn join(&mut self, now: Duration, entry: Incarnation) {
        // Those for an earlier connection, such as a report that counts its frames.
        self.actions
            .retain(|action| !matches!(action, Action::Send((peer, _)) if *peer == entry));
        // A side that was paused learns of the new connection before it has noticed the
        // silence, which the entry may have counted as the end of its runs.
        self.stop_orphans(now);
        let peer = self.peers.entry(entry).or_insert_with(|| Peer::new(now));
        // No contact that keeps runs: this may be handled long after it arrived.
        peer.joined_at = now;
        peer.liveness = Liveness::new(now);
        peer.connected = true;
        peer.received = 0;
        if !is_seeded(Mutant::LostEnd) {
            peer.next_unsent = peer.first_end;
        }
        self.send_ends(entry);
        let open = self
            .runs
            .iter()
            .filter(|(_, run)| run.entry == entry)
            .map(|(task, run)| run.id(*task))
            .collect();
        self.send(entry, Frame::OpenRuns(open));
        self.send_upstream(Some(entry));
        self.dirty = true;
    }

    /// Records that the connection to an entry is lost.
    pub fn lose(&mut self, entry: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.connected = false;
        }
        self.queue.remove_entry(entry);
    }

    /// Records that bytes have arrived from a connected entry. They keep the
    /// connection; they are no contact that keeps the entry's runs.
    pub fn record_bytes(&mut self, now: Duration, from: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.liveness.record_bytes(now);
        }
    }

    /// Returns the connected entries that are silent by
    /// [`Timing::connection_limits`].
    pub fn silent(&self, now: Duration) -> Vec<Incarnation> {
        let limits = self.timing.connection_limits();
        self.peers
            .iter()
            .filter(|(_, peer)| peer.connected)
            .filter(|(_, peer)| {
                let contact = peer.last_contact.max(peer.joined_at);
                peer.liveness.is_silent(now, contact, &limits)
            })
            .map(|(entry, _)| *entry)
            .collect()
    }

    pub(super) fn echo(&mut self, now: Duration, from: Incarnation, echo: Echo) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let clock = Duration::from_millis(echo.clock).min(now);
        peer.last_contact = peer.last_contact.max(clock);
        let renewed_at = Duration::from_millis(echo.renewed_at).min(now);
        peer.renewed_at = peer.renewed_at.max(renewed_at);
        peer.requested_interval = Duration::from_millis(echo.report_interval_ms.into());
        while peer.first_end <= echo.acknowledged && peer.ends.pop_front().is_some() {
            peer.first_end += 1;
        }
        peer.next_unsent = peer.next_unsent.max(peer.first_end);
        if let Some(report) = echo.availability {
            self.record_availability(clock, report);
        }
    }

    pub(super) fn queue_end(&mut self, entry: Incarnation, end: End) {
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.ends.push_back(end);
            self.send_ends(entry);
        }
    }

    fn send_ends(&mut self, entry: Incarnation) {
        let Some(peer) = self.peers.get_mut(&entry) else {
            return;
        };
        let next = peer.first_end + peer.ends.len() as u64;
        if !peer.connected || peer.next_unsent >= next {
            return;
        }
        let skip = usize::try_from(peer.next_unsent - peer.first_end).unwrap_or(usize::MAX);
        let ends = Ends {
            first: peer.next_unsent,
            ends: peer.ends.iter().skip(skip).copied().collect(),
        };
        peer.next_unsent = next;
        self.send(entry, Frame::Ends(ends));
    }
}

impl Peer {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            last_contact: now,
            // The connection says nothing of the departures that the entry has read.
            renewed_at: if is_seeded(Mutant::RenewedByContact) {
                now
            } else {
                Duration::ZERO
            },
            joined_at: now,
            liveness: Liveness::new(now),
            connected: false,
            received: 0,
            ends: VecDeque::new(),
            // Above those of a state that was dropped while the entry kept its own, and not 0.
            first_end: millis(now).max(1),
            next_unsent: 0,
            surplus_since: None,
            reported_at: Duration::ZERO,
            unreported: false,
            requested_interval: Duration::ZERO,
        }
    }
}
