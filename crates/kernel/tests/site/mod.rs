//! A site of leased tasks in one thread: dispatchers, guards and upstreams, with
//! a clock and a network that tests control.
//!
//! The upstreams audit what they are ordered: no two runs of a task at a time,
//! no start beyond a host's capacity.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod make;
pub mod upstream;

use make::announcement;
pub use make::{job, rules, timing};

use kernel::{
    dispatch::{Action as Entry, Answer, Dispatcher, Phase, Submission},
    guard::{Action as Side, Guard, Timing},
};
use std::{collections::BTreeMap, time::Duration};
use upstream::{Call, Outcome, Up};
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::Frame,
};

/// Host name of the queue.
pub const HOST: &str = "desk.example";
/// Path of the queue.
pub const PATH: &str = "/jobs/";
/// Service that runs the queue's jobs.
pub const SERVICE: &str = "desk";

/// One way between two processes, and between a side and its upstream.
const WAY: Duration = Duration::from_millis(2);
const STEP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(500);
const REDIAL: Duration = Duration::from_millis(100);

/// Sent at, arrives at, from, to.
struct Letter {
    at: Duration,
    epoch: u64,
    entry: usize,
    side: usize,
    up: bool,
    frame: Frame,
}

#[derive(Clone, Copy, PartialEq)]
struct Link {
    epoch: u64,
    /// What each end takes the connection for.
    entry_up: bool,
    side_up: bool,
    cut: bool,
    since: Duration,
}

/// Kernels of entries and sides over a network with delays and faults.
pub struct Site {
    pub now: Duration,
    pub timing: Timing,
    pub entries: Vec<Option<Dispatcher>>,
    entry_ids: Vec<Incarnation>,
    pub sides: Vec<Option<Guard>>,
    side_ids: Vec<Incarnation>,
    pub ups: Vec<Up>,
    links: BTreeMap<(usize, usize), Link>,
    letters: Vec<Letter>,
    calls: Vec<(Duration, usize, Call)>,
    results: Vec<(Duration, usize, Outcome)>,
    pub answers: BTreeMap<u64, (Duration, Answer)>,
    next: u64,
    pub frozen_sides: Vec<bool>,
    pub frozen_entries: Vec<bool>,
}

impl Site {
    /// Makes entries and sides; side `n` is in domain `n % 3`, each host has
    /// four cores. All are connected, and rules are in force.
    pub fn new(entries: usize, sides: usize) -> Self {
        let mut site = Self {
            now: Duration::from_secs(1_000),
            timing: timing(),
            entries: Vec::new(),
            entry_ids: Vec::new(),
            sides: Vec::new(),
            side_ids: Vec::new(),
            ups: Vec::new(),
            links: BTreeMap::new(),
            letters: Vec::new(),
            calls: Vec::new(),
            results: Vec::new(),
            answers: BTreeMap::new(),
            next: 0,
            frozen_sides: vec![false; sides],
            frozen_entries: vec![false; entries],
        };
        for index in 0..sides {
            site.sides.push(None);
            site.side_ids.push(Incarnation(0));
            site.ups.push(Up::new(index));
            site.start_side(index);
        }
        for index in 0..entries {
            site.entries.push(None);
            site.entry_ids.push(Incarnation(0));
            site.start_entry(index);
        }
        site.run(Duration::from_secs(1));
        site
    }

    fn fresh(&mut self) -> Incarnation {
        self.next += 1;
        Incarnation(self.next)
    }

    pub fn start_side(&mut self, index: usize) {
        self.side_ids[index] = self.fresh();
        self.sides[index] = Some(Guard::new(self.timing, self.now));
        for entry in 0..self.entries.len() {
            self.unlink(entry, index);
        }
    }

    pub fn kill_side(&mut self, index: usize) {
        self.sides[index] = None;
        for entry in 0..self.entries.len() {
            self.unlink(entry, index);
            self.drop_at_entry(entry, index);
        }
    }

    pub fn start_entry(&mut self, index: usize) {
        self.entry_ids[index] = self.fresh();
        let mut entry = Dispatcher::new(self.now, "d0", self.timing, self.next);
        entry.adopt(self.now, &rules(1, &[]), None);
        self.entries[index] = Some(entry);
        for side in 0..self.sides.len() {
            self.unlink(index, side);
        }
    }

    /// Ends an entry; sides notice at once if `seen`, else by its silence.
    pub fn kill_entry(&mut self, index: usize, seen: bool) {
        self.entries[index] = None;
        for side in 0..self.sides.len() {
            if seen {
                self.drop_at_side(index, side);
            }
            if let Some(link) = self.links.get_mut(&(index, side)) {
                link.entry_up = false;
            }
        }
    }

