//! Benchmark of the entry's state machine for leased tasks, without I/O: the
//! processor time for one simulated second of an entry with 62 sides and nine
//! other entries, with room for all jobs and with twice as many as fit.
//!
//! Run with `cargo bench -p hyssop-kernel --bench dispatcher`.

use criterion::{BatchSize, Criterion};
use kernel::{
    dispatch::{Action, Dispatcher, Step, Submission},
    guard::Timing,
    millis,
};
use std::{collections::BTreeMap, hint::black_box, time::Duration};
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{End, Ending, Ends, Frame, Need, Queue, Rules, Run, Status, Upstream},
};

const START: Duration = Duration::from_secs(1_800_000_007);
const SIDES: u64 = 62;
const PEERS: u64 = 9;
const CORES: u32 = 8_000;
const TICK: u64 = 20;
const REPORT: u64 = 100;

struct Host {
    free: u32,
    received: u32,
    ends: u64,
    running: BTreeMap<u64, Vec<(Run, u32, u32)>>,
}

/// An entry with hosts that run what it sends.
struct Model {
    entry: Dispatcher,
    hosts: BTreeMap<Incarnation, Host>,
    next_job: u64,
    now: Duration,
}

impl Model {
    fn new() -> Self {
        let timing = Timing::new(
            Duration::from_secs(1),
            Duration::from_millis(1_300),
            Duration::from_millis(50),
        );
        let mut entry = Dispatcher::new(START, "d0", timing, 1);
        let queue = |name: &str, prefix: &str, priority| Queue {
            name: name.to_owned(),
            host: "desk.example".to_owned(),
            prefix: prefix.to_owned(),
            service: "desk".to_owned(),
            priority,
            attempts: 3,
            objective_factor: 1.6,
            target: 60,
        };
        let rules = Rules {
            revision: 1,
            version: 1,
            queues: vec![queue("quick", "/jobs/", 0), queue("slow", "/slow/", 2)],
            out: Vec::new(),
        };
        entry.adopt(START, &rules, None);
        let hello = |role, number: u64| Hello {
            version: VERSION,
            role,
            name: format!("process-{number}"),
            incarnation: Incarnation(number),
            domain: format!("d{}", number % 5),
            rack: String::new(),
            address: String::new(),
            number: 1,
            nonce: 0,
            processor: 0,
        };
        for peer in 0..PEERS {
            entry.join_entry(START, &hello(Role::Entry, 1 + peer));
        }
        let mut hosts = BTreeMap::new();
        for side in 0..SIDES {
            let hello = hello(Role::Side, 1_000 + side);
            entry.join_side(START, &hello);
            let upstream = Upstream {
                id: format!("upstream-{side}"),
                service: "desk".to_owned(),
                labels: vec![format!("r{}", side / 6)],
                capacity: Need {
                    cpu: CORES,
                    memory: 65_536,
                    accelerators: 0,
                },
            };
            entry.frame(START, hello.incarnation, Frame::Upstream(Some(upstream)));
            entry.frame(START, hello.incarnation, Frame::OpenRuns(Vec::new()));
            let host = Host {
                free: CORES,
                received: 0,
                ends: 0,
                running: BTreeMap::new(),
            };
            hosts.insert(hello.incarnation, host);
        }
        Self {
            entry,
            hosts,
            next_job: 0,
            now: START,
        }
    }

    /// Runs one millisecond, in which `jobs` arrive.
    fn step(&mut self, jobs: u64) {
        self.now += Duration::from_millis(1);
        let (now, at) = (self.now, millis(self.now));
        for (number, (key, host)) in self.hosts.iter_mut().enumerate() {
            let due = host.running.remove(&at).unwrap_or_default();
            let changed = !due.is_empty();
            if changed {
                let ends = due.iter().map(|(run, _, spent)| End {
                    run: *run,
                    ending: Ending::Done,
                    spent: *spent,
                });
                let frame = Ends {
                    first: host.ends + 1,
                    ends: ends.collect(),
                };
                host.ends += due.len() as u64;
                host.free += due.iter().map(|(_, cpu, _)| cpu).sum::<u32>();
                self.entry.frame(now, *key, Frame::Ends(frame));
            }
            if changed || at % REPORT == number as u64 {
                let status = Status {
                    clock: at,
                    received: host.received,
                    free: Need {
                        cpu: host.free,
                        memory: 65_536,
                        accelerators: 0,
                    },
                    accepting: true,
                    out: false,
                    runs: 0,
                    entries: 1,
                    rate: 1_000,
                };
                self.entry.frame(now, *key, Frame::Status(status));
            }
        }
        for _ in 0..jobs {
            self.next_job += 1;
            let job = self.next_job;
            let submission = Submission {
                job: job.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                input: "input".to_owned(),
                steps: vec![Step {
                    count: [2, 4, 8][usize::try_from(job % 3).unwrap_or_default()],
                    need: Need {
                        cpu: 2_000,
                        memory: 64,
                        accelerators: 0,
                    },
                    estimate: Duration::from_millis(60 + job * 37 % 840),
                    ..Step::default()
                }],
                patience: Duration::from_millis(1_500),
            };
            let path = if job.is_multiple_of(4) {
                "/slow/"
            } else {
                "/jobs/"
            };
            self.entry
                .submit(now, job, "desk.example", path, submission);
        }
        if at.is_multiple_of(TICK) {
            self.entry.tick(now);
        }
        self.entry.place_if_changed(now);
        self.carry_out(at);
        black_box(self.entry.take_events());
    }

    fn carry_out(&mut self, at: u64) {
        for action in self.entry.take_actions() {
            let (to, start) = match action {
                Action::Send((to, Frame::Start(start))) => (to, start),
                Action::Barrier(number) => {
                    self.entry.record_barrier(Duration::from_millis(at), number);
                    continue;
                }
                _ => continue,
            };
            let Some(host) = self.hosts.get_mut(&to) else {
                continue;
            };
            for run in start.runs {
                host.received += 1;
                host.free = host.free.saturating_sub(start.need.cpu);
                let end = (run, start.need.cpu, start.estimate);
                let due = at + u64::from(start.estimate);
                host.running.entry(due).or_default().push(end);
            }
        }
    }

    /// Runs one second with `jobs` per 20 ms.
    fn second(&mut self, jobs: u64) {
        for step in 0..1_000_u64 {
            self.step(if step.is_multiple_of(TICK) { jobs } else { 0 });
        }
    }
}

fn warm(jobs: u64) -> Model {
    let mut model = Model::new();
    model.second(jobs);
    model.second(jobs);
    model
}

fn main() {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .sample_size(10)
        .measurement_time(Duration::from_secs(4));
    for (name, jobs) in [("room", 2), ("overload", 12)] {
        criterion.bench_function(&format!("dispatcher/{name}"), |bencher| {
            bencher.iter_batched(
                || warm(jobs),
                |mut model| {
                    model.second(jobs);
                    model
                },
                BatchSize::PerIteration,
            );
        });
    }
    criterion.final_summary();
}
