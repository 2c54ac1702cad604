//! Model check: random histories of crashes, pauses, lost connections,
//! duplicated and reordered frames, run on the kernel's state machines.
//!
//! `PROPTEST_CASES` sets the number of histories and `MODEL_SEED` the seed; both
//! have fixed defaults.

mod world;

use kernel::mutation::{self, Mutant};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed, TestError, TestRunner},
};
use std::time::Duration;
use wire::{frame::Request, id::Job};
use world::{DOMAINS, Process, World};

const ENTRIES: usize = 2;
const SIDES: usize = 3;
const SEED: u64 = 20_261_204;
const CASES: u32 = 400;
const STEPS: usize = 220;

/// One step of a history. Numbers select among the available choices, modulo
/// their number.
#[derive(Debug, Clone)]
enum Step {
    Deliver(u16),
    DeliverAll,
    Duplicate(u16),
    Reorder(u16),
    Submit {
        entry: u8,
        tasks: u8,
    },
    Resubmit {
        entry: u8,
        job: u8,
    },
    Cancel {
        entry: u8,
        job: u8,
    },
    Finish {
        side: u8,
        position: u8,
        fails: bool,
    },
    Tick(u8),
    Advance(u16),
    ReadStore(u8),
    Store(bool),
    Domains(u8),
    Cut {
        entry: u8,
        other: u8,
        delivered: u8,
        notified: bool,
    },
    Connect {
        entry: u8,
        other: u8,
    },
    KillEntry(u8),
    KillSide(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        30 => any::<u16>().prop_map(Step::Deliver),
        4 => Just(Step::DeliverAll),
        2 => any::<u16>().prop_map(Step::Duplicate),
        6 => any::<u16>().prop_map(Step::Reorder),
        6 => (any::<u8>(), 1..6_u8).prop_map(|(entry, tasks)| Step::Submit { entry, tasks }),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(entry, job)| Step::Resubmit { entry, job }),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(entry, job)| Step::Cancel { entry, job }),
        10 => (any::<u8>(), any::<u8>(), prop::bool::weighted(0.05))
            .prop_map(|(side, position, fails)| Step::Finish { side, position, fails }),
        10 => any::<u8>().prop_map(Step::Tick),
        6 => (0..1_500_u16).prop_map(Step::Advance),
        4 => any::<u8>().prop_map(Step::ReadStore),
        1 => any::<bool>().prop_map(Step::Store),
        1 => any::<u8>().prop_map(Step::Domains),
        3 => (any::<u8>(), any::<u8>(), 0..4_u8, any::<bool>())
            .prop_map(|(entry, other, delivered, notified)| Step::Cut { entry, other, delivered, notified }),
        5 => (any::<u8>(), any::<u8>()).prop_map(|(entry, other)| Step::Connect { entry, other }),
        1 => any::<u8>().prop_map(Step::KillEntry),
        1 => any::<u8>().prop_map(Step::KillSide),
    ]
}

struct History {
    world: World,
    jobs: Vec<(Job, u16)>,
}

fn pick<T: Copy>(choices: &[T], number: usize) -> Option<T> {
    (!choices.is_empty()).then(|| choices[number % choices.len()])
}

fn peer(number: u8, entry: usize) -> Process {
    match usize::from(number) % (SIDES + 1) {
        SIDES => Process::Entry((entry + 1) % ENTRIES),
        side => Process::Side(side),
    }
}

impl History {
    fn new() -> Self {
        Self {
            world: World::new(ENTRIES, SIDES, 2),
            jobs: Vec::new(),
        }
    }

