//! A site of real processes with faults from outside.

pub mod customers;
pub mod process;

use crate::platform_standin::{
    store::{Fault as StoreFault, Store},
    upstream::{Audit, Fault, Upstream},
};
use customers::Book;
use process::{Process, until, write};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rustix::process::Signal;
use serde_json::json;
use standin::{relay::Relay, timer::Timer};
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

const ENTRIES: usize = 3;
const SIDES: usize = 4;
const PLACES: usize = 4;
const WORK: Duration = Duration::from_millis(90);
const WAY: Duration = Duration::from_millis(1);
const TRAFFIC: Duration = Duration::from_secs(9);
/// Bounds that the site's settings and rules promise.
const EVACUATE: Duration = Duration::from_secs(5);
const DRAIN: Duration = Duration::from_secs(2);

struct Entry {
    settings: PathBuf,
    process: Option<Process>,
    /// Whether a stop was asked for.
    leaving: bool,
    links: Relay,
}

struct Side {
    settings: PathBuf,
    process: Option<Process>,
    upstream: Upstream,
    reports: Relay,
}

/// A time in which nothing may start at an upstream.
struct Closed {
    index: usize,
    from: Instant,
    to: Option<Instant>,
    why: &'static str,
}

/// Real processes among stand-ins, and what injects faults between them.
pub struct Site {
    folder: PathBuf,
    entries: Vec<Entry>,
    sides: Vec<Side>,
    store: Store,
    audit: Audit,
    book: Book,
    log: Arc<Mutex<Vec<String>>>,
    closed: Vec<Closed>,
    store_works: bool,
    version: u64,
}

fn rules(version: u64) -> serde_json::Value {
    json!({
        "version": version,
        "routes": [{ "name": "r", "host": "desk.example", "prefix": "/jobs/", "service": "desk",
            "priority": 0, "max_attempts": 5, "slack_factor": 1.6, "target_latency_ms": 60 }],
        "services": [], "limits": {},
    })
}

impl Site {
    pub async fn start(seed: u64) -> Self {
        let folder =
            std::env::temp_dir().join(format!("hyssop-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a writable folder");
        let store = Store::bind().await;
        store.set("op/config", &rules(1));
        let timer = Timer::spawn();
        let audit = Audit::default();
        let mut site = Self {
            folder,
            entries: Vec::new(),
            sides: Vec::new(),
            store,
            audit,
            book: Book::default(),
            log: Arc::default(),
            closed: Vec::new(),
            store_works: true,
            version: 1,
        };
        site.book.lock().entries = vec![None; ENTRIES];
        site.book.lock().planned = vec![false; ENTRIES];
        for index in 0..ENTRIES {
            let links = Relay::bind(WAY, &timer).await.expect("a port");
            let settings = site.entry_settings(index, links.address());
            site.entries.push(Entry {
                settings,
                process: None,
                leaving: false,
                links,
            });
        }
        for index in 0..SIDES {
            let reports = Relay::bind(Duration::ZERO, &timer).await.expect("a port");
            let to = Some(reports.address());
            let upstream = Upstream::bind(index, PLACES, WORK, to, &site.audit).await;
            let settings = site.side_settings(index, upstream.address);
            site.sides.push(Side {
                settings,
                process: None,
                upstream,
                reports,
            });
        }
        for index in 0..ENTRIES {
            site.start_entry(index);
        }
        for index in 0..SIDES {
            site.start_side(index);
        }
        site
    }

    fn entry_settings(&self, index: usize, advertised: SocketAddr) -> PathBuf {
        let text = format!(
            "[entry]\nname = e{index}\nenvironment = soak\ndomain = d{index}\ndrain_s = 6\n\
             [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\nlinks = 127.0.0.1:0\n\
             advertise = {advertised}\nadmin = 127.0.0.1:0\n\
             [store]\naddress = {}\n[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
             [security]\nkey = soak-soak-soak-soak\nadmin_token = soak\n",
            self.store.server.address
        );
        write(&self.folder, &format!("e{index}"), &text)
    }

    fn side_settings(&self, index: usize, upstream: SocketAddr) -> PathBuf {
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.links.address().to_string())
            .collect();
        let text = format!(
            "[side]\nname = s{index}\nenvironment = soak\ndomain = d{}\nrack = r\ndrain_s = 6\n\
             [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [upstream]\naddress = {upstream}\nservice = desk\n[entries]\nseeds = {}\n\
             [lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
             [security]\nkey = soak-soak-soak-soak\nadmin_token = soak\n",
            index % 3,
            seeds.join(",")
        );
        write(&self.folder, &format!("s{index}"), &text)
    }

    fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.process.is_none() {
            let process = Process::start("entry", &entry.settings, &self.log);
            entry.links.set_target(Some(process.address("links")));
            entry.leaving = false;
            let mut told = self.book.lock();
            told.entries[index] = Some(process.address("customers"));
            told.planned[index] = false;
            entry.process = Some(process);
        }
    }

    fn start_side(&mut self, index: usize) {
        let side = &mut self.sides[index];
        if side.process.is_none() {
            let process = Process::start("side", &side.settings, &self.log);
            side.reports.set_target(Some(process.address("reports")));
            side.process = Some(process);
        }
    }

    /// Makes random faults for a while, then heals them and checks.
    pub async fn play(mut self, seed: u64) -> Vec<String> {
        let mut random = SmallRng::seed_from_u64(seed);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let end = Instant::now() + TRAFFIC;
        let customers = tokio::spawn(customers::press(self.book.clone(), seed, end));
        while Instant::now() < end {
            self.fault(&mut random).await;
            let pause = random.random_range(50..700);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.restart_ended();
        }
        self.heal().await;
        customers.await.expect("no customer panics");
        self.finale().await;
        self.verdict()
    }

    async fn fault(&mut self, random: &mut SmallRng) {
        let entry = random.random_range(0..ENTRIES);
        let side = random.random_range(0..SIDES);
        let kind = random.random_range(0..20);
        self.log
            .lock()
            .expect("no reader panics")
            .push(format!("soak fault={kind} entry={entry} side={side}"));
        match kind {
            0 => self.kill_entry(entry),
            1 => {
                if let Some(mut process) = self.sides[side].process.take() {
                    process.kill();
                }
            }
            2 => self.stop_entry(entry),
            3 => {
                if let Some(process) = &self.sides[side].process {
                    process.signal(Signal::TERM);
                }
            }
            4 | 5 => self.freeze(entry, side, random).await,
            6 => {
                self.book.lock().planned[entry] = false;
                self.entries[entry].links.blackhole();
            }
            7 => {
                self.book.lock().planned[entry] = false;
                self.entries[entry].links.partition(true);
            }
            8 => self.entries[entry].links.partition(false),
            9..=13 => self.disturb_store(kind - 9),
            14..=17 | 19 => self.disturb_upstream(side, kind, random).await,
            _ => self.evacuate(side, random.random_bool(0.5)),
        }
    }

    fn disturb_store(&mut self, kind: usize) {
        let faults = [
            StoreFault::Unavailable,
            StoreFault::Silent,
            StoreFault::AnswerLost,
            StoreFault::Compacted,
            StoreFault::None,
        ];
        self.store_works = kind + 1 == faults.len();
        if !self.store_works {
            self.excuse();
        }
        self.store.inject(faults[kind]);
    }

    async fn disturb_upstream(&mut self, side: usize, kind: usize, random: &mut SmallRng) {
        let upstream = &mut self.sides[side].upstream;
        match kind {
            14 => upstream.crash(),
            15 => upstream.inject(Fault::Failing),
            16 => upstream.inject(Fault::Hanging),
            17 => {
                let delay = Duration::from_millis(random.random_range(500..4_000));
                upstream.inject(Fault::Delayed(delay));
            }
            _ => {
                upstream.inject(Fault::None);
                if !upstream.is_up() {
                    upstream.restart().await;
                }
            }
        }
    }

    fn kill_entry(&mut self, index: usize) {
        let mut told = self.book.lock();
        told.entries[index] = None;
        told.planned[index] = false;
        drop(told);
        if let Some(mut process) = self.entries[index].process.take() {
            process.kill();
        }
    }

    fn stop_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if let Some(process) = &entry.process {
            // A second signal hurries the stop, as the usage text says; only
            // the first one promises to cut nothing (seed 28).
            let again = std::mem::replace(&mut entry.leaving, true);
            self.book.lock().planned[index] = !again;
            process.signal(Signal::TERM);
        }
    }

    /// Pauses a process of each role for a while.
    async fn freeze(&mut self, entry: usize, side: usize, random: &mut SmallRng) {
        self.book.lock().planned[entry] = false;
        self.excuse();
        let pause = Duration::from_millis(random.random_range(200..2_500));
        let processes = [&self.entries[entry].process, &self.sides[side].process];
        for process in processes.into_iter().flatten() {
            process.signal(Signal::STOP);
        }
        tokio::time::sleep(pause).await;
        for process in processes.into_iter().flatten() {
            process.signal(Signal::CONT);
        }
    }

    /// Takes a side's domain out, or all back in.
    fn evacuate(&mut self, side: usize, out: bool) {
        let domain = side % 3;
        let key = format!("op/evacuate/d{domain}");
        let now = Instant::now();
        self.version += 1;
        self.store.set("op/config", &rules(self.version));
        for closed in &mut self.closed {
            if closed.index % 3 == domain && closed.to.is_none() {
                closed.to = Some(now);
            }
        }
        if !out {
            self.store.remove(&key);
            return;
        }
        self.store.set(&key, &json!({}));
        if !self.store_works {
            return;
        }
        let indices = (0..SIDES).filter(|index| index % 3 == domain);
        self.closed.extend(indices.map(|index| Closed {
            index,
            from: now + EVACUATE,
            to: None,
            why: "its domain was out",
        }));
    }

    /// Ends the times in which nothing may start: their bound does not hold
    /// while the store fails or an entry pauses.
    fn excuse(&mut self) {
        let now = Instant::now();
        for closed in &mut self.closed {
            closed.to.get_or_insert(now);
        }
    }

    fn restart_ended(&mut self) {
        for index in 0..ENTRIES {
            let ended = self.entries[index]
                .process
                .as_mut()
                .is_some_and(Process::has_ended);
            if ended {
                self.book.lock().entries[index] = None;
                self.entries[index].process = None;
            }
            self.start_entry(index);
        }
        for index in 0..SIDES {
            let ended = self.sides[index]
                .process
                .as_mut()
                .is_some_and(Process::has_ended);
            if ended {
                self.sides[index].process = None;
            }
            self.start_side(index);
        }
    }

    async fn heal(&mut self) {
        self.store.inject(StoreFault::None);
        self.store_works = true;
        for entry in &self.entries {
            entry.links.partition(false);
        }
        for domain in 0..3 {
            self.evacuate(domain, false);
        }
        for side in &mut self.sides {
            side.upstream.inject(Fault::None);
            if !side.upstream.is_up() {
                side.upstream.restart().await;
            }
        }
        self.restart_ended();
    }

    /// Everything works again, an upstream that leaves gets nothing, and a
    /// domain that is out neither.
    async fn finale(&mut self) {
        tokio::time::sleep(Duration::from_secs(3)).await;
        self.restart_ended();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = Instant::now();
        self.sides[0].upstream.drain(true);
        self.closed.push(Closed {
            index: 0,
            from: now + DRAIN,
            to: None,
            why: "it was leaving",
        });
        self.store.set("op/evacuate/d1", &json!({}));
        self.closed.push(Closed {
            index: 1,
            from: now + DRAIN,
            to: None,
            why: "its domain was out",
        });
        tokio::time::sleep(DRAIN).await;
        for index in 0..20_u64 {
            let entry = usize::try_from(index).unwrap_or_default();
            let job = 0xF1A1_0000_0000_0000 + index;
            let status = customers::hand_in(self.book.clone(), job, 3, entry).await;
            if status != Some(200) {
                let text = format!("after all healed, job {job:016x} got {status:?}");
                self.book.lock().broken.push(text);
            }
        }
    }

    fn verdict(&mut self) -> Vec<String> {
        let findings = self.audit.lock();
        let told = self.book.lock();
        let mut broken = findings.violations.clone();
        broken.extend(told.broken.iter().cloned());
        for job in &told.refused {
            let name = format!("{job:016x}.");
            if findings
                .starts
                .iter()
                .any(|(.., task)| task.starts_with(&name))
            {
                broken.push(format!("job {job:016x} was refused as not run, and ran"));
            }
        }
        for closed in &self.closed {
            for (at, index, task) in &findings.starts {
                let inside = *at > closed.from && closed.to.is_none_or(|to| *at < to);
                if inside && *index == closed.index {
                    broken.push(format!("{task} started at {index} though {}", closed.why));
                }
            }
        }
        println!(
            "{} starts, answers {:?}",
            findings.starts.len(),
            told.answers
        );
        if !broken.is_empty() {
            let path = self.folder.join("soak.log");
            let lines = self.log.lock().expect("no reader panics").join("\n");
            std::fs::write(&path, lines).expect("room for the log");
            println!("logs: {}", path.display());
        }
        broken
    }
}

/// Plays one seed; returns what was broken.
pub async fn play(seed: u64) -> Vec<String> {
    let site = Site::start(seed).await;
    let ready = site.book.clone();
    until("entries", || {
        ready.lock().entries.iter().all(Option::is_some)
    })
    .await;
    let folder = site.folder.clone();
    let broken = site.play(seed).await;
    if broken.is_empty() {
        // The folder holds settings only.
        let _ = std::fs::remove_dir_all(folder);
    }
    broken
}
