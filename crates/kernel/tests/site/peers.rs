//! Connections between the entries of a site, and the requests and replies that they
//! forward. Each direction of a connection can be cut.

use super::{HOST, ONE_WAY_DELAY, PATH, RECONNECT_INTERVAL, Site};
use kernel::{
    dispatch::{Answer, Request, Submission},
    neighbourhood::Neighbours,
};
use std::{collections::BTreeMap, time::Duration};
use wire::{
    Payload,
    frame::{Endpoint, Hello, Role, VERSION},
    id::Incarnation,
    lease::{Forwarded, Frame, Reply},
};

/// A frame in transit between two entries.
struct Message {
    at: Duration,
    epoch: u64,
    from: usize,
    to: usize,
    frame: Frame,
}

/// The connection of two entries; the first is the one with the lower index.
#[derive(Clone, Copy)]
struct Link {
    epoch: u64,
    /// The peer of each end, if it considers the connection open.
    peers: [Option<Incarnation>; 2],
    /// Whether frames of each end are held up.
    cut: [bool; 2],
    since: Duration,
}

/// State of the entries' connections.
pub struct Peers {
    /// Processor of each entry, in thousandths of a core.
    processors: Vec<u32>,
    links: BTreeMap<(usize, usize), Link>,
    messages: Vec<Message>,
    /// Each side's choice of entries.
    neighbours: Vec<Neighbours>,
    /// Submissions by the number in the body that stands for them.
    bodies: Vec<Submission>,
    /// Answers, likewise.
    answers: Vec<Answer>,
    /// Number of jobs forwarded.
    pub forwarded: usize,
}

impl Site {
    /// Creates entries with these processors, connected to each other and to sides
    /// that connect to entries by their processors.
    pub fn with_processors(processors: &[u32], sides: usize) -> Self {
        let mut site = Self::new(0, sides);
        site.peers = Some(Peers {
            processors: processors.to_vec(),
            links: BTreeMap::new(),
            messages: Vec::new(),
            neighbours: (0..sides)
                .map(|side| Neighbours::new(&format!("s{side}"), site.now))
                .collect(),
            bodies: Vec::new(),
            answers: Vec::new(),
            forwarded: 0,
        });
        site.frozen_entries = vec![false; processors.len()];
        for index in 0..processors.len() {
            site.entries.push(None);
            site.entry_ids.push(Incarnation(0));
            site.start_entry(index);
        }
        site.run(Duration::from_secs(1));
        site
    }

    /// Returns the number of jobs that were forwarded.
    pub fn forwarded(&self) -> usize {
        self.peers.as_ref().map_or(0, |peers| peers.forwarded)
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let processors = self.peers.iter().flat_map(|peers| &peers.processors);
        let endpoint = |(index, processor): (usize, &u32)| Endpoint {
            name: format!("e{index}"),
            address: String::new(),
            processor: *processor,
        };
        processors.enumerate().map(endpoint).collect()
    }

    /// Tells a new entry its processor and the list of entries.
    pub(super) fn introduce_entry(&mut self, index: usize) {
        let endpoints = self.endpoints();
        let now = self.now;
        let Some(peers) = &mut self.peers else { return };
        let processor = peers.processors[index];
        if let Some(entry) = &mut self.entries[index] {
            entry.set_processor(&format!("e{index}"), processor);
            entry.set_entries(&endpoints);
        }
        for other in (0..self.entries.len()).filter(|other| *other != index) {
            let key = (index.min(other), index.max(other));
            peers.links.entry(key).or_insert(Link {
                epoch: 0,
                peers: [None; 2],
                cut: [false; 2],
                since: now,
            });
        }
        for neighbours in &mut peers.neighbours {
            neighbours.set_entries(&endpoints);
        }
    }

    /// Cuts or restores the direction from one entry to another.
    pub fn cut_entries(&mut self, from: usize, to: usize, cut: bool) {
        let key = (from.min(to), from.max(to));
        if let Some(link) = self
            .peers
            .as_mut()
            .and_then(|peers| peers.links.get_mut(&key))
        {
            link.cut[usize::from(from > to)] = cut;
        }
    }

    /// Breaks the connection of two entries; frames in transit are lost. An end that
    /// does not notice learns of it when the connection is replaced.
    pub fn break_entries(&mut self, first: usize, second: usize, noticed: [bool; 2]) {
        let key = (first.min(second), first.max(second));
        let Some(peers) = &mut self.peers else { return };
        let Some(link) = peers.links.get_mut(&key) else {
            return;
        };
        link.epoch += 1;
        let ends = [key.0, key.1];
        for end in 0..2 {
            if noticed[end] && !self.frozen_entries[ends[end]] {
                self.lose_peer(key, end);
            }
        }
    }