    fn entry(&self, number: u8) -> Option<usize> {
        let index = usize::from(number) % ENTRIES;
        let is_running = self.world.is_alive(Process::Entry(index));
        (is_running && !self.world.fenced.contains(&index)).then_some(index)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Deliver(number) => {
                if let Some((pipe, end)) = pick(&self.world.busy(), number.into()) {
                    self.world.deliver(pipe, end);
                }
            }
            Step::DeliverAll => self.world.settle(),
            Step::Duplicate(number) => {
                if let Some((pipe, end)) = pick(&self.world.busy(), number.into()) {
                    self.world.duplicate(pipe, end);
                }
            }
            Step::Reorder(number) => {
                if let Some((pipe, end)) = pick(&self.world.busy(), number.into()) {
                    self.world.reorder(pipe, end);
                }
            }
            Step::Tick(number) => {
                let number = usize::from(number) % (ENTRIES + SIDES);
                self.world.tick(match number {
                    side if side < SIDES => Process::Side(side),
                    entry => Process::Entry(entry - SIDES),
                });
            }
            Step::Advance(time) => self.world.now += Duration::from_millis(time.into()),
            Step::Finish {
                side,
                position,
                fails,
            } => {
                let side = usize::from(side) % SIDES;
                self.world.finish(side, position.into(), fails);
            }
            _ => self.apply_rare(step),
        }
    }

    fn apply_rare(&mut self, step: &Step) {
        match *step {
            Step::Submit { entry, tasks } => {
                if let Some(entry) = self.entry(entry) {
                    let job = self.world.ticket(entry);
                    self.jobs.push((job, tasks.into()));
                    self.world.submit(entry, job, tasks.into());
                }
            }
            Step::Resubmit { entry, job } => {
                let job = pick(&self.jobs, job.into());
                if let (Some(entry), Some((job, tasks))) = (self.entry(entry), job) {
                    self.world.submit(entry, job, tasks);
                }
            }
            Step::Cancel { entry, job } => {
                let job = pick(&self.jobs, job.into());
                if let (Some(entry), Some((job, _))) = (self.entry(entry), job) {
                    self.world.request(entry, job, Request::Cancel);
                }
            }
            Step::ReadStore(entry) => self.world.read_store(usize::from(entry) % ENTRIES),
            Step::Store(up) => self.world.set_store(up),
            Step::Domains(bits) => self.publish(bits),
            Step::Cut {
                entry,
                other: number,
                delivered,
                notified,
            } => {
                let entry = usize::from(entry) % ENTRIES;
                self.world
                    .cut(entry, peer(number, entry), delivered.into(), notified);
            }
            Step::Connect {
                entry,
                other: number,
            } => {
                let entry = usize::from(entry) % ENTRIES;
                self.world.connect(entry, peer(number, entry));
            }
            Step::KillEntry(entry) => {
                let entry = usize::from(entry) % ENTRIES;
                self.world.kill(Process::Entry(entry));
                self.world.start_entry(entry);
            }
            Step::KillSide(side) => {
                let side = usize::from(side) % SIDES;
                self.world.kill(Process::Side(side));
                self.world.start_side(side);
            }
            _ => unreachable!("handled by the caller"),
        }
    }

    /// Takes out the domains whose bits are set, if the store is up.
    fn publish(&mut self, bits: u8) {
        let out: Vec<&str> = (0..DOMAINS.len())
            .filter(|bit| bits & (1 << bit) != 0)
            .map(|bit| DOMAINS[bit])
            .collect();
        if self.world.store_up {
            self.world.publish(&out, "");
        }
    }

    /// Repairs all faults and lets all jobs end.
    fn repair(&mut self) {
        self.world.set_store(true);
        self.world.publish(&[], "");
        self.world.connect_all();
        for _ in 0..120 {
            self.world.heartbeat();
            self.world.finish_all();
            self.world.settle();
        }
    }

    /// Checks that every customer of an entry that has not been killed is answered.
    fn check_answered(&mut self) {
        let unanswered: Vec<u64> = self
            .world
            .submitted
            .keys()
            .filter(|customer| self.world.answer(**customer).is_none())
            .copied()
            .collect();
        for customer in unanswered {
            let (entry, job) = self.world.submitted[&customer];
            let state = &self.world.entries[entry];
            let open = state.as_ref().map(|entry| {
                let work = entry.open_jobs().find(|(id, _)| **id == job);
                work.map(|(_, work)| format!("{work:?}"))
            });
            let violation =
                format!("customer {customer} of entry {entry} has no answer for {job}: {open:?}");
            self.world.violations.push(violation);
        }
    }
}

fn run(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut history = History::new();
    for step in steps {
        history.apply(step);
    }
    history.repair();
    history.check_answered();
    prop_assert!(
        history.world.violations.is_empty(),
        "{:#?}",
        history.world.violations
    );
    Ok(())
}

fn variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

fn check(cases: u32) -> Result<(), String> {
    let config = Config {
        cases: variable("PROPTEST_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(variable("MODEL_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&vec(step(), 1..STEPS), |steps| run(&steps))
        .map_err(|error| match error {
            TestError::Fail(reason, steps) => format!("{reason}\nafter {steps:?}"),
            TestError::Abort(reason) => reason.to_string(),
        })
}

#[test]
fn promises_hold() {
    if let Err(error) = check(CASES) {
        panic!("{error}");
    }
}

#[test]
fn seeded_bugs_found() {
    let mutants = [
        Mutant::Tombstone,
        Mutant::Handover,
        Mutant::DomainOut,
        Mutant::Vouch,
        Mutant::Revert,
        Mutant::Partial,
        Mutant::Resend,
    ];
    let mut missed = Vec::new();
    for mutant in mutants {
        mutation::seed(Some(mutant));
        if check(CASES).is_ok() {
            missed.push(mutant);
        }
        mutation::seed(None);
    }
    assert!(missed.is_empty(), "mutants not detected: {missed:?}");
}
