//! An entry's event loop with less processor time than it needs, in virtual time:
//! the state machines are the real ones, and each piece of work has a cost.

use kernel::{
    dispatch::{Action, Answer, Dispatcher, Phase, Reason, Step, Submission},
    guard::Timing,
    millis,
    pressure::{
        Credit, Gate, MAX_CALLS_BEHIND_FRAMES, MAX_TURN_CALLS, MAX_TURN_EVENTS, Pressure,
        UNNOTICED_WAIT, Unread,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{End, Ending, Ends, Frame, Need, Queue, Rules, Run, Status, Upstream},
};

const START: Duration = Duration::from_secs(1_000);
const TICK: Duration = Duration::from_millis(20);
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
const REPORT: Duration = Duration::from_millis(100);
const SIDES: u64 = 12;
const CORES: u32 = 64_000;
const HOST: &str = "desk.example";
const PATH: &str = "/jobs/";
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Costs of work at the speed of a whole core.
const READ: Duration = Duration::from_micros(40);
const PARSE: Duration = Duration::from_micros(150);
const CALL: Duration = Duration::from_micros(150);
const FRAME: Duration = Duration::from_micros(60);
const SEND: Duration = Duration::from_micros(30);
const RESPOND: Duration = Duration::from_micros(30);
const PERIODIC: Duration = Duration::from_micros(200);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

enum Arrival {
    Request(Submission),
    Frame(Incarnation, Frame),
    ToSide(Incarnation, Frame),
    Report(Incarnation),
    RunEnd(Incarnation, Run, Duration),
}

#[derive(Default)]
struct Side {
    running: BTreeSet<u64>,
    received: u32,
    ends: u64,
    /// Latest time at which the entry is known to have run.
    contact: Duration,
    /// Time from which its runs go on without the entry for a while.
    renewed_at: Duration,
}

/// How long customers and sides waited.
#[derive(Default)]
struct Waits {
    /// Longest time without contact that a side has seen.
    silence: Duration,
    /// Longest time for which runs at a side were not renewed.
    unrenewed: Duration,
    /// Greatest age of a start order at its side.
    order_age: Duration,
    refusals: Vec<Duration>,
    /// Response times of completed jobs beyond their run times.
    overheads: Vec<Duration>,
    unanswered: usize,
    /// Jobs that were admitted and not completed within the customers' patience.
    expired: usize,
    late_answers: usize,
    last_refusal: Duration,
}

impl Waits {
    fn quantile(waits: &[Duration], share: f64) -> Duration {
        let mut sorted = waits.to_vec();
        sorted.sort_unstable();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index"
        )]
        let index = (sorted.len() as f64 * share) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(index.min(last)).copied().unwrap_or_default()
    }
}

struct Entry {
    now: Duration,
    /// Speed of the processor relative to a whole core.
    speed: f64,
    /// Work done, at the speed of a whole core.
    used: Duration,
    kernel: Dispatcher,
    pressure: Pressure,
    gate: Gate,
    credit: Credit,
    timing: Timing,
    next_tick: Duration,
    requests: VecDeque<(Duration, Submission)>,
    /// Requests that wait for a place among the parsed calls.
    unparsed: VecDeque<(Duration, Submission)>,
    frames: VecDeque<(Incarnation, Frame)>,
    calls: VecDeque<(Duration, Submission)>,
    arrivals: BTreeMap<(Duration, u64), Arrival>,
    next_arrival: u64,
    sides: BTreeMap<Incarnation, Side>,
    /// Arrival and run time of the open jobs.
    open: BTreeMap<u64, (Duration, Duration)>,
    waits: Waits,
}

