//! One entry and one side as processes, with stand-ins for the store and the
//! upstream.

use super::{
    platform_standin::{
        store::Store,
        upstream::{Audit, Upstream},
    },
    process::{Output, Process, wait_until, write_ini},
};
use serde_json::json;
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

const LEASE: &str = "[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
     [security]\nkey = pair-pair-pair-pair\nadmin_token = test\n";

/// How a pair is started.
pub struct Setup<'a> {
    /// Name of the settings' folder.
    pub name: &'a str,
    /// Tasks for which the upstream has room.
    pub slots: usize,
    /// Run time of each task.
    pub run_time: Duration,
    /// Treatment of the entry's output.
    pub output: Output,
    /// The side's only seed; the entry if it is `None`.
    pub seed: Option<SocketAddr>,
    /// Writes to the store before the processes start.
    pub prepare: fn(&Store),
    /// Further sections of the entry's settings.
    pub entry: &'a str,
    /// Further sections of the side's settings.
    pub side: &'a str,
    /// Addresses of the metrics of the entry and of the side.
    pub metrics: Option<[SocketAddr; 2]>,
    /// Most open descriptors of each process; `None` for the test's own limit.
    pub descriptors: Option<usize>,
}

/// The running processes and their stand-ins.
#[allow(dead_code, reason = "each test file uses a part")]
pub struct Pair {
    pub entry: Process,
    pub side: Process,
    pub store: Store,
    pub upstream: Upstream,
    /// Lines that the processes have logged.
    pub log: Arc<Mutex<Vec<String>>>,
    folder: PathBuf,
}

#[allow(dead_code, reason = "each test file uses a part")]
impl Pair {
    /// Starts the processes and waits until the side accepts tasks. The upstream
    /// has `slots` for tasks, each of which takes `run_time`; `output` applies to
    /// the entry.
    pub async fn start(name: &str, slots: usize, run_time: Duration, output: Output) -> Self {
        Self::launch(name, slots, run_time, output, None, |_| {}).await
    }

    /// Starts the processes as [`Pair::start`] does; the side's only seed is
    /// `seed`, or the entry if it is `None`. `prepare` writes to the store before.
    pub async fn launch(
        name: &str,
        slots: usize,
        run_time: Duration,
        output: Output,
        seed: Option<SocketAddr>,
        prepare: fn(&Store),
    ) -> Self {
        Self::open(&Setup {
            name,
            slots,
            run_time,
            output,
            seed,
            prepare,
            entry: "",
            side: "",
            metrics: None,
            descriptors: None,
        })
        .await
    }

    /// Starts the processes and waits until the side accepts tasks.
    pub async fn open(setup: &Setup<'_>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("hyssop-{}-{}", setup.name, std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::bind().await;
        (setup.prepare)(&store);
        store.set(
            "op/config",
            &json!({
                "version": 1, "services": [],
                "limits": { "max_header_bytes": 16_384, "max_body_bytes": 262_144,
                    "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
                "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/",
                    "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 1.6,
                    "target_latency_ms": 60 }],
            }),
        );
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let settings = format!(
            "[entry]\nname = e\nenvironment = t\ndomain = d\ndrain_s = 6\n\
             [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\nlinks = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n{}[store]\naddress = {}\n{LEASE}{}",
            metrics(setup, 0),
            store.server.address,
            setup.entry
        );
        let file = write_ini(&folder, "e", &settings);
        let entry = match setup.descriptors {
            Some(most) => Process::start_limited("entry", &file, &log, most),
            None => Process::launch("entry", &file, &log, setup.output),
        };
        let audit = Audit::default();
        let mut upstream = Upstream::bind(0, setup.slots, setup.run_time, None, &audit).await;
        let settings = format!(
            "[side]\nname = s\nenvironment = t\ndomain = d\nrack = r\n\
             [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n{}\
             [upstream]\naddress = {}\n[store]\naddress = {}\n\
             [entries]\nseeds = {}\n{LEASE}{}",
            metrics(setup, 1),
            upstream.address,
            store.server.address,
            setup.seed.unwrap_or_else(|| entry.address("links")),
            setup.side
        );
        let file = write_ini(&folder, "s", &settings);
        let side = match setup.descriptors {
            Some(most) => Process::start_limited("side", &file, &log, most),
            None => Process::start("side", &file, &log),
        };
        upstream.report_to(side.address("reports"));
        let accepts = || {
            let lines = log.lock().unwrap();
            lines
                .iter()
                .any(|line| line.contains("event=accepting value=true"))
        };
        wait_until("the side to accept tasks", accepts).await;
        Self {
            entry,
            side,
            store,
            upstream,
            log,
            folder,
        }
    }
}

fn metrics(setup: &Setup<'_>, process: usize) -> String {
    let address = setup.metrics.map(|addresses| addresses[process]);
    address.map_or_else(String::new, |address| format!("metrics = {address}\n"))
}

impl Drop for Pair {
    fn drop(&mut self) {
        // A folder that remains affects no other run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
