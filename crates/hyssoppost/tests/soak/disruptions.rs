//! Disruptions beside tasks that take longer than the resubmission time: a run that is
//! left behind is still there when its job comes again.

use super::{
    MAX_CAPACITY_AGE, RUN_TIME, SIDES, SLOTS, Site, customers, large_sides, process::Process,
};
use crate::platform_standin::upstream::Fault;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rustix::process::Signal;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::JoinSet};

const LONG_RUN_TIME: Duration = Duration::from_millis(2_600);
/// Room for the runs that are left behind beside those of the jobs that come again.
const MANY_SLOTS: usize = 16;
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Time from the repair until every job must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
const RECOVERY_JOBS: u64 = 6;
/// Tasks of a job.
const MEAN_TASKS: u32 = 3;
/// Pauses are a little shorter than S/2, S, S + L' and the resubmission time, in
/// milliseconds.
const PAUSE_LIMITS_MS: [u64; 4] = [318, 637, 1_176, 1_300];
/// Time in each tenth of a second in which nothing runs under a processor quota.
const QUOTA_PAUSE: Duration = Duration::from_millis(75);
const QUOTA_GAP: Duration = Duration::from_millis(25);
/// Time before a pause from which customers leave.
const LEAD: Duration = Duration::from_millis(15);
/// Paths of upstreams whose calls go unanswered.
const UNANSWERED_PATHS: [&str; 4] = ["/v1/", "/v1/run-stop", "/v1/run-start", "/v1/hold"];

/// What a site is disturbed by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Kind {
    /// Faults of all kinds beside short tasks.
    #[default]
    Faults,
    /// Open connections that go silent for good, while new ones work.
    Silence,
    /// Pauses of processes in series.
    Pauses,
    /// Customers that leave while their jobs wait for hosts whose room varies, beside
    /// pauses and restarts.
    Waiting,
}

impl Kind {
    fn has_short_tasks(self) -> bool {
        matches!(self, Self::Faults | Self::Waiting)
    }

    /// Returns the time that a task takes; `SOAK_RUN_MS` sets it for short tasks.
    pub fn run_time(self) -> Duration {
        let ms = std::env::var("SOAK_RUN_MS").ok();
        match (self.has_short_tasks(), ms) {
            (true, None) => RUN_TIME,
            (true, Some(ms)) => Duration::from_millis(ms.parse().expect("SOAK_RUN_MS is a number")),
            _ => LONG_RUN_TIME,
        }
    }

    pub fn slots(self) -> usize {
        self.pick(SLOTS, MANY_SLOTS)
    }

    pub fn submit_interval(self) -> Duration {
        if self == Self::Waiting {
            let slots = SLOTS * large_sides().unwrap_or(SIDES);
            // The hosts have room for this load if no slot is ever free.
            return self.run_time() * MEAN_TASKS / u32::try_from(slots).unwrap_or(u32::MAX);
        }
        Duration::from_millis(self.pick(25, 300))
    }

    /// Returns the time that customers wait for an answer.
    pub fn patience(self) -> Duration {
        Duration::from_secs(self.pick(4, 7))
    }

    /// Returns the latency beyond the run time that jobs may have: they are refused if they
    /// would have to wait for longer.
    pub fn target_latency(self) -> Duration {
        Duration::from_millis(if self == Self::Waiting { 2_000 } else { 60 })
    }

    /// Returns the time that a task takes as customers estimate it.
    pub fn estimate(self) -> Duration {
        self.pick(Duration::from_millis(100), LONG_RUN_TIME)
    }

    fn pick<T>(self, short: T, long: T) -> T {
        if self.has_short_tasks() { short } else { long }
    }
}

impl Site {
    /// Disrupts a site under load, then repairs it; returns the violated guarantees.
    pub async fn disrupt(mut self, seed: u64) -> Vec<String> {
        let mut random = SmallRng::seed_from_u64(seed);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let end = Instant::now() + LOAD_DURATION;
        let load = tokio::spawn(customers::generate_load(self.shared.clone(), seed, end));
        while Instant::now() < end {
            let upstream = &self.sides[random.random_range(0..self.sides.len())].upstream;
            let path = UNANSWERED_PATHS[random.random_range(0..UNANSWERED_PATHS.len())];
            let fault = Fault::Unanswered(path, random.random_range(20..=100));
            let is_waiting = self.kind == Kind::Waiting;
            let is_faulty = random.random_bool(if is_waiting { 0.2 } else { 0.6 });
            upstream.inject(if is_faulty { fault } else { Fault::None });
            match self.kind {
                Kind::Pauses => self.pause_in_series(&mut random).await,
                Kind::Waiting => self.vary_room(&mut random).await,
                _ => self.silence_connections(seed, &mut random).await,
            }
        }
        self.repair().await;
        load.await.expect("no customer panics");
        tokio::time::sleep(RECOVERY_TIME).await;
        let mut jobs = JoinSet::new();
        for index in 0..RECOVERY_JOBS {
            let entry = usize::try_from(index).unwrap_or_default();
            let job = 0xF1A1_0000_0000_0000 + index;
            let status = customers::submit(self.shared.clone(), job, 3, entry);
            jobs.spawn(async move { (job, status.await) });
        }
        for (job, status) in jobs.join_all().await {
            if status != Some(200) {
                let text = format!("after the repair, job {job:016x} got {status:?}");
                self.shared.lock().violations.push(text);
            }
        }
        self.find_violations()
    }

