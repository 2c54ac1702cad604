//! Entries and sides that are suspended: the runtime's timers stand still while the time by
//! which leases are reckoned goes on. No task may have two runs at a time.
//!
//! `SUSPENSION_SEEDS=FROM..TO` selects the seeds.

#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;

use hyssoppost::{
    leased::{entry, side},
    settings,
};
use platform_standin::{
    store::Store,
    upstream::{Audit, Fault, Upstream},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use standin::{relay::Relay, timer::Timer};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Notify, mpsc, oneshot},
    task::JoinSet,
};

const DEFAULT_SEEDS: Range<u64> = 0..6;
const CONCURRENT_SITES: usize = 6;
const ENTRIES: usize = 3;
const SIDES: usize = 3;
const LOAD_DURATION: Duration = Duration::from_secs(10);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(150);
/// Time that customers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(7);
/// Shortest time after which a customer submits a job again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Time from the last disruption until every job must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
const RECOVERY_JOBS: u64 = 6;
/// Suspensions are a little shorter or longer than S/2, S, S + L' and the resubmission
/// time, in milliseconds.
const LIMITS_MS: [u64; 4] = [318, 637, 1_176, 1_300];
const SHORT_TASK_MS: u64 = 150;
/// Time in each tenth of a second in which nothing runs under a processor quota. The
/// runtime's timers go on.
const QUOTA_PAUSE: Duration = Duration::from_millis(75);
const QUOTA_GAP: Duration = Duration::from_millis(25);
/// Paths of upstreams whose calls go unanswered.
const UNANSWERED_PATHS: [&str; 4] = ["/v1/", "/v1/run-stop", "/v1/run-start", "/v1/hold"];
const LEASE: &str = "[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
     [security]\nkey = suspended-suspended\nadmin_token = test\n";

/// Lines that the processes of each site have logged, with the time and the name of their
/// thread, which begins with the site's seed.
struct Lines(Mutex<BTreeMap<u64, Vec<(Instant, String)>>>);

static LINES: Lines = Lines(Mutex::new(BTreeMap::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let thread = thread::current();
        let name = thread.name().unwrap_or_default();
        let seed = name.split('.').next().map(str::parse);
        if let Some(Ok(seed)) = seed {
            self.push(seed, &format!("{name} {}", record.args()));
        }
    }

    fn flush(&self) {}
}

impl Lines {
    fn push(&self, seed: u64, text: &str) {
        let mut lines = self.0.lock().unwrap();
        let lines = lines.entry(seed).or_default();
        lines.push((Instant::now(), text.to_owned()));
    }

    fn take(&self, seed: u64) -> Vec<(Instant, String)> {
        self.0.lock().unwrap().remove(&seed).unwrap_or_default()
    }

    /// Returns the lines in which the processes have said that they accept tasks.
    fn accepting(&self, seed: u64) -> usize {
        let lines = self.0.lock().unwrap();
        let lines = lines.get(&seed).into_iter().flatten();
        lines
            .filter(|(_, line)| line.contains("event=accepting value=true"))
            .count()
    }

    /// Returns an address that the process of a thread has logged when it started.
    fn address(&self, seed: u64, thread: &str, key: &str) -> SocketAddr {
        let (prefix, pattern) = (format!("{thread} "), format!("{key}="));
        let lines = self.0.lock().unwrap();
        let mut started = lines[&seed]
            .iter()
            .filter(|(_, line)| line.starts_with(&prefix) && line.contains("_started "));
        let (_, line) = started.next_back().expect("the process has started");
        let word = line.split(' ').find_map(|word| word.strip_prefix(&pattern));
        word.expect("a bound address").parse().expect("an address")
    }
}

/// A process on a thread of its own.
struct Process {
    suspensions: mpsc::UnboundedSender<Suspension>,
}

struct Suspension {
    length: Duration,
    /// Whether the runtime's timers go on.
    counted: bool,
    done: oneshot::Sender<()>,
}

