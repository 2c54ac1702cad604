//! A side whose seeds are all unreachable finds the entries in the store.

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
async fn entry_found_in_store() {
    // Nothing listens on the discard port.
    let unreachable = "127.0.0.1:9".parse().unwrap();
    let run_time = Duration::from_millis(20);
    let seed = Some(unreachable);
    let pair = Pair::launch("seeds", 4, run_time, Output::Read, seed, |_| {}).await;
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
