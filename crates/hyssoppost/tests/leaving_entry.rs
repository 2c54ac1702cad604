//! A request that reaches an entry while it ends (trouble-3 of folia-cluj, seed
//! 354722577512: its connection was closed without an answer).

#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use platform_standin::{
    store::Store,
    upstream::{Audit, Upstream},
};
use process::{Process, until, write};
use rustix::process::Signal;
use serde_json::json;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const WORK: Duration = Duration::from_millis(600);
const LEASE: &str = "[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
     [security]\nkey = leaving-leaving-leaving\nadmin_token = test\n";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_request_answered() {
    let folder = std::env::temp_dir().join(format!("hyssop-leaving-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Store::bind().await;
    store.set(
        "op/config",
        &json!({
            "version": 1, "services": [], "limits": {},
            "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/", "service": "desk",
                "priority": 0, "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 60 }],
        }),
    );
    let log: Arc<Mutex<Vec<String>>> = Arc::default();
    let settings = format!(
        "[entry]\nname = e\nenvironment = t\ndomain = d\ndrain_s = 6\n\
         [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\nlinks = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n[store]\naddress = {}\n{LEASE}",
        store.served.address
    );
    let mut entry = Process::start("entry", &write(&folder, "e", &settings), &log);
    let audit = Audit::default();
    let mut upstream = Upstream::bind(0, 4, WORK, None, &audit).await;
    let settings = format!(
        "[side]\nname = s\nenvironment = t\ndomain = d\nrack = r\n\
         [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [upstream]\naddress = {}\n[entries]\nseeds = {}\n{LEASE}",
        upstream.address,
        entry.address("links")
    );
    let side = Process::start("side", &write(&folder, "s", &settings), &log);
    upstream.report_to(side.address("reports"));
    let accepts = || {
        let lines = log.lock().unwrap();
        lines
            .iter()
            .any(|line| line.contains("event=accepting value=true"))
    };
    until("the side accepts", accepts).await;

    let body =
        r#"{"spec":"x","best_effort":true,"phases":[{"count":1,"cpu":1000,"estimate_ms":600}]}"#;
    let head = format!(
        "POST /jobs/00000000000000aa HTTP/1.1\r\nhost: a.example\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut customer = TcpStream::connect(entry.address("customers"))
        .await
        .unwrap();
    customer.write_all(head.as_bytes()).await.unwrap();
    entry.signal(Signal::TERM);
    // By then the entry has nothing to do and has begun to end.
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    customer.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    customer.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    until("the entry ends", || entry.has_ended()).await;
    drop(side);
    std::fs::remove_dir_all(&folder).unwrap();
}
