//! One request end to end through separate processes, and their planned stop.

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

/// A process of the system; it is killed when dropped.
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
    fn line(&mut self, event: &str) -> String {
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
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns an address from a log line.
fn value(line: &str, key: &str) -> SocketAddr {
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

/// Submits until the request is accepted for work.
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

/// One entry, one side and one host, each a process but the last.
struct Trio {
    entry: Process,
    side: Process,
    customers: SocketAddr,
    host: Host,
    audit: Audit,
    _store: Store,
}

impl Trio {
    async fn start(slots: u16) -> Self {
        let store = Store::bind().await.unwrap();
        publish(&store).await;
        let mut entry = Process::spawn("entry", &entry_settings(store.address()));
        let line = entry.line("entry_started");
        let (customers, links) = (value(&line, "customers"), value(&line, "links"));
        let mut side = Process::spawn("side", &side_settings(links));
        let upstream = value(&side.line("side_started"), "upstream");
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
    let mut trio = Trio::start(2).await;
    let answer = submit(trio.customers, 1).await;
    assert_eq!(answer["state"], "complete");
    // A request is in progress when both are told to stop.
    let last = tokio::spawn(submit(trio.customers, 500));
    trio.started(2).await;
    trio.entry.terminate();
    trio.side.terminate();
    let answer = last.await.unwrap();
    assert_eq!(answer["state"], "complete", "{answer}");
    assert!(trio.entry.child.wait().unwrap().success());
    assert!(trio.side.child.wait().unwrap().success());
    assert_eq!(trio.audit.totals(), (2, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops() {
    let mut trio = Trio::start(1).await;
    let last = tokio::spawn(submit(trio.customers, 20_000));
    trio.started(1).await;
    trio.entry.terminate();
    // The first signal is being obeyed when the log says so.
    trio.entry.line("draining");
    trio.entry.terminate();
    let answer = last.await.unwrap();
    assert_eq!(answer["name"], "outcome-unknown", "{answer}");
    assert_eq!(trio.entry.child.wait().unwrap().code(), Some(6));
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
