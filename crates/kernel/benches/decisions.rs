//! Benchmarks of the entry's state machine, without I/O: time per task, document
//! and heartbeat, and memory per side and job, for three numbers of sides; and time
//! per leased task.
//!
//! Run with `cargo bench -p hyssop-kernel`.

use criterion::{BatchSize, Criterion, Throughput};
use kernel::{
    dispatch::{self, Dispatcher, Step},
    entry::{Action, Entry, Identity},
    guard::Timing,
    policy::Plugin,
    work::Customer,
};
use std::{
    collections::BTreeMap,
    fmt::Write,
    fs,
    hint::black_box,
    time::{Duration, Instant},
};
use wire::{
    Frame, Payload,
    frame::{
        Config, Done, Handover, Heartbeat, Hello, Load, Offer, Outcome, Request, Role, Submission,
        VERSION,
    },
    id::Incarnation,
    lease::{self, Queue, Rules},
};

const FLEET_SIZES: [u64; 3] = [12, 2_200, 13_000];
const LEASED_FLEET_SIZES: [u64; 3] = [62, 250, 2_200];
const TEAMS: usize = 400;
const TASKS_PER_JOB: u16 = 110;
const SLOTS_PER_SIDE: u16 = 32;
const NOW: Duration = Duration::from_secs(1_800_000_007);
const OWN: Incarnation = Incarnation(1);

fn document() -> String {
    let mut text = String::from(
        "[environment]\nname = bench\n\n[service s]\n\n[kind s/k]\nrepeatable = yes\n\n[domain d]\n",
    );
    for team in 0..TEAMS {
        write!(text, "\n[team team-{team}]\nslots = 100000\n").unwrap();
    }
    text
}

fn connected_entry(sides: u64) -> Entry {
    let identity = Identity {
        name: "bench".to_owned(),
        incarnation: OWN,
        seed: 1,
        archive_bytes: 1 << 20,
    };
    let choose = Plugin::find(policies::DEFAULT).unwrap().choose;
    let mut entry = Entry::new(identity, choose);
    let config = Config {
        revision: 1,
        change: "bench".to_owned(),
        text: document().into(),
    };
    entry.store_read(NOW, &config);
    for side in 0..sides {
        join(&mut entry, side);
    }
    entry.take_actions();
    entry
}

fn join(entry: &mut Entry, side: u64) {
    let incarnation = Incarnation(1_000 + side);
    let hello = Hello {
        version: VERSION,
        role: Role::Side,
        name: format!("side-{side}"),
        incarnation,
        domain: "d".to_owned(),
        rack: format!("rack-{}", side / 3),
        address: String::new(),
        processor: 0,
        number: 1,
        nonce: 0,
    };
    entry.join_side(NOW, &hello);
    let offer = Offer {
        service: "s".to_owned(),
        kinds: vec!["k".to_owned()],
        slots: SLOTS_PER_SIDE,
    };
    entry.frame(NOW, incarnation, Frame::Offer(offer));
    let handover = Handover {
        home: OWN,
        fenced: false,
        kept: Vec::new(),
    };
    entry.frame(NOW, incarnation, Frame::Handover(handover));
    let beat = Heartbeat {
        clock: kernel::millis(NOW),
        echo: kernel::millis(NOW),
        revision: 1,
        age: 0,
        state: wire::frame::State::Allowed,
        leaving: false,
        ready: true,
        load: Load::default(),
        entries: Vec::new(),
    };
    entry.frame(NOW, incarnation, Frame::Heartbeat(beat));
    // All slots are in use from the start.
    entry.skip_ramp(incarnation);
}

fn submission(number: usize, tasks: u16) -> Submission {
    Submission {
        service: "s".to_owned(),
        kind: "k".to_owned(),
        team: format!("team-{}", number % TEAMS),
        deadline: 60_000,
        tasks: (0..tasks).map(|_| Payload::from("{\"plate\":1}")).collect(),
    }
}

