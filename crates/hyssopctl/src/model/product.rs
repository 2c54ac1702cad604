//! The product's entries and sides on a day's hosts, with a network between
//! them whose delay is constant.

use super::{
    day::{CAPACITY, CPU, Day, Job, SLACK, TARGET},
    tally::End,
};
use kernel::{
    dispatch::{self, Answer, Dispatcher, Phase, Step, Submission},
    guard::{self, Admission, Announcement, Guard, Hold, Inventory, Observation, Timing},
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

const STEP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
/// One way between two processes: between failure domains of a region.
const WAY: Duration = Duration::from_millis(2);
/// Time between an upstream's reports of itself.
const REPORT: Duration = Duration::from_millis(500);
const LEASE: Duration = Duration::from_secs(1);
const RESEND: Duration = Duration::from_millis(1_300);
const STOP: Duration = Duration::from_millis(10);
/// Time before the first job in which the processes find each other.
const LEAD: Duration = Duration::from_secs(2);

const DESK: &str = "desk";
/// Incarnations of sides begin here, so that they differ from the entries'.
const SIDES: u64 = 1_000;

#[derive(Clone, Copy)]
enum Place {
    Entry(usize),
    Side(usize),
}

struct Letter {
    at: Duration,
    from: Incarnation,
    to: Place,
    frame: Frame,
}

struct Running {
    run: Run,
    begun: Duration,
    ends: Duration,
    ending: Ending,
}

/// A host's upstream.
#[derive(Default)]
struct Up {
    running: Vec<Running>,
    ended: Vec<(u64, Run, Ending)>,
    last: u64,
    waits: Option<(Duration, Hold)>,
    lost: bool,
    lives: u64,
}

struct Site<'a> {
    day: &'a Day,
    now: Duration,
    entries: Vec<Dispatcher>,
    sides: Vec<Guard>,
    ups: Vec<Up>,
    letters: VecDeque<Letter>,
    places: BTreeMap<Incarnation, Place>,
    ends: Vec<End>,
}

/// Plays a day.
pub fn play(day: &Day) -> Vec<End> {
    let mut site = Site::new(day);
    while site.now < LEAD {
        site.step();
    }
    for (index, job) in day.jobs.iter().enumerate() {
        while site.now < LEAD + job.at {
            site.step();
        }
        site.submit(index, job);
    }
    let until = LEAD + day.shape.length + Duration::from_secs(10);
    while site.now < until {
        site.step();
    }
    site.ends
}

