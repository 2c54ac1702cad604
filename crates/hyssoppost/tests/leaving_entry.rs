//! A request that reaches an entry while it ends (trouble-3 of folia-cluj, seed
//! 354722577512: its connection was closed without an answer).

#[path = "soak/pair.rs"]
mod pair;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use pair::Pair;
use process::{Output, until};
use rustix::process::Signal;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const WORK: Duration = Duration::from_millis(600);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_request_answered() {
    let mut pair = Pair::start("leaving", 4, WORK, Output::Read).await;
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
    // By then the entry has nothing to do and has begun to end.
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    customer.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    customer.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    until("the entry ends", || pair.entry.has_ended()).await;
}