impl Entry {
    fn new(speed: f64) -> Self {
        let timing = Timing::new(ms(1_000), ms(1_300), ms(50));
        let mut kernel = Dispatcher::new(START, "d0", timing, 7);
        let queue = Queue {
            name: "quick".to_owned(),
            host: HOST.to_owned(),
            prefix: PATH.to_owned(),
            service: "desk".to_owned(),
            priority: 0,
            attempts: 3,
            objective_factor: 1.6,
            target: 60,
        };
        let rules = Rules {
            revision: 1,
            version: 1,
            queues: vec![queue],
            out: Vec::new(),
        };
        kernel.adopt(START, &rules, None);
        let mut entry = Self {
            now: START,
            speed,
            used: Duration::ZERO,
            kernel,
            pressure: Pressure::new(TICK),
            gate: Gate::default(),
            credit: Credit::default(),
            timing,
            next_tick: START,
            requests: VecDeque::new(),
            unparsed: VecDeque::new(),
            frames: VecDeque::new(),
            calls: VecDeque::new(),
            arrivals: BTreeMap::new(),
            next_arrival: 0,
            sides: BTreeMap::new(),
            open: BTreeMap::new(),
            waits: Waits::default(),
        };
        for number in 0..SIDES {
            entry.join(Incarnation(1_000 + number));
        }
        entry
    }

    fn join(&mut self, key: Incarnation) {
        let hello = Hello {
            version: VERSION,
            role: Role::Side,
            name: format!("side-{key}"),
            incarnation: key,
            domain: "d0".to_owned(),
            rack: String::new(),
            address: String::new(),
            number: 1,
            nonce: 0,
            processor: 0,
        };
        self.kernel.join_side(START, &hello);
        let upstream = Upstream {
            id: format!("upstream-{key}"),
            service: "desk".to_owned(),
            labels: Vec::new(),
            capacity: need(CORES),
        };
        self.kernel
            .frame(START, key, Frame::Upstream(Some(upstream)));
        self.kernel.frame(START, key, Frame::OpenRuns(Vec::new()));
        let side = Side {
            contact: START,
            renewed_at: START,
            ..Side::default()
        };
        self.sides.insert(key, side);
        self.schedule(START + ms(key.0 % 100), Arrival::Report(key));
    }

    fn schedule(&mut self, at: Duration, arrival: Arrival) {
        self.next_arrival += 1;
        self.arrivals.insert((at, self.next_arrival), arrival);
    }

    /// Schedules `rate` jobs a second for `time` from now.
    fn offer(&mut self, rate: u32, time: Duration) {
        let interval = Duration::from_secs(1) / rate;
        let mut at = self.now;
        while at < self.now + time {
            let job = self.next_arrival + 1;
            let submission = Submission {
                job,
                input: "input".to_owned(),
                steps: vec![Step {
                    count: [2, 4, 8][usize::try_from(job % 3).unwrap_or_default()],
                    need: need(100),
                    estimate: ms(60 + job * 37 % 840),
                    ..Step::default()
                }],
                patience: PATIENCE,
            };
            self.schedule(at, Arrival::Request(submission));
            at += interval;
        }
    }

    /// Spends processor time; what arrives meanwhile is queued.
    fn work(&mut self, cost: Duration) {
        self.used += cost;
        self.now += cost.div_f64(self.speed);
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some(next) = self.arrivals.first_entry() {
            let at = next.key().0;
            if at > self.now {
                break;
            }
            match next.remove() {
                Arrival::Request(submission) => self.requests.push_back((at, submission)),
                Arrival::Frame(from, frame) => self.frames.push_back((from, frame)),
                Arrival::ToSide(to, frame) => self.side_frame(at, to, frame),
                Arrival::Report(key) => {
                    self.report(at, key);
                    self.schedule(at + REPORT, Arrival::Report(key));
                }
                Arrival::RunEnd(key, run, spent) => self.end(at, key, run, spent),
            }
        }
    }

