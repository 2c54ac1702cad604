//! The connections of one process: one to each peer, re-established when lost.

use crate::link::{self, Activity, Joined, Latest, Link, Local};
use hashbrown::{HashMap, HashSet};
use std::{net::SocketAddr, sync::Arc};
use tokio::{sync::mpsc, task::JoinHandle};
use wire::{
    Frame,
    frame::{Endpoint, Hello, Role},
    id::Incarnation,
};

#[derive(Debug)]
struct Connection {
    peer: Hello,
    dialled: Option<SocketAddr>,
    activity: Arc<Activity>,
    /// Bytes received by the last call of [`Mesh::take_active`].
    bytes_seen: u64,
}

/// A new connection that is in use.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) peer: Hello,
    /// Whether it replaces a connection that was not yet reported lost.
    pub(crate) replaces: bool,
}

/// All connections of a process.
#[derive(Debug)]
pub(crate) struct Mesh<E> {
    local: Local,
    events: mpsc::Sender<E>,
    links: HashMap<Incarnation, Link>,
    latest: Latest,
    connections: HashMap<u64, Connection>,
    dialers: HashMap<SocketAddr, JoinHandle<()>>,
    /// Addresses that this entry does not dial, since their entries dial it.
    inbound_only: HashSet<SocketAddr>,
    seeds: Vec<SocketAddr>,
    registered: Vec<Endpoint>,
}

impl<E> Drop for Mesh<E> {
    fn drop(&mut self) {
        for dialer in self.dialers.values() {
            dialer.abort();
        }
        for (_, link) in self.links.drain() {
            link.close();
        }
    }
}

