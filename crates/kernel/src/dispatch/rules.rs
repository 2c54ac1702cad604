//! The operators' rules in force: routing by them, their order, and requests for
//! newer ones.

use super::fleet::{Fleet, Key, Side};
use crate::{
    millis,
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::lease::{Availability, Queue, Rules};

/// Time for which an entry that has rules waits for newer ones from the store
/// before it requests them from another entry. The store tells all entries of a
/// change at the same time; only those that it does not reach need another's copy.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Time after which requested rules are requested from another entry.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// The rules in force, and the requests for newer ones to other entries.
#[derive(Debug)]
pub(super) struct ActiveRules {
    current: Option<Rules>,
    /// [`Rules::digest`] of the rules in force; 0 without rules.
    digest: u64,
    /// The last read of the store that has shown these rules.
    read: Option<Read>,
    pull: Pull,
}

/// A read of the store.
#[derive(Debug, Clone, Copy)]
struct Read {
    revision: u64,
    /// When the store was asked.
    at: Duration,
}

/// Requests for newer rules to other entries.
#[derive(Debug, Default)]
struct Pull {
    /// When another entry was first seen to have newer rules.
    behind_since: Option<Duration>,
    /// When the last request was sent.
    sent_at: Option<Duration>,
}

impl ActiveRules {
    /// Makes the state of an entry that has received no rules.
    pub(super) fn new() -> Self {
        Self {
            current: None,
            digest: 0,
            read: None,
            pull: Pull::default(),
        }
    }

    /// Returns the rules in force.
    pub(super) fn get(&self) -> Option<&Rules> {
        self.current.as_ref()
    }

    /// Returns the revision of the rules in force; 0 without rules.
    pub(super) fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |rules| rules.revision)
    }

    /// Returns [`Rules::digest`] of the rules in force; 0 without rules.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Puts rules in force unless they are older than the current ones; returns
    /// whether they were adopted.
    pub(super) fn adopt(&mut self, rules: &Rules) -> bool {
        if !is_newer(self.current.as_ref(), rules) {
            return false;
        }
        self.current = Some(rules.clone());
        self.digest = rules.digest();
        self.pull = Pull::default();
        true
    }

    /// Records that the store, asked at `at`, has shown the rules in force at `revision`.
    /// An answer that is older than the rules, which another entry may have sent, shows
    /// nothing of them.
    pub(super) fn confirm(&mut self, revision: u64, at: Duration) {
        if self.current.is_some() && revision >= self.revision() {
            self.read = Some(Read { revision, at });
        }
    }

    /// Returns whether a failure domain is in service; `None` without rules.
    pub(super) fn availability(&self, now: Duration, domain: &str) -> Option<Availability> {
        let rules = self.current.as_ref()?;
        let read = self.read.filter(|read| read.revision >= rules.revision);
        let age = read.map_or(u64::MAX, |read| millis(now.saturating_sub(read.at)));
        Some(Availability {
            revision: read.map_or(rules.revision, |read| read.revision),
            out: self.is_out(domain),
            age: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Compares the rules with those of another entry, and returns whether to
    /// request them: they are newer and the store has not sent them in time.
    pub(super) fn compare(&mut self, now: Duration, revision: u64, digest: u64) -> bool {
        let Some(rules) = &mut self.current else {
            return revision > 0;
        };
        if revision <= rules.revision {
            return false;
        }
        if digest == self.digest {
            rules.revision = revision;
            return false;
        }
        let behind_since = *self.pull.behind_since.get_or_insert(now);
        now.saturating_sub(behind_since) >= STORE_WAIT
    }

    /// Starts a request to another entry; returns false while an earlier one is in
    /// progress.
    pub(super) fn start_pull(&mut self, now: Duration) -> bool {
        let sent_at = self.pull.sent_at;
        let due = sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= PULL_TIMEOUT);
        if due {
            self.pull.sent_at = Some(now);
        }
        due
    }

    /// Returns whether a side's domain, state and upstream admit a service's task.
    pub(super) fn may_run(
        &self,
        now: Duration,
        side: &Side,
        service: &str,
        label: Option<&str>,
    ) -> bool {
        side.is_usable(now) && side.serves(service, label) && !self.is_out(&side.domain)
    }

    /// Returns the sides on which tasks of a service may run.
    pub(super) fn usable<'a>(
        &'a self,
        now: Duration,
        fleet: &'a Fleet,
        service: &'a str,
    ) -> impl Iterator<Item = (Key, &'a Side)> {
        fleet
            .iter()
            .filter(move |(_, side)| self.may_run(now, side, service, None))
    }

    /// Returns whether a side's domain is in service by the rules and by the side, which
    /// may know more.
    pub(super) fn is_in_service(&self, side: &Side) -> bool {
        let out_there = side.status.is_some_and(|status| status.out);
        !out_there && !self.is_out(&side.domain)
    }

    /// Returns whether a failure domain is out of use; all are without rules.
    pub(super) fn is_out(&self, domain: &str) -> bool {
        let rules = self.current.as_ref();
        rules.is_none_or(|rules| rules.out.iter().any(|out| out == domain))
    }
}

/// Returns the queue with the longest prefix that matches a request's host name
/// and path, and the rest of the path.
pub fn route<'a>(rules: &'a Rules, host: &str, path: &'a str) -> Option<(&'a Queue, &'a str)> {
    let name = host.split(':').next().unwrap_or_default();
    rules
        .queues
        .iter()
        .filter(|queue| queue.host.eq_ignore_ascii_case(name))
        .filter_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
        .max_by_key(|(queue, _)| queue.prefix.len())
}

/// Returns whether `new` may replace `old`: a higher store revision whose
/// version is not lower.
fn is_newer(old: Option<&Rules>, new: &Rules) -> bool {
    old.is_none_or(|old| new.revision > old.revision && new.version >= old.version)
        || is_seeded(Mutant::OldRules)
}
