//! Bytes that no interface expects, and rules that can't be read, must end no
//! process and change no rules in force.

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::Pair;
use platform_standin::{store::Store, upstream::Fault};
use process::Output;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const RUN_TIME: Duration = Duration::from_millis(20);

async fn submit(pair: &Pair, host: &str, job: u64) -> u16 {
    let address = pair.entry.address("customers");
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = http
        .post(format!("http://{address}/jobs/{job:016x}"))
        .header("host", host)
        .header("x-deadline-ms", "4000")
        .body(r#"{"spec":"x","best_effort":true,"phases":[{"count":2,"cpu":10,"estimate_ms":20}]}"#)
        .send()
        .await
        .unwrap();
    response.status().as_u16()
}

async fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The process may close the connection before it has read all.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unexpected_bytes() {
    let pair = Pair::start("bytes", 4, RUN_TIME, Output::Read).await;
    let mut garbage: Vec<Vec<u8>> = vec![
        vec![0; 4_096],
        vec![0xFF; 4_096],
        b"POST /jobs/zz HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n{\"spec\":"
            .to_vec(),
        b"POST /v1/Instances.Heartbeat/u HTTP/1.1\r\ncontent-length: 2\r\n\r\n[]".to_vec(),
    ];
    garbage
        .extend((1..40_u8).map(|seed| (0..999_u32).map(|n| seed ^ n.to_le_bytes()[0]).collect()));
    for bytes in &garbage {
        for listener in ["customers", "links", "readiness"] {
            send(pair.entry.address(listener), bytes).await;
        }
        send(pair.side.address("reports"), bytes).await;
    }
    assert_eq!(submit(&pair, "a.example", 1).await, 200);
}

/// Makes rules with `count` routes on `host`, one of them that of the test's jobs.
fn rules(version: u64, host: &str, count: usize) -> Value {
    let route = |name: &str, prefix: &str, service: &str| {
        json!({ "name": name, "host": host, "prefix": prefix, "service": service,
            "priority": 0, "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 60 })
    };
    let idle = (1..count).map(|n| route(&format!("r{n}"), &format!("/idle{n}/"), "nobody"));
    let routes: Vec<Value> = idle.chain([route("r", "/jobs/", "desk")]).collect();
    json!({ "version": version, "services": [], "limits": {}, "routes": routes })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_rules() {
    let pair = Pair::start("rules", 4, RUN_TIME, Output::Read).await;
    let cut = rules(2, "b.example", 9).to_string();
    let mut negative = rules(2, "b.example", 9);
    negative["routes"][0]["max_attempts"] = json!(-1);
    let unreadable = [
        json!(cut[..cut.len() / 2]),
        json!({ "version": 2 }),
        json!([]),
        negative,
    ];
    for (job, value) in (1..).zip(unreadable) {
        pair.store.set("op/config", &value);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(submit(&pair, "a.example", job).await, 200, "{value}");
        assert_eq!(submit(&pair, "b.example", 100 + job).await, 404, "{value}");
    }
    pair.store.set("op/config", &rules(3, "b.example", 10_000));
    let mut served = false;
    for job in 200..300 {
        served |= submit(&pair, "b.example", job).await == 200;
        if served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served, "valid rules take effect after unreadable ones");
    assert_eq!(
        submit(&pair, "a.example", 400).await,
        404,
        "the old rules ended"
    );
}

/// Guards against runs that lapse since one row of the upstream's lists is malformed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_rows() {
    let run_time = Duration::from_millis(1_500);
    let pair = Pair::start("rows", 4, run_time, Output::Read).await;
    pair.upstream.inject(Fault::MalformedRows);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(submit(&pair, "a.example", 1).await, 200);
    let starts = pair.upstream.audit().lock().starts.len();
    assert_eq!(starts, 2, "each task has run once");
}

/// Writes malformed items beside those that the processes follow.
fn write_odd_items(store: &Store) {
    let entries = "hyssoppost/t/entries/main/";
    let entry = |address: Value| json!({ "name": "a", "address": address });
    let mut deep = entry(json!("127.0.0.1:9"));
    deep["marks"] = (0..200).fold(Value::Null, |inner, _| json!([inner]));
    store.set(&format!("{entries}a"), &entry(json!("127.0.0.1:70000")));
    store.set(&format!("{entries}b"), &entry(json!("127.0.0.1:9")));
    store.set(&format!("{entries}c"), &entry(json!(1e30)));
    store.set(&format!("{entries}d"), &deep);
    store.set_odd(&format!("{entries}f"), json!({ "value": "!" }));
    store.set_odd(&format!("{entries}g"), json!({ "key": null }));
    store.set_odd("op/a", json!({ "revision": 1e30, "value": [[[]]] }));
    store.set_odd("op/z", json!({ "key": {} }));
}

/// Guards against processes that no longer follow the store since an item there is
/// malformed: the side finds the entry only there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_items() {
    // Nothing listens on the discard port.
    let seed = Some("127.0.0.1:9".parse().unwrap());
    let pair = Pair::launch("items", 4, RUN_TIME, Output::Read, seed, write_odd_items).await;
    assert_eq!(submit(&pair, "a.example", 1).await, 200);
    write_odd_items(&pair.store);
    pair.store.set("op/config", &rules(2, "b.example", 2));
    let mut served = false;
    for job in 2..52 {
        served |= submit(&pair, "b.example", job).await == 200;
        if served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served, "rules take effect beside malformed items");
    // Several listings.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let lines = pair.log.lock().unwrap().clone();
    for key in ["main/a", "main/b", "main/c", "main/d", "main/f"] {
        let is_about = |line: &&String| line.contains("registration_invalid") && line.contains(key);
        let count = lines.iter().filter(is_about).count();
        assert!((1..=2).contains(&count), "{count} lines about {key}");
    }
}