impl Process {
    async fn spawn(name: String, settings: String) -> Self {
        let (suspensions, mut due) = mpsc::unbounded_channel::<Suspension>();
        let (started, start) = oneshot::channel();
        let body = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let _handle = Running::spawn(&settings).await;
                started.send(()).unwrap();
                while let Some(suspension) = due.recv().await {
                    suspension.play();
                }
            });
        };
        thread::Builder::new().name(name).spawn(body).unwrap();
        start.await.expect("the process starts");
        Self { suspensions }
    }

    async fn suspend(&self, length: Duration) {
        self.pause(length, false).await;
    }

    async fn pause(&self, length: Duration, counted: bool) {
        let (done, end) = oneshot::channel();
        let suspension = Suspension {
            length,
            counted,
            done,
        };
        self.suspensions.send(suspension).unwrap();
        end.await.expect("the process goes on");
    }
}

impl Suspension {
    /// Blocks the only thread of a process.
    fn play(self) {
        if self.counted {
            thread::sleep(self.length);
        } else {
            log::info!("event=suspended ms={}", self.length.as_millis());
            tokio::time::pause();
            thread::sleep(self.length);
            tokio::time::resume();
            log::info!("event=resumed");
        }
        // Fails if the site doesn't wait for it.
        let _ = self.done.send(());
    }
}

/// The handle of a process, which runs until it is dropped.
#[expect(dead_code, reason = "kept while the process runs")]
enum Running {
    Entry(entry::Handle),
    Side(side::Handle),
}

impl Running {
    async fn spawn(text: &str) -> Self {
        if text.starts_with("[entry]") {
            let settings = settings::Entry::parse(text).unwrap();
            let lease = settings.lease.clone().unwrap();
            Self::Entry(entry::spawn(settings, &lease).await.unwrap())
        } else {
            let settings = settings::Side::parse(text).unwrap();
            let leased = settings.leased.clone().unwrap();
            Self::Side(side::spawn(settings, &leased).await.unwrap())
        }
    }
}

struct Site {
    seed: u64,
    _store: Store,
    entries: Vec<Process>,
    sides: Vec<Process>,
    /// Sides' and entries' path to each entry.
    links: Vec<Relay>,
    upstreams: Vec<Upstream>,
    /// Sides' paths to their upstreams, and the upstreams' to them.
    orders: Vec<Relay>,
    reports: Vec<Relay>,
    /// All processes' path to the store.
    stores: Vec<Relay>,
    audit: Audit,
    customers: Arc<Customers>,
}

/// What the customers of a site share.
struct Customers {
    entries: Vec<SocketAddr>,
    /// Tells customers of each entry to leave; half of them do, and come again.
    departures: Vec<Notify>,
    answers: Mutex<BTreeMap<String, u64>>,
}