/// Places and completes one job; returns the number of frames exchanged.
fn run_job(entry: &mut Entry, number: usize, submission: Submission) -> usize {
    let job = entry.mint(NOW);
    entry.request(
        NOW,
        Customer::Local(number as u64),
        job,
        Request::Submit(submission),
    );
    let mut frames = 0;
    for action in entry.take_actions() {
        let Action::Send(side, Frame::Run(run)) = action else {
            continue;
        };
        frames += 1 + run.tasks.len();
        for item in run.tasks {
            let done = Done {
                job,
                index: item.index,
                spent: 100,
                outcome: Outcome::Answer(Payload::from("{\"ok\":1}")),
                load: Load::default(),
            };
            entry.frame(NOW, side, Frame::Done(done));
        }
    }
    entry.take_actions();
    frames
}

/// Places and cancels one job; returns the number of frames that the entry sent
/// for the cancellation.
fn cancel_job(entry: &mut Entry, number: usize, submission: Submission) -> usize {
    let job = entry.mint(NOW);
    entry.request(
        NOW,
        Customer::Local(number as u64),
        job,
        Request::Submit(submission),
    );
    let placed = entry.take_actions();
    entry.request(NOW, Customer::Local(number as u64), job, Request::Cancel);
    let frames = entry.take_actions().len();
    for action in placed {
        if let Action::Send(side, Frame::Run(run)) = action {
            let refuse = wire::frame::Refuse {
                job,
                code: wire::Code::Voided,
                indices: run.tasks.iter().map(|item| item.index).collect(),
                load: Load::default(),
            };
            entry.frame(NOW, side, Frame::Refuse(refuse));
        }
    }
    entry.take_actions();
    frames
}

fn bench_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("task");
    group.throughput(Throughput::Elements(TASKS_PER_JOB.into()));
    group.measurement_time(Duration::from_secs(2));
    group.warm_up_time(Duration::from_millis(500));
    group.sample_size(20);
    for sides in FLEET_SIZES {
        let mut entry = connected_entry(sides);
        let mut number = 0;
        group.bench_function(format!("place-and-complete/{sides}"), |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    (number, submission(number, TASKS_PER_JOB))
                },
                |(number, job)| black_box(run_job(&mut entry, number, job)),
                BatchSize::SmallInput,
            );
        });
        group.bench_function(format!("place-and-cancel/{sides}"), |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    (number, submission(number, TASKS_PER_JOB))
                },
                |(number, job)| black_box(cancel_job(&mut entry, number, job)),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

const LEASED_TASKS: u16 = 8;
const LEASED_RUN: Duration = Duration::from_millis(100);

