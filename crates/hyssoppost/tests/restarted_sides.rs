//! Sides that restart while an entry lacks processor and its customers leave it unread: they
//! submit their jobs again at another entry. No task may have two runs at a time.
//!
//! `RESTART_SEEDS=FROM..TO` selects the seeds.

#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;
#[path = "soak/resubmission.rs"]
mod resubmission;

use fleet::{Fleet, Layout};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use resubmission::{PATIENCE, RESUBMIT_AFTER, RETRY_AFTER, SHORT_TASK_MS, Site, status};
use rustix::process::Signal;
use std::{
    collections::BTreeMap,
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

const DEFAULT_SEEDS: Range<u64> = 0..4;
const CONCURRENT_SITES: usize = 4;
const ENTRIES: usize = 3;
const ROUNDS: u32 = 2;
const ROUND_TIME: Duration = Duration::from_millis(3_500);
/// Time from the start of a round until customers leave.
const LEAD: Duration = Duration::from_millis(700);
/// Time from the last restart until every job must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Moments from the departure around which sides are restarted.
const RESTARTS_MS: [u64; 6] = [0, 300, 637, 900, 1_176, 1_300];
/// Pauses are a little shorter than these limits: S/2, S, S + L' and the resubmission time.
const PAUSES_MS: [u64; 5] = [300, 318, 637, 1_176, 1_300];
/// Time in each tenth of a second in which nothing runs under a processor quota.
const QUOTA_PAUSE: Duration = Duration::from_millis(75);
const QUOTA_GAP: Duration = Duration::from_millis(25);

/// What happens in a round.
#[derive(Debug)]
struct Round {
    /// The entry that is starved, and the one at which its jobs are submitted again.
    first: usize,
    second: usize,
    /// Whether the entry's connections stay open when customers leave.
    hidden: bool,
    /// Whether these entries don't hear each other.
    silent: bool,
    pause: Duration,
    gap: Duration,
    /// Time from the departure, and side.
    restarts: Vec<(Duration, usize)>,
    /// Job, tasks, their length in milliseconds and its time before the departure.
    jobs: Vec<(u64, usize, u64, Duration)>,
}

impl Round {
    fn draw(random: &mut SmallRng, sides: usize, hidden: bool) -> Self {
        let first = random.random_range(0..ENTRIES);
        let (pause, gap) = if random.random_bool(0.4) {
            (QUOTA_PAUSE, QUOTA_GAP)
        } else {
            let limit = PAUSES_MS[random.random_range(0..PAUSES_MS.len())];
            let pause = limit - random.random_range(5..=50);
            let gap = random.random_range(1..=30);
            (Duration::from_millis(pause), Duration::from_millis(gap))
        };
        let mut restarts = Vec::new();
        for moment in RESTARTS_MS {
            for _ in 0..sides.div_ceil(4) {
                let at = moment + random.random_range(0..80);
                restarts.push((Duration::from_millis(at), random.random_range(0..sides)));
            }
        }
        restarts.retain(|_| random.random_bool(0.6));
        let jobs = (0..random.random_range(2..6)).map(|_| {
            let is_long = random.random_bool(0.7);
            let length = random.random_range(2_000..4_000);
            let length = if is_long { length } else { SHORT_TASK_MS };
            let before = Duration::from_millis(random.random_range(0..600));
            (random.random(), random.random_range(1..5), length, before)
        });
        Self {
            jobs: jobs.collect(),
            first,
            second: (first + random.random_range(1..ENTRIES)) % ENTRIES,
            hidden,
            // A hidden departure is known from the other entry alone.
            silent: !hidden && random.random_bool(0.4),
            pause,
            gap,
            restarts,
        }
    }
}

impl Site {
    /// Submits a job at the first entry, leaves and submits it at the second.
    async fn leave(
        &self,
        round: &Round,
        (job, tasks, ms, before): (u64, usize, u64, Duration),
        left_at: Instant,
    ) {
        sleep_until(left_at - before).await;
        while let Some(mut stream) = self.post(round.first, job, tasks, ms).await {
            match timeout_at(left_at, status(&mut stream)).await {
                Ok(Some(200)) => return,
                Ok(_) => sleep(RETRY_AFTER).await,
                Err(_) => {
                    self.note(&format!("event=left job={job:016x}"));
                    if round.hidden {
                        self.kept.lock().unwrap().push(stream);
                    } else if job % 2 == 0 {
                        stream.set_zero_linger().unwrap();
                    }
                    break;
                }
            }
        }
        sleep_until(left_at + RESUBMIT_AFTER).await;
        self.note(&format!("event=again job={job:016x} at=e{}", round.second));
        self.finish(round.second, job, tasks, ms).await;
    }

    /// Pauses the first entry in series until the round ends.
    async fn starve(&self, round: &Round, end: Instant) {
        let entry = &self.fleet.entries[round.first];
        while Instant::now() < end {
            entry.signal(Signal::STOP);
            sleep(round.pause).await;
            entry.signal(Signal::CONT);
            sleep(round.gap).await;
        }
    }

    async fn restart_sides(&self, round: &Round, left_at: Instant) {
        for (at, index) in &round.restarts {
            sleep_until(left_at + *at).await;
            self.note(&format!("event=side_killed side=s{index}"));
            let side = &self.fleet.sides[*index];
            tokio::task::block_in_place(|| {
                side.kill();
                side.start();
            });
        }
    }

    /// Has the entries of a round not hear each other, or hear each other again.
    fn isolate(&self, round: &Round, silent: bool) {
        for (to, from) in [(round.first, round.second), (round.second, round.first)] {
            let name = format!("entry-{from}");
            self.fleet.links[to].isolate(silent.then_some(&name));
        }
    }

    /// Plays a round; adds the customers that have left to `customers`.
    async fn play(self: &Arc<Self>, round: Round, customers: &mut JoinSet<()>) {
        self.note(&format!("event=round {round:?}"));
        let (round, end) = (Arc::new(round), Instant::now() + ROUND_TIME);
        let left_at = Instant::now() + LEAD;
        for job in round.jobs.clone() {
            let (site, round) = (self.clone(), round.clone());
            customers.spawn(async move { site.leave(&round, job, left_at).await });
        }
        let mut disruptions = JoinSet::new();
        let (site, other) = (self.clone(), round.clone());
        disruptions.spawn(async move { site.restart_sides(&other, left_at).await });
        let (site, other) = (self.clone(), round.clone());
        disruptions.spawn(async move { site.starve(&other, end).await });
        if self.seed % 4 >= 2 {
            disruptions.spawn(self.clone().flood(round.first, end));
        }
        if round.silent {
            sleep_until(left_at - LEAD / 2).await;
            self.isolate(&round, true);
        }
        disruptions.join_all().await;
        self.isolate(&round, false);
    }

    async fn run(self: Arc<Self>, hidden: bool) -> Vec<String> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut customers = JoinSet::new();
        let end = Instant::now() + ROUND_TIME * ROUNDS;
        let load = tokio::spawn(self.clone().generate_load(end));
        for _ in 0..ROUNDS {
            let round = Round::draw(&mut random, self.fleet.sides.len(), hidden);
            self.play(round, &mut customers).await;
        }
        let repaired_at = Instant::now();
        customers.join_all().await;
        load.await.expect("no customer panics");
        sleep_until(repaired_at + RECOVERY_TIME).await;
        for entry in 0..ENTRIES {
            let job = 0xF1A1_0000_0000_0000 + u64::try_from(entry).unwrap();
            let stream = self.post(entry, job, 3, SHORT_TASK_MS).await;
            let mut stream = stream.expect("the entry accepts connections");
            let answer = timeout(PATIENCE, status(&mut stream)).await;
            if answer != Ok(Some(200)) {
                let text = format!("after the restarts, job {job:016x} got {answer:?}");
                self.violations.lock().unwrap().push(text);
            }
        }
        self.conclude()
    }
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("RESTART_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (from, to) = range.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Plays a site in a runtime of its own, which ends the connections that are left.
fn play(seed: u64, hidden: bool) -> Vec<String> {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let violations = runtime.block_on(async {
        let name = format!("restarted-{hidden}-{seed}");
        let layout = Layout {
            name: &name,
            // With odd seeds the first entry forwards its jobs to the others.
            processors: if seed % 2 == 1 {
                &[0.1, 1.0, 0.7]
            } else {
                &[1.0; ENTRIES]
            },
            sides: if seed % 8 == 7 { 12 } else { 3 },
            slots: 32,
            run_time: Duration::from_millis(SHORT_TASK_MS),
        };
        let site = Site {
            seed,
            fleet: Fleet::start(&layout).await,
            kept: Mutex::default(),
            violations: Mutex::default(),
        };
        Arc::new(site).run(hidden).await
    });
    runtime.shutdown_background();
    violations
}

fn play_seeds(hidden: bool) {
    let mut failed = BTreeMap::new();
    let all: Vec<u64> = seeds().collect();
    for batch in all.chunks(CONCURRENT_SITES) {
        let sites = batch
            .iter()
            .copied()
            .map(|seed| (seed, thread::spawn(move || play(seed, hidden))));
        for (seed, site) in sites.collect::<Vec<_>>() {
            let violations = site.join().expect("the site does not panic");
            for text in &violations {
                println!("seed {seed}: {text}");
            }
            if !violations.is_empty() {
                failed.insert(seed, violations.len());
            }
        }
    }
    assert!(
        failed.is_empty(),
        "guarantees violated with seeds {failed:?}"
    );
}

/// Guards against a side that, after its restart, takes orders of an entry that has not read
/// its customers' departures.
#[test]
fn unread_departures() {
    play_seeds(false);
}

/// Guards against an entry that, with a side that has restarted, starts a job of which the
/// other entries could not tell it that its customer has left.
#[test]
fn hidden_departures() {
    play_seeds(true);
}