    fn report(&mut self, at: Duration, key: Incarnation) {
        let side = self.sides.get_mut(&key).expect("a known side");
        self.waits.silence = self.waits.silence.max(at.saturating_sub(side.contact));
        let unrenewed = at.saturating_sub(side.renewed_at);
        self.waits.unrenewed = self.waits.unrenewed.max(unrenewed);
        let status = Status {
            clock: millis(at),
            received: side.received,
            free: need(CORES - 100 * u32::try_from(side.running.len()).expect("few runs")),
            accepting: true,
            out: false,
            runs: 0,
            entries: 1,
            rate: 1_000,
        };
        let frame = Arrival::Frame(key, Frame::Status(status));
        self.schedule(at + ONE_WAY_DELAY, frame);
    }

    fn end(&mut self, at: Duration, key: Incarnation, run: Run, spent: Duration) {
        let side = self.sides.get_mut(&key).expect("a known side");
        side.running.remove(&hash(run));
        side.ends += 1;
        let end = End {
            run,
            ending: Ending::Done,
            spent: u32::try_from(millis(spent)).expect("short"),
        };
        let ends = Ends {
            first: side.ends,
            ends: vec![end],
        };
        self.schedule(at + ONE_WAY_DELAY, Arrival::Frame(key, Frame::Ends(ends)));
        self.report(at, key);
    }

    fn side_frame(&mut self, at: Duration, to: Incarnation, frame: Frame) {
        let side = self.sides.get_mut(&to).expect("a known side");
        match frame {
            Frame::Echo(echo) => {
                side.contact = side.contact.max(ms(echo.clock));
                side.renewed_at = side.renewed_at.max(ms(echo.renewed_at));
            }
            Frame::Start(start) => {
                let age = at.saturating_sub(ms(start.clock));
                self.waits.order_age = self.waits.order_age.max(age);
                for run in start.runs {
                    side.received += 1;
                    side.running.insert(hash(run));
                    let spent = ms(start.estimate.into());
                    self.next_arrival += 1;
                    let key = (at + spent, self.next_arrival);
                    self.arrivals.insert(key, Arrival::RunEnd(to, run, spent));
                }
            }
            _ => {}
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.deliver();
            // The runtime polls the tasks of new requests between two turns.
            for _ in 0..self.requests.len() {
                self.read_request();
            }
            let tick_due = self.now >= self.next_tick;
            if tick_due || !self.frames.is_empty() || !self.calls.is_empty() {
                self.turn(tick_due);
                continue;
            }
            let next = self.arrivals.first_key_value().map(|((at, _), _)| *at);
            let next = next.unwrap_or(until).min(self.next_tick).min(until);
            self.now = self.now.max(next);
        }
        let overdue = |(arrived, _): &&(Duration, Duration)| *arrived + PATIENCE < until;
        self.waits.unanswered = self.open.values().filter(overdue).count();
    }

    fn read_request(&mut self) {
        let (arrived, submission) = self.requests.pop_front().expect("a request waits");
        self.work(READ);
        if !self.refuse(arrived, &submission) {
            self.unparsed.push_back((arrived, submission));
            self.parse();
        }
    }

    /// Parses waiting requests as far as there are places.
    fn parse(&mut self) {
        while self.calls.len() < MAX_TURN_CALLS
            && let Some((arrived, submission)) = self.unparsed.pop_front()
        {
            self.work(PARSE);
            let run_time = submission.critical_path();
            self.open.insert(submission.job, (arrived, run_time));
            self.calls.push_back((arrived, submission));
        }
    }

    /// Refuses a request if the gate demands it.
    fn refuse(&mut self, arrived: Duration, submission: &Submission) -> bool {
        let request = Unread {
            host: HOST,
            path: PATH,
            patience: submission.patience,
        };
        let waited = self.now.saturating_sub(arrived);
        let refused = self.gate.refusal(&request, waited, &self.credit, 0.5);
        if refused.is_some() {
            self.work(RESPOND);
            self.refused(arrived);
        }
        refused.is_some()
    }

