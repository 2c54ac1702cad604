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
        let folder = std::env::temp_dir().join(format!("hyssop-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::bind().await;
        prepare(&store);
        store.set(
            "op/config",
            &json!({
                "version": 1, "services": [], "limits": {},
                "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/",
                    "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 1.6,
                    "target_latency_ms": 60 }],
            }),
        );
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let settings = format!(
            "[entry]\nname = e\nenvironment = t\ndomain = d\ndrain_s = 6\n\
             [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\nlinks = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n[store]\naddress = {}\n{LEASE}",
            store.server.address
        );
        let entry = Process::launch("entry", &write_ini(&folder, "e", &settings), &log, output);
        let audit = Audit::default();
        let mut upstream = Upstream::bind(0, slots, run_time, None, &audit).await;
        let settings = format!(
            "[side]\nname = s\nenvironment = t\ndomain = d\nrack = r\n\
             [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [upstream]\naddress = {}\n[store]\naddress = {}\n\
             [entries]\nseeds = {}\n{LEASE}",
            upstream.address,
            store.server.address,
            seed.unwrap_or_else(|| entry.address("links"))
        );
        let side = Process::launch(
            "side",
            &write_ini(&folder, "s", &settings),
            &log,
            Output::Read,
        );
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

impl Drop for Pair {
    fn drop(&mut self) {
        // A folder that remains affects no other run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
