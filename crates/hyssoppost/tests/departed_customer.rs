//! A customer that leaves an entry while its job runs and submits the job again at another
//! one: the earlier runs must be over by then.

#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use platform_standin::{
    store::Store,
    upstream::{Audit, Upstream},
};
use process::{Process, wait_until, write_ini};
use serde_json::json;
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Shortest time after which a customer submits a job again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Longer than that, so that a run left behind shows.
const RUN_TIME: Duration = Duration::from_secs(4);
const TASKS: usize = 2;
const LEASE: &str = "[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
     [security]\nkey = pair-pair-pair-pair\nadmin_token = test\n";

/// Two entries and two sides as processes.
struct Site {
    entries: Vec<Process>,
    _sides: Vec<Process>,
    _upstreams: Vec<Upstream>,
    _store: Store,
    audit: Audit,
    log: Arc<Mutex<Vec<String>>>,
    folder: PathBuf,
}

impl Site {
    async fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("hyssop-{name}-{}", std::process::id()));
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
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut entries = Vec::new();
        for index in 0..2 {
            let settings = format!(
                "[entry]\nname = e{index}\nenvironment = t\ndomain = d\ndrain_s = 6\n\
                 [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
                 links = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[store]\naddress = {}\n{LEASE}",
                store.server.address
            );
            let file = write_ini(&folder, &format!("e{index}"), &settings);
            entries.push(Process::start("entry", &file, &log));
        }
        let seeds: Vec<String> = entries
            .iter()
            .map(|entry| entry.address("links").to_string())
            .collect();
        let audit = Audit::default();
        let (mut sides, mut upstreams) = (Vec::new(), Vec::new());
        for index in 0..2 {
            let mut upstream = Upstream::bind(index, TASKS, RUN_TIME, None, &audit).await;
            let settings = format!(
                "[side]\nname = s{index}\nenvironment = t\ndomain = d\nrack = r\n\
                 [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
                 [upstream]\naddress = {}\n[store]\naddress = {}\n\
                 [entries]\nseeds = {}\n{LEASE}",
                upstream.address,
                store.server.address,
                seeds.join(",")
            );
            let file = write_ini(&folder, &format!("s{index}"), &settings);
            let side = Process::start("side", &file, &log);
            upstream.report_to(side.address("reports"));
            sides.push(side);
            upstreams.push(upstream);
        }
        let site = Self {
            entries,
            _sides: sides,
            _upstreams: upstreams,
            _store: store,
            audit,
            log,
            folder,
        };
        wait_until("the sides to accept tasks", || {
            site.lines("event=accepting value=true") >= 2
        })
        .await;
        // Until both sides have reported that to both entries.
        tokio::time::sleep(Duration::from_millis(500)).await;
        site
    }

    fn lines(&self, pattern: &str) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|line| line.contains(pattern)).count()
    }

    fn starts(&self) -> usize {
        self.audit.lock().starts.len()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // A folder that remains affects no other run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn submit(entry: SocketAddr) -> TcpStream {
    let body = json!({
        "spec": "x", "best_effort": true,
        "phases": [{ "count": TASKS, "cpu": 1_000, "estimate_ms": 4_000 }],
    })
    .to_string();
    let request = format!(
        "POST /jobs/00000000000000a1 HTTP/1.1\r\nhost: a.example\r\nx-deadline-ms: 20000\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut customer = TcpStream::connect(entry).await.unwrap();
    customer.write_all(request.as_bytes()).await.unwrap();
    customer
}

/// Has a customer leave, by a reset of its connection or its orderly end, and submit its job
/// again. Returns the tasks that had two runs.
async fn overlaps(name: &str, reset: bool) -> Vec<String> {
    let site = Site::start(name).await;
    let customer = submit(site.entries[0].address("customers")).await;
    wait_until("the runs to start", || site.starts() == TASKS).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    if reset {
        customer.set_zero_linger().unwrap();
    }
    drop(customer);
    let left_at = Instant::now();
    tokio::time::sleep(RESUBMIT_AFTER).await;
    let _customer = submit(site.entries[1].address("customers")).await;
    wait_until("the runs to start again", || site.starts() == 2 * TASKS).await;
    for line in site.log.lock().unwrap().iter() {
        if line.contains("00000000000000a1") {
            println!("{line}");
        }
    }
    println!("started again {:?} after it left", left_at.elapsed());
    site.audit.lock().violations.clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset() {
    let found = overlaps("departed-reset", true).await;
    assert!(found.is_empty(), "{found:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed() {
    let found = overlaps("departed-closed", false).await;
    assert!(found.is_empty(), "{found:?}");
}