    /// Replaces the gate; the waiting requests are decided on again.
    fn set_gate(&mut self, gate: Gate) {
        let changed = self.gate != gate;
        self.gate = gate;
        if changed && self.gate.is_closed() {
            for (arrived, submission) in std::mem::take(&mut self.unparsed) {
                if !self.refuse(arrived, &submission) {
                    self.unparsed.push_back((arrived, submission));
                }
            }
        }
    }

    fn refused(&mut self, arrived: Duration) {
        self.waits.refusals.push(self.now.saturating_sub(arrived));
        self.waits.last_refusal = self.now;
    }

    /// One turn of the event loop, in the order of the process's.
    fn turn(&mut self, tick_due: bool) {
        if tick_due {
            self.next_tick = self.now + TICK;
        }
        for _ in 0..MAX_TURN_EVENTS.min(self.frames.len()) {
            let (from, frame) = self.frames.pop_front().expect("a frame waits");
            self.work(FRAME);
            self.kernel.frame(self.now, from, frame);
        }
        if tick_due {
            self.tick();
        }
        let most = if self.frames.is_empty() {
            MAX_TURN_CALLS
        } else {
            MAX_CALLS_BEHIND_FRAMES
        };
        for _ in 0..most.min(self.calls.len()) {
            let (queued, submission) = self.calls.pop_front().expect("a call waits");
            let waited = self.now.saturating_sub(queued);
            self.pressure.record_call(self.now, queued);
            let arrived = if waited < UNNOTICED_WAIT {
                self.now
            } else {
                queued
            };
            self.work(CALL);
            let customer = submission.job;
            self.kernel
                .submit_arrived(self.now, arrived, customer, HOST, PATH, submission);
        }
        self.kernel.place_if_changed(self.now);
        self.carry_out();
        self.parse();
    }

    fn tick(&mut self) {
        self.work(PERIODIC);
        self.pressure.tick(self.now, &self.credit);
        let measures = self.pressure.measures();
        self.kernel
            .set_lateness(self.pressure.lateness(), measures.thin_frames);
        let gate = if measures.refuse {
            Gate::closed(
                self.pressure.lateness(),
                self.kernel.drained_in(self.now),
                self.kernel.lanes(self.now),
            )
        } else {
            Gate::default()
        };
        self.set_gate(gate);
        self.kernel.tick(self.now);
    }

    fn carry_out(&mut self) {
        self.kernel.take_events();
        for action in self.kernel.take_actions() {
            match action {
                Action::Send((to, frame)) => {
                    self.work(SEND);
                    self.schedule(self.now + ONE_WAY_DELAY, Arrival::ToSide(to, frame));
                }
                Action::Answer(customer, answer) => {
                    self.work(RESPOND);
                    self.answered(customer, &answer);
                }
                // No customer disconnects.
                Action::Barrier(number) => self.kernel.record_barrier(self.now, number),
                Action::Respond(..) | Action::Reply(..) | Action::Serve(..) => {
                    panic!("nothing is forwarded: there is one entry")
                }
            }
        }
    }

    fn answered(&mut self, customer: u64, answer: &Answer) {
        let (arrived, run_time) = self.open.remove(&customer).expect("an open job");
        let took = self.now.saturating_sub(arrived);
        match answer {
            Answer::State(Phase::Completed) => {
                self.waits.overheads.push(took.saturating_sub(run_time));
                self.waits.late_answers += usize::from(took > PATIENCE);
            }
            Answer::Refused {
                reason: Reason::Overload | Reason::EntryLate,
                ..
            } => self.refused(arrived),
            Answer::Expired => self.waits.expired += 1,
            other => panic!("job {customer} got {other:?}"),
        }
    }
}

fn need(cpu: u32) -> Need {
    Need {
        cpu,
        memory: 0,
        accelerators: 0,
    }
}

fn hash(run: Run) -> u64 {
    run.task.job << 16 | u64::from(run.task.index) << 8 | u64::from(run.attempt)
}

