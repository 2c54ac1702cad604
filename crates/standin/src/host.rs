//! An upstream whose tasks sleep instead of computing.
//!
//! A payload is a JSON object: `task` identifies the task in the audit, `ms` is
//! the run time in milliseconds, and `fail` makes the task fail. Like any
//! upstream, the stand-in announces itself to the side on its host.

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
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Record of all task starts, shared by all hosts of a test.
#[derive(Debug, Clone, Default)]
pub struct Audit(Arc<Mutex<HashMap<String, Vec<Started>>>>);

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// Name of the host, from its [`Profile`].
    pub host: String,
    /// Time at which the host received the task.
    pub at: Instant,
}

impl Audit {
    /// Returns the starts of a task, in order.
    pub fn starts(&self, task: &str) -> Vec<Started> {
        self.lock().get(task).cloned().unwrap_or_default()
    }

    /// Returns the number of tasks that started, and the number of these that
    /// started more than once.
    pub fn totals(&self) -> (usize, usize) {
        let starts = self.lock();
        let twice = starts.values().filter(|starts| starts.len() > 1).count();
        (starts.len(), twice)
    }

    /// Returns the time of the last start on any of the hosts between two times.
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

/// Configuration of a host.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Name in the audit.
    pub name: String,
    /// Service that the host belongs to.
    pub service: String,
    /// Request kinds that the host announces.
    pub kinds: Vec<String>,
    /// Number of tasks that it announces to run concurrently.
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

/// A running host; it stops when the handle is dropped.
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
    /// Serves on a free loopback port and announces itself to the side at the
    /// address `side`. Fails if the port can't be bound.
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

    /// Returns the address on which the host listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets whether every task fails at once.
    pub fn set_failing(&self, failing: bool) {
        self.shared.failing.store(failing, Ordering::SeqCst);
    }

    /// Announces no slots from now on, as a host does before it shuts down.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Sets the address of the side that receives the announcements.
    pub fn set_side(&self, side: SocketAddr) {
        *self
            .shared
            .side
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = side;
    }

    /// Returns the number of tasks started so far.
    pub fn started(&self) -> u64 {
        self.shared.started.load(Ordering::SeqCst)
    }

    /// Returns the number of tasks running now.
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
            .body("injected failure");
    }
    let answer = json!({ "task": input.task, "done": true });
    Response::builder().body(answer.to_string())
}

async fn announce(shared: Arc<Shared>, listen_address: SocketAddr) {
    let http = reqwest::Client::new();
    loop {
        let leaving = shared.leaving.load(Ordering::SeqCst);
        let side = *shared.side.lock().unwrap_or_else(PoisonError::into_inner);
        let body: Value = json!({
            "address": listen_address.to_string(),
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
            ANNOUNCEMENT_INTERVAL
        } else {
            ANNOUNCEMENT_INTERVAL / 10
        };
        tokio::time::sleep(pause).await;
    }
}
