//! Simulates the product's entries and sides on the hosts of a workload, connected
//! by a network with a constant delay.

use super::{
    tally::End,
    workload::{HOST_MCPU, Job, OBJECTIVE_FACTOR, OBJECTIVE_MARGIN, TASK_MCPU, Workload},
};
use kernel::{
    dispatch::{self, Answer, Dispatcher, Phase, Step, Submission},
    guard::{
        self, Admission, Announcement, Guard, Hold, Inventory, Observation, Timing, UnreadableRows,
    },
    millis,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{Ending, Frame, Need, Queue, Rules, Run, Upstream},
};

const TIME_STEP: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Network delay between two processes, as between failure domains of a region.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
/// Interval between two announcements of an upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_LEASE: Duration = Duration::from_secs(1);
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
const STOP_DELAY: Duration = Duration::from_millis(10);
/// Time before the first job, in which entries and sides connect.
const WARMUP: Duration = Duration::from_secs(2);

const SERVICE: &str = "desk";
/// First incarnation of a side; those of entries are lower.
const FIRST_SIDE: u64 = 1_000;

#[derive(Clone, Copy)]
enum Process {
    Entry(usize),
    Side(usize),
}

struct Message {
    at: Duration,
    from: Incarnation,
    to: Process,
    frame: Frame,
}

struct Running {
    run: Run,
    started: Duration,
    ends: Duration,
    ending: Ending,
}

/// State of the upstream at one host.
#[derive(Default)]
struct UpstreamState {
    running: Vec<Running>,
    ended: Vec<(u64, Run, Ending)>,
    last_end: u64,
    pending_hold: Option<(Duration, Hold)>,
    lost: bool,
    restarts: u64,
}

struct Site<'a> {
    workload: &'a Workload,
    now: Duration,
    entries: Vec<Dispatcher>,
    sides: Vec<Guard>,
    upstreams: Vec<UpstreamState>,
    messages: VecDeque<Message>,
    processes: BTreeMap<Incarnation, Process>,
    ends: Vec<End>,
}

/// Simulates a workload and returns how each job ended.
pub fn simulate(workload: &Workload) -> Vec<End> {
    let mut site = Site::new(workload);
    while site.now < WARMUP {
        site.step();
    }
    for (index, job) in workload.jobs.iter().enumerate() {
        while site.now < WARMUP + job.at {
            site.step();
        }
        site.submit(index, job);
    }
    let until = WARMUP + workload.parameters.length + Duration::from_secs(10);
    while site.now < until {
        site.step();
    }
    site.ends
}

impl<'a> Site<'a> {
    fn new(workload: &'a Workload) -> Self {
        let timing = Timing::new(MAX_LEASE, RESUBMIT_AFTER, Duration::from_millis(50));
        let rules = rules();
        let entries = (0..workload.parameters.entries).map(|index| {
            let seed = workload.parameters.seed + index as u64;
            let mut entry = Dispatcher::new(Duration::ZERO, "d0", timing, seed);
            entry.adopt(Duration::ZERO, &rules, None);
            entry
        });
        let sides = workload
            .slowdowns
            .iter()
            .map(|_| Guard::new(timing, Duration::ZERO));
        let mut site = Self {
            workload,
            now: Duration::ZERO,
            entries: entries.collect(),
            sides: sides.collect(),
            upstreams: workload
                .slowdowns
                .iter()
                .map(|_| UpstreamState::default())
                .collect(),
            messages: VecDeque::new(),
            processes: BTreeMap::new(),
            ends: vec![End::GivenUp; workload.jobs.len()],
        };
        for side in 0..site.sides.len() {
            site.processes.insert(side_id(side), Process::Side(side));
        }
        for entry in 0..site.entries.len() {
            site.processes
                .insert(entry_id(entry), Process::Entry(entry));
            for side in 0..site.sides.len() {
                site.entries[entry].join_side(Duration::ZERO, &hello(Role::Side, side));
                site.sides[side].join(Duration::ZERO, entry_id(entry));
            }
            for other in (0..site.entries.len()).filter(|other| *other != entry) {
                site.entries[entry].join_entry(Duration::ZERO, &hello(Role::Entry, other));
            }
        }
        site
    }

