//! Random histories of faults. In each, no task has two runs at a time, no host
//! exceeds its capacity, which shrinks and grows, no task goes on crashing upstreams,
//! every customer gets one answer, and jobs complete once the faults have ended. Half of the histories have weak entries, which forward
//! their jobs, and faults between entries.
//!
//! `HISTORY_SEED=N` runs the history of one seed; `HISTORIES=N` sets the number
//! of histories.

mod site;

use kernel::{
    dispatch::{Answer, Phase},
    mutation::{self, Mutant},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use site::{
    Site, job, rules,
    upstream::{Fault, Holds, crashing_input},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

const DEFAULT_HISTORIES: u64 = 120;
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Keeps the speeds independent of the other choices of a seed.
const SPEED_SEED: u64 = 0x5045_4544;
/// Keeps the tasks that crash upstreams, and the sizes of hosts, independent of the
/// other choices.
const CRASH_SEED: u64 = 0x4352_4153;
/// Identifier from which jobs have a task that crashes its upstream.
const FIRST_CRASHING_JOB: u64 = 500_000;
/// Largest number of starts of a task after it has crashed three upstreams.
const MAX_STARTS_AFTER_CRASHES: usize = 2;

/// A job to be resubmitted after its entry or its connection was lost.
struct Resubmission {
    at: Duration,
    id: u64,
    tasks: u16,
}

/// Number of jobs that histories have forwarded.
static FORWARDED: AtomicUsize = AtomicUsize::new(0);

struct History {
    site: Site,
    random: SmallRng,
    /// Steps of upstreams' clocks.
    clocks: SmallRng,
    /// Speeds of upstreams.
    speeds: SmallRng,
    /// Tasks that crash upstreams, and sizes of hosts.
    crashes: SmallRng,
    next_crashing_job: u64,
    /// Connected customers, with the entry, the job and its number of tasks.
    open: BTreeMap<u64, (usize, u64, u16)>,
    resubmissions: Vec<Resubmission>,
    next_job: u64,
    /// Version of the rules in force.
    version: u64,
    /// Run time that customers estimate.
    estimate: Duration,
    /// Whether weak entries forward their jobs.
    forwards: bool,
    /// Customers that were told that the outcome is unknown, and have resubmitted.
    told: BTreeSet<u64>,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut site = Site::new(random.random_range(1..4), random.random_range(2..6));
        for stub in &mut site.upstreams {
            stub.run_time = Duration::from_millis(random.random_range(30..700));
        }
        Self {
            site,
            random,
            clocks: SmallRng::seed_from_u64(!seed),
            speeds: SmallRng::seed_from_u64(seed ^ SPEED_SEED),
            crashes: SmallRng::seed_from_u64(seed ^ CRASH_SEED),
            next_crashing_job: FIRST_CRASHING_JOB,
            open: BTreeMap::new(),
            resubmissions: Vec::new(),
            next_job: 0,
            version: 1,
            estimate: Duration::from_millis(200),
            forwards: false,
            told: BTreeSet::new(),
        }
    }

    /// Makes a history with weak entries.
    fn with_forwarding(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let processors = [
            &[1_000, 120][..],
            &[1_000, 700, 120],
            &[1_000, 90, 120],
            &[1_000, 1_000, 90, 120],
        ][random.random_range(0..4)];
        let mut history = Self::new(seed);
        // With the larger factor runs last beyond the resubmission, so that those left
        // behind show.
        let factor = random.random_range(1..4);
        let run_times = history.site.upstreams.iter().map(|stub| stub.run_time);
        let run_times: Vec<Duration> = run_times.map(|time| time * factor).collect();
        history.site = Site::with_processors(processors, run_times.len());
        for (stub, run_time) in history.site.upstreams.iter_mut().zip(run_times) {
            stub.run_time = run_time;
        }
        history.estimate *= factor;
        history.forwards = true;
        history
    }

    /// Injects a random fault of an entry or between entries, or repairs one.
    fn random_entry_fault(&mut self) {
        let entries = self.site.entries.len();
        let (from, to) = (
            self.random.random_range(0..entries),
            self.random.random_range(0..entries),
        );
        if from == to {
            return;
        }
        match self.random.random_range(0..8) {
            0 => self.site.cut_entries(from, to, true),
            1 | 2 => self.site.cut_entries(from, to, false),
            3 => {
                let noticed = [self.random.random_bool(0.7), self.random.random_bool(0.7)];
                self.site.break_entries(from, to, noticed);
            }
            4 => self.site.frozen_entries[from] = true,
            5 | 6 => self.site.frozen_entries[from] = false,
            _ => {
                // All that two entries exchange is lost, in both directions.
                self.site.cut_entries(from, to, true);
                self.site.cut_entries(to, from, true);
            }
        }
    }

    /// Has customers whose jobs have an unknown outcome resubmit them.
    fn resubmit_unknown(&mut self) {
        let now = self.site.now;
        for (customer, (_, id, tasks)) in &self.open {
            let Some((at, answer)) = self.site.answers.get(customer) else {
                continue;
            };
            let unknown = matches!(answer, Answer::Unknown | Answer::Expired);
            if unknown && self.told.insert(*customer) {
                self.resubmissions.push(Resubmission {
                    at: now.min(*at) + RESUBMIT_AFTER,
                    id: *id,
                    tasks: *tasks,
                });
            }
        }
    }

    fn submit(&mut self, id: u64, tasks: u16) {
        let entries = self.site.entries.len();
        let random = if id >= FIRST_CRASHING_JOB {
            &mut self.crashes
        } else {
            &mut self.random
        };
        let entry = random.random_range(0..entries);
        if self.site.entries[entry].is_none() || self.site.frozen_entries[entry] {
            return;
        }
        let mut submission = job(id, tasks, 1_000, self.estimate);
        if id >= FIRST_CRASHING_JOB {
            let delay_ms = u32::try_from(id % 4 * 10).expect("at most 30");
            submission.input = crashing_input(0, delay_ms);
        }
        let customer = self.site.submit(entry, submission);
        self.open.insert(customer, (entry, id, tasks));
    }

    fn random_action(&mut self) {
        let entry = self.random.random_range(0..self.site.entries.len());
        let side = self.random.random_range(0..self.site.sides.len());
        let now = self.site.now;
        match self.random.random_range(0..31) {
            0..=11 => {
                self.next_job += 1;
                let tasks = self.random.random_range(1..8);
                self.submit(self.next_job, tasks);
            }
            12 => self.kill_entry(entry),
            13 if self.site.entries[entry].is_none() => self.site.start_entry(entry),
            14 => self.site.kill_side(side),
            15 | 16 if self.site.sides[side].is_none() => self.site.start_side(side),
            17 => self.site.cut(entry, side, true),
            18 | 19 => self.site.cut(entry, side, false),
            20 => self.site.frozen_sides[side] ^= true,
            21 => {
                let alive = self.site.upstreams[side].alive;
                self.site.upstreams[side].set_alive(now, !alive);
                // The time of day may be set forward or back between two lives.
                self.site.upstreams[side].started_at = self.clocks.random_range(1..1 << 40);
                self.site.upstreams[side].speed_percent = self.speeds.random_range(25..400);
            }
            22 => {
                let order_delay = self.random.random_range(0..2_500);
                let order_delay =
                    (order_delay > 500).then(|| Duration::from_millis(order_delay - 400));
                self.site.upstreams[side].order_delay = order_delay;
            }
            23 => self.site.upstreams[side].fault = Fault::Failing,
            24 => self.site.upstreams[side].fault = Fault::Stalled,
            25 => self.disconnect_customer(),
            26 | 27 => self.site.upstreams[side].fault = Fault::None,
            28 => self.publish(&[["d0", "d1", "d2"][side % 3]]),
            29 => self.publish(&[]),
            30 => self.change_neighbourhood(entry, side),
            _ => {}
        }
    }

    /// Submits a job with a task that crashes its upstream, or resizes a host, now and
    /// then.
    fn random_crash(&mut self) {
        let side = self.crashes.random_range(0..self.site.sides.len());
        match self.crashes.random_range(0..24) {
            0 => {
                self.next_crashing_job += 1;
                self.submit(self.next_crashing_job, 2);
            }
            1 => {
                let cores = self.crashes.random_range(1..5);
                let now = self.site.now;
                self.site.upstreams[side].resize(now, cores * 1_000);
            }
            _ => {}
        }
    }

    /// Asserts that no task was started too often after it has crashed upstreams.
    fn check_crashes(&self, seed: u64) {
        for id in FIRST_CRASHING_JOB..=self.next_crashing_job {
            let stubs = &self.site.upstreams;
            let crashes = stubs.iter().flat_map(|stub| &stub.crashes);
            let mut times: Vec<Duration> = crashes
                .filter(|(_, task)| task.job == id)
                .map(|(at, _)| *at)
                .collect();
            times.sort_unstable();
            let Some(third) = times.get(2) else { continue };
            let starts = stubs.iter().flat_map(|stub| &stub.starts);
            let later = starts
                .filter(|(at, run)| at > third && run.task.job == id && run.task.index == 0)
                .count();
            assert!(
                later <= MAX_STARTS_AFTER_CRASHES,
                "seed {seed}: job {id} was started {later} times after three crashes"
            );
        }
    }

    /// Makes an entry surplus at a side, or none.
    fn change_neighbourhood(&mut self, entry: usize, side: usize) {
        let surplus = [self.site.entry_id(entry)];
        let surplus: &[_] = if self.random.random_bool(0.7) {
            &surplus
        } else {
            &[]
        };
        if let Some(guard) = &mut self.site.sides[side] {
            guard.set_surplus(self.site.now, surplus);
        }
    }

    /// Puts new rules in force with the failure domains `out`.
    fn publish(&mut self, out: &[&str]) {
        self.version += 1;
        let now = self.site.now;
        self.site.rules = rules(self.version, out);
        for entry in self.site.entries.iter_mut().flatten() {
            entry.adopt(now, &self.site.rules, None);
        }
    }

    /// Disconnects the oldest customer, which resubmits its job later.
    fn disconnect_customer(&mut self) {
        let Some((customer, (entry, id, tasks))) = self.open.pop_first() else {
            return;
        };
        // A frozen process learns of it when it resumes; without forwards, entries
        // are never frozen. One that has an answer does not resubmit.
        let answered = self.site.answers.contains_key(&customer);
        if self.forwards && (self.site.frozen_entries[entry] || answered) {
            self.open.insert(customer, (entry, id, tasks));
            return;
        }
        if let Some(dispatcher) = &mut self.site.entries[entry]
            && !self.site.frozen_entries[entry]
        {
            dispatcher.remove_customer(self.site.now, id, customer);
        }
        let at = self.site.now + RESUBMIT_AFTER;
        self.resubmissions.push(Resubmission { at, id, tasks });
    }

    fn kill_entry(&mut self, entry: usize) {
        let observed = self.random.random_bool(0.5);
        self.site.kill_entry(entry, observed);
        let unanswered: Vec<u64> = self
            .open
            .iter()
            .filter(|(customer, (owner, ..))| {
                *owner == entry && !self.site.answers.contains_key(*customer)
            })
            .map(|(customer, _)| *customer)
            .collect();
        for customer in unanswered {
            if let Some((_, id, tasks)) = self.open.remove(&customer) {
                let at = self.site.now + RESUBMIT_AFTER;
                self.resubmissions.push(Resubmission { at, id, tasks });
            }
        }
    }

    fn resubmit_due(&mut self) {
        let now = self.site.now;
        let due: Vec<Resubmission> = self
            .resubmissions
            .extract_if(.., |resubmission| resubmission.at <= now)
            .collect();
        for resubmission in due {
            self.submit(resubmission.id, resubmission.tasks);
        }
    }

    fn repair(&mut self) {
        for index in 0..self.site.entries.len() {
            if self.site.entries[index].is_none() {
                self.site.start_entry(index);
            }
            for side in 0..self.site.sides.len() {
                self.site.cut(index, side, false);
            }
            self.site.frozen_entries[index] = false;
            for other in 0..self.site.entries.len() {
                self.site.cut_entries(index, other, false);
            }
        }
        for side in 0..self.site.sides.len() {
            self.site.frozen_sides[side] = false;
            if self.site.sides[side].is_none() {
                self.site.start_side(side);
            }
            let now = self.site.now;
            if let Some(guard) = &mut self.site.sides[side] {
                guard.set_surplus(now, &[]);
            }
            let stub = &mut self.site.upstreams[side];
            stub.order_delay = None;
            stub.fault = Fault::None;
            stub.speed_percent = 100;
            stub.resize(now, 4_000);
            if !stub.alive {
                stub.set_alive(now, true);
            }
        }
    }
}

fn check_history(seed: u64) {
    check(seed, History::new(seed));
}

fn check_forwarding(seed: u64) {
    check(seed, History::with_forwarding(seed));
}

fn check(seed: u64, mut history: History) {
    for _ in 0..120 {
        history.random_action();
        history.random_crash();
        if history.forwards {
            history.random_entry_fault();
            history.resubmit_unknown();
        }
        let pause = history.random.random_range(1..120);
        history.site.run(Duration::from_millis(pause));
        history.resubmit_due();
    }
    let (now, version) = (history.site.now, history.version);
    history.site.rules = rules(version + 2, &[]);
    let older_adopted = history.site.entries.iter_mut().flatten().any(|entry| {
        entry.adopt(now, &rules(version + 2, &[]), None);
        entry.adopt(now, &rules(version + 1, &["d0"]), None)
    });
    assert!(!older_adopted, "seed {seed}: older rules were adopted");
    history.repair();
    history.site.run(Duration::from_secs(12));
    if history.forwards {
        // Counted after the run, so that forwards during all of it count.
        FORWARDED.fetch_add(history.site.forwarded(), Ordering::Relaxed);
    }
    history.check_crashes(seed);
    for (customer, (_, id, _)) in &history.open {
        let answered = history.site.answers.contains_key(customer);
        assert!(answered, "seed {seed}: job {id} has no answer");
    }
    // No resources have leaked: as many tasks as there are cores run at once.
    let capacity = u16::try_from(history.site.sides.len() * 4).expect("at most 20");
    let run_times = history.site.upstreams.iter().map(|stub| stub.run_time);
    let longest = run_times.max().unwrap_or_default();
    let longest = longest.max(Duration::from_millis(700));
    let last = history
        .site
        .submit(0, job(1_000_000, capacity, 1_000, longest));
    history.site.run(longest + Duration::from_millis(300));
    let state = history.site.state(last);
    assert_eq!(
        state,
        Some(Phase::Completed),
        "seed {seed}: resources leaked"
    );
}

#[test]
fn random_histories() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    if let Some(seed) = number("HISTORY_SEED") {
        check_history(seed);
        check_forwarding(seed);
        return;
    }
    for seed in 0..number("HISTORIES").unwrap_or(DEFAULT_HISTORIES) {
        let outcome = std::panic::catch_unwind(|| check_history(seed));
        assert!(outcome.is_ok(), "history of seed {seed} failed");
        let outcome = std::panic::catch_unwind(|| check_forwarding(seed));
        assert!(outcome.is_ok(), "forwarding history of seed {seed} failed");
    }
    let forwarded = FORWARDED.load(Ordering::Relaxed);
    println!("{forwarded} jobs were forwarded");
    assert!(forwarded > 0, "the histories test forwarding");
}