    /// Has one end of a connection notice its loss.
    fn lose_peer(&mut self, key: (usize, usize), end: usize) {
        let now = self.now;
        let Some(peers) = &mut self.peers else { return };
        let Some(link) = peers.links.get_mut(&key) else {
            return;
        };
        link.since = now;
        let index = [key.0, key.1][end];
        if let Some(peer) = link.peers[end].take()
            && let Some(entry) = &mut self.entries[index]
        {
            entry.lose_entry(now, peer);
        }
    }

    /// Has the peers of an entry that was killed notice it, if it is `observed`.
    pub(super) fn kill_peer(&mut self, index: usize, observed: bool) {
        for other in (0..self.entries.len()).filter(|other| *other != index) {
            let key = (index.min(other), index.max(other));
            let end = usize::from(index > other);
            let known = self
                .peers
                .as_mut()
                .and_then(|peers| peers.links.get_mut(&key));
            if let Some(link) = known {
                link.peers[end] = None;
            }
            if observed && !self.frozen_entries[other] {
                self.lose_peer(key, 1 - end);
            }
        }
    }

    /// Connects entries that are not connected, and replaces connections that only
    /// one end considers open.
    pub(super) fn connect_entries(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        let now = self.now;
        let hello = |index: usize, id: Incarnation, processor: u32| Hello {
            version: VERSION,
            role: Role::Entry,
            name: format!("e{index}"),
            incarnation: id,
            domain: format!("d{}", index % 3),
            rack: String::new(),
            address: String::new(),
            processor,
            number: 0,
            nonce: 0,
        };
        for (key, link) in &mut peers.links {
            let ends = [key.0, key.1];
            let ids = [self.entry_ids[key.0], self.entry_ids[key.1]];
            let up = link.peers == [Some(ids[1]), Some(ids[0])];
            let due = now.saturating_sub(link.since) >= RECONNECT_INTERVAL;
            let frozen = ends.iter().any(|end| self.frozen_entries[*end]);
            let dead = ends.iter().any(|end| self.entries[*end].is_none());
            if up || !due || frozen || dead || link.cut != [false; 2] {
                continue;
            }
            link.epoch += 1;
            for end in 0..2 {
                let Some(entry) = &mut self.entries[ends[end]] else {
                    continue;
                };
                if let Some(old) = link.peers[end].take() {
                    entry.lose_entry(now, old);
                }
                let (other, id) = (ends[1 - end], ids[1 - end]);
                let hello = hello(other, id, peers.processors[other]);
                entry.join_entry(now, &hello);
                link.peers[end] = Some(id);
            }
        }
    }

    /// Sends a frame to another entry; returns it if the receiver is none.
    pub(super) fn send_to_entry(&mut self, from: usize, to: Incarnation, frame: Frame) {
        let Some(peers) = &mut self.peers else { return };
        let at = self.now + ONE_WAY_DELAY;
        for (key, link) in &peers.links {
            let ends = [key.0, key.1];
            for end in 0..2 {
                if ends[end] == from && link.peers[end] == Some(to) {
                    peers.forwarded += usize::from(matches!(frame, Frame::Forward(_)));
                    peers.messages.push(Message {
                        at,
                        epoch: link.epoch,
                        from,
                        to: ends[1 - end],
                        frame,
                    });
                    return;
                }
            }
        }
    }

    pub(super) fn deliver_to_entries(&mut self) {
        let now = self.now;
        let mut rest = Vec::new();
        let messages = self
            .peers
            .as_mut()
            .map(|peers| std::mem::take(&mut peers.messages));
        for message in messages.unwrap_or_default() {
            let Some(peers) = &self.peers else { return };
            let key = (message.from.min(message.to), message.from.max(message.to));
            let link = peers.links[&key];
            if link.epoch != message.epoch {
                continue;
            }
            let end = usize::from(message.from > message.to);
            if message.at > now || link.cut[end] || self.frozen_entries[message.to] {
                rest.push(message);
                continue;
            }
            let Some(from) = link.peers[1 - end] else {
                continue;
            };
            self.deliver_frame(from, message.to, message.frame);
        }
        if let Some(peers) = &mut self.peers {
            peers.messages.extend(rest);
        }
    }

    fn deliver_frame(&mut self, from: Incarnation, to: usize, frame: Frame) {
        let now = self.now;
        let (Some(peers), Some(entry)) = (&self.peers, &mut self.entries[to]) else {
            return;
        };
        match frame {
            Frame::Forward(forward) => {
                let submission = Submission {
                    patience: Duration::from_millis(forward.patience_ms),
                    ..peers.bodies[number(forward.body.as_bytes())].clone()
                };
                entry.take_over(now, from, &forward, &forward.path, submission);
            }
            other => entry.frame(now, from, other),
        }
    }