impl<'a> Site<'a> {
    fn new(day: &'a Day) -> Self {
        let timing = Timing::new(LEASE, RESEND, Duration::from_millis(50));
        let rules = rules();
        let entries = (0..day.shape.entries).map(|index| {
            let seed = day.shape.seed + index as u64;
            let mut entry = Dispatcher::new(Duration::ZERO, "d0", timing, seed);
            entry.adopt(Duration::ZERO, &rules, None);
            entry
        });
        let sides = day
            .speeds
            .iter()
            .map(|_| Guard::new(timing, Duration::ZERO));
        let mut site = Self {
            day,
            now: Duration::ZERO,
            entries: entries.collect(),
            sides: sides.collect(),
            ups: day.speeds.iter().map(|_| Up::default()).collect(),
            letters: VecDeque::new(),
            places: BTreeMap::new(),
            ends: vec![End::GivenUp; day.jobs.len()],
        };
        for side in 0..site.sides.len() {
            site.places.insert(side_id(side), Place::Side(side));
        }
        for entry in 0..site.entries.len() {
            site.places.insert(entry_id(entry), Place::Entry(entry));
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
                need: need(CPU),
                estimate: job.estimate,
                ..Step::default()
            }],
            patience: job.patience(),
        };
        let entry = index % self.entries.len();
        let path = format!("/{}/", job.priority);
        self.entries[entry].submit(self.now, index as u64, DESK, &path, submission);
        self.act();
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let day_time = now.saturating_sub(LEAD);
        for host in 0..self.ups.len() {
            self.advance(host, now >= LEAD && self.day.is_lost(host, day_time));
        }
        while self.letters.front().is_some_and(|letter| letter.at <= now) {
            if let Some(letter) = self.letters.pop_front() {
                self.deliver(letter);
            }
        }
        let ticks = millis(now).is_multiple_of(millis(TICK));
        let reports = millis(now) % millis(REPORT) == 1;
        for (host, guard) in self.sides.iter_mut().enumerate() {
            let up = &self.ups[host];
            if reports && !up.lost {
                guard.announce(now, announcement(host, up, now));
            }
            if ticks {
                guard.tick(now);
            }
            guard.flush(now);
        }
        for entry in &mut self.entries {
            if ticks {
                entry.tick(now);
            }
            entry.place_if_changed(now);
        }
        self.act();
    }

    /// Ends runs that are over, and answers the call that waits for an end.
    fn advance(&mut self, host: usize, lost: bool) {
        let now = self.now;
        let up = &mut self.ups[host];
        if lost != up.lost {
            up.lost = lost;
            up.running.clear();
            up.ended.clear();
            up.last = 0;
            up.lives += 1;
            up.waits = None;
            self.sides[host].upstream_gone(now);
            if !lost {
                let known = announcement(host, &self.ups[host], now);
                self.sides[host].announce(now, known);
            }
            return;
        }
        for over in up.running.extract_if(.., |running| running.ends <= now) {
            up.last += 1;
            up.ended.push((up.last, over.run, over.ending));
        }
        let due = up.waits.as_ref().is_some_and(|(until, hold)| {
            *until <= now
                || up
                    .ended
                    .iter()
                    .any(|(number, ..)| *number > hold.acknowledged)
        });
        if due && let Some((_, hold)) = up.waits.take() {
            let inventory = up.take_inventory(&hold, now);
            self.sides[host].record_inventory(now, &inventory);
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let now = self.now;
        match letter.to {
            Place::Entry(entry) => self.entries[entry].frame(now, letter.from, letter.frame),
            Place::Side(side) => self.sides[side].frame(now, letter.from, letter.frame),
        }
    }

    fn post(&mut self, from: Incarnation, to: Incarnation, frame: Frame) {
        let Some(to) = self.places.get(&to).copied() else {
            return;
        };
        self.letters.push_back(Letter {
            at: self.now + WAY,
            from,
            to,
            frame,
        });
    }

    fn act(&mut self) {
        for index in 0..self.entries.len() {
            self.entries[index].take_events();
            for action in self.entries[index].take_actions() {
                match action {
                    dispatch::Action::Send((to, frame)) => {
                        self.post(entry_id(index), to, frame);
                    }
                    dispatch::Action::Answer(customer, answer) => {
                        let at = self.now.saturating_sub(LEAD);
                        if let Ok(job) = usize::try_from(customer) {
                            self.ends[job] = end(&answer, at);
                        }
                    }
                }
            }
        }
        for index in 0..self.sides.len() {
            self.sides[index].take_events();
            for action in self.sides[index].take_actions() {
                match action {
                    guard::Action::Send((to, frame)) => self.post(side_id(index), to, frame),
                    guard::Action::Start(order) => self.start(index, order.run),
                    guard::Action::Stop { run, .. } => self.stop(index, run),
                    guard::Action::Hold(hold) => {
                        let until = self.now + hold.wait;
                        self.ups[index].waits = Some((until, hold));
                    }
                    guard::Action::Entries(_) => {}
                }
            }
        }
    }

    fn start(&mut self, host: usize, run: Run) {
        let up = &mut self.ups[host];
        if up.lost {
            self.sides[host].record_admission(self.now, run, Admission::Refused);
            return;
        }
        let job = usize::try_from(run.task.job).unwrap_or(usize::MAX);
        let takes = self.day.jobs[job].run.mul_f64(self.day.speeds[host]);
        up.running.push(Running {
            run,
            begun: self.now,
            ends: self.now + takes,
            ending: Ending::Done,
        });
        self.sides[host].record_admission(self.now, run, Admission::Accepted);
    }

    fn stop(&mut self, host: usize, run: Run) {
        let now = self.now;
        let up = &mut self.ups[host];
        if let Some(running) = up.running.iter_mut().find(|running| running.run == run) {
            running.ends = now + STOP;
            running.ending = Ending::Stopped;
        }
        self.sides[host].record_stop(run, millis(now));
    }
}

impl Up {
    fn take_inventory(&mut self, hold: &Hold, now: Duration) -> Inventory {
        self.ended
            .retain(|(number, ..)| *number > hold.acknowledged);
        let running = self.running.iter().map(|running| {
            let all = running.ends.saturating_sub(running.begun);
            let done = now.saturating_sub(running.begun);
            let percent = millis(done) * 100 / millis(all).max(1);
            Observation {
                run: running.run,
                percent: u8::try_from(percent.min(99)).unwrap_or(99),
            }
        });
        Inventory {
            started_at: self.lives + 1,
            clock: millis(now),
            running: running.collect(),
            unacknowledged: self.ended.clone(),
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
    Incarnation(index as u64 + SIDES)
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
        number: 0,
        nonce: 0,
    }
}

fn announcement(host: usize, up: &Up, now: Duration) -> Announcement {
    Announcement {
        upstream: Upstream {
            id: format!("u{host}-{}", up.lives),
            service: DESK.to_owned(),
            labels: Vec::new(),
            capacity: need(CAPACITY),
        },
        started_at: up.lives + 1,
        leaving: false,
        clock: millis(now),
    }
}

fn rules() -> Rules {
    let queue = |priority: u8| Queue {
        name: format!("q{priority}"),
        host: DESK.to_owned(),
        prefix: format!("/{priority}/"),
        service: DESK.to_owned(),
        priority,
        attempts: 3,
        objective_factor: SLACK,
        target: u32::try_from(millis(TARGET)).unwrap_or(u32::MAX),
    };
    Rules {
        revision: 1,
        version: 1,
        queues: (0..3).map(queue).collect(),
        out: Vec::new(),
    }
}
