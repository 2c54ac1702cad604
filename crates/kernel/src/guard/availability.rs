//! Whether the side's failure domain is in service.
//!
//! Entries report it with their echoes, but an entry that neither the store nor another
//! entry reaches has nothing newer to report, and goes on to order runs. So a side starts
//! runs only while it has recent knowledge, and without recent reports it asks the store
//! itself. During an outage of the store no change can be accepted there, so the side
//! goes on by what it knows.

use super::Guard;
use crate::{
    event::{Event, Source},
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::lease;

/// What the side knows of its failure domain.
#[derive(Debug, Default)]
pub(super) struct Availability {
    /// Revision of the store at which it was so.
    revision: u64,
    out: bool,
    /// Time at which the store was asked for it.
    asked_at: Duration,
    /// Time at which the store last failed to answer this side.
    failed_at: Option<Duration>,
}

impl Availability {
    /// Returns whether a process asked the store within `limit`.
    fn is_recent(&self, now: Duration, limit: Duration) -> bool {
        now.saturating_sub(self.asked_at) <= limit
    }

    /// Returns whether the store failed to answer this side within `limit`.
    fn has_failed(&self, now: Duration, limit: Duration) -> bool {
        self.failed_at
            .is_some_and(|at| now.saturating_sub(at) <= limit)
    }

    /// Takes what the store had at a revision if that is as new as what is known. Reads
    /// overlap, so only the revision tells which of two is newer.
    fn update(&mut self, revision: u64, out: bool, asked_at: Duration) {
        if revision < self.revision && !is_seeded(Mutant::OldAvailability) {
            return;
        }
        self.revision = revision;
        self.out = out;
        self.asked_at = self.asked_at.max(asked_at);
    }
}

impl Guard {
    /// Records what an entry knows of the side's failure domain. `sent_at` is a time on the
    /// own clock before the report was sent.
    pub(super) fn record_availability(&mut self, sent_at: Duration, report: lease::Availability) {
        let asked_at = sent_at.saturating_sub(Duration::from_millis(report.age.into()));
        self.update_availability(report.revision, report.out, asked_at, Source::Entry);
    }

    /// Records what the store had at `revision`, when it was asked at `asked_at`.
    pub fn record_store_read(&mut self, asked_at: Duration, revision: u64, out: bool) {
        self.availability.failed_at = None;
        self.update_availability(revision, out, asked_at, Source::Store);
    }

    /// Records that the store did not answer.
    pub fn record_store_failure(&mut self, now: Duration) {
        self.availability.failed_at = Some(now);
    }

    fn update_availability(
        &mut self,
        revision: u64,
        out: bool,
        asked_at: Duration,
        source: Source,
    ) {
        let was_out = self.availability.out;
        self.availability.update(revision, out, asked_at);
        if self.availability.out != was_out {
            self.dirty = true;
            self.events.push(Event::DomainOut {
                out,
                revision,
                source,
            });
        }
    }

    /// Returns whether to ask the store: an entry is connected, which may order runs, and
    /// none has reported recently.
    pub fn needs_store_read(&self, now: Duration) -> bool {
        self.timing
            .max_availability_age
            .is_some_and(|limit| !self.availability.is_recent(now, limit / 2))
            && self.peers.values().any(|peer| peer.connected)
    }

    /// Returns the time since a process asked the store for the domain's state.
    pub fn availability_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.availability.asked_at)
    }

    /// Returns whether the failure domain is known to be out of service.
    pub(super) fn is_known_out(&self) -> bool {
        self.availability.out
    }

    /// Returns whether the failure domain is in service as far as can be known.
    pub(super) fn is_in_service(&self, now: Duration) -> bool {
        let known = &self.availability;
        let is_current = self.timing.max_availability_age.is_none_or(|limit| {
            known.is_recent(now, limit)
                || known.has_failed(now, limit)
                || is_seeded(Mutant::StaleAvailability)
        });
        is_current && (!known.out || is_seeded(Mutant::SideDomainOut))
    }
}
