//! A weak and a strong entry as processes: the weak one passes requests on without
//! reading their bodies, and its customers get the strong one's responses.

#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use platform_standin::{
    store::Store,
    upstream::{Audit, Upstream},
};
use process::{Process, wait_until, write_ini};
use reqwest::{Client, Response};
use rustix::process::Signal;
use serde_json::json;
use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

const LEASE: &str = "[lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
     [security]\nkey = pair-pair-pair-pair\nadmin_token = test\n";
const RUN_TIME: Duration = Duration::from_millis(400);

struct Site {
    weak: Process,
    strong: Process,
    _side: Process,
    _upstream: Upstream,
    _store: Store,
    log: Arc<Mutex<Vec<String>>>,
    folder: PathBuf,
}

impl Site {
    async fn start(name: &str, run_time: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("hyssop-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::bind().await;
        store.set(
            "op/config",
            &json!({
                "version": 1, "services": [], "limits": {},
                "routes": [{ "name": "r", "host": "a.example", "prefix": "/jobs/",
                    "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 1.6,
                    "target_latency_ms": 60 }],
            }),
        );
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let entry = |name: &str, processor: f64| {
            let settings = format!(
                "[entry]\nname = {name}\nenvironment = t\ndomain = d\ndrain_s = 6\n\
                 [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
                 links = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
                 [limits]\nprocessor = {processor}\n[store]\naddress = {}\n{LEASE}",
                store.server.address
            );
            Process::start("entry", &write_ini(&folder, name, &settings), &log)
        };
        let (strong, weak) = (entry("strong", 1.0), entry("weak", 0.1));
        let audit = Audit::default();
        let mut upstream = Upstream::bind(0, 4, run_time, None, &audit).await;
        let settings = format!(
            "[side]\nname = s\nenvironment = t\ndomain = d\nrack = r\n\
             [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [upstream]\naddress = {}\n[store]\naddress = {}\n\
             [entries]\nseeds = {}\n{LEASE}",
            upstream.address,
            store.server.address,
            strong.address("links")
        );
        let executor = Process::start("side", &write_ini(&folder, "s", &settings), &log);
        upstream.report_to(executor.address("reports"));
        let site = Self {
            weak,
            strong,
            _side: executor,
            _upstream: upstream,
            _store: store,
            log,
            folder,
        };
        let readiness = site.weak.address("readiness");
        let started_at = Instant::now();
        while get(&format!("http://{readiness}/")).await.status() != 200 {
            assert!(started_at.elapsed() < Duration::from_secs(20), "not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Until the weak entry hears from the strong one, it serves jobs itself if the
        // side took long to reach the strong one.
        for id in 0xF000_u64.. {
            if site.lines("event=job_taken_over") > 0 {
                break;
            }
            assert!(started_at.elapsed() < Duration::from_secs(20), "no forward");
            let path = format!("/jobs/{id:016x}");
            // The customer does not wait for the answer.
            let call = post(&site.weak, &path, job());
            let _ = tokio::time::timeout(Duration::from_millis(100), call).await;
        }
        site
    }

    fn lines(&self, pattern: &str) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|line| line.contains(pattern)).count()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // A folder that remains affects no other run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn client() -> Client {
    Client::builder().no_proxy().build().unwrap()
}

async fn get(url: &str) -> Response {
    client().get(url).send().await.unwrap()
}

async fn post(entry: &Process, path: &str, body: String) -> Result<Response, reqwest::Error> {
    let url = format!("http://{}{path}", entry.address("customers"));
    let request = client().post(url).header("host", "a.example").body(body);
    request.header("x-deadline-ms", "4000").send().await
}

fn job() -> String {
    json!({
        "spec": "x", "best_effort": true,
        "phases": [{ "count": 1, "cpu": 1_000, "estimate_ms": 400 }],
    })
    .to_string()
}

/// Guards against responses that differ from those of the owner, and against a weak
/// entry that serves a job itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_passed_on() {
    let site = Site::start("forwarded", RUN_TIME).await;
    let response = post(&site.weak, "/jobs/00000000000000a1", job())
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), r#"{"state":"completed"}"#);
    assert_eq!(site.lines("event=job_forwarded job=00000000000000a1"), 1);
    assert_eq!(site.lines("event=job_taken_over job=00000000000000a1"), 1);
    for (path, body, status) in [
        ("/jobs/00000000000000a2", "{".to_owned(), 400),
        (
            "/jobs/00000000000000a3",
            job().replace("\"best_effort\":true,", ""),
            503,
        ),
        ("/none/00000000000000a4", job(), 404),
        ("/jobs/not-an-id", job(), 404),
    ] {
        let direct = post(&site.strong, path, body.clone()).await.unwrap();
        let passed = post(&site.weak, path, body).await.unwrap();
        assert_eq!(passed.status(), status, "{path}");
        assert_eq!(direct.status(), status, "{path}");
        assert_eq!(passed.text().await.unwrap(), direct.text().await.unwrap());
    }
    assert_eq!(site.lines("event=accepted job=00000000000000a1"), 1);
}

/// Guards against a weak entry that exits before its customers have their responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_weak_entry() {
    let mut site = Site::start("leaving-weak", RUN_TIME).await;
    let open = post(&site.weak, "/jobs/00000000000000b1", job());
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.weak.signal(Signal::TERM);
    };
    let (response, ()) = tokio::join!(open, leave);
    assert_eq!(response.unwrap().status(), 200);
    wait_until("the entry to end", || site.weak.has_ended()).await;
}

/// Guards against customers that wait when the owner of their job is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_owner() {
    let site = Site::start("killed-owner", RUN_TIME * 10).await;
    let taken_over = "event=job_taken_over job=00000000000000c1";
    let open = async {
        let response = post(&site.weak, "/jobs/00000000000000c1", job()).await;
        (response, Instant::now())
    };
    let kill = async {
        wait_until("the owner to take the job over", || {
            site.lines(taken_over) > 0
        })
        .await;
        site.strong.signal(Signal::KILL);
        Instant::now()
    };
    let ((response, answered_at), killed_at) = tokio::join!(open, kill);
    let response = response.unwrap();
    assert_eq!(response.status(), 504);
    let body = response.text().await.unwrap();
    assert!(body.contains("outcome-unknown"), "{body}");
    let waited = answered_at.saturating_duration_since(killed_at);
    assert!(waited < RUN_TIME * 5, "{waited:?}");
    // The process writes its log in another thread, after the answer.
    let lost = "event=forward_lost job=00000000000000c1";
    wait_until("the loss to be logged", || site.lines(lost) > 0).await;
    assert_eq!(site.lines(lost), 1);
}