impl Site {
    async fn start(seed: u64, slots: usize) -> Self {
        let store = Store::bind().await;
        store.set(
            "op/config",
            &json!({
                "version": 1, "services": [], "limits": {},
                "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/",
                    "service": "desk", "priority": 0, "max_attempts": 5, "slack_factor": 1.6,
                    "target_latency_ms": 60 }],
            }),
        );
        let timer = Timer::spawn();
        let store_relay = Relay::bind(Duration::ZERO, &timer).await.unwrap();
        store_relay.set_target(Some(store.server.address));
        let (mut entries, mut links) = (Vec::new(), Vec::new());
        for index in 0..ENTRIES {
            let link = Relay::bind(Duration::ZERO, &timer).await.unwrap();
            // With odd seeds the first entry forwards its jobs to the others.
            let processor = [0.1, 1.0, 0.7][index];
            let limits = if seed % 2 == 1 {
                format!("[limits]\nprocessor = {processor}\n")
            } else {
                String::new()
            };
            let settings = format!(
                "[entry]\nname = e{index}\nenvironment = t\ndomain = d{index}\ndrain_s = 6\n\
                 [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
                 links = 127.0.0.1:0\nadvertise = {}\nadmin = 127.0.0.1:0\n\
                 [store]\naddress = {}\n{LEASE}{limits}",
                link.address(),
                store_relay.address()
            );
            let name = format!("{seed}.e{index}");
            entries.push(Process::spawn(name.clone(), settings).await);
            link.set_target(Some(LINES.address(seed, &name, "links")));
            links.push(link);
        }
        let seeds: Vec<String> = links
            .iter()
            .map(|link| link.address().to_string())
            .collect();
        let audit = Audit::default();
        let (mut sides, mut upstreams) = (Vec::new(), Vec::new());
        let (mut orders, mut reports) = (Vec::new(), Vec::new());
        for index in 0..SIDES {
            let run_time = Duration::from_millis(SHORT_TASK_MS);
            let mut upstream = Upstream::bind(index, slots, run_time, None, &audit).await;
            let order = Relay::bind(Duration::ZERO, &timer).await.unwrap();
            order.set_target(Some(upstream.address));
            let settings = format!(
                "[side]\nname = s{index}\nenvironment = t\ndomain = d{index}\nrack = r\n\
                 [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
                 [upstream]\naddress = {}\n[store]\naddress = {}\n\
                 [entries]\nseeds = {}\n{LEASE}",
                order.address(),
                store_relay.address(),
                seeds.join(",")
            );
            let name = format!("{seed}.s{index}");
            sides.push(Process::spawn(name.clone(), settings).await);
            let report = Relay::bind(Duration::ZERO, &timer).await.unwrap();
            report.set_target(Some(LINES.address(seed, &name, "reports")));
            upstream.report_to(report.address());
            reports.push(report);
            upstreams.push(upstream);
            orders.push(order);
        }
        let customers =
            (0..ENTRIES).map(|index| LINES.address(seed, &format!("{seed}.e{index}"), "customers"));
        let customers = Customers {
            entries: customers.collect(),
            departures: (0..ENTRIES).map(|_| Notify::new()).collect(),
            answers: Mutex::default(),
        };
        let site = Self {
            seed,
            _store: store,
            entries,
            sides,
            links,
            upstreams,
            orders,
            reports,
            stores: vec![store_relay],
            audit,
            customers: Arc::new(customers),
        };
        let started = Instant::now();
        while LINES.accepting(seed) < SIDES {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "no side accepts tasks"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Until the sides have reported that to all entries.
        tokio::time::sleep(Duration::from_millis(500)).await;
        site
    }

    /// Suspends processes beside load, late calls and silent connections; returns the
    /// violated guarantees.
    async fn run(self, long_tasks: bool) -> Vec<String> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let end = Instant::now() + LOAD_DURATION;
        let load = generate_load(self.customers.clone(), self.seed, long_tasks, end);
        let load = tokio::spawn(load);
        while Instant::now() < end {
            for upstream in &self.upstreams {
                let path = UNANSWERED_PATHS[random.random_range(0..UNANSWERED_PATHS.len())];
                let fault = Fault::Unanswered(path, random.random_range(20..=100));
                let is_faulty = random.random_bool(0.4);
                upstream.inject(if is_faulty { fault } else { Fault::None });
            }
            if self.seed % 4 < 2 {
                self.silence_connections(&mut random);
            }
            self.suspend_in_series(&mut random).await;
            tokio::time::sleep(Duration::from_millis(random.random_range(0..700))).await;
        }
        for upstream in &self.upstreams {
            upstream.inject(Fault::None);
        }
        load.await.expect("no customer panics");
        tokio::time::sleep(RECOVERY_TIME).await;
        let mut jobs = JoinSet::new();
        for index in 0..RECOVERY_JOBS {
            let entry = usize::try_from(index).unwrap() % ENTRIES;
            let job = 0xF1A1_0000_0000_0001 + 2 * index;
            let customers = self.customers.clone();
            jobs.spawn(async move { (job, submit(customers, job, 3, SHORT_TASK_MS, entry).await) });
        }
        let mut violations = Vec::new();
        for (job, status) in jobs.join_all().await {
            if status != Some(200) {
                violations.push(format!("after the repair, job {job:016x} got {status:?}"));
            }
        }
        let findings = self.audit.lock();
        violations.extend(findings.violations.iter().cloned());
        println!(
            "seed {}: {} starts, answers {:?}",
            self.seed,
            findings.starts.len(),
            self.customers.answers.lock().unwrap()
        );
        let mut lines = LINES.take(self.seed);
        if !violations.is_empty() {
            for (what, moments) in [("start", &findings.starts), ("end", &findings.ends)] {
                lines.extend(moments.iter().map(|(at, index, task)| {
                    (*at, format!("test {what}={task} upstream={index}"))
                }));
            }
            lines.sort();
            let first = lines.first().map(|(at, _)| *at);
            let lines = lines.iter().map(|(at, line)| {
                let ms = first.map_or(0, |first| at.duration_since(first).as_millis());
                format!("{ms} {line}\n")
            });
            let path = std::env::temp_dir().join(format!("suspended-{}.log", self.seed));
            std::fs::write(&path, lines.collect::<String>()).unwrap();
            println!("logs: {}", path.display());
        }
        violations
    }

    fn silence_connections(&self, random: &mut SmallRng) {
        let relays = match random.random_range(0..6) {
            0..=2 => &self.links,
            3 => &self.orders,
            4 => &self.reports,
            _ => &self.stores,
        };
        let relay = &relays[random.random_range(0..relays.len())];
        for _ in 0..random.random_range(0..=3) {
            let directions = [[true, false], [false, true], [true, true]];
            let directions = directions[random.random_range(0..directions.len())];
            LINES.push(
                self.seed,
                &format!("silence to={} {directions:?}", relay.address()),
            );
            relay.silence(random.random_range(0..64), directions);
        }
    }

    /// Suspends one or two processes, at the same time or in turn. Customers leave
    /// shortly before or meanwhile.
    async fn suspend_in_series(&self, random: &mut SmallRng) {
        let process = |random: &mut SmallRng| {
            let (entry, side) = (
                random.random_range(0..ENTRIES),
                random.random_range(0..SIDES),
            );
            if random.random_bool(0.5) {
                &self.entries[entry]
            } else {
                &self.sides[side]
            }
        };
        let (first, second) = (process(random), process(random));
        let (series, other) = (Series::draw(random), Series::draw(random));
        let departures: Vec<_> = (0..random.random_range(0..=3))
            .map(|_| {
                let at = Duration::from_millis(random.random_range(0..2_500));
                (at, random.random_range(0..ENTRIES))
            })
            .collect();
        for (at, entry) in departures {
            let (customers, seed) = (self.customers.clone(), self.seed);
            tokio::spawn(async move {
                tokio::time::sleep(at).await;
                LINES.push(seed, &format!("departures entry={entry}"));
                customers.departures[entry].notify_waiters();
            });
        }
        tokio::time::sleep(Duration::from_millis(15)).await;
        match random.random_range(0..4) {
            0 => series.play(first).await,
            1 => {
                for _ in 0..8 * series.count {
                    tokio::join!(
                        first.pause(QUOTA_PAUSE, true),
                        second.pause(QUOTA_PAUSE, true)
                    );
                    tokio::time::sleep(QUOTA_GAP).await;
                }
            }
            2 => {
                for _ in 0..series.count {
                    first.suspend(series.length).await;
                    second.suspend(other.length).await;
                    tokio::time::sleep(series.gap).await;
                }
            }
            _ => {
                tokio::join!(series.play(first), other.play(second));
            }
        }
    }
}

