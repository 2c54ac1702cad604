//! An entry must answer a request that arrives on an open connection just before
//! it stops. It used to close the connection without an answer (load trouble-3 of
//! the site folia-cluj, seed 354722577512).

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::Pair;
use process::{Output, wait_until};
use rustix::process::Signal;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const RUN_TIME: Duration = Duration::from_millis(600);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_request_answered() {
    let mut pair = Pair::start("leaving", 4, RUN_TIME, Output::Read).await;
    let body =
        r#"{"spec":"x","best_effort":true,"phases":[{"count":1,"cpu":1000,"estimate_ms":600}]}"#;
    let head = format!(
        "POST /jobs/00000000000000aa HTTP/1.1\r\nhost: a.example\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut customer = TcpStream::connect(pair.entry.address("customers"))
        .await
        .unwrap();
    customer.write_all(head.as_bytes()).await.unwrap();
    pair.entry.signal(Signal::TERM);
    // By then the entry is idle and has begun to stop.
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    customer.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    customer.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    wait_until("the entry to end", || pair.entry.has_ended()).await;
}
