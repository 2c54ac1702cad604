//! The connections of one process: one to each peer, replaced when lost.

use crate::link::{self, Joined, Link, Local, Order};
use hashbrown::{HashMap, HashSet};
use std::net::SocketAddr;
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
}

/// A new connection that counts.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) peer: Hello,
    /// Whether it replaces one that was not yet reported lost.
    pub(crate) replaces: bool,
}

/// All connections of a process.
#[derive(Debug)]
pub(crate) struct Mesh<E> {
    local: Local,
    events: mpsc::Sender<E>,
    links: HashMap<Incarnation, Link>,
    order: Order,
    connections: HashMap<u64, Connection>,
    dialers: HashMap<SocketAddr, JoinHandle<()>>,
    /// Addresses of entries that dial this one.
    passive: HashSet<SocketAddr>,
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
            order: Order::default(),
            connections: HashMap::new(),
            dialers: HashMap::new(),
            passive: HashSet::new(),
            seeds,
            registered: Vec::new(),
        }
    }

    /// Returns what this process says of itself.
    pub(crate) fn local(&self) -> &Local {
        &self.local
    }

    /// Takes a new connection unless a newer one of its peer is there.
    pub(crate) fn admit(&mut self, joined: Joined) -> Option<Admitted> {
        if !self.order.admit(&joined) {
            joined.link.close();
            return None;
        }
        let Joined {
            hello,
            link,
            dialled,
        } = joined;
        let entries = hello.role == Role::Entry && self.local.hello.role == Role::Entry;
        if entries && !self.keeps(&hello, dialled) {
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
        };
        self.connections.insert(link.number(), connection);
        self.links.insert(hello.incarnation, link);
        Some(Admitted {
            peer: hello,
            replaces,
        })
    }

    /// Of two connections between the same entries, both keep the one that the
    /// smaller name dialled.
    fn keeps(&mut self, hello: &Hello, dialled: Option<SocketAddr>) -> bool {
        let smaller = self.local.hello.name < hello.name;
        match dialled {
            Some(address) if !smaller => {
                if let Some(dialer) = self.dialers.remove(&address) {
                    dialer.abort();
                }
                self.passive.insert(address);
                false
            }
            None if smaller => {
                if let Ok(address) = hello.address.parse() {
                    self.dial(address);
                }
                false
            }
            Some(_) | None => true,
        }
    }

    /// Returns whether any peer is connected.
    pub(crate) fn is_joined(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Returns the peer of a connection that counts.
    pub(crate) fn peer(&self, number: u64) -> Option<Incarnation> {
        self.connections
            .get(&number)
            .map(|connection| connection.peer.incarnation)
    }

    /// Records the end of a connection; returns its peer if it counted.
    pub(crate) fn lost(&mut self, number: u64) -> Option<Hello> {
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
            self.passive.clear();
            self.dial_known();
        }
        Some(peer)
    }

    /// Gives up the connection to a peer; returns the peer if there was one.
    pub(crate) fn close(&mut self, to: Incarnation, reason: &str) -> Option<Hello> {
        let number = self.links.get(&to)?.number();
        log::warn!("event=peer_given_up incarnation={to} reason={reason}");
        self.lost(number)
    }

    /// Sends a frame; a peer that does not keep up is disconnected.
    pub(crate) fn send(&mut self, to: Incarnation, frame: Frame) {
        let sent = self.links.get(&to).is_some_and(|link| link.send(frame));
        if !sent && let Some(link) = self.links.remove(&to) {
            log::warn!("event=peer_slow incarnation={to}");
            // The reader's end reports the loss.
            link.close();
        }
    }

    /// Sets the addresses to begin with, and connects to them.
    pub(crate) fn seed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.dial_known();
    }

    /// Records the entries registered, and connects to them.
    pub(crate) fn register(&mut self, entries: Vec<Endpoint>) {
        self.registered = entries;
        self.dial_known();
    }

    /// Returns the entries registered and those connected, which may not be
    /// registered yet or any more, in the order of their names.
    pub(crate) fn known(&self) -> Vec<Endpoint> {
        let mut known = self.registered.clone();
        let own = std::iter::once(&self.local.hello);
        let connected = self.connections.values().map(|connection| &connection.peer);
        for peer in connected.chain(own) {
            if peer.role == Role::Entry && known.iter().all(|entry| entry.name != peer.name) {
                known.push(Endpoint {
                    name: peer.name.clone(),
                    address: peer.address.clone(),
                });
            }
        }
        known.sort_by(|left, right| left.name.cmp(&right.name));
        known
    }

    /// Dials the entries registered and the seeds, and no others.
    pub(crate) fn dial_known(&mut self) {
        let own = self.local.hello.address.clone();
        let registered = self
            .registered
            .iter()
            .filter(|known| known.address != own)
            .filter_map(|known| known.address.parse().ok());
        let wanted: HashSet<SocketAddr> = registered
            .chain(self.seeds.iter().copied())
            .filter(|address| address.to_string() != own)
            .collect();
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
        if self.dialers.contains_key(&address) || self.passive.contains(&address) {
            return;
        }
        let dialer = link::dial(address, self.local.clone(), self.events.clone());
        self.dialers.insert(address, dialer);
    }
}
