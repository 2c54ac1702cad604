//! Simulated site with leased tasks: dispatchers, guards and stub upstreams run
//! in one thread, with a clock and a network that the test controls.
//!
//! Every step asserts that no task has two runs at a time, and every start that
//! it stays within the host's capacity.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

pub mod calls;
pub mod make;
mod peers;
pub mod suspension;
mod trace;
pub mod upstream;

use calls::Passage;
use make::announcement;
pub use make::{job, rules, timing};

use kernel::{
    dispatch::{Action as Entry, Answer, Dispatcher, Phase, Submission},
    guard::{Action as Side, Announcement, Guard, Timing},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use suspension::{Moment, Process, Suspension};
use upstream::{Call, Outcome, Stub};
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{Frame, Rules, Run},
};

/// Host name of the queue.
pub const HOST: &str = "desk.example";
/// Path of the queue.
pub const PATH: &str = "/jobs/";
/// Service that runs the queue's jobs.
pub const SERVICE: &str = "desk";

/// Delay of a message between an entry and a side.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
const TIME_STEP: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// A frame in transit on one connection.
struct Message {
    /// Time at which its bytes arrive.
    at: Duration,
    /// Earliest time at which the receiver handles it.
    handled_at: Duration,
    epoch: u64,
    entry: usize,
    side: usize,
    to_entry: bool,
    frame: Frame,
}

#[derive(Clone, Copy, PartialEq)]
struct Link {
    epoch: u64,
    /// Whether the entry, and the side, considers the connection open.
    entry_up: bool,
    side_up: bool,
    cut: bool,
    /// Whether frames to the side, and to the entry, are lost until the connection is
    /// replaced.
    mute: [bool; 2],
    since: Duration,
    /// Earliest time at which its first frames are handled.
    handled_from: Duration,
}

/// Entries, sides and upstreams over a network with delays and faults.
pub struct Site {
    pub now: Duration,
    pub timing: Timing,
    /// The store's rules, which an entry reads when it starts.
    pub rules: Rules,
    pub entries: Vec<Option<Dispatcher>>,
    entry_ids: Vec<Incarnation>,
    pub sides: Vec<Option<Guard>>,
    pub side_ids: Vec<Incarnation>,
    pub upstreams: Vec<Stub>,
    links: BTreeMap<(usize, usize), Link>,
    messages: Vec<Message>,
    calls: Vec<(Duration, usize, Call)>,
    results: Vec<(Duration, usize, Outcome)>,
    pub answers: BTreeMap<u64, (Duration, Answer)>,
    next_id: u64,
    pub frozen_sides: Vec<bool>,
    pub frozen_entries: Vec<bool>,
    /// Entries at which departures of customers wait to be read, and since when.
    pub unread_since: BTreeMap<usize, Duration>,
    /// Barriers behind these departures: when they were sent, by which entry and process,
    /// and their numbers.
    barriers: Vec<(Duration, usize, Incarnation, u64)>,
    suspensions: BTreeMap<Process, Suspension>,
    /// Whether no report of an upstream arrives at its side.
    pub reports_paused: bool,
    /// Upstreams' reports that arrive late, with the time and the side.
    late_reports: Vec<(Duration, usize, Announcement)>,
    /// What has happened, with the times, if it is recorded.
    pub trace: Option<Vec<(Duration, String)>>,
    /// Runs of each upstream as last traced.
    traced_runs: Vec<BTreeSet<Run>>,
    /// Time from the start of a connection until its first frames are handled, as
    /// on a machine whose processors are overcommitted.
    pub join_delay: Duration,
    /// Time from the arrival of a frame until it is handled.
    pub handling_delay: Duration,
    /// Number of connections established so far.
    pub connections: u64,
    /// Connections between the entries, if they are connected.
    peers: Option<peers::Peers>,
}