    /// Cuts or heals the way between an entry and a side.
    pub fn cut(&mut self, entry: usize, side: usize, cut: bool) {
        if let Some(link) = self.links.get_mut(&(entry, side)) {
            link.cut = cut;
        }
    }

    fn unlink(&mut self, entry: usize, side: usize) {
        let old = self.links.get(&(entry, side)).copied();
        let link = Link {
            epoch: old.map_or(0, |link| link.epoch + 1),
            entry_up: false,
            side_up: false,
            cut: old.is_some_and(|link| link.cut),
            since: self.now,
        };
        self.links.insert((entry, side), link);
    }

    fn drop_at_entry(&mut self, entry: usize, side: usize) {
        let id = self.side_ids[side];
        if let Some(link) = self.links.get_mut(&(entry, side)) {
            link.entry_up = false;
            link.since = self.now;
        }
        if let Some(entry) = &mut self.entries[entry] {
            entry.lose_side(id);
        }
    }

    fn drop_at_side(&mut self, entry: usize, side: usize) {
        let id = self.entry_ids[entry];
        if let Some(link) = self.links.get_mut(&(entry, side)) {
            link.side_up = false;
            link.since = self.now;
        }
        if let Some(side) = &mut self.sides[side] {
            side.lose(id);
        }
    }

    fn connect(&mut self) {
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (entry, side) in pairs {
            let link = self.links[&(entry, side)];
            let due = self.now.saturating_sub(link.since) >= REDIAL;
            let frozen = self.frozen_sides[side] || self.frozen_entries[entry];
            if (link.entry_up && link.side_up) || link.cut || !due || frozen {
                continue;
            }
            let (Some(dispatcher), Some(guard)) = (&mut self.entries[entry], &mut self.sides[side])
            else {
                continue;
            };
            let hello = Hello {
                version: VERSION,
                role: Role::Side,
                name: format!("s{side}"),
                incarnation: self.side_ids[side],
                domain: format!("d{}", side % 3),
                rack: String::new(),
                address: String::new(),
                number: 0,
                nonce: 0,
            };
            dispatcher.join_side(self.now, &hello);
            guard.join(self.now, self.entry_ids[entry]);
            let link = self.links.get_mut(&(entry, side)).expect("listed above");
            link.epoch += 1;
            link.entry_up = true;
            link.side_up = true;
        }
    }

    pub fn submit(&mut self, entry: usize, submission: Submission) -> u64 {
        self.submit_to(entry, PATH, submission)
    }

    pub fn submit_to(&mut self, entry: usize, path: &str, submission: Submission) -> u64 {
        self.next += 1;
        let customer = self.next;
        if let Some(dispatcher) = &mut self.entries[entry] {
            dispatcher.submit(self.now, customer, HOST, path, submission);
        }
        self.act();
        customer
    }