    fn submit(&mut self, index: usize, job: &Job) {
        let submission = Submission {
            job: index as u64,
            input: String::new(),
            steps: vec![Step {
                count: job.tasks,
                need: need(TASK_MCPU),
                estimate: job.estimate,
                ..Step::default()
            }],
            patience: job.patience(),
        };
        let entry = index % self.entries.len();
        let path = format!("/{}/", job.priority);
        self.entries[entry].submit(self.now, index as u64, SERVICE, &path, submission);
        self.execute_actions();
    }

    fn step(&mut self) {
        self.now += TIME_STEP;
        let now = self.now;
        let workload_time = now.saturating_sub(WARMUP);
        for host in 0..self.upstreams.len() {
            self.advance(
                host,
                now >= WARMUP && self.workload.is_lost(host, workload_time),
            );
        }
        while self
            .messages
            .front()
            .is_some_and(|message| message.at <= now)
        {
            if let Some(message) = self.messages.pop_front() {
                self.deliver(message);
            }
        }
        let tick_due = millis(now).is_multiple_of(millis(TICK_INTERVAL));
        let announcement_due = millis(now) % millis(ANNOUNCEMENT_INTERVAL) == 1;
        for (host, guard) in self.sides.iter_mut().enumerate() {
            let state = &self.upstreams[host];
            if announcement_due && !state.lost {
                guard.announce(now, announcement(host, state, now));
            }
            if tick_due {
                guard.tick(now);
            }
            guard.flush(now);
        }
        for entry in &mut self.entries {
            if tick_due {
                entry.tick(now);
            }
            entry.place_if_changed(now);
        }
        self.execute_actions();
    }

