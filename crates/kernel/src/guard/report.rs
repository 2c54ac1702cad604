//! Load reports to the connected entries.

use super::{Action, Guard, Peer};
use crate::{event::Event, millis, timing::MAX_REPORT_INTERVAL};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Frame, Status},
};

/// Shortest time between two [`Status`] frames while a side has at most
/// [`ENTRIES_AT_FULL_RATE`] entries; it batches changes that occur together.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(4);

/// Number of entries beyond which reports become less frequent, so that their
/// number per second is bounded, until [`MAX_REPORT_INTERVAL`] is reached.
const ENTRIES_AT_FULL_RATE: u32 = 6;

/// Time between reports for each entry of a side that has more than
/// [`ENTRIES_AT_FULL_RATE`]: at most 200 reports a second to all together.
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(5);

impl Guard {
    /// Sends a status to every connected entry for which one is due.
    pub fn flush(&mut self, now: Duration) {
        let changed = std::mem::take(&mut self.dirty);
        let interval = self.min_report_interval();
        let mut due: Vec<Incarnation> = Vec::new();
        for (entry, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.connected) {
            peer.unreported |= changed;
            let age = now.saturating_sub(peer.reported_at);
            let is_due = peer.unreported && age >= peer.report_interval(interval);
            if is_due || age >= MAX_REPORT_INTERVAL {
                peer.unreported = false;
                peer.reported_at = now;
                due.push(*entry);
            }
        }
        if !due.is_empty() {
            self.report(now, &due);
        }
    }

    fn report(&mut self, now: Duration, entries: &[Incarnation]) {
        let (free, accepting) = (self.free(), self.is_accepting(now));
        if accepting != self.reported_accepting {
            self.reported_accepting = accepting;
            self.events.push(Event::Accepting {
                accepting,
                in_service: self.is_in_service(now),
                availability_age: self.availability_age(now),
                leaving: self.leaving || self.announced.as_ref().is_some_and(|known| known.leaving),
                runs_known: self.runs_known,
                silent: now.saturating_sub(self.last_received),
            });
        }
        let (rate, out) = (self.rate(), self.is_known_out());
        let runs = u16::try_from(self.runs.len()).unwrap_or(u16::MAX);
        let is_used = |entry: &Incarnation| !self.is_released(now, *entry);
        let connected = self.peers.iter().filter(|(_, peer)| peer.connected);
        let used = connected.filter(|(entry, _)| is_used(entry)).count();
        let statuses: Vec<Action> = entries
            .iter()
            .map(|entry| {
                let status = Status {
                    clock: millis(now),
                    received: self.peers[entry].received,
                    free,
                    accepting: accepting && is_used(entry),
                    out,
                    runs,
                    entries: u16::try_from(used).unwrap_or(u16::MAX),
                    rate,
                };
                Action::Send((*entry, Frame::Status(status)))
            })
            .collect();
        self.actions.extend(statuses);
    }

    /// Returns the time after which [`Guard::flush`] should be called for changes
    /// that are not reported yet; `None` if there are none.
    pub fn report_delay(&self) -> Option<Duration> {
        let interval = self.min_report_interval();
        let connected = self.peers.values().filter(|peer| peer.connected);
        connected
            .filter(|peer| peer.unreported || self.dirty)
            .map(|peer| peer.report_interval(interval))
            .min()
    }

    /// Returns the shortest time between two reports to one entry for the present
    /// number of connected entries.
    fn min_report_interval(&self) -> Duration {
        let connected = self.peers.values().filter(|peer| peer.connected);
        let entries = u32::try_from(connected.count()).unwrap_or(u32::MAX);
        if entries <= ENTRIES_AT_FULL_RATE {
            return MIN_REPORT_INTERVAL;
        }
        REPORT_INTERVAL_PER_ENTRY
            .saturating_mul(entries)
            .min(MAX_REPORT_INTERVAL)
    }
}

impl Peer {
    /// Returns the shortest time between two reports to this entry. `least` is the
    /// side's own limit.
    fn report_interval(&self, least: Duration) -> Duration {
        self.requested_interval.max(least).min(MAX_REPORT_INTERVAL)
    }
}