/// Guards against starting an order that a side reads long after it was sent,
/// because the side was frozen.
#[test]
fn stale_order_after_pause() {
    let mut site = Site::new(1, 3);
    for stub in &mut site.upstreams {
        stub.run_time = Duration::from_secs(3);
    }
    site.frozen_sides[0] = true;
    let customer = site.submit(0, job(1, 6, 1_000, Duration::from_secs(3)));
    site.run(Duration::from_secs(2));
    site.frozen_sides[0] = false;
    site.run(Duration::from_secs(5));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against counting a run as ended at a restart of the upstream if its
/// start order may reach the restarted upstream. Found by seed 11.
#[test]
fn order_delivered_after_restart() {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = Duration::from_secs(1);
    }
    let customer = site.submit(0, job(1, 6, 1_000, Duration::from_secs(1)));
    site.run(Duration::from_millis(2));
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    site.upstreams[0].set_alive(now, true);
    site.run(Duration::from_secs(5));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against counting the end of an earlier run as that of a run with the
/// same number after the job was resubmitted. Found by seed 62.
#[test]
fn resubmission_after_lost_side() {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = Duration::from_secs(3);
    }
    let long = Duration::from_secs(3);
    let customer = site.submit(0, job(1, 2, 4_000, long));
    site.run(Duration::from_millis(20));
    site.kill_side(0);
    let now = site.now;
    if let Some(entry) = &mut site.entries[0] {
        entry.remove_customer(now, 1, customer);
    }
    site.run(Duration::from_millis(100));
    let start = site.now;
    let resubmitted = site.submit(0, job(1, 2, 1_000, long));
    site.run(Duration::from_secs(6));
    assert_eq!(site.state(resubmitted), Some(Phase::Completed));
    let starts = site.upstreams.iter().flat_map(|stub| &stub.starts);
    let count = starts.filter(|(at, _)| *at > start).count();
    assert_eq!(
        count, 2,
        "tasks whose earlier runs continue start no second run"
    );
}