impl Site {
    /// Creates connected entries and sides with rules in force. Side `n` is in
    /// failure domain `n % 3`; each host has four cores.
    pub fn new(entries: usize, sides: usize) -> Self {
        let mut site = Self {
            now: Duration::from_secs(1_000),
            timing: timing(),
            rules: rules(1, &[]),
            entries: Vec::new(),
            entry_ids: Vec::new(),
            sides: Vec::new(),
            side_ids: Vec::new(),
            upstreams: Vec::new(),
            links: BTreeMap::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            results: Vec::new(),
            answers: BTreeMap::new(),
            next_id: 0,
            frozen_sides: vec![false; sides],
            frozen_entries: vec![false; entries],
            unread_since: BTreeMap::new(),
            barriers: Vec::new(),
            suspensions: BTreeMap::new(),
            reports_paused: false,
            late_reports: Vec::new(),
            trace: None,
            traced_runs: vec![BTreeSet::new(); sides],
            join_delay: Duration::ZERO,
            handling_delay: Duration::ZERO,
            connections: 0,
            peers: None,
        };
        for index in 0..sides {
            site.sides.push(None);
            site.side_ids.push(Incarnation(0));
            site.upstreams.push(Stub::new(index));
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

    fn new_incarnation(&mut self) -> Incarnation {
        self.next_id += 1;
        Incarnation(self.next_id)
    }

    pub fn entry_id(&self, index: usize) -> Incarnation {
        self.entry_ids[index]
    }

    pub fn start_side(&mut self, index: usize) {
        self.side_ids[index] = self.new_incarnation();
        self.sides[index] = Some(Guard::new(self.timing, self.now));
        for entry in 0..self.entries.len() {
            self.reset_link(entry, index);
        }
    }

    pub fn kill_side(&mut self, index: usize) {
        self.sides[index] = None;
        for entry in 0..self.entries.len() {
            self.reset_link(entry, index);
            self.disconnect_at_entry(entry, index);
        }
    }

    pub fn start_entry(&mut self, index: usize) {
        self.entry_ids[index] = self.new_incarnation();
        let mut entry = Dispatcher::new(self.now, "d0", self.timing, self.next_id);
        entry.adopt(self.now, &self.rules, None);
        self.entries[index] = Some(entry);
        for side in 0..self.sides.len() {
            self.reset_link(index, side);
        }
        self.introduce_entry(index);
    }

    /// Ends an entry; unless `observed`, its connections stay open without messages.
    pub fn kill_entry(&mut self, index: usize, observed: bool) {
        self.entries[index] = None;
        self.kill_peer(index, observed);
        for side in 0..self.sides.len() {
            if observed {
                self.disconnect_at_side(index, side);
            }
            if let Some(link) = self.links.get_mut(&(index, side)) {
                link.entry_up = false;
            }
        }
    }

    /// Suspends the host of a side: its processes stand still, and the upstream's clock,
    /// which doesn't count the time. The side's clock does.
    pub fn suspend_host(&mut self, side: usize, time: Duration) {
        self.begin_suspension(Process::Side(side), Moment::BetweenTurns, true);
        self.run(time);
        self.end_suspension(Process::Side(side));
    }

    /// Cuts or restores the network between an entry and a side.
    pub fn cut(&mut self, entry: usize, side: usize, cut: bool) {
        if let Some(link) = self.links.get_mut(&(entry, side)) {
            link.cut = cut;
        }
    }

    /// Has a connection lose what is sent to the entry, or to the side, for good.
    pub fn mute(&mut self, entry: usize, side: usize, to_entry: bool) {
        if let Some(link) = self.links.get_mut(&(entry, side)) {
            link.mute[usize::from(to_entry)] = true;
        }
    }

    /// Closes the connection between an entry and a side; they connect again.
    pub fn close_connection(&mut self, entry: usize, side: usize) {
        self.disconnect_at_entry(entry, side);
        self.disconnect_at_side(entry, side);
    }

    /// Closes one end of a connection; the other end learns of it when it is replaced.
    pub fn close_end(&mut self, entry: usize, side: usize, at_entry: bool) {
        if at_entry {
            self.disconnect_at_entry(entry, side);
        } else {
            self.disconnect_at_side(entry, side);
        }
    }

    /// Has a report of an upstream arrive later.
    pub fn delay_report(&mut self, side: usize, delay: Duration, report: Announcement) {
        self.late_reports.push((self.now + delay, side, report));
    }

    fn deliver_late_reports(&mut self) {
        let (now, frozen) = (self.now, &self.frozen_sides);
        let due: Vec<(Duration, usize, Announcement)> = self
            .late_reports
            .extract_if(.., |(at, side, _)| *at <= now && !frozen[*side])
            .collect();
        for (_, side, report) in due {
            self.note(|| {
                format!(
                    "fault: s{side} gets a late report of process {}",
                    report.started_at
                )
            });
            if let Some(guard) = &mut self.sides[side] {
                guard.announce(now, report);
            }
        }
    }

    fn deliver_barriers(&mut self) {
        let (now, frozen, unread) = (self.now, &self.frozen_entries, &self.unread_since);
        let passed: Vec<(Duration, usize, Incarnation, u64)> = self
            .barriers
            .extract_if(.., |(sent_at, entry, ..)| {
                let is_behind = unread.get(entry).is_some_and(|since| *since <= *sent_at);
                !frozen[*entry] && !is_behind
            })
            .collect();
        for (_, entry, id, number) in passed {
            if let Some(dispatcher) = &mut self.entries[entry]
                && self.entry_ids[entry] == id
            {
                dispatcher.record_barrier(now, number);
            }
        }
    }

    fn reset_link(&mut self, entry: usize, side: usize) {
        let old = self.links.get(&(entry, side)).copied();
        let link = Link {
            epoch: old.map_or(0, |link| link.epoch + 1),
            entry_up: false,
            side_up: false,
            cut: old.is_some_and(|link| link.cut),
            mute: [false; 2],
            since: self.now,
            handled_from: self.now,
        };
        self.links.insert((entry, side), link);
    }

    fn disconnect_at_entry(&mut self, entry: usize, side: usize) {
        let id = self.side_ids[side];
        if let Some(link) = self.links.get_mut(&(entry, side)) {
            link.entry_up = false;
            link.since = self.now;
        }
        if let Some(entry) = &mut self.entries[entry] {
            entry.lose_side(id);
        }
    }

    fn disconnect_at_side(&mut self, entry: usize, side: usize) {
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
            let due = self.now.saturating_sub(link.since) >= RECONNECT_INTERVAL;
            let frozen = self.frozen_sides[side] || self.frozen_entries[entry];
            let chosen = self.is_neighbour(side, entry);
            if (link.entry_up && link.side_up) || link.cut || !due || frozen || !chosen {
                continue;
            }
            // The side connects, and has not been told that the entry has closed its end.
            if link.side_up && link.mute[0] {
                continue;
            }
            let (Some(dispatcher), Some(guard)) = (&mut self.entries[entry], &mut self.sides[side])
            else {
                continue;
            };
            if link.entry_up {
                dispatcher.lose_side(self.side_ids[side]);
            }
            let hello = Hello {
                version: VERSION,
                role: Role::Side,
                name: format!("s{side}"),
                incarnation: self.side_ids[side],
                domain: format!("d{}", side % 3),
                rack: String::new(),
                address: String::new(),
                processor: 0,
                number: 0,
                nonce: 0,
            };
            dispatcher.join_side(self.now, &hello);
            guard.join(self.now, self.entry_ids[entry]);
            let link = self.links.get_mut(&(entry, side)).expect("key of links");
            link.epoch += 1;
            link.mute = [false; 2];
            link.entry_up = true;
            link.side_up = true;
            link.handled_from = self.now + self.join_delay;
            self.connections += 1;
        }
    }

    pub fn submit(&mut self, entry: usize, submission: Submission) -> u64 {
        self.submit_to(entry, PATH, submission)
    }

    pub fn submit_to(&mut self, entry: usize, path: &str, submission: Submission) -> u64 {
        self.next_id += 1;
        let customer = self.next_id;
        let Some(submission) = self.submit_request(entry, customer, path, submission) else {
            self.process_actions();
            return customer;
        };
        if let Some(dispatcher) = &mut self.entries[entry] {
            dispatcher.submit(self.now, customer, HOST, path, submission);
        }
        self.process_actions();
        customer
    }

    /// Returns the state in a customer's answer.
    pub fn state(&self, customer: u64) -> Option<Phase> {
        match self.answers.get(&customer)? {
            (_, Answer::State(state)) => Some(*state),
            _ => None,
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TIME_STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for index in 0..self.upstreams.len() {
            self.upstreams[index].advance(now);
        }
        self.trace_runs();
        self.check_single_runs();
        // A resumed process first reads the messages buffered on its connections.
        self.deliver();
        self.deliver_to_entries();
        self.connect();
        self.connect_entries();
        self.call_upstreams();
        self.deliver_late_reports();
        self.deliver_barriers();
        let now_ms = u64::try_from(now.as_millis()).expect("fits into 64 bits");
        let tick_ms = u64::try_from(TICK_INTERVAL.as_millis()).expect("fits into 64 bits");
        let announce_ms =
            u64::try_from(ANNOUNCEMENT_INTERVAL.as_millis()).expect("fits into 64 bits");
        for index in 0..self.sides.len() {
            if self.frozen_sides[index] {
                continue;
            }
            if let Some(guard) = &mut self.sides[index] {
                if now_ms % announce_ms == 0 && self.upstreams[index].alive && !self.reports_paused
                {
                    guard.announce(now, announcement(&self.upstreams[index], now));
                }
                if now_ms % tick_ms == 0 {
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
                if now_ms % tick_ms == 0 {
                    entry.tick(now);
                }
                entry.place_if_changed(now);
            }
        }
        if now_ms % tick_ms == 0 {
            self.disconnect_silent();
            self.disconnect_silent_entries();
            self.update_neighbours();
        }
        self.process_actions();
        self.trace_events();
    }

    fn disconnect_silent(&mut self) {
        for side in 0..self.sides.len() {
            if self.frozen_sides[side] {
                continue;
            }
            let silent = self.sides[side]
                .as_ref()
                .map(|guard| guard.silent(self.now));
            for id in silent.unwrap_or_default() {
                if let Some(entry) = self.entry_ids.iter().position(|known| *known == id) {
                    self.disconnect_at_side(entry, side);
                    let link = self.links[&(entry, side)];
                    if !link.cut && !link.mute[1] {
                        self.disconnect_at_entry(entry, side);
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
                    self.disconnect_at_entry(entry, side);
                    // A frozen process sees the connection close after it resumes.
                    let link = self.links[&(entry, side)];
                    if !link.cut && !link.mute[0] && !self.frozen_sides[side] {
                        self.disconnect_at_side(entry, side);
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
        for message in std::mem::take(&mut self.messages) {
            let link = self.links[&(message.entry, message.side)];
            if link.epoch != message.epoch {
                continue;
            }
            let frozen = if message.to_entry {
                self.frozen_entries[message.entry]
            } else {
                self.frozen_sides[message.side]
            };
            // TCP delivers delayed bytes later, in order.
            if message.at > now || link.cut || frozen {
                rest.push(message);
                continue;
            }
            if message.handled_at > now {
                self.record_bytes(&message);
                rest.push(message);
                continue;
            }
            if message.to_entry {
                let from = self.side_ids[message.side];
                if let Some(entry) = &mut self.entries[message.entry]
                    && link.entry_up
                {
                    entry.frame(now, from, message.frame);
                }
            } else {
                let from = self.entry_ids[message.entry];
                if let Some(guard) = &mut self.sides[message.side]
                    && link.side_up
                {
                    guard.frame(now, from, message.frame);
                }
            }
        }
        self.messages.extend(rest);
    }

    /// Tells the receiver of a frame that its bytes have arrived.
    fn record_bytes(&mut self, message: &Message) {
        let link = self.links[&(message.entry, message.side)];
        if message.to_entry {
            if let Some(entry) = &mut self.entries[message.entry]
                && link.entry_up
            {
                entry.record_bytes(message.at, self.side_ids[message.side]);
            }
        } else if let Some(guard) = &mut self.sides[message.side]
            && link.side_up
        {
            guard.record_bytes(message.at, self.entry_ids[message.entry]);
        }
    }

    fn call_upstreams(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|(at, index, _)| *at <= now && !self.upstreams[*index].suspended);
        self.calls = rest;
        for (_, index, call) in due {
            for (delay, outcome) in self.upstreams[index].receive(now, call) {
                self.results.push((now + delay, index, outcome));
            }
        }
        let held: Vec<(usize, Outcome)> = (0..self.upstreams.len())
            .flat_map(|index| {
                let done = self.upstreams[index].answer_holds(now);
                done.into_iter().map(move |outcome| (index, outcome))
            })
            .collect();
        for (index, outcome) in held {
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
            let described = self.trace.is_some().then(|| outcome.describe()).flatten();
            outcome.report(guard, now);
            if let Some(text) = described {
                self.note(|| format!("s{index}: {text}"));
            }
        }
    }

    fn process_actions(&mut self) {
        for index in 0..self.sides.len() {
            let Some(guard) = &mut self.sides[index] else {
                continue;
            };
            let actions = guard.take_actions();
            for action in self.hold_side_actions(index, actions) {
                self.execute_side(index, action);
            }
        }
        for index in 0..self.entries.len() {
            while let Some(entry) = &mut self.entries[index] {
                let actions = entry.take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in self.hold_entry_actions(index, actions) {
                    self.execute(index, action);
                }
            }
        }
    }

    fn execute_side(&mut self, index: usize, action: Side) {
        let owner = self.side_ids[index];
        let call = match action {
            Side::Send((to, frame)) => {
                let entry = self.entry_ids.iter().position(|id| *id == to);
                if let Some(entry) = entry {
                    self.send_message(entry, index, true, frame);
                }
                return;
            }
            Side::Start(order) => Call::Start(owner, order),
            Side::Stop { run, token } => Call::Stop(owner, run, token),
            Side::Hold(hold) => Call::Hold(owner, hold),
            Side::Entries(_) => return,
        };
        self.send_call(index, call);
    }

    /// Sends a call to an upstream over its path.
    fn send_call(&mut self, index: usize, call: Call) {
        self.trace_call(index, &call);
        let faults = &mut self.upstreams[index].call_faults;
        let failed = match faults.pass(&call) {
            Passage::After(delay) => {
                self.calls.push((self.now + TIME_STEP + delay, index, call));
                return;
            }
            Passage::Refused => call.unconnected(),
            Passage::Lost => call.unanswered(),
            Passage::Late(delay) => {
                let unanswered = call.unanswered();
                faults.hold_in_transit(self.now + delay, call);
                unanswered
            }
        };
        if let Some((delay, outcome)) = failed {
            self.results.push((self.now + delay, index, outcome));
        }
    }

    fn execute(&mut self, index: usize, action: Entry) {
        match action {
            Entry::Send((to, frame)) => {
                let side = self.side_ids.iter().position(|id| *id == to);
                match side {
                    Some(side) => self.send_message(index, side, false, frame),
                    None => self.send_to_entry(index, to, frame),
                }
            }
            Entry::Answer(customer, answer) => self.record_answer(customer, answer),
            Entry::Respond(customer, reply) => {
                let answer = self.replied(&reply);
                self.record_answer(customer, answer);
            }
            Entry::Reply(to, call, answer) => self.send_reply(index, to, call, answer),
            Entry::Serve(customer, request) => self.serve(index, customer, &request),
            Entry::Barrier(number) => {
                let id = self.entry_ids[index];
                self.barriers.push((self.now, index, id, number));
            }
        }
    }

    fn record_answer(&mut self, customer: u64, answer: Answer) {
        let previous = self.answers.insert(customer, (self.now, answer));
        assert!(previous.is_none(), "customer {customer} was answered twice");
    }

    fn send_message(&mut self, entry: usize, side: usize, to_entry: bool, frame: Frame) {
        let link = self.links[&(entry, side)];
        let connected = if to_entry {
            link.side_up
        } else {
            link.entry_up
        };
        if connected && !link.mute[usize::from(to_entry)] {
            let at = self.now + ONE_WAY_DELAY;
            self.messages.push(Message {
                at,
                handled_at: (at + self.handling_delay).max(link.handled_from),
                epoch: link.epoch,
                entry,
                side,
                to_entry,
                frame,
            });
        }
    }

    /// Returns the hosts to which a start order is on its way.
    pub fn ordered_at(&self) -> Vec<usize> {
        let starts = self
            .calls
            .iter()
            .filter(|(_, _, call)| matches!(call, Call::Start(..)));
        starts.map(|(_, index, _)| *index).collect()
    }

    /// Asserts that no task has two runs at a time.
    fn check_single_runs(&self) {
        let mut hosts = BTreeMap::new();
        for stub in &self.upstreams {
            for run in stub.running() {
                let other = hosts.insert(run.task, (stub.index, run.attempt));
                assert!(
                    other.is_none(),
                    "{:?}: task {} runs at {} and at {other:?}",
                    self.now,
                    run.task,
                    stub.index
                );
            }
        }
    }
}
