//! Benchmarks of the entry's state machine, without I/O: time per task, document
//! and heartbeat, and memory per side and job, for three numbers of sides.
//!
//! Run with `cargo bench -p hyssop-kernel`.

use criterion::{BatchSize, Criterion, Throughput};
use kernel::{
    entry::{Action, Entry, Identity},
    policy::Plugin,
    work::Customer,
};
use std::{
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
};

const FLEET_SIZES: [u64; 3] = [12, 2_200, 13_000];
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
    criterion.final_summary();
}