/// Makes an entry for leased tasks whose sides have room for eight tasks each.
fn leased_entry(sides: u64) -> Dispatcher {
    let timing = Timing::new(
        Duration::from_secs(1),
        Duration::from_millis(1_300),
        Duration::from_millis(50),
    );
    let mut entry = Dispatcher::new(NOW, "d", timing, 1);
    let queue = Queue {
        name: "q".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        service: "s".to_owned(),
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
    entry.adopt(NOW, &rules, None);
    for side in 0..sides {
        let incarnation = Incarnation(1_000 + side);
        let hello = Hello {
            version: VERSION,
            role: Role::Side,
            name: format!("side-{side}"),
            incarnation,
            domain: "d".to_owned(),
            rack: String::new(),
            address: String::new(),
            number: 1,
            nonce: 0,
            processor: 0,
        };
        entry.join_side(NOW, &hello);
        let upstream = lease::Upstream {
            id: format!("u-{side}"),
            service: "s".to_owned(),
            labels: Vec::new(),
            capacity: LEASED_CAPACITY,
        };
        entry.frame(NOW, incarnation, lease::Frame::Upstream(Some(upstream)));
        entry.frame(NOW, incarnation, lease::Frame::OpenRuns(Vec::new()));
        // Rates of 0.8 to 1.2 of the usual speed.
        let rate = 800 + u16::try_from(side % 5).unwrap() * 100;
        entry.frame(NOW, incarnation, leased_status(0, rate));
    }
    entry.take_actions();
    entry
}

const LEASED_CAPACITY: lease::Need = lease::Need {
    cpu: 8_000,
    memory: 65_536,
    accelerators: 0,
};

fn leased_status(received: u32, rate: u16) -> lease::Frame {
    lease::Frame::Status(lease::Status {
        clock: kernel::millis(NOW),
        received,
        free: LEASED_CAPACITY,
        accepting: true,
        out: false,
        runs: 0,
        entries: 8,
        rate,
    })
}

/// Places and completes one job of leased tasks; returns the number of runs.
fn run_leased_job(
    entry: &mut Dispatcher,
    job: u64,
    progress: &mut BTreeMap<Incarnation, (u32, u64)>,
) -> usize {
    let step = Step {
        count: LEASED_TASKS,
        need: lease::Need {
            cpu: 1_000,
            memory: 64,
            accelerators: 0,
        },
        estimate: LEASED_RUN,
        ..Step::default()
    };
    let submission = dispatch::Submission {
        job,
        input: "input".to_owned(),
        steps: vec![step],
        patience: Duration::from_secs(10),
    };
    entry.submit(NOW, job, "h", "/", submission);
    entry.place_if_changed(NOW);
    let mut count = 0;
    for action in entry.take_actions() {
        let dispatch::Action::Send((side, lease::Frame::Start(start))) = action else {
            continue;
        };
        count += start.runs.len();
        let (received, last_end) = progress.entry(side).or_default();
        let first = *last_end + 1;
        *received += u32::try_from(start.runs.len()).unwrap();
        *last_end += start.runs.len() as u64;
        let ended = |run| lease::End {
            run,
            ending: lease::Ending::Done,
            spent: 100,
        };
        let ends = start.runs.into_iter().map(ended).collect();
        let rate = 800 + u16::try_from((side.0 - 1_000) % 5).unwrap() * 100;
        entry.frame(NOW, side, leased_status(*received, rate));
        entry.frame(NOW, side, lease::Frame::Ends(lease::Ends { first, ends }));
    }
    entry.take_actions();
    entry.take_events();
    count
}

fn bench_leased(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("leased-task");
    group.throughput(Throughput::Elements(LEASED_TASKS.into()));
    group.measurement_time(Duration::from_secs(2));
    group.warm_up_time(Duration::from_millis(500));
    group.sample_size(20);
    for sides in LEASED_FLEET_SIZES {
        let mut entry = leased_entry(sides);
        let mut progress = BTreeMap::new();
        let mut job = 0;
        group.bench_function(format!("place-and-complete/{sides}"), |bencher| {
            bencher.iter(|| {
                job += 1;
                let runs = run_leased_job(&mut entry, job, &mut progress);
                assert_eq!(runs, usize::from(LEASED_TASKS));
            });
        });
    }
    group.finish();
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kibibytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kibibytes * 1024
}

fn measure_memory() {
    const JOBS: u64 = 20_000;
    let before = resident_bytes();
    let start = Instant::now();
    let mut entry = connected_entry(13_000);
    println!("time per joining side: {:?}", start.elapsed() / 13_000);
    let with_sides = resident_bytes();
    for number in 0..JOBS {
        let job = entry.mint(NOW);
        let submission = submission(usize::try_from(number).unwrap(), 10);
        entry.request(
            NOW,
            Customer::Local(number),
            job,
            Request::Submit(submission),
        );
    }
    entry.take_actions();
    let with_jobs = resident_bytes();
    println!("memory per side: {} bytes", (with_sides - before) / 13_000);
    println!(
        "memory per open job of 10 tasks: {} bytes",
        (with_jobs - with_sides) / JOBS
    );
    black_box(&entry);
}

fn measure_parse() {
    let text = document();
    let start = Instant::now();
    kernel::document::Document::parse(&text).unwrap();
    println!(
        "time to parse a document of {} bytes: {:?}",
        text.len(),
        start.elapsed()
    );
}

fn measure_heartbeats() {
    for sides in FLEET_SIZES {
        let mut entry = connected_entry(sides);
        let start = Instant::now();
        let mut frames = 0;
        for round in 1..=20 {
            entry.tick(NOW + kernel::HEARTBEAT_INTERVAL * round);
            frames += entry.take_actions().len();
        }
        let each = start.elapsed() / u32::try_from(frames).unwrap();
        println!("time per heartbeat with {sides} sides: {each:?}");
    }
}

fn main() {
    measure_memory();
    measure_parse();
    measure_heartbeats();
    let mut criterion = Criterion::default().configure_from_args();
    bench_decisions(&mut criterion);
    bench_leased(&mut criterion);
    criterion.final_summary();
}
