//! Configuration at the entry: adoption, freshness and the other entries.

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

/// Least time between two requests for sides' copies of the document.
const PULL: Duration = Duration::from_secs(1);

/// What became of a configuration that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    Same,
    /// Its revision is lower than the one in force.
    Stale,
    /// Its revision is in force with another change.
    Conflict,
    /// It cannot be read.
    Invalid(Faults),
}

impl Entry {
    /// Takes a configuration from the store or from a peer. The revision in
    /// force never falls.
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
        self.apply_rules();
        self.push_config(&before, first);
        self.place(now);
        Adoption::Adopted
    }

    /// Records what the store holds, which confirms the revision in force.
    pub fn store_read(&mut self, now: Duration, config: &Config) -> Adoption {
        let adoption = self.adopt(now, config);
        if matches!(adoption, Adoption::Adopted | Adoption::Same) {
            self.authority.confirm(now);
        }
        adoption
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self) {
        self.authority.store_failed();
    }

    /// Sets the entries of the environment, without this one.
    pub fn set_entries(&mut self, entries: &[Endpoint]) {
        let others = entries
            .iter()
            .filter(|known| known.name != self.identity.name);
        self.authority
            .know(others.map(|known| known.name.clone()).collect());
        if self.known != entries {
            self.known = entries.to_vec();
            self.news = entries.to_vec();
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
        let beat = self.make_beat(now, 0, State::default(), &[]);
        self.send(hello.incarnation, Frame::Heartbeat(beat));
    }

    /// Returns the entries that have been silent for too long.
    pub fn silent_entries(&self, now: Duration) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.last_received) > PEER_TIMEOUT)
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    pub(super) fn entry_beat(&mut self, now: Duration, from: Incarnation, beat: &Heartbeat) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_received = now;
        peer.clock = beat.clock;
        peer.leaving = beat.leaving;
        let name = peer.name.clone();
        let echo = Duration::from_millis(beat.echo);
        let ours = self.revision();
        let same = (beat.revision == ours && ours > 0).then(|| Duration::from_millis(beat.age));
        self.authority.seen(beat.revision);
        self.authority.heard(&name, echo, same);
        self.reconcile(from, beat.revision);
    }

    /// Brings whichever end of a connection to an entry is behind to the
    /// other's revision.
    fn reconcile(&mut self, peer: Incarnation, revision: u64) {
        let ours = self.revision();
        if revision > ours {
            self.send(peer, Frame::Pull);
        } else if revision < ours {
            self.send_config(peer);
        }
    }

    /// The same for a connection to a side, which learns its rule from the next
    /// heartbeat if it is behind.
    pub(super) fn reconcile_side(&mut self, now: Duration, key: Key, revision: u64) {
        let Some(incarnation) = self.fleet.get(key).map(|member| member.incarnation) else {
            return;
        };
        let ours = self.revision();
        self.authority.seen(revision);
        if revision > ours && now >= self.next_pull {
            // The side's copy may be older than its rule; do not ask for it
            // with every heartbeat.
            self.next_pull = now + PULL;
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

    /// Returns what the document in force says of a side.
    pub(super) fn state_of(&self, member: &Member) -> State {
        self.document.state_of(&member.domain, &member.name)
    }

    pub(super) fn send_config(&mut self, to: Incarnation) {
        if let Some(config) = self.config.clone() {
            self.send(to, Frame::Config(config));
        }
    }

    pub(super) fn apply_rules(&mut self) {
        let document = &self.document;
        self.fleet
            .allow(|member| document.state_of(&member.domain, &member.name) == State::Allowed);
    }

    pub(super) fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Sends the document to entries, and their rule to those sides for which
    /// it changes; the others learn the revision from the next heartbeat.
    fn push_config(&mut self, before: &Document, first: bool) {
        let changed = |member: &Member| {
            first || before.state_of(&member.domain, &member.name) != self.state_of(member)
        };
        let sides: Vec<Key> = self
            .fleet
            .iter()
            .filter(|(_, member)| member.link.is_connected() && changed(member))
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

    pub(super) fn retire(&mut self) {
        if !self.retired {
            self.retired = true;
            self.leaving = true;
            self.actions.push(Action::Fenced);
        }
    }
}

/// Compares an offered configuration with the one in force.
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
