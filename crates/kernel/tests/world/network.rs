//! Simulated connections and network faults.

use super::{DOMAINS, Process, World};
use std::collections::VecDeque;
use wire::{
    Frame,
    frame::{Hello, Role, VERSION},
    id::Incarnation,
};

/// An item in transit on a connection.
#[derive(Debug, Clone)]
pub enum Item {
    Join,
    Frame(Frame),
    Lost,
}

/// A connection between an entry and another process.
#[derive(Debug)]
pub struct Pipe {
    pub ends: [Incarnation; 2],
    /// Items in transit to each end.
    pub items: [VecDeque<Item>; 2],
    /// Whether each end uses this connection.
    pub current: [bool; 2],
    /// Whether each end has ever used it.
    joined: [bool; 2],
    pub open: bool,
}

impl World {
    pub fn connect_all(&mut self) {
        for entry in 0..self.entries.len() {
            for side in 0..self.sides.len() {
                self.connect(entry, Process::Side(side));
            }
            for other in 0..entry {
                self.connect(entry, Process::Entry(other));
            }
        }
    }

    /// Opens a connection; each end accepts it when its first item is delivered.
    pub fn connect(&mut self, entry: usize, other: Process) {
        if !self.is_alive(Process::Entry(entry)) || !self.is_alive(other) {
            return;
        }
        self.pipes.push(Pipe {
            ends: self.ends(entry, other),
            items: [VecDeque::from([Item::Join]), VecDeque::from([Item::Join])],
            current: [false, false],
            joined: [false, false],
            open: true,
        });
    }

    /// Returns the incarnations of two processes in the order of [`Pipe::ends`].
    pub(super) fn ends(&self, entry: usize, other: Process) -> [Incarnation; 2] {
        let mut ends = [self.entry_ids[entry], self.id(other)];
        if matches!(other, Process::Entry(_)) {
            ends.sort_unstable();
        }
        ends
    }

    /// Breaks the connections between two processes. The first `delivered` items
    /// in transit in each direction still arrive. Both ends are informed if
    /// `notified`.
    pub fn cut(&mut self, entry: usize, other: Process, delivered: usize, notified: bool) {
        let ends = self.ends(entry, other);
        for pipe in self
            .pipes
            .iter_mut()
            .filter(|pipe| pipe.ends == ends && pipe.open)
        {
            pipe.open = false;
            for items in &mut pipe.items {
                items.truncate(delivered);
                if notified {
                    items.push_back(Item::Lost);
                }
            }
        }
    }

    /// Breaks all connections of a process and informs both ends.
    pub fn cut_all(&mut self, process: Process) {
        match process {
            Process::Entry(entry) => {
                for side in 0..self.sides.len() {
                    self.cut(entry, Process::Side(side), 0, true);
                }
                for other in 0..self.entries.len() {
                    self.cut(entry, Process::Entry(other), 0, true);
                }
            }
            Process::Side(_) => {
                for entry in 0..self.entries.len() {
                    self.cut(entry, process, 0, true);
                }
            }
        }
        self.settle();
    }

    /// Delivers the next item of one connection to one end.
    pub fn deliver(&mut self, pipe: usize, end: usize) -> bool {
        let Some(item) = self.pipes[pipe].items[end].pop_front() else {
            return false;
        };
        let receiver = self.pipes[pipe].ends[end];
        let Some(process) = self.incarnations.get(&receiver).copied() else {
            return true;
        };
        match item {
            Item::Join => self.accept(pipe, end, process),
            Item::Frame(frame) => {
                if self.pipes[pipe].current[end] {
                    self.receive(process, self.pipes[pipe].ends[1 - end], frame);
                }
            }
            Item::Lost => {
                if std::mem::take(&mut self.pipes[pipe].current[end]) {
                    self.lose(process, self.pipes[pipe].ends[1 - end]);
                }
            }
        }
        self.act(process);
        true
    }

    pub(super) fn accept(&mut self, pipe: usize, end: usize, process: Process) {
        let ends = self.pipes[pipe].ends;
        let peer = ends[1 - end];
        let newer = (pipe + 1..self.pipes.len())
            .any(|other| self.pipes[other].ends == ends && self.pipes[other].joined[end]);
        if newer {
            return;
        }
        self.pipes[pipe].joined[end] = true;
        let replaced: Vec<usize> = (0..self.pipes.len())
            .filter(|other| *other != pipe && self.pipes[*other].ends == ends)
            .filter(|other| self.pipes[*other].current[end])
            .collect();
        for old in replaced {
            self.pipes[old].current[end] = false;
            self.lose(process, peer);
        }
        self.pipes[pipe].current[end] = true;
        let now = self.now;
        let Some(hello) = self.hello(peer) else {
            return;
        };
        match process {
            Process::Entry(index) => {
                let entry = self.entries[index].as_mut().unwrap();
                match hello.role {
                    Role::Side => entry.join_side(now, &hello),
                    Role::Entry => entry.join_entry(now, &hello),
                }
            }
            Process::Side(index) => self.sides[index].as_mut().unwrap().join(now, peer),
        }
    }

