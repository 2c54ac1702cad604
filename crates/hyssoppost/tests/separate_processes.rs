//! Jobs end to end through an entry and a side as processes, and the effects of
//! one and of two SIGTERMs.

use serde_json::{Value, json};
use standin::{
    host::{Audit, Host, Profile},
    store::Store,
    timer::Timer,
};
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};
use store::{
    gateway,
    publication::{self, Change},
};

const DOCUMENT: &str = "\
[environment]
name = trial

[service proofing]

[kind proofing/preview]
repeatable = yes

[domain nord-a]
";

/// A running entry or side; it is killed when dropped.
struct Process {
    child: Child,
    output: BufReader<ChildStdout>,
    settings: PathBuf,
}

impl Process {
    fn spawn(role: &str, settings: &str) -> Self {
        let path = std::env::temp_dir().join(format!(
            "hyssop-{role}-{}-{}.ini",
            std::process::id(),
            rand::random::<u32>()
        ));
        fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_hyssoppost"))
            .args([role, "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        Self {
            child,
            output,
            settings: path,
        }
    }

    /// Reads log lines up to an event and returns its line.
    fn wait_for_event(&mut self, event: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.output.read_line(&mut line).unwrap() > 0, "no {event}");
            let found = line
                .split_whitespace()
                .any(|word| word == format!("event={event}"));
            if found {
                return line;
            }
        }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success()
        );
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the address of a key in a log line.
fn bound_address(line: &str, key: &str) -> SocketAddr {
    let prefix = format!("{key}=");
    let word = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix(&prefix));
    word.unwrap().parse().unwrap()
}

async fn publish(store: &Store) {
    let client = gateway::Client::open(&store.address().to_string()).unwrap();
    let change = Change {
        id: "one",
        author: "test",
        time: 0,
        text: DOCUMENT,
    };
    publication::publish(&client, "trial", None, change)
        .await
        .unwrap();
}

fn entry_settings(store: SocketAddr) -> String {
    format!(
        "[entry]\nname = entry-1\nenvironment = trial\ndomain = nord-a\n\n\
         [listen]\ncallers = 127.0.0.1:0\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\n\
         [store]\naddress = {store}\n\n\
         [security]\nkey = 0123456789abcdef\nadmin_token = secret\n"
    )
}

fn side_settings(entry: SocketAddr) -> String {
    format!(
        "[side]\nname = side-1\nenvironment = trial\ndomain = nord-a\nrack = r1\n\n\
         [listen]\nupstream = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\n\
         [entries]\nseeds = {entry}\n\n\
         [security]\nkey = 0123456789abcdef\nadmin_token = secret\n"
    )
}

/// Submits a job, and repeats that while the entry is not ready or has no
/// upstream.
async fn submit(customers: SocketAddr, ms: u32) -> Value {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let job = json!({ "kind": "preview", "tasks": [{ "task": format!("t{ms}"), "ms": ms }] });
    loop {
        let url = format!("http://{customers}/v1/services/proofing/jobs");
        let response = http.post(url).body(job.to_string()).send().await.unwrap();
        let answer: Value = response.json().await.unwrap();
        if ![203, 204].contains(&answer["code"].as_u64().unwrap()) {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// An entry and a side as processes, and a host inside the test's process.
struct Setup {
    entry: Process,
    side: Process,
    customers: SocketAddr,
    host: Host,
    audit: Audit,
    _store: Store,
}

impl Setup {
    async fn start(slots: u16) -> Self {
        let store = Store::bind().await.unwrap();
        publish(&store).await;
        let mut entry = Process::spawn("entry", &entry_settings(store.address()));
        let line = entry.wait_for_event("entry_started");
        let (customers, links) = (
            bound_address(&line, "customers"),
            bound_address(&line, "links"),
        );
        let mut side = Process::spawn("side", &side_settings(links));
        let upstream = bound_address(&side.wait_for_event("side_started"), "upstream");
        let profile = Profile {
            name: "host-1".to_owned(),
            service: "proofing".to_owned(),
            kinds: vec!["preview".to_owned()],
            slots,
        };
        let (audit, timer) = (Audit::default(), Timer::spawn());
        let host = Host::bind(profile, upstream, &audit, &timer).await.unwrap();
        Self {
            entry,
            side,
            customers,
            host,
            audit,
            _store: store,
        }
    }

    async fn started(&self, tasks: u64) {
        while self.host.started() < tasks {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_and_drain() {
    let mut setup = Setup::start(2).await;
    let answer = submit(setup.customers, 1).await;
    assert_eq!(answer["state"], "complete");
    // A request is in progress when both receive SIGTERM.
    let last = tokio::spawn(submit(setup.customers, 500));
    setup.started(2).await;
    setup.entry.terminate();
    setup.side.terminate();
    let answer = last.await.unwrap();
    assert_eq!(answer["state"], "complete", "{answer}");
    assert!(setup.entry.child.wait().unwrap().success());
    assert!(setup.side.child.wait().unwrap().success());
    assert_eq!(setup.audit.totals(), (2, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops() {
    let mut setup = Setup::start(1).await;
    let last = tokio::spawn(submit(setup.customers, 20_000));
    setup.started(1).await;
    setup.entry.terminate();
    // The log line shows that the first signal has been handled.
    setup.entry.wait_for_event("draining");
    setup.entry.terminate();
    let answer = last.await.unwrap();
    assert_eq!(answer["name"], "outcome-unknown", "{answer}");
    assert_eq!(setup.entry.child.wait().unwrap().code(), Some(6));
}

#[test]
fn bad_settings_exit() {
    let path = std::env::temp_dir().join(format!("hyssop-bad-{}.ini", std::process::id()));
    fs::write(&path, "[entry]\nname = x\nzone = y\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_hyssoppost"))
        .args(["entry", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("line=3 section=\"entry\" key=\"zone\""),
        "{text}"
    );
}