    /// Silences some connections, in one direction or both. Those of a seed are all
    /// between the same kinds of processes, or between any. Half of the seeds lose
    /// processes, too.
    async fn silence_connections(&mut self, seed: u64, random: &mut SmallRng) {
        let kinds = [
            self.entries.iter().map(|entry| &entry.links).collect(),
            self.sides.iter().map(|side| &side.orders).collect(),
            self.sides.iter().map(|side| &side.reports).collect(),
            vec![&self.entries_store, &self.sides_store],
        ];
        let any = random.random_range(0..kinds.len());
        let kind = usize::try_from(seed % 6).unwrap_or_default();
        let relays: &Vec<_> = kinds.get(kind).unwrap_or(&kinds[any]);
        let relay = relays[random.random_range(0..relays.len())];
        for _ in 0..random.random_range(1..=4) {
            let directions = [[true, false], [false, true], [true, true]];
            let directions = directions[random.random_range(0..directions.len())];
            relay.silence(random.random_range(0..64), directions);
        }
        let entry = random.random_range(0..self.entries.len());
        if random.random_bool(0.3) {
            self.shared.lock().departures[entry].notify_waiters();
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(20..500))).await;
        if seed % 12 >= 6 && random.random_bool(0.1) {
            self.kill_entry(entry);
            tokio::time::sleep(Duration::from_millis(random.random_range(100..1_000))).await;
            self.restart_ended();
        }
    }

    /// Crashes and restarts some processes and upstreams, and resizes hosts beside pauses.
    async fn vary_room(&mut self, random: &mut SmallRng) {
        for _ in 0..random.random_range(0..3) {
            let side = random.random_range(0..self.sides.len());
            match random.random_range(0..6) {
                0 => self.kill_entry(random.random_range(0..self.entries.len())),
                1 => {
                    if let Some(process) = &self.sides[side].process {
                        process.signal(Signal::TERM);
                    }
                }
                2 | 3 => self.sides[side].upstream.crash().await,
                _ => {}
            }
        }
        let mut sizes = SmallRng::seed_from_u64(random.random());
        let resize = async {
            for _ in 0..sizes.random_range(0..12) {
                let upstream = &self.sides[sizes.random_range(0..self.sides.len())].upstream;
                upstream.resize(sizes.random_range(0..=2 * SLOTS), MAX_CAPACITY_AGE);
                tokio::time::sleep(Duration::from_millis(sizes.random_range(0..400))).await;
            }
        };
        tokio::join!(resize, self.pause_in_series(random));
        for side in &mut self.sides {
            if random.random_bool(0.8) {
                side.upstream.restart().await;
            }
        }
        self.restart_ended();
    }

    /// Pauses an entry, a side, or both, at the same time or in turn. Customers of the
    /// entry leave shortly before or within the pauses.
    async fn pause_in_series(&self, random: &mut SmallRng) {
        let entry = random.random_range(0..self.entries.len());
        let side = random.random_range(0..self.sides.len());
        let departure = self.shared.lock().departures[entry].clone();
        let processes = [&self.entries[entry].process, &self.sides[side].process];
        let [Some(entry), Some(side)] = processes.map(Option::as_ref) else {
            return;
        };
        let (first, second) = (Series::draw(random), Series::draw(random));
        match random.random_range(0..4) {
            0 => {
                for _ in 0..first.count {
                    first.pause(entry, &departure).await;
                    second.pause(side, &departure).await;
                }
            }
            1 => {
                let paused = &[entry, side][random.random_range(0..2)..];
                for _ in 0..first.count * 8 {
                    let signal = |signal| paused.iter().for_each(|other| other.signal(signal));
                    signal(Signal::STOP);
                    tokio::time::sleep(QUOTA_PAUSE).await;
                    departure.notify_waiters();
                    signal(Signal::CONT);
                    tokio::time::sleep(QUOTA_GAP).await;
                }
            }
            _ => {
                let series = async |series: &Series, process| {
                    for _ in 0..series.count {
                        series.pause(process, &departure).await;
                    }
                };
                tokio::join!(series(&first, entry), series(&second, side));
            }
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..600))).await;
    }
}

/// Pauses of one process.
struct Series {
    count: usize,
    length: Duration,
    gap: Duration,
    /// When customers leave, from [`LEAD`] before a pause.
    departure: Duration,
}

impl Series {
    fn draw(random: &mut SmallRng) -> Self {
        let limit = PAUSE_LIMITS_MS[random.random_range(0..PAUSE_LIMITS_MS.len())];
        let length = Duration::from_millis(limit - random.random_range(5..=50));
        Self {
            count: random.random_range(0..=5),
            length,
            gap: Duration::from_millis(random.random_range(1..150)),
            departure: random.random_range(Duration::ZERO..length + LEAD),
        }
    }

    async fn pause(&self, process: &Process, departure: &Arc<Notify>) {
        let (departure, at) = (departure.clone(), self.departure);
        tokio::spawn(async move {
            tokio::time::sleep(at).await;
            departure.notify_waiters();
        });
        tokio::time::sleep(LEAD).await;
        process.signal(Signal::STOP);
        tokio::time::sleep(self.length).await;
        process.signal(Signal::CONT);
        tokio::time::sleep(self.gap).await;
    }
}