const RATE: u32 = 300;

/// Returns the processor time that the load needs, in cores.
fn needed() -> f64 {
    let mut entry = Entry::new(1e3);
    entry.offer(RATE, Duration::from_secs(6));
    entry.run(Duration::from_secs(2));
    let before = entry.used;
    entry.run(Duration::from_secs(3));
    assert!(entry.waits.refusals.is_empty());
    entry.used.saturating_sub(before).as_secs_f64() / 3.0
}

/// Guards against renewals that wait behind new work, refusals after the time that
/// they should save, and admitted jobs that miss what their customers wait for.
#[test]
fn fifth_of_the_processor() {
    let mut entry = Entry::new(needed() / 5.0);
    entry.offer(RATE, Duration::from_secs(20));
    entry.run(Duration::from_secs(20));
    let waits = &entry.waits;
    let refused = Waits::quantile(&waits.refusals, 0.95);
    let overhead = Waits::quantile(&waits.overheads, 0.95);
    let (late, unanswered) = (waits.late_answers, waits.unanswered);
    println!(
        "silence {:?}, unrenewed {:?}, order age {:?}, {} refusals: 95 % {refused:?}, {} completed: 95 % beyond \
         the run time {overhead:?}, {late} late, {} expired, {unanswered} unanswered",
        waits.silence,
        waits.unrenewed,
        waits.order_age,
        waits.refusals.len(),
        waits.overheads.len(),
        waits.expired,
    );
    assert!(waits.silence < entry.timing.max_silence(), "renewals");
    assert!(waits.unrenewed < entry.timing.orphan_timeout, "runs");
    assert!(waits.order_age < entry.timing.max_order_age(), "orders");
    assert!(refused < ms(250), "refusals take {refused:?}");
    assert!(overhead < ms(600), "completed jobs take {overhead:?}");
    assert!(waits.overheads.len() > 300, "work goes on");
}

/// Guards against refusals by an entry whose processor suffices.
#[test]
fn twice_the_processor() {
    let mut entry = Entry::new(needed() * 2.0);
    entry.offer(RATE, Duration::from_secs(6));
    entry.run(Duration::from_secs(6));
    assert!(entry.waits.refusals.is_empty());
    assert_eq!(entry.waits.unanswered, 0);
    let overhead = Waits::quantile(&entry.waits.overheads, 1.0);
    assert!(overhead < ms(60), "{overhead:?}");
}

/// Refusals end within 3 s after the load fits again.
#[test]
fn recovery() {
    let mut entry = Entry::new(needed() / 5.0);
    entry.offer(RATE, Duration::from_secs(6));
    entry.run(Duration::from_secs(6));
    assert!(!entry.waits.refusals.is_empty());
    let fits = entry.now;
    entry.offer(RATE / 10, Duration::from_secs(12));
    entry.run(Duration::from_secs(12));
    let lasted = entry.waits.last_refusal.saturating_sub(fits);
    println!("refusals end after {lasted:?}");
    assert!(lasted < Duration::from_secs(3), "{lasted:?}");
    assert_eq!(entry.waits.unanswered, 0);
}

/// Guards against taking a pause for overload: the calls that arrived meanwhile
/// are decided on by their arrival, and later ones are served as usual.
#[test]
fn pause_of_two_seconds() {
    let mut entry = Entry::new(needed() * 4.0);
    entry.offer(RATE, Duration::from_secs(6));
    entry.run(Duration::from_secs(2));
    assert!(entry.waits.refusals.is_empty());
    entry.now += Duration::from_secs(2);
    let resumed = entry.now;
    entry.run(Duration::from_secs(3));
    assert!(entry.pressure.take_events().is_empty());
    let last = entry.waits.last_refusal;
    assert!(
        last < resumed + ms(500),
        "{:?}",
        last.saturating_sub(resumed)
    );
}
