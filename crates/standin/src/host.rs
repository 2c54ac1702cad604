//! An upstream on a host that waits instead of working.
//!
//! A payload is a JSON object: `task` names the task for the audit and `ms` is
//! the run time. The stand-in announces itself to the side beside it, as any
//! upstream does.

use crate::{server, timer::Timer};
use poem::{
    EndpointExt, Response, Route, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

/// Interval between announcements.
const ANNOUNCE: Duration = Duration::from_millis(500);

/// Starts of every task, shared by all hosts of a test.
#[derive(Debug, Clone, Default)]
pub struct Audit(Arc<Mutex<HashMap<String, Vec<Started>>>>);

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// The host's name.
    pub host: String,
    /// When.
    pub at: Instant,
}

impl Audit {
    /// Returns the starts of a task.
    pub fn starts(&self, task: &str) -> Vec<Started> {
        self.lock().get(task).cloned().unwrap_or_default()
    }

    /// Returns the number of tasks started, and of those started twice.
    pub fn totals(&self) -> (usize, usize) {
        let starts = self.lock();
        let twice = starts.values().filter(|starts| starts.len() > 1).count();
        (starts.len(), twice)
    }

    /// Returns the last start at any of the named hosts between two times.
    pub fn last_start(&self, hosts: &[String], from: Instant, to: Instant) -> Option<Instant> {
        self.lock()
            .values()
            .flatten()
            .filter(|start| hosts.contains(&start.host))
            .map(|start| start.at)
            .filter(|at| *at > from && *at < to)
            .max()
    }

    fn record(&self, task: &str, host: &str) {
        let started = Started {
            host: host.to_owned(),
            at: Instant::now(),
        };
        self.lock()
            .entry(task.to_owned())
            .or_default()
            .push(started);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<Started>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a host is.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Name for the audit.
    pub name: String,
    /// Service it belongs to.
    pub service: String,
    /// Request kinds it answers.
    pub kinds: Vec<String>,
    /// Tasks at a time.
    pub slots: u16,
}

#[derive(Debug)]
struct Shared {
    profile: Profile,
    audit: Audit,
    timer: Timer,
    failing: AtomicBool,
    leaving: AtomicBool,
    side: Mutex<SocketAddr>,
    running: AtomicU32,
    started: AtomicU64,
}

/// A running host.
#[derive(Debug)]
pub struct Host {
    server: server::Handle,
    shared: Arc<Shared>,
    announcer: JoinHandle<()>,
}

#[derive(Debug, Deserialize)]
struct Input {
    task: String,
    ms: f64,
    #[serde(default)]
    fail: bool,
}

impl Host {
    /// Serves on a free loopback port and announces itself to the side at
    /// `side`.
    pub async fn bind(
        profile: Profile,
        side: SocketAddr,
        audit: &Audit,
        timer: &Timer,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            profile,
            audit: audit.clone(),
            timer: timer.clone(),
            failing: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            side: Mutex::new(side),
            running: AtomicU32::new(0),
            started: AtomicU64::new(0),
        });
        let app = Route::new()
            .at("/v1/run/:kind", post(run))
            .data(shared.clone());
        let server = server::bind(app).await?;
        let announcer = tokio::spawn(announce(shared.clone(), server.address()));
        Ok(Self {
            server,
            shared,
            announcer,
        })
    }

    /// Returns the address that the host listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes every task fail at once, or stops that.
    pub fn set_failing(&self, failing: bool) {
        self.shared.failing.store(failing, Ordering::SeqCst);
    }

    /// Announces that the host is leaving.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Announces to another side from now on.
    pub fn set_side(&self, side: SocketAddr) {
        *self
            .shared
            .side
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = side;
    }

    /// Returns how many tasks started.
    pub fn started(&self) -> u64 {
        self.shared.started.load(Ordering::SeqCst)
    }

    /// Returns how many tasks run now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::SeqCst)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}

#[handler]
async fn run(Json(input): Json<Input>, shared: Data<&Arc<Shared>>) -> Response {
    shared.audit.record(&input.task, &shared.profile.name);
    shared.started.fetch_add(1, Ordering::SeqCst);
    shared.running.fetch_add(1, Ordering::SeqCst);
    let failing = shared.failing.load(Ordering::SeqCst) || input.fail;
    if !failing {
        shared
            .timer
            .sleep(Duration::from_secs_f64(input.ms / 1e3))
            .await;
    }
    shared.running.fetch_sub(1, Ordering::SeqCst);
    if failing {
        return Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body("the host is broken");
    }
    let answer = json!({ "task": input.task, "done": true });
    Response::builder().body(answer.to_string())
}

async fn announce(shared: Arc<Shared>, own: SocketAddr) {
    let http = reqwest::Client::new();
    loop {
        let leaving = shared.leaving.load(Ordering::SeqCst);
        let side = *shared.side.lock().unwrap_or_else(PoisonError::into_inner);
        let body: Value = json!({
            "address": own.to_string(),
            "service": shared.profile.service,
            "kinds": shared.profile.kinds,
            "slots": if leaving { 0 } else { shared.profile.slots },
        });
        let sent = http
            .post(format!("http://{side}/v1/announce"))
            .json(&body)
            .send()
            .await;
        let pause = if sent.is_ok() {
            ANNOUNCE
        } else {
            ANNOUNCE / 10
        };
        tokio::time::sleep(pause).await;
    }
}
