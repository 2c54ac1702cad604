//! Customers who hand jobs in, come again after a broken connection, and
//! remember what they were told.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

const RESEND: Duration = Duration::from_millis(1_300);
const PATIENCE: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(25);

/// What customers address, and what they were told.
#[derive(Clone, Default)]
pub struct Book(Arc<Mutex<Told>>);

/// What the customers were told, and about which requests.
#[derive(Default)]
pub struct Told {
    pub entries: Vec<Option<SocketAddr>>,
    /// Entries that leave as planned, with no other fault near.
    pub planned: Vec<bool>,
    /// Jobs of which every attempt was refused as not run.
    pub refused: Vec<u64>,
    pub answers: BTreeMap<String, u64>,
    pub broken: Vec<String>,
}

impl Book {
    pub fn lock(&self) -> MutexGuard<'_, Told> {
        self.0.lock().expect("no customer panics")
    }
}

/// Hands jobs in until `end`; returns when the last has its answer.
pub async fn press(book: Book, seed: u64, end: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    while Instant::now() < end {
        let (job, tasks) = (random.random(), random.random_range(1..6));
        let entry = random.random_range(0..16);
        calls.spawn(hand_in(book.clone(), job, tasks, entry));
        tokio::time::sleep(PAUSE).await;
    }
    while let Some(call) = calls.join_next().await {
        call.expect("no customer panics");
    }
}

/// Hands one job in, up to three times.
pub async fn hand_in(book: Book, job: u64, tasks: u16, entry: usize) -> Option<u16> {
    let mut only_refused = true;
    for attempt in 0..3 {
        let Some((address, index)) = pick(&book, entry + attempt) else {
            tokio::time::sleep(RESEND).await;
            continue;
        };
        let begun = Instant::now();
        match call(address, job, tasks).await {
            Ok(status) => {
                *book.lock().answers.entry(status.to_string()).or_default() += 1;
                match status {
                    502 | 504 => only_refused = false,
                    503 if only_refused => {
                        book.lock().refused.push(job);
                        return Some(status);
                    }
                    _ => return Some(status),
                }
            }
            Err(error) => {
                let mut told = book.lock();
                let kind = if error.is_connect() {
                    "unreachable"
                } else {
                    "cut"
                };
                *told.answers.entry(kind.to_owned()).or_default() += 1;
                if !error.is_connect() {
                    only_refused = false;
                    if told.planned.get(index) == Some(&true) && !error.is_timeout() {
                        let held = begun.elapsed().as_millis();
                        let text =
                            format!("planned stop cut job {job:016x} after {held} ms: {error:?}");
                        told.broken.push(text);
                    }
                }
            }
        }
        tokio::time::sleep(RESEND).await;
    }
    None
}

fn pick(book: &Book, entry: usize) -> Option<(SocketAddr, usize)> {
    let told = book.lock();
    let index = entry % told.entries.len();
    Some((told.entries[index]?, index))
}

async fn call(address: SocketAddr, job: u64, tasks: u16) -> Result<u16, reqwest::Error> {
    // A connection of its own, open until the process is gone.
    let http = reqwest::Client::builder().no_proxy().build()?;
    let body = serde_json::json!({
        "spec": "soak", "best_effort": true,
        "phases": [{ "count": tasks, "cpu": 1_000, "ram_mb": 64, "estimate_ms": 100 }],
    });
    let response = http
        .post(format!("http://{address}/jobs/{job:016x}"))
        .header("host", "desk.example")
        .header("x-deadline-ms", PATIENCE.as_millis().to_string())
        .timeout(PATIENCE + Duration::from_secs(1))
        .json(&body)
        .send()
        .await?;
    let status = response.status().as_u16();
    response.bytes().await?;
    Ok(status)
}