impl<E: From<link::Event> + Send + 'static> Mesh<E> {
    pub(crate) fn new(local: Local, events: mpsc::Sender<E>, seeds: Vec<SocketAddr>) -> Self {
        Self {
            local,
            events,
            links: HashMap::new(),
            latest: Latest::default(),
            connections: HashMap::new(),
            dialers: HashMap::new(),
            inbound_only: HashSet::new(),
            seeds,
            registered: Vec::new(),
        }
    }

    /// Returns the process's own identity and counters.
    pub(crate) fn local(&self) -> &Local {
        &self.local
    }

    /// Accepts a new connection unless a newer one of its peer exists or, between
    /// entries, one in the other direction is preferred.
    pub(crate) fn admit(&mut self, joined: Joined) -> Option<Admitted> {
        if !self.latest.admit(&joined) {
            joined.link.close();
            return None;
        }
        let Joined {
            hello,
            link,
            dialled,
        } = joined;
        let between_entries = hello.role == Role::Entry && self.local.hello.role == Role::Entry;
        if between_entries && !self.resolve_duplicate(&hello, dialled) {
            link.close();
            return None;
        }
        log::info!(
            "event=peer_joined role={:?} name={} incarnation={} connection={}",
            hello.role,
            hello.name,
            hello.incarnation,
            link.number()
        );
        let old = self.links.remove(&hello.incarnation);
        let replaces = old.is_some();
        if let Some(old) = old {
            self.connections.remove(&old.number());
            old.close();
        }
        let connection = Connection {
            peer: hello.clone(),
            dialled,
            activity: link.activity().clone(),
            bytes_seen: 0,
        };
        self.connections.insert(link.number(), connection);
        self.links.insert(hello.incarnation, link);
        Some(Admitted {
            peer: hello,
            replaces,
        })
    }

    /// Returns whether to keep a connection to another entry, and dials it or
    /// stops dialling it accordingly. Of two connections between the same
    /// entries, both keep the one that the entry with the smaller name dialled.
    fn resolve_duplicate(&mut self, hello: &Hello, dialled: Option<SocketAddr>) -> bool {
        let dials = self.local.hello.name < hello.name;
        match dialled {
            Some(address) if !dials => {
                if let Some(dialer) = self.dialers.remove(&address) {
                    dialer.abort();
                }
                self.inbound_only.insert(address);
                false
            }
            None if dials => {
                if let Ok(address) = hello.address.parse() {
                    self.dial(address);
                }
                false
            }
            Some(_) | None => true,
        }
    }

    /// Returns whether any peer is connected.
    pub(crate) fn has_peers(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Returns the names of the connected peers.
    pub(crate) fn peer_names(&self) -> impl Iterator<Item = &str> {
        let connections = self.connections.values();
        connections.map(|connection| connection.peer.name.as_str())
    }

    /// Records that a frame of a connection is handled; returns its peer if the
    /// connection is in use.
    pub(crate) fn receive(&self, number: u64) -> Option<Incarnation> {
        let connection = self.connections.get(&number)?;
        connection.activity.record_frame();
        Some(connection.peer.incarnation)
    }

    /// Returns the peers from which bytes have arrived since the last call.
    pub(crate) fn take_active(&mut self) -> Vec<Incarnation> {
        self.connections
            .values_mut()
            .filter_map(|connection| {
                let bytes = connection.activity.bytes();
                let changed = std::mem::replace(&mut connection.bytes_seen, bytes) != bytes;
                let active = changed || connection.activity.is_blocked();
                active.then_some(connection.peer.incarnation)
            })
            .collect()
    }

    /// Removes a connection that has ended; returns its peer if it was in use.
    pub(crate) fn remove_connection(&mut self, number: u64) -> Option<Hello> {
        let connection = self.connections.remove(&number)?;
        let peer = connection.peer;
        let current = self.links.get(&peer.incarnation);
        if current.is_some_and(|link| link.number() == number)
            && let Some(link) = self.links.remove(&peer.incarnation)
        {
            link.close();
        }
        log::info!(
            "event=peer_lost role={:?} name={} incarnation={} connection={number}",
            peer.role,
            peer.name,
            peer.incarnation
        );
        if peer.role == Role::Entry && connection.dialled.is_none() {
            self.inbound_only.clear();
            self.update_dialers();
        }
        Some(peer)
    }

    /// Returns the connected peers that this process dialled and would no longer.
    pub(crate) fn surplus(&self) -> Vec<Incarnation> {
        let wanted = self.wanted();
        self.connections
            .values()
            .filter(|connection| connection.dialled.is_some_and(|to| !wanted.contains(&to)))
            .map(|connection| connection.peer.incarnation)
            .collect()
    }

    /// Closes the connection to a surplus peer and dials it no more.
    pub(crate) fn release(&mut self, to: Incarnation) -> Option<Hello> {
        let number = self.links.get(&to)?.number();
        let dialled = self.connections.get(&number)?.dialled?;
        if let Some(dialer) = self.dialers.remove(&dialled) {
            dialer.abort();
        }
        log::info!("event=peer_released incarnation={to} connection={number}");
        self.remove_connection(number)
    }

    /// Closes the connection to a peer; returns the peer if there was one.
    pub(crate) fn close(&mut self, to: Incarnation, reason: &str) -> Option<Hello> {
        let number = self.links.get(&to)?.number();
        log::warn!("event=peer_given_up incarnation={to} reason={reason}");
        self.remove_connection(number)
    }

    /// Sends a frame; a peer that does not keep up is disconnected.
    pub(crate) fn send(&mut self, to: Incarnation, frame: Frame) {
        let sent = self.links.get(&to).is_some_and(|link| link.send(frame));
        if !sent && let Some(link) = self.links.remove(&to) {
            log::warn!("event=peer_slow incarnation={to}");
            // The end of the reader reports the loss as an event.
            link.close();
        }
    }

    /// Replaces the seeds and connects to them.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.update_dialers();
    }

    /// Replaces the registered entries and connects to them.
    pub(crate) fn set_registered(&mut self, entries: Vec<Endpoint>) {
        self.registered = entries;
        self.update_dialers();
    }

    /// Returns the registered and the connected entries, sorted by name.
    /// Connected ones may be not yet registered, or no longer.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        let mut endpoints = self.registered.clone();
        let own = std::iter::once(&self.local.hello);
        let connected = self.connections.values().map(|connection| &connection.peer);
        for peer in connected.chain(own) {
            if peer.role == Role::Entry && endpoints.iter().all(|entry| entry.name != peer.name) {
                endpoints.push(Endpoint {
                    name: peer.name.clone(),
                    address: peer.address.clone(),
                    processor: peer.processor,
                });
            }
        }
        endpoints.sort_by(|left, right| left.name.cmp(&right.name));
        endpoints
    }

    /// Returns the addresses to dial: those of the registered entries, and the
    /// seeds. A side uses its seeds only until it knows entries: all sides have the
    /// same seeds.
    fn wanted(&self) -> HashSet<SocketAddr> {
        let own = &self.local.hello.address;
        let needs_seeds = self.local.hello.role == Role::Entry || self.registered.is_empty();
        let seeds = self.seeds.iter().filter(|_| needs_seeds);
        self.registered
            .iter()
            .filter_map(|endpoint| endpoint.address.parse().ok())
            .chain(seeds.copied())
            .filter(|address| address.to_string() != *own)
            .collect()
    }

    /// Starts and stops dialers so that they match the registered entries and
    /// the seeds. Dialers with a live connection are kept.
    pub(crate) fn update_dialers(&mut self) {
        let wanted = self.wanted();
        let unwanted: Vec<SocketAddr> = self
            .dialers
            .keys()
            .filter(|address| !wanted.contains(*address) && !self.is_connected(**address))
            .copied()
            .collect();
        for address in unwanted {
            if let Some(dialer) = self.dialers.remove(&address) {
                dialer.abort();
            }
        }
        for address in wanted {
            self.dial(address);
        }
    }

    fn is_connected(&self, address: SocketAddr) -> bool {
        self.connections
            .values()
            .any(|connection| connection.dialled == Some(address))
    }

    fn dial(&mut self, address: SocketAddr) {
        if self.dialers.contains_key(&address) || self.inbound_only.contains(&address) {
            return;
        }
        let dialer = link::dial(address, self.local.clone(), self.events.clone());
        self.dialers.insert(address, dialer);
    }
}
