//! Configuration at the entry: adoption, distribution and the other entries.

use super::{Action, Entry, Peer};
use crate::{
    PEER_TIMEOUT,
    document::Document,
    fleet::{Key, Member},
    ini::Faults,
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::{
    Frame,
    frame::{Config, Endpoint, Heartbeat, Hello, Rule, State},
    id::Incarnation,
};

/// Least time between two requests for copies of the document from sides.
const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Result of offering a configuration to a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Adoption {
    /// It has been put in force.
    Adopted,
    /// It was in force already.
    Same,
    /// Its revision is lower than the one in force.
    Stale,
    /// Its revision is the one in force, but its content differs.
    Conflict,
    /// It cannot be read.
    Invalid(Faults),
}

impl Entry {
    /// Offers a configuration from the store or from another process. The
    /// revision in force never decreases.
    pub fn adopt(&mut self, now: Duration, config: &Config) -> Adoption {
        let adoption = compare_revisions(self.config.as_ref(), config);
        match adoption {
            Adoption::Adopted => {}
            Adoption::Stale | Adoption::Conflict => {
                self.stats.stale_configs += 1;
                return adoption;
            }
            Adoption::Same | Adoption::Invalid(_) => return adoption,
        }
        let document = match Document::parse(&config.text) {
            Ok(document) => document,
            Err(faults) => return Adoption::Invalid(faults),
        };
        let before = std::mem::replace(&mut self.document, document);
        let first = self.config.replace(config.clone()).is_none();
        self.apply_document();
        self.send_changes(&before, first);
        self.place(now);
        Adoption::Adopted
    }

    /// Offers a configuration that was read from the store. If it is in force
    /// afterwards, it is confirmed to be the latest.
    pub fn store_read(&mut self, now: Duration, config: &Config) -> Adoption {
        let adoption = self.adopt(now, config);
        if matches!(adoption, Adoption::Adopted | Adoption::Same) {
            self.freshness.confirm(now);
        }
        adoption
    }

    /// Records that a read of the store failed.
    pub fn store_failed(&mut self) {
        self.freshness.store_failed();
    }

    /// Sets the entries of the environment, and sends them with the next
    /// heartbeats if they have changed. The list may include this entry.
    pub fn set_entries(&mut self, entries: &[Endpoint]) {
        let others = entries
            .iter()
            .filter(|endpoint| endpoint.name != self.identity.name);
        self.freshness
            .set_peers(others.map(|endpoint| endpoint.name.clone()).collect());
        if self.endpoints != entries {
            self.endpoints = entries.to_vec();
            self.unsent_endpoints = entries.to_vec();
        }
    }

    /// Records a connection to another entry.
    pub fn join_entry(&mut self, now: Duration, hello: &Hello) {
        let peer = Peer {
            name: hello.name.clone(),
            last_received: now,
            clock: 0,
            leaving: false,
        };
        self.peers.insert(hello.incarnation, peer);
        let heartbeat = self.build_heartbeat(now, 0, State::default(), &[]);
        self.send(hello.incarnation, Frame::Heartbeat(heartbeat));
    }

    /// Returns the entries that have sent nothing for longer than [`PEER_TIMEOUT`].
    pub fn silent_entries(&self, now: Duration) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.last_received) > PEER_TIMEOUT)
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    pub(super) fn receive_entry_heartbeat(
        &mut self,
        now: Duration,
        from: Incarnation,
        heartbeat: &Heartbeat,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_received = now;
        peer.clock = heartbeat.clock;
        peer.leaving = heartbeat.leaving;
        let name = peer.name.clone();
        let echo = Duration::from_millis(heartbeat.echo);
        let ours = self.revision();
        let same_age =
            (heartbeat.revision == ours && ours > 0).then(|| Duration::from_millis(heartbeat.age));
        self.freshness.record_revision(heartbeat.revision);
        self.freshness.record_heartbeat(&name, echo, same_age);
        self.reconcile(from, heartbeat.revision);
    }

    /// Requests the configuration of an entry with a higher revision, and sends
    /// the own one to an entry with a lower revision.
    fn reconcile(&mut self, peer: Incarnation, revision: u64) {
        let ours = self.revision();
        if revision > ours {
            self.send(peer, Frame::Pull);
        } else if revision < ours {
            self.send_config(peer);
        }
    }

    /// Requests the configuration of a side with a higher revision. A side with
    /// a lower one gets its rule with the next heartbeat.
    pub(super) fn reconcile_side(&mut self, now: Duration, key: Key, revision: u64) {
        let Some(incarnation) = self.fleet.get(key).map(|member| member.incarnation) else {
            return;
        };
        let ours = self.revision();
        self.freshness.record_revision(revision);
        if revision > ours && now >= self.next_pull {
            // The side's copy may be older than its rule, and then would be
            // requested with every heartbeat.
            self.next_pull = now + PULL_INTERVAL;
            self.send(incarnation, Frame::Pull);
        }
    }

    pub(super) fn send_rule(&mut self, key: Key) {
        let revision = self.revision();
        let Some(member) = self.fleet.get(key) else {
            return;
        };
        if revision == 0 {
            return;
        }
        let state = self.state_of(member);
        let incarnation = member.incarnation;
        self.send(incarnation, Frame::Rule(Rule { revision, state }));
    }

    /// Returns a side's state in the document in force.
    pub(super) fn state_of(&self, member: &Member) -> State {
        self.document.state_of(&member.domain, &member.name)
    }

    pub(super) fn send_config(&mut self, to: Incarnation) {
        if let Some(config) = self.config.clone() {
            self.send(to, Frame::Config(config));
        }
    }

    pub(super) fn apply_document(&mut self) {
        let document = &self.document;
        self.fleet
            .allow(|member| document.state_of(&member.domain, &member.name) == State::Allowed);
    }

    pub(super) fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Sends the document to all entries, and its rule to each side whose state
    /// changes; the other sides get the revision with the next heartbeat.
    fn send_changes(&mut self, before: &Document, first: bool) {
        let is_changed = |member: &Member| {
            first || before.state_of(&member.domain, &member.name) != self.state_of(member)
        };
        let sides: Vec<Key> = self
            .fleet
            .iter()
            .filter(|(_, member)| member.link.is_connected() && is_changed(member))
            .map(|(key, _)| key)
            .collect();
        for side in sides {
            self.send_rule(side);
        }
        let entries: Vec<Incarnation> = self.peers.keys().copied().collect();
        for entry in entries {
            self.send_config(entry);
        }
    }

    /// Stops this incarnation after a side has fenced it.
    pub(super) fn set_fenced(&mut self) {
        if !self.fenced {
            self.fenced = true;
            self.leaving = true;
            self.actions.push(Action::Fenced);
        }
    }
}

/// Compares an offered configuration with the one in force; returns
/// [`Adoption::Adopted`] if the offered one supersedes it.
pub fn compare_revisions(current: Option<&Config>, offered: &Config) -> Adoption {
    let Some(current) = current else {
        return Adoption::Adopted;
    };
    match offered.revision.cmp(&current.revision) {
        std::cmp::Ordering::Greater => Adoption::Adopted,
        std::cmp::Ordering::Less if is_seeded(Mutant::Revert) => Adoption::Adopted,
        std::cmp::Ordering::Less => Adoption::Stale,
        std::cmp::Ordering::Equal if offered == current => Adoption::Same,
        std::cmp::Ordering::Equal => Adoption::Conflict,
    }
}