    /// Ends finished runs, and answers the pending hold call.
    fn advance(&mut self, host: usize, lost: bool) {
        let now = self.now;
        let state = &mut self.upstreams[host];
        if lost != state.lost {
            state.lost = lost;
            state.running.clear();
            state.ended.clear();
            state.last_end = 0;
            state.restarts += 1;
            state.pending_hold = None;
            self.sides[host].upstream_gone(now);
            if !lost {
                let restarted = announcement(host, &self.upstreams[host], now);
                self.sides[host].announce(now, restarted);
            }
            return;
        }
        for finished in state.running.extract_if(.., |running| running.ends <= now) {
            state.last_end += 1;
            state
                .ended
                .push((state.last_end, finished.run, finished.ending));
        }
        let answer_due = state.pending_hold.as_ref().is_some_and(|(until, hold)| {
            *until <= now
                || state
                    .ended
                    .iter()
                    .any(|(number, ..)| *number > hold.acknowledged)
        });
        if answer_due && let Some((_, hold)) = state.pending_hold.take() {
            let inventory = state.take_inventory(&hold, now);
            self.sides[host].record_inventory(now, &inventory);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message.to {
            Process::Entry(entry) => self.entries[entry].frame(now, message.from, message.frame),
            Process::Side(side) => self.sides[side].frame(now, message.from, message.frame),
        }
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, frame: Frame) {
        let Some(to) = self.processes.get(&to).copied() else {
            return;
        };
        self.messages.push_back(Message {
            at: self.now + ONE_WAY_DELAY,
            from,
            to,
            frame,
        });
    }

    fn execute_actions(&mut self) {
        for index in 0..self.entries.len() {
            self.entries[index].take_events();
            for action in self.entries[index].take_actions() {
                match action {
                    dispatch::Action::Send((to, frame)) => {
                        self.send(entry_id(index), to, frame);
                    }
                    dispatch::Action::Answer(customer, answer) => {
                        let at = self.now.saturating_sub(WARMUP);
                        if let Ok(job) = usize::try_from(customer) {
                            self.ends[job] = end(&answer, at);
                        }
                    }
                    // Customers' departures are not modelled.
                    dispatch::Action::Barrier(number) => {
                        let now = self.now;
                        self.entries[index].record_barrier(now, number);
                    }
                    // The entries state no processor, so none forwards jobs.
                    dispatch::Action::Respond(..)
                    | dispatch::Action::Reply(..)
                    | dispatch::Action::Serve(..) => {}
                }
            }
        }
        for index in 0..self.sides.len() {
            self.sides[index].take_events();
            for action in self.sides[index].take_actions() {
                match action {
                    guard::Action::Send((to, frame)) => self.send(side_id(index), to, frame),
                    guard::Action::Start(order) => self.start(index, order.run),
                    guard::Action::Stop { run, token } => self.stop(index, run, token),
                    guard::Action::Hold(hold) => {
                        let until = self.now + hold.wait;
                        self.upstreams[index].pending_hold = Some((until, hold));
                    }
                    guard::Action::Entries(_) => {}
                }
            }
        }
    }

    fn start(&mut self, host: usize, run: Run) {
        let state = &mut self.upstreams[host];
        if state.lost {
            self.sides[host].record_admission(self.now, run, Admission::Refused);
            return;
        }
        let job = usize::try_from(run.task.job).unwrap_or(usize::MAX);
        let run_time = self.workload.jobs[job]
            .run
            .mul_f64(self.workload.slowdowns[host]);
        state.running.push(Running {
            run,
            started: self.now,
            ends: self.now + run_time,
            ending: Ending::Done,
        });
        self.sides[host].record_admission(self.now, run, Admission::Accepted);
    }

    fn stop(&mut self, host: usize, run: Run, token: u64) {
        let now = self.now;
        let state = &mut self.upstreams[host];
        if let Some(running) = state.running.iter_mut().find(|running| running.run == run) {
            running.ends = now + STOP_DELAY;
            running.ending = Ending::Stopped;
        }
        self.sides[host].record_stop(run, token, millis(now));
    }
}

impl UpstreamState {
    fn take_inventory(&mut self, hold: &Hold, now: Duration) -> Inventory {
        self.ended
            .retain(|(number, ..)| *number > hold.acknowledged);
        let running = self.running.iter().map(|running| {
            let total = running.ends.saturating_sub(running.started);
            let done = now.saturating_sub(running.started);
            let percent = millis(done) * 100 / millis(total).max(1);
            Observation {
                run: running.run,
                percent: u8::try_from(percent.min(99)).unwrap_or(99),
            }
        });
        Inventory {
            started_at: self.restarts + 1,
            clock: millis(now),
            running: running.collect(),
            unacknowledged: self.ended.clone(),
            unreadable: UnreadableRows::default(),
        }
    }
}

fn end(answer: &Answer, at: Duration) -> End {
    match answer {
        Answer::State(Phase::Completed) => End::Answered(at),
        Answer::Refused { .. } => End::Refused(at),
        _ => End::GivenUp,
    }
}

fn need(cpu: u32) -> Need {
    Need {
        cpu,
        ..Need::default()
    }
}

fn entry_id(index: usize) -> Incarnation {
    Incarnation(index as u64 + 1)
}

fn side_id(index: usize) -> Incarnation {
    Incarnation(index as u64 + FIRST_SIDE)
}

fn hello(role: Role, index: usize) -> Hello {
    let (name, incarnation) = match role {
        Role::Entry => (format!("e{index}"), entry_id(index)),
        Role::Side => (format!("s{index}"), side_id(index)),
    };
    Hello {
        version: VERSION,
        role,
        name,
        incarnation,
        domain: format!("d{}", index % 3),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    }
}

fn announcement(host: usize, state: &UpstreamState, now: Duration) -> Announcement {
    Announcement {
        upstream: Upstream {
            id: format!("u{host}-{}", state.restarts),
            service: SERVICE.to_owned(),
            labels: Vec::new(),
            capacity: need(HOST_MCPU),
        },
        started_at: state.restarts + 1,
        leaving: false,
        clock: millis(now),
    }
}

fn rules() -> Rules {
    let queue = |priority: u8| Queue {
        name: format!("q{priority}"),
        host: SERVICE.to_owned(),
        prefix: format!("/{priority}/"),
        service: SERVICE.to_owned(),
        priority,
        attempts: 3,
        objective_factor: OBJECTIVE_FACTOR,
        target: u32::try_from(millis(OBJECTIVE_MARGIN)).unwrap_or(u32::MAX),
    };
    Rules {
        revision: 1,
        version: 1,
        queues: (0..3).map(queue).collect(),
        out: Vec::new(),
    }
}
