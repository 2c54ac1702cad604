//! Load reports to the connected entries.

use super::{Action, Guard};
use crate::{event::Event, millis, timing::MAX_REPORT_INTERVAL};
use std::time::Duration;
use wire::lease::{Frame, Status};

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
    /// Sends a status to every connected entry, if one is due.
    pub fn flush(&mut self, now: Duration) {
        let age = now.saturating_sub(self.reported_at);
        if age < self.report_interval() || (age < MAX_REPORT_INTERVAL && !self.dirty) {
            return;
        }
        self.dirty = false;
        self.reported_at = now;
        let (free, accepting) = (self.free(), self.is_accepting(now));
        if accepting != self.reported_accepting {
            self.reported_accepting = accepting;
            self.events.push(Event::Accepting {
                accepting,
                leaving: self.leaving || self.announced.as_ref().is_some_and(|known| known.leaving),
                runs_known: self.runs_known,
                silent: now.saturating_sub(self.last_received),
            });
        }
        let rate = self.rate();
        let runs = u16::try_from(self.runs.len()).unwrap_or(u16::MAX);
        let connected = self.peers.iter().filter(|(_, peer)| peer.connected);
        let (released, used): (Vec<_>, Vec<_>) =
            connected.partition(|(entry, _)| self.is_released(now, **entry));
        let entries = u16::try_from(used.len()).unwrap_or(u16::MAX);
        let statuses = used
            .into_iter()
            .map(|peer| (peer, true))
            .chain(released.into_iter().map(|peer| (peer, false)));
        let frames: Vec<Action> = statuses
            .map(|((entry, peer), is_used)| {
                let status = Status {
                    clock: millis(now),
                    received: peer.received,
                    free,
                    accepting: accepting && is_used,
                    runs,
                    entries,
                    rate,
                };
                Action::Send((*entry, Frame::Status(status)))
            })
            .collect();
        self.actions.extend(frames);
    }

    /// Returns the shortest time between two reports for the present number of
    /// connected entries.
    pub fn report_interval(&self) -> Duration {
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
