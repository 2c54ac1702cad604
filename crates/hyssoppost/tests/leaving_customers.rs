//! A customer that closes its connection before it has an answer may submit its job
//! again: the entry stops the runs.

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::Pair;
use process::{Output, wait_until};
use serde_json::json;
use std::{io::Write, net::TcpStream, time::Duration};

/// Longer than the test takes.
const RUN_TIME: Duration = Duration::from_mins(1);

#[tokio::test(flavor = "multi_thread")]
async fn closed_connection() {
    let pair = Pair::start("leaving", 1, RUN_TIME, Output::Read).await;
    let is_logged = |event: &str| {
        let lines = pair.log.lock().unwrap();
        lines.iter().any(|line| line.contains(event))
    };
    let body = json!({
        "spec": "x", "best_effort": true,
        "phases": [{ "count": 1, "cpu": 1_000, "ram_mb": 64, "estimate_ms": 60_000 }],
    });
    let body = body.to_string();
    let mut customer = TcpStream::connect(pair.entry.address("customers")).unwrap();
    write!(
        customer,
        "POST /jobs/00000000000000a1 HTTP/1.1\r\nhost: a.example\r\n\
         x-deadline-ms: 90000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    wait_until("the run to start", || is_logged("event=run_ordered")).await;
    // Closes it without a reset: nothing that arrived is unread.
    drop(customer);
    wait_until("the run to end", || is_logged("event=run_over")).await;
}
