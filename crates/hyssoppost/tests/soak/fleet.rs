//! Entries and sides as processes, with stand-ins for the store and the upstreams.

use super::{
    platform_standin::{
        store::Store,
        upstream::{Audit, Upstream},
    },
    process::{Process, wait_until, write_ini},
};
use serde_json::json;
use standin::{relay::Relay, timer::Timer};
use std::{
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

const LEASE: &str = "[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
     [security]\nkey = pair-pair-pair-pair\nadmin_token = test\n";

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Layout<'a> {
    pub name: &'a str,
    /// Processor that each entry states, in cores; the weak ones forward.
    pub processors: &'a [f64],
    pub sides: usize,
    /// Tasks for which an upstream has room.
    pub slots: usize,
    pub run_time: Duration,
}

/// A side, which can be restarted, and its upstream, which stays.
#[allow(dead_code, reason = "each test file uses a part")]
pub struct Side {
    process: Mutex<Option<Process>>,
    settings: PathBuf,
    pub upstream: Upstream,
    reports: Relay,
    log: Arc<Mutex<Vec<String>>>,
}

/// The running processes and their stand-ins.
pub struct Fleet {
    pub entries: Vec<Process>,
    /// The paths to the entries.
    pub links: Vec<Relay>,
    pub sides: Vec<Side>,
    pub audit: Audit,
    /// Lines that the processes have logged.
    pub log: Arc<Mutex<Vec<String>>>,
    store: Store,
    folder: PathBuf,
}

#[allow(dead_code, reason = "each test file uses a part")]
impl Side {
    /// Kills the process, if it runs.
    pub fn kill(&self) {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        // Dropping it kills it.
        *process = None;
    }

    /// Starts the process unless it runs; blocks until it has bound its listeners.
    pub fn start(&self) {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        if process.is_none() {
            let started = Process::start("side", &self.settings, &self.log);
            self.reports.set_target(Some(started.address("reports")));
            *process = Some(started);
        }
    }
}

impl Fleet {
    /// Starts the processes and waits until all sides accept tasks.
    pub async fn start(layout: &Layout<'_>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("hyssop-{}-{}", layout.name, std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::bind().await;
        store.set(
            "op/config",
            &json!({
                "version": 1, "services": [], "limits": {},
                "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/",
                    "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 1.6,
                    "target_latency_ms": 60 }],
            }),
        );
        let mut fleet = Self {
            entries: Vec::new(),
            links: Vec::new(),
            sides: Vec::new(),
            audit: Audit::default(),
            log: Arc::default(),
            store,
            folder,
        };
        let timer = Timer::spawn();
        for processor in layout.processors {
            fleet.add_entry(*processor, &timer).await;
        }
        for _ in 0..layout.sides {
            fleet.add_side(layout, &timer).await;
        }
        wait_until("the sides to accept tasks", || {
            fleet.lines("event=accepting value=true") >= layout.sides
        })
        .await;
        // Until the sides have reported that to all entries.
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet
    }

    async fn add_entry(&mut self, processor: f64, timer: &Timer) {
        let index = self.entries.len();
        let link = Relay::bind(Duration::ZERO, timer).await.unwrap();
        let settings = format!(
            "[entry]\nname = entry-{index}\nenvironment = t\ndomain = d\ndrain_s = 6\n\
             [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
             links = 127.0.0.1:0\nadvertise = {}\nadmin = 127.0.0.1:0\n\
             [limits]\nprocessor = {processor}\n[store]\naddress = {}\n{LEASE}",
            link.address(),
            self.store.server.address
        );
        let file = write_ini(&self.folder, &format!("e{index}"), &settings);
        let entry = Process::start("entry", &file, &self.log);
        link.set_target(Some(entry.address("links")));
        self.entries.push(entry);
        self.links.push(link);
    }

    async fn add_side(&mut self, layout: &Layout<'_>, timer: &Timer) {
        let index = self.sides.len();
        let reports = Relay::bind(Duration::ZERO, timer).await.unwrap();
        let to = Some(reports.address());
        let upstream = Upstream::bind(index, layout.slots, layout.run_time, to, &self.audit).await;
        let seeds: Vec<String> = self
            .links
            .iter()
            .map(|link| link.address().to_string())
            .collect();
        let settings = format!(
            "[side]\nname = s{index}\nenvironment = t\ndomain = d\nrack = r\n\
             [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [upstream]\naddress = {}\n[store]\naddress = {}\n\
             [entries]\nseeds = {}\n{LEASE}",
            upstream.address,
            self.store.server.address,
            seeds.join(",")
        );
        let side = Side {
            process: Mutex::default(),
            settings: write_ini(&self.folder, &format!("s{index}"), &settings),
            upstream,
            reports,
            log: self.log.clone(),
        };
        side.start();
        self.sides.push(side);
    }

    /// Returns the number of lines that contain a pattern.
    pub fn lines(&self, pattern: &str) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|line| line.contains(pattern)).count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A folder that remains affects no other run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