/// Guards against counting a run as not started when its start order is repeated
/// after a lost answer and refused because the run has ended already.
#[test]
fn order_repeated_after_end() {
    let mut site = Site::new(1, 1);
    site.upstreams[0].run_time = Duration::from_millis(30);
    site.upstreams[0].order_delay = Some(Duration::ZERO);
    let customer = site.submit(0, job(1, 1, 1_000, Duration::from_millis(30)));
    // No inventory reports the run before the repeated order is answered.
    site.upstreams[0].holds = Holds::Dropped;
    site.run(Duration::from_millis(50));
    site.upstreams[0].order_delay = None;
    site.run(Duration::from_millis(100));
    site.upstreams[0].holds = Holds::Answered;
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.upstreams[0].starts.len(), 1, "the task runs once");
}

/// Guards against a side that takes tasks from an entry that it has released: the
/// order was sent before the entry was told.
#[test]
fn order_to_released_side() {
    let mut site = Site::new(2, 1);
    let surplus = [site.entry_id(0)];
    let now = site.now;
    site.sides[0].as_mut().unwrap().set_surplus(now, &surplus);
    // The side reports the release 5 s later at the earliest.
    site.run(Duration::from_millis(4_999));
    let before = site.upstreams[0].starts.len();
    let customer = site.submit(0, job(1, 1, 1_000, Duration::from_millis(100)));
    site.run(Duration::from_millis(600));
    assert_ne!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.upstreams[0].starts.len(), before);
}