/// Suspensions of one process.
struct Series {
    count: usize,
    length: Duration,
    gap: Duration,
}

impl Series {
    fn draw(random: &mut SmallRng) -> Self {
        let limit = LIMITS_MS[random.random_range(0..LIMITS_MS.len())];
        let (count, ms) = match random.random_range(0..4) {
            0 => (random.random_range(1..=4), random.random_range(100..900)),
            1 => (1, random.random_range(1_000..3_000)),
            2 => (
                random.random_range(1..=3),
                limit - random.random_range(1..=50),
            ),
            _ => (
                random.random_range(1..=3),
                limit + random.random_range(1..=50),
            ),
        };
        Self {
            count,
            length: Duration::from_millis(ms),
            gap: Duration::from_millis(random.random_range(1..150)),
        }
    }

    async fn play(&self, process: &Process) {
        for _ in 0..self.count {
            process.suspend(self.length).await;
            tokio::time::sleep(self.gap).await;
        }
    }
}

/// Submits jobs until `end`; returns when all have ended.
async fn generate_load(customers: Arc<Customers>, seed: u64, long_tasks: bool, end: Instant) {
    let mut random = SmallRng::seed_from_u64(!seed);
    let mut calls = JoinSet::new();
    while Instant::now() < end {
        let run_ms = if long_tasks || random.random_bool(0.2) {
            random.random_range(2_000..4_000)
        } else {
            SHORT_TASK_MS
        };
        let (job, tasks) = (random.random(), random.random_range(1..4));
        let entry = random.random_range(0..ENTRIES);
        calls.spawn(submit(customers.clone(), job, tasks, run_ms, entry));
        tokio::time::sleep(SUBMIT_INTERVAL).await;
    }
    calls.join_all().await;
}

