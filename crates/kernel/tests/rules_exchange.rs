//! Rules that many entries learn at the same time, as when 960 routes appear at
//! once on 35 entries (load trouble-1 of folia-cluj-large, 27.1 s). Every entry
//! used to send them to every other: 34 copies of 100 KB for each link of 25
//! Mbit/s, and the answers to customers behind them.

mod site;

use kernel::dispatch::{Action, Dispatcher};
use site::{rules, timing};
use std::time::Duration;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{Frame, Rules},
};

const ENTRIES: u64 = 35;
const TICK: Duration = Duration::from_millis(20);

/// Connected entries with messages that arrive after one tick.
struct Exchange {
    now: Duration,
    entries: Vec<Dispatcher>,
    /// Sender, receiver and frame.
    messages: Vec<(usize, usize, Frame)>,
    /// Numbers of [`Frame::Rules`] received, by entry.
    copies: Vec<usize>,
}

fn hello(index: usize) -> Hello {
    Hello {
        version: VERSION,
        role: Role::Entry,
        name: format!("e{index}"),
        incarnation: id(index),
        domain: "d0".to_owned(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    }
}

fn id(index: usize) -> Incarnation {
    Incarnation(index as u64 + 1)
}

impl Exchange {
    /// Connects entries without rules.
    fn new() -> Self {
        let now = Duration::from_secs(1_000);
        let entries = (0..ENTRIES).map(|seed| Dispatcher::new(now, "d0", timing(), seed));
        let mut exchange = Self {
            now,
            entries: entries.collect(),
            messages: Vec::new(),
            copies: vec![0; usize::try_from(ENTRIES).unwrap()],
        };
        for left in 0..exchange.entries.len() {
            for right in 0..exchange.entries.len() {
                if left != right {
                    exchange.entries[left].join_entry(now, &hello(right));
                }
            }
        }
        exchange
    }

    /// Delivers the rules of the store to some entries.
    fn publish(&mut self, rules: &Rules, to: impl Iterator<Item = usize>) {
        for index in to {
            self.entries[index].adopt(self.now, rules, None);
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for (from, to, frame) in std::mem::take(&mut self.messages) {
                self.copies[to] += usize::from(matches!(frame, Frame::Rules(_)));
                self.entries[to].frame(self.now, id(from), frame);
            }
            for from in 0..self.entries.len() {
                self.entries[from].tick(self.now);
                for action in self.entries[from].take_actions() {
                    if let Action::Send((to, frame)) = action {
                        let to = usize::try_from(to.0 - 1).unwrap();
                        self.messages.push((from, to, frame));
                    }
                }
            }
        }
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.entries.len()
    }

    fn version(&self, index: usize) -> u64 {
        self.entries[index].rules().map_or(0, |rules| rules.version)
    }
}

#[test]
fn store_reaches_all() {
    let mut exchange = Exchange::new();
    exchange.publish(&rules(1, &[]), exchange.all());
    exchange.run(Duration::from_secs(1));
    exchange.copies.fill(0);
    exchange.publish(&rules(2, &["d1"]), exchange.all());
    exchange.run(Duration::from_secs(1));
    assert_eq!(exchange.copies.iter().sum::<usize>(), 0);
}

#[test]
fn store_reaches_some() {
    let mut exchange = Exchange::new();
    exchange.publish(&rules(1, &[]), exchange.all());
    exchange.run(Duration::from_secs(1));
    exchange.copies.fill(0);
    exchange.publish(&rules(2, &["d1"]), 0..20);
    // Half of the shortest time in which rules must take effect.
    exchange.run(Duration::from_secs(1));
    for index in exchange.all() {
        assert_eq!(exchange.version(index), 2, "entry {index}");
        assert!(exchange.copies[index] <= 1, "entry {index}");
    }
}

#[test]
fn first_rules_from_one_entry() {
    let mut exchange = Exchange::new();
    exchange.publish(&rules(1, &[]), 0..1);
    exchange.run(Duration::from_secs(1));
    for index in exchange.all() {
        assert_eq!(exchange.version(index), 1, "entry {index}");
        assert!(exchange.copies[index] <= 1, "entry {index}");
    }
}

#[test]
fn same_rules_at_later_revision() {
    let mut exchange = Exchange::new();
    exchange.publish(&rules(1, &[]), exchange.all());
    exchange.run(Duration::from_secs(1));
    exchange.copies.fill(0);
    // An entry that starts lists the keys at the store's present revision.
    let later = Rules {
        revision: 90,
        ..rules(1, &[])
    };
    exchange.publish(&later, 0..1);
    exchange.run(Duration::from_secs(1));
    assert_eq!(exchange.copies.iter().sum::<usize>(), 0);
    let stale = Rules {
        revision: 60,
        ..rules(1, &["d1"])
    };
    let now = exchange.now;
    assert!(!exchange.entries[5].adopt(now, &stale, None));
}
