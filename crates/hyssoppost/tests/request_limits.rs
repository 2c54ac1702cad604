//! The limits of the operators' document hold for customers' requests, also for open
//! connections once the document changes.

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::Pair;
use process::Output;
use serde_json::json;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const RUN_TIME: Duration = Duration::from_millis(20);
/// Many times as long as a change takes.
const MAX_REQUESTS: u64 = 200;

fn set_limits(pair: &Pair, version: u64, head_bytes: usize, body_bytes: usize) {
    let document = json!({
        "version": version, "services": [],
        "limits": { "max_header_bytes": head_bytes, "max_body_bytes": body_bytes,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/",
            "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 1.6,
            "target_latency_ms": 60 }],
    });
    pair.store.set("op/config", &document);
}

/// Sends a job with a head and a body of these sizes; returns the status, or `None` if the
/// connection was closed.
async fn request(stream: &mut TcpStream, job: u64, head: usize, body: usize) -> Option<u16> {
    let document =
        r#"{"spec":"x","best_effort":true,"phases":[{"count":1,"cpu":10,"estimate_ms":20}]}"#;
    let document = format!("{document}{}", " ".repeat(body - document.len()));
    let start = format!(
        "POST /jobs/{job:016x} HTTP/1.1\r\nhost: a.example\r\nx-deadline-ms: 4000\r\n\
         content-length: {body}\r\nx-pad: "
    );
    let pad = "a".repeat(head - start.len() - 4);
    let bytes = format!("{start}{pad}\r\n\r\n{document}");
    stream.write_all(bytes.as_bytes()).await.ok()?;
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}

async fn connect(pair: &Pair) -> TcpStream {
    let address = pair.entry.address("customers");
    TcpStream::connect(address).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn document_limits_bodies() {
    let pair = Pair::start("bodies", 4, RUN_TIME, Output::Read).await;
    let mut stream = connect(&pair).await;
    assert_eq!(request(&mut stream, 1, 1_000, 100_000).await, Some(200));
    for (version, limit, expected) in [(2, 50_000, 413), (3, 200_000, 200)] {
        set_limits(&pair, version, 16_384, limit);
        let mut seen = None;
        for job in 0..MAX_REQUESTS {
            let job = (version << 32) + job;
            seen = request(&mut stream, job, 1_000, 100_000).await;
            if seen == Some(expected) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(seen, Some(expected), "version {version}, same connection");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn document_limits_heads() {
    let pair = Pair::start("heads", 4, RUN_TIME, Output::Read).await;
    let mut stream = connect(&pair).await;
    assert_eq!(request(&mut stream, 1, 9_000, 200).await, Some(200));
    set_limits(&pair, 2, 8_000, 200_000);
    let mut refused = false;
    for job in 2..MAX_REQUESTS {
        refused = request(&mut stream, job, 9_000, 200).await.is_none();
        if refused {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(refused, "a head above the limit closes an open connection");
    let mut stream = connect(&pair).await;
    assert_eq!(request(&mut stream, 900, 7_000, 200).await, Some(200));
}