    /// Closes the connections between entries that have been silent for too long.
    pub(super) fn disconnect_silent_entries(&mut self) {
        let Some(peers) = &self.peers else { return };
        let keys: Vec<(usize, usize)> = peers.links.keys().copied().collect();
        for key in keys {
            for end in 0..2 {
                let index = [key.0, key.1][end];
                let Some(entry) = &self.entries[index] else {
                    continue;
                };
                let link = self.peers.as_ref().expect("checked above").links[&key];
                let silent = entry.silent_entries(self.now);
                if self.frozen_entries[index]
                    || link.peers[end].is_none_or(|peer| !silent.contains(&peer))
                {
                    continue;
                }
                self.lose_peer(key, end);
                let other = [key.0, key.1][1 - end];
                if !link.cut[end] && !self.frozen_entries[other] {
                    self.lose_peer(key, 1 - end);
                }
            }
        }
    }

    /// Returns whether a side connects to an entry.
    pub(super) fn is_neighbour(&self, side: usize, entry: usize) -> bool {
        let Some(peers) = &self.peers else {
            return true;
        };
        let chosen = peers.neighbours[side].chosen();
        chosen
            .iter()
            .any(|endpoint| endpoint.name == format!("e{entry}"))
    }

    /// Updates the sides' choice of entries, and releases those no longer chosen.
    pub(super) fn update_neighbours(&mut self) {
        let now = self.now;
        for side in 0..self.sides.len() {
            if self.frozen_sides[side] {
                continue;
            }
            let connected: Vec<usize> = (0..self.entries.len())
                .filter(|entry| self.links[&(*entry, side)].side_up)
                .collect();
            let Some(peers) = &mut self.peers else { return };
            let names: Vec<String> = connected.iter().map(|index| format!("e{index}")).collect();
            peers.neighbours[side].update(now, names.iter().map(String::as_str));
            let surplus: Vec<Incarnation> = connected
                .iter()
                .filter(|entry| !self.is_neighbour(side, **entry))
                .map(|entry| self.entry_ids[*entry])
                .collect();
            let Some(guard) = &mut self.sides[side] else {
                continue;
            };
            guard.set_surplus(now, &surplus);
            for id in guard.released(now) {
                if let Some(entry) = self.entry_ids.iter().position(|known| *known == id) {
                    self.disconnect_at_side(entry, side);
                    self.disconnect_at_entry(entry, side);
                }
            }
        }
    }

    /// Submits a job as a request that may be forwarded; returns the submission if
    /// the entry does not want requests.
    pub(super) fn submit_request(
        &mut self,
        index: usize,
        customer: u64,
        path: &str,
        submission: Submission,
    ) -> Option<Submission> {
        let now = self.now;
        let (Some(peers), Some(entry)) = (&mut self.peers, &mut self.entries[index]) else {
            return Some(submission);
        };
        if !entry.wants_requests(now) {
            return Some(submission);
        }
        let request = Request {
            job: submission.job,
            host: HOST.to_owned(),
            path: path.to_owned(),
            patience: submission.patience,
            arrived: now,
            body: Payload::from(peers.bodies.len().to_string().as_str()),
        };
        peers.bodies.push(submission);
        if let Some(request) = entry.forward(now, customer, request) {
            self.serve(index, customer, &request);
        }
        None
    }

    /// Has an entry serve a request that it could not forward.
    pub(super) fn serve(&mut self, index: usize, customer: u64, request: &Request) {
        let (Some(peers), Some(entry)) = (&self.peers, &mut self.entries[index]) else {
            return;
        };
        let submission = peers.bodies[number(request.body.as_bytes())].clone();
        let arrived = request.arrived;
        entry.submit_arrived(self.now, arrived, customer, HOST, &request.path, submission);
    }

    pub(super) fn send_reply(&mut self, from: usize, to: Incarnation, call: u64, answer: Answer) {
        let Some(peers) = &mut self.peers else { return };
        let reply = Reply {
            elsewhere: answer.may_succeed_elsewhere(),
            body: peers.answers.len().to_string(),
            ..Reply::default()
        };
        peers.answers.push(answer);
        self.send_to_entry(from, to, Frame::Forwarded(Forwarded { call, reply }));
    }

    /// Returns the answer that a reply stands for.
    pub(super) fn replied(&self, reply: &Reply) -> Answer {
        let peers = self.peers.as_ref().expect("replies come from peers");
        peers.answers[number(reply.body.as_bytes())].clone()
    }
}

fn number(bytes: &[u8]) -> usize {
    std::str::from_utf8(bytes)
        .ok()
        .and_then(|text| text.parse().ok())
        .expect("a number stands for the body")
}