    pub(super) fn hello(&self, incarnation: Incarnation) -> Option<Hello> {
        let process = self.incarnations.get(&incarnation)?;
        let (role, name, domain) = match process {
            Process::Entry(index) => (Role::Entry, format!("entry-{index}"), DOMAINS[index % 3]),
            Process::Side(index) => (Role::Side, format!("side-{index}"), Self::domain(*index)),
        };
        Some(Hello {
            version: VERSION,
            role,
            name,
            incarnation,
            domain: domain.to_owned(),
            rack: String::new(),
            address: String::new(),
            processor: 0,
            number: 0,
            nonce: 0,
        })
    }

    pub(super) fn lose(&mut self, process: Process, peer: Incarnation) {
        let now = self.now;
        let is_side = self.side_ids.contains(&peer);
        match process {
            Process::Entry(index) => {
                let Some(entry) = &mut self.entries[index] else {
                    return;
                };
                if is_side {
                    entry.lose_side(now, peer);
                } else {
                    entry.lose_side(now, peer);
                    entry.lose_entry(now, peer);
                }
            }
            Process::Side(index) => {
                if let Some(side) = &mut self.sides[index] {
                    side.lose(peer);
                }
            }
        }
    }

    pub(super) fn receive(&mut self, process: Process, from: Incarnation, frame: Frame) {
        let now = self.now;
        match process {
            Process::Entry(index) => {
                if let Some(entry) = &mut self.entries[index] {
                    entry.frame(now, from, frame);
                }
            }
            Process::Side(index) => {
                if let Frame::Void(void) = &frame
                    && void.indices.is_empty()
                    && void.job.home == from
                {
                    self.voided.insert((index, void.job));
                }
                if let Some(side) = &mut self.sides[index] {
                    side.frame(now, from, frame);
                }
            }
        }
    }

    /// Duplicates the next frame of one connection if it is a result.
    ///
    /// Refusals and handovers rely on connections that neither duplicate nor
    /// reorder frames; results must not.
    pub fn duplicate(&mut self, pipe: usize, end: usize) {
        let items = &mut self.pipes[pipe].items[end];
        if let Some(Item::Frame(frame @ Frame::Done(_))) = items.front().cloned() {
            items.push_front(Item::Frame(frame));
        }
    }

    /// Swaps the next two frames of one connection, unless one of them depends on
    /// the order.
    pub fn reorder(&mut self, pipe: usize, end: usize) {
        let items = &mut self.pipes[pipe].items[end];
        let is_order_free = |item: Option<&Item>| {
            let Some(Item::Frame(frame)) = item else {
                return false;
            };
            matches!(
                frame,
                Frame::Run(_)
                    | Frame::Void(_)
                    | Frame::Done(_)
                    | Frame::Heartbeat(_)
                    | Frame::Config(_)
                    | Frame::Rule(_)
            )
        };
        if is_order_free(items.front()) && is_order_free(items.get(1)) {
            items.swap(0, 1);
        }
    }

    pub fn pipes(&self) -> usize {
        self.pipes.len()
    }

    /// Returns the connections and ends with items in transit.
    pub fn busy(&self) -> Vec<(usize, usize)> {
        (0..self.pipes.len())
            .flat_map(|pipe| [(pipe, 0), (pipe, 1)])
            .filter(|(pipe, end)| !self.pipes[*pipe].items[*end].is_empty())
            .collect()
    }

    /// Closes one end's connections to a peer.
    pub(super) fn drop_pipes(&mut self, process: Process, peer: Incarnation) {
        let own = self.id(process);
        for pipe in &mut self.pipes {
            let Some(end) = pipe.ends.iter().position(|end| *end == own) else {
                continue;
            };
            if pipe.ends[1 - end] == peer && pipe.current[end] {
                pipe.current[end] = false;
                pipe.items[end].clear();
                if pipe.open {
                    pipe.open = false;
                    pipe.items[1 - end].push_back(Item::Lost);
                }
            }
        }
        self.lose(process, peer);
    }
}