/// Guards against a rate that was learnt of an upstream's earlier process: a restart
/// may be an upgrade or move of its host.
#[test]
fn rate_after_restart() {
    let mut site = Site::new(1, 2);
    site.upstreams[0].speed_percent = 50;
    for id in 0..60 {
        site.submit(0, job(id, 4, 1_000, Duration::from_millis(100)));
        site.run(Duration::from_millis(150));
    }
    site.run(Duration::from_secs(1));
    let learnt = site.sides[0].as_ref().unwrap().rate();
    assert!(learnt < 800, "rate {learnt} of a host at half speed");
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    site.upstreams[0].set_alive(now, true);
    site.run(Duration::from_secs(1));
    assert_eq!(site.sides[0].as_ref().unwrap().rate(), 1_000);
    let entry = site.entries[0].as_ref().unwrap();
    let views = entry.side_views(site.now);
    let seen: Vec<u16> = views
        .filter(|view| view.name == "s0")
        .map(|view| view.rate)
        .collect();
    assert_eq!(seen, [1_000]);
}

/// Guards against the end of a run that is lost with its connection: the task would run
/// again.
#[test]
fn end_lost_with_connection() {
    let mut site = Site::new(1, 1);
    site.upstreams[0].run_time = Duration::from_millis(100);
    let customer = site.submit(0, job(1, 2, 1_000, Duration::from_millis(100)));
    site.run(Duration::from_millis(50));
    assert_eq!(site.upstreams[0].starts.len(), 2);
    // The ends are sent, and do not arrive.
    site.cut(0, 0, true);
    site.run(Duration::from_millis(150));
    assert_eq!(site.sides[0].as_ref().unwrap().runs(), 0);
    site.close_connection(0, 0);
    site.cut(0, 0, false);
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.upstreams[0].starts.len(), 2);
}