/// Submits a job, up to three times; returns the final status, or `None` if no attempt had
/// one.
async fn submit(
    customers: Arc<Customers>,
    job: u64,
    tasks: usize,
    run_ms: u64,
    entry: usize,
) -> Option<u16> {
    for attempt in 0..3 {
        let entry = (entry + attempt) % ENTRIES;
        let leaves = job.is_multiple_of(2);
        let call = post(customers.entries[entry], job, tasks, run_ms);
        let outcome = tokio::select! {
            answer = tokio::time::timeout(PATIENCE, call) => answer,
            () = customers.departures[entry].notified(), if leaves => {
                Ok(Err("left".to_owned()))
            }
        };
        let (name, status) = match outcome {
            Ok(Ok(status)) => (status.to_string(), Some(status)),
            Ok(Err(error)) => (error, None),
            Err(_) => ("timeout".to_owned(), None),
        };
        *customers.answers.lock().unwrap().entry(name).or_default() += 1;
        if status.is_some_and(|status| !matches!(status, 502 | 504)) {
            return status;
        }
        tokio::time::sleep(RESUBMIT_AFTER).await;
    }
    None
}

/// Posts a job on a connection of its own, which is closed with the call.
async fn post(entry: SocketAddr, job: u64, tasks: usize, run_ms: u64) -> Result<u16, String> {
    let body = json!({
        "spec": run_ms.to_string(), "best_effort": true,
        "phases": [{ "count": tasks, "cpu": 1_000, "ram_mb": 64, "estimate_ms": run_ms }],
    })
    .to_string();
    let request = format!(
        "POST /jobs/{job:016x} HTTP/1.1\r\nhost: a.example\r\nx-deadline-ms: {}\r\n\
         content-length: {}\r\n\r\n{body}",
        PATIENCE.as_millis(),
        body.len()
    );
    let cut = |error: std::io::Error| format!("{:?}", error.kind());
    let mut stream = TcpStream::connect(entry).await.map_err(cut)?;
    stream.write_all(request.as_bytes()).await.map_err(cut)?;
    // "HTTP/1.1 200".
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.map_err(cut)?;
    let status = String::from_utf8_lossy(&status[9..]).into_owned();
    status.parse().map_err(|_| "no status".to_owned())
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("SUSPENSION_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (from, to) = range.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Plays a site in a runtime of its own, which ends the connections that are left.
fn play(seed: u64) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let violations = runtime.block_on(async {
        // Long tasks with much room, or short ones that wait behind some long ones.
        let long_tasks = seed % 8 < 4;
        let site = Site::start(seed, if long_tasks { 24 } else { 4 }).await;
        site.run(long_tasks).await
    });
    runtime.shutdown_background();
    violations
}

/// Guards against runs that are renewed, proved over or started anew by a clock of before
/// a suspension.
#[test]
fn suspensions_in_series() {
    // Nothing else in this file logs.
    let _ = log::set_logger(&LINES);
    log::set_max_level(log::LevelFilter::Info);
    let mut failed = BTreeMap::new();
    let all: Vec<u64> = seeds().collect();
    for batch in all.chunks(CONCURRENT_SITES) {
        let sites: Vec<_> = batch
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, site) in sites {
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