    /// Returns the state that a customer was answered.
    pub fn state(&self, customer: u64) -> Option<Phase> {
        match self.answers.get(&customer)? {
            (_, Answer::State(state)) => Some(*state),
            _ => None,
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for index in 0..self.ups.len() {
            self.ups[index].advance(now);
        }
        self.audit();
        // A process that wakes reads what its old connections hold first.
        self.deliver();
        self.connect();
        self.call_upstreams();
        let millis = u64::try_from(now.as_millis()).expect("small");
        let tick = u64::try_from(TICK.as_millis()).expect("small");
        let beat = u64::try_from(HEARTBEAT.as_millis()).expect("small");
        for index in 0..self.sides.len() {
            if self.frozen_sides[index] {
                continue;
            }
            if let Some(guard) = &mut self.sides[index] {
                if millis % beat == 0 && self.ups[index].alive {
                    guard.announce(now, announcement(&self.ups[index], now));
                }
                if millis % tick == 0 {
                    guard.tick(now);
                }
                guard.flush(now);
            }
        }
        for index in 0..self.entries.len() {
            if self.frozen_entries[index] {
                continue;
            }
            if let Some(entry) = &mut self.entries[index] {
                if millis % tick == 0 {
                    entry.tick(now);
                }
                entry.place_if_changed(now);
            }
        }
        if millis % tick == 0 {
            self.drop_silent();
        }
        self.act();
    }

    fn drop_silent(&mut self) {
        for side in 0..self.sides.len() {
            if self.frozen_sides[side] {
                continue;
            }
            let silent = self.sides[side]
                .as_ref()
                .map(|guard| guard.silent(self.now));
            for id in silent.unwrap_or_default() {
                if let Some(entry) = self.entry_ids.iter().position(|known| *known == id) {
                    self.drop_at_side(entry, side);
                    if !self.links[&(entry, side)].cut {
                        self.drop_at_entry(entry, side);
                    }
                } else if let Some(guard) = &mut self.sides[side] {
                    guard.lose(id);
                }
            }
        }
        for entry in 0..self.entries.len() {
            if self.frozen_entries[entry] {
                continue;
            }
            let silent = self.entries[entry]
                .as_ref()
                .map(|dispatcher| dispatcher.silent_sides(self.now));
            for id in silent.unwrap_or_default() {
                if let Some(side) = self.side_ids.iter().position(|known| *known == id) {
                    self.drop_at_entry(entry, side);
                    // A process that is paused reads its connection later.
                    if !self.links[&(entry, side)].cut && !self.frozen_sides[side] {
                        self.drop_at_side(entry, side);
                    }
                } else if let Some(dispatcher) = &mut self.entries[entry] {
                    dispatcher.lose_side(id);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut rest = Vec::new();
        for letter in std::mem::take(&mut self.letters) {
            let link = self.links[&(letter.entry, letter.side)];
            if link.epoch != letter.epoch {
                continue;
            }
            let frozen = if letter.up {
                self.frozen_entries[letter.entry]
            } else {
                self.frozen_sides[letter.side]
            };
            // TCP keeps what a cut or a pause holds up, and its order.
            if letter.at > now || link.cut || frozen {
                rest.push(letter);
                continue;
            }
            if letter.up {
                let from = self.side_ids[letter.side];
                if let Some(entry) = &mut self.entries[letter.entry]
                    && link.entry_up
                {
                    entry.frame(now, from, letter.frame);
                }
            } else {
                let from = self.entry_ids[letter.entry];
                if let Some(guard) = &mut self.sides[letter.side]
                    && link.side_up
                {
                    guard.frame(now, from, letter.frame);
                }
            }
        }
        self.letters.extend(rest);
    }

    fn call_upstreams(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.calls = rest;
        for (_, index, call) in due {
            for (delay, outcome) in self.ups[index].take(now, call) {
                self.results.push((now + delay, index, outcome));
            }
        }
        let waits: Vec<(usize, Outcome)> = (0..self.ups.len())
            .flat_map(|index| {
                let done = self.ups[index].finished_waits(now);
                done.into_iter().map(move |outcome| (index, outcome))
            })
            .collect();
        for (index, outcome) in waits {
            self.results.push((now, index, outcome));
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.results)
            .into_iter()
            .partition(|(at, index, _)| *at <= now && !self.frozen_sides[*index]);
        self.results = rest;
        for (_, index, outcome) in due {
            let Some(guard) = &mut self.sides[index] else {
                continue;
            };
            if outcome.owner() != self.side_ids[index] {
                continue;
            }
            outcome.report(guard, now);
        }
    }

    fn act(&mut self) {
        for index in 0..self.sides.len() {
            let Some(guard) = &mut self.sides[index] else {
                continue;
            };
            for action in guard.take_actions() {
                let owner = self.side_ids[index];
                let call = match action {
                    Side::Send((to, frame)) => {
                        let entry = self.entry_ids.iter().position(|id| *id == to);
                        if let Some(entry) = entry {
                            self.post(entry, index, true, frame);
                        }
                        continue;
                    }
                    Side::Start(order) => Call::Start(owner, order),
                    Side::Stop { run, token } => Call::Stop(owner, run, token),
                    Side::Hold(hold) => Call::Hold(owner, hold),
                    Side::Entries(_) => continue,
                };
                self.calls.push((self.now + STEP, index, call));
            }
        }
        for index in 0..self.entries.len() {
            let Some(entry) = &mut self.entries[index] else {
                continue;
            };
            for action in entry.take_actions() {
                match action {
                    Entry::Send((to, frame)) => {
                        let side = self.side_ids.iter().position(|id| *id == to);
                        if let Some(side) = side {
                            self.post(index, side, false, frame);
                        }
                    }
                    Entry::Answer(customer, answer) => {
                        let twice = self.answers.insert(customer, (self.now, answer));
                        assert!(twice.is_none(), "customer {customer} was answered twice");
                    }
                }
            }
        }
    }

    fn post(&mut self, entry: usize, side: usize, up: bool, frame: Frame) {
        let link = self.links[&(entry, side)];
        let connected = if up { link.side_up } else { link.entry_up };
        if connected {
            self.letters.push(Letter {
                at: self.now + WAY,
                epoch: link.epoch,
                entry,
                side,
                up,
                frame,
            });
        }
    }

    /// Checks that no task runs twice at a time.
    fn audit(&self) {
        let mut seen = BTreeMap::new();
        for up in &self.ups {
            for run in up.running() {
                let other = seen.insert(run.task, (up.index, run.attempt));
                assert!(
                    other.is_none(),
                    "{:?}: task {} runs at {} and at {other:?}",
                    self.now,
                    run.task,
                    up.index
                );
            }
        }
    }
}