/// Number of histories within which each seeded bug must be found.
const MUTANT_HISTORIES: u64 = 200;

#[test]
fn seeded_bugs_found() {
    let mutants = [
        Mutant::Orphan,
        Mutant::LongLease,
        Mutant::EarlyRoom,
        Mutant::Forgotten,
        Mutant::EarlyOver,
        Mutant::OldRules,
        Mutant::KeptRoom,
        Mutant::CrashForgotten,
    ];
    let mut missed = Vec::new();
    let fails =
        |test: &dyn Fn()| std::panic::catch_unwind(std::panic::AssertUnwindSafe(test)).is_err();
    for mutant in mutants {
        mutation::seed(Some(mutant));
        let found = (0..MUTANT_HISTORIES).find(|seed| fails(&|| check_history(*seed)));
        match found {
            Some(seed) => println!("{mutant:?}: found by history {seed}"),
            None => missed.push(mutant),
        }
    }
    // `forwarding.rs` has the directed tests of the other faults in forwarding.
    let mutant = Mutant::ForwardedTwice;
    mutation::seed(Some(mutant));
    match (0..MUTANT_HISTORIES).find(|seed| fails(&|| check_forwarding(*seed))) {
        Some(seed) => println!("{mutant:?}: found by forwarding history {seed}"),
        None => missed.push(mutant),
    }
    let directed: [(Mutant, &dyn Fn()); 6] = [
        (Mutant::LostEnd, &end_lost_with_connection),
        (Mutant::ReleasedEntry, &order_to_released_side),
        (Mutant::RepeatTrusted, &order_repeated_after_end),
        (Mutant::EarlyLife, &order_delivered_after_restart),
        (Mutant::AgainAtOnce, &resubmission_after_lost_side),
        (Mutant::KeptRate, &rate_after_restart),
    ];
    for (mutant, test) in directed {
        mutation::seed(Some(mutant));
        if fails(test) {
            println!("{mutant:?}: found by its directed test");
        } else {
            missed.push(mutant);
        }
    }
    mutation::seed(None);
    assert!(missed.is_empty(), "not found: {missed:?}");
}
