//! Customers that submit jobs, resubmit them after a lost connection, and record
//! the answers.

use super::Kind;
use crate::platform_standin::upstream::CRASHING_SPEC;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    task::JoinSet,
    time::timeout,
};

/// Time after which a customer resubmits a job; `resend_ms` in the settings.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// One in this many jobs, by its identifier, has a task that crashes its upstream.
const CRASHING_JOB_PART: u64 = 64;

/// State that the customers and the site share.
#[derive(Clone, Default)]
pub struct Shared(Arc<Mutex<State>>);

/// The entries that customers use, and the answers that they received.
#[derive(Default)]
pub struct State {
    /// Customers' address of each entry; `None` while it is down.
    pub entries: Vec<Option<SocketAddr>>,
    /// Entries that drain and have no other fault; they must cut no request.
    pub draining: Vec<bool>,
    /// Jobs whose attempts were all refused as not run.
    pub refused: Vec<u64>,
    /// Number of answers by status or kind of failure.
    pub answers: BTreeMap<String, u64>,
    pub violations: Vec<String>,
    pub kind: Kind,
    /// Tells customers of each entry to disconnect, and to come again as after any lost
    /// connection; half of them do.
    pub departures: Vec<Arc<Notify>>,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no customer panics")
    }
}

/// Submits jobs until `end`; returns when all have ended.
pub async fn generate_load(shared: Shared, seed: u64, end: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let interval = shared.lock().kind.submit_interval();
    while Instant::now() < end {
        let (job, tasks) = (random.random(), random.random_range(1..6));
        let entry = random.random_range(0..16);
        calls.spawn(submit(shared.clone(), job, tasks, entry));
        tokio::time::sleep(interval).await;
    }
    while let Some(call) = calls.join_next().await {
        call.expect("no customer panics");
    }
}

/// Submits one job, up to three times; returns the final status, or `None` if no
/// attempt had one.
pub async fn submit(shared: Shared, job: u64, tasks: u16, entry: usize) -> Option<u16> {
    let mut only_refused = true;
    for attempt in 0..3 {
        let Some((address, index)) = pick_entry(&shared, entry + attempt) else {
            tokio::time::sleep(RESUBMIT_AFTER).await;
            continue;
        };
        let sent_at = Instant::now();
        let (kind, departure) = {
            let state = shared.lock();
            (state.kind, state.departures[index].clone())
        };
        let leaves = kind == Kind::Waiting && attempt == 0 && job.is_multiple_of(3);
        let posted = tokio::select! {
            posted = post_job(address, job, tasks, kind), if !leaves => Some(posted),
            status = post_and_leave(address, job, tasks, kind), if leaves => status.map(Ok),
            () = departure.notified(), if !leaves && job.is_multiple_of(2) => None,
        };
        let Some(posted) = posted else {
            *shared.lock().answers.entry("left".to_owned()).or_default() += 1;
            only_refused = false;
            tokio::time::sleep(RESUBMIT_AFTER).await;
            continue;
        };
        match posted {
            Ok(status) => {
                *shared.lock().answers.entry(status.to_string()).or_default() += 1;
                match status {
                    502 | 504 => only_refused = false,
                    503 if only_refused => {
                        shared.lock().refused.push(job);
                        return Some(status);
                    }
                    _ => return Some(status),
                }
            }
            Err(error) => {
                let mut state = shared.lock();
                let kind = if error.is_connect() {
                    "unreachable"
                } else {
                    "cut"
                };
                *state.answers.entry(kind.to_owned()).or_default() += 1;
                if !error.is_connect() {
                    only_refused = false;
                    if state.draining.get(index) == Some(&true) && !error.is_timeout() {
                        let age_ms = sent_at.elapsed().as_millis();
                        let text = format!(
                            "draining entry cut job {job:016x} after {age_ms} ms: {error:?}"
                        );
                        state.violations.push(text);
                    }
                }
            }
        }
        tokio::time::sleep(RESUBMIT_AFTER).await;
    }
    None
}

fn pick_entry(shared: &Shared, entry: usize) -> Option<(SocketAddr, usize)> {
    let state = shared.lock();
    let index = entry % state.entries.len();
    Some((state.entries[index]?, index))
}

fn job_body(job: u64, tasks: u16, kind: Kind) -> serde_json::Value {
    let may_crash = kind == Kind::Faults;
    let spec = if may_crash && job % CRASHING_JOB_PART == CRASHING_JOB_PART - 1 {
        CRASHING_SPEC
    } else {
        "soak"
    };
    serde_json::json!({
        "spec": spec, "best_effort": true,
        "phases": [{ "count": tasks, "cpu": 1_000, "ram_mb": 64, "estimate_ms": kind.estimate().as_millis() }],
    })
}

/// Submits a job and leaves after a while, in a way that depends on the job. Returns the
/// status if the answer came before.
async fn post_and_leave(address: SocketAddr, job: u64, tasks: u16, kind: Kind) -> Option<u16> {
    let (has_line_end, is_hidden) = ((job / 3).is_multiple_of(3), job / 3 % 3 == 1);
    let body = job_body(job, tasks, kind).to_string();
    let request = format!(
        "POST /jobs/{job:016x} HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: {}\r\n\
         content-length: {}\r\n\r\n{body}{}",
        kind.patience().as_millis(),
        body.len(),
        if has_line_end { "\r\n" } else { "" }
    );
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = [0; 256];
    let stay = Duration::from_millis(30 + job / 9 % 900);
    if let Ok(read) = timeout(stay, stream.read(&mut answer)).await {
        let text = std::str::from_utf8(&answer[..read.ok()?]).ok()?;
        return text.split(' ').nth(1)?.parse().ok();
    }
    if is_hidden {
        // As a balancer does that keeps its connection to the entry.
        tokio::spawn(async move { while stream.read(&mut answer).await.is_ok_and(|n| n > 0) {} });
    }
    None
}

async fn post_job(
    address: SocketAddr,
    job: u64,
    tasks: u16,
    kind: Kind,
) -> Result<u16, reqwest::Error> {
    // Each job uses a connection of its own.
    let http = reqwest::Client::builder().no_proxy().build()?;
    let response = http
        .post(format!("http://{address}/jobs/{job:016x}"))
        .header("host", "desk.example")
        .header("x-deadline-ms", kind.patience().as_millis().to_string())
        .timeout(kind.patience() + Duration::from_secs(1))
        .json(&job_body(job, tasks, kind))
        .send()
        .await?;
    let status = response.status().as_u16();
    response.bytes().await?;
    Ok(status)
}
