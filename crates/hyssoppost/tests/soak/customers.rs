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
use tokio::{sync::Notify, task::JoinSet};

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
        let posted = tokio::select! {
            posted = post_job(address, job, tasks, kind) => posted,
            () = departure.notified(), if job.is_multiple_of(2) => {
                *shared.lock().answers.entry("left".to_owned()).or_default() += 1;
                only_refused = false;
                tokio::time::sleep(RESUBMIT_AFTER).await;
                continue;
            }
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

async fn post_job(
    address: SocketAddr,
    job: u64,
    tasks: u16,
    kind: Kind,
) -> Result<u16, reqwest::Error> {
    // Each job uses a connection of its own.
    let http = reqwest::Client::builder().no_proxy().build()?;
    let may_crash = kind == Kind::Faults;
    let spec = if may_crash && job % CRASHING_JOB_PART == CRASHING_JOB_PART - 1 {
        CRASHING_SPEC
    } else {
        "soak"
    };
    let body = serde_json::json!({
        "spec": spec, "best_effort": true,
        "phases": [{ "count": tasks, "cpu": 1_000, "ram_mb": 64, "estimate_ms": kind.estimate().as_millis() }],
    });
    let response = http
        .post(format!("http://{address}/jobs/{job:016x}"))
        .header("host", "desk.example")
        .header("x-deadline-ms", kind.patience().as_millis().to_string())
        .timeout(kind.patience() + Duration::from_secs(1))
        .json(&body)
        .send()
        .await?;
    let status = response.status().as_u16();
    response.bytes().await?;
    Ok(status)
}
