//! A side whose settings name entries that are gone.

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::Pair;
use process::Output;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_found() {
    // Nothing listens at the discard port.
    let gone = "127.0.0.1:9".parse().unwrap();
    let work = Duration::from_millis(20);
    let pair = Pair::launch("seeds", 4, work, Output::Read, Some(gone)).await;
    let address = pair.entry.address("customers");
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = http
        .post(format!("http://{address}/jobs/00000000000000aa"))
        .header("host", "a.example")
        .body(r#"{"spec":"x","best_effort":true,"phases":[{"count":1,"cpu":10,"estimate_ms":20}]}"#)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status().as_u16(), 200);
}
