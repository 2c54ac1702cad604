//! Customers' HTTP interface on real sockets; one session is a golden file.

use hyssopctl::lab::{Plan, Site};
use serde_json::{Value, json};
use std::fmt::Write;

/// Records all requests and responses of a session with an entry, with the parts
/// that differ between runs masked.
struct Session {
    base: String,
    http: reqwest::Client,
    text: String,
}

impl Session {
    async fn send(&mut self, title: &str, method: &str, path: &str, body: &str) -> Value {
        let masked_path = mask(path);
        writeln!(
            self.text,
            "## {title}\n{method} {masked_path}\n{}",
            mask(body)
        )
        .unwrap();
        let method = method.parse().unwrap();
        let request = self.http.request(method, format!("{}{path}", self.base));
        let response = request
            .body(body.to_owned())
            .header("content-type", "application/json");
        let response = response.send().await.unwrap();
        let status = response.status().as_u16();
        let retry = response.headers().get("retry-after").cloned();
        let answer = response.text().await.unwrap();
        writeln!(self.text, "-> {status}").unwrap();
        if let Some(retry) = retry {
            writeln!(self.text, "retry-after: {}", retry.to_str().unwrap()).unwrap();
        }
        writeln!(self.text, "{}\n", mask(&answer)).unwrap();
        serde_json::from_str(&answer).unwrap_or(Value::Null)
    }
}

/// Replaces tickets and times by fixed words.
fn mask(text: &str) -> String {
    let mut masked = String::new();
    let mut token = String::new();
    for character in text.chars().chain([' ']) {
        if character.is_ascii_alphanumeric() || "-.".contains(character) {
            token.push(character);
            continue;
        }
        let ticket = token.len() > 40 && token.contains('.');
        let time = token.len() == 10 && token.bytes().all(|byte| byte.is_ascii_digit());
        masked.push_str(if ticket {
            "TICKET"
        } else if time {
            "TIME"
        } else {
            &token
        });
        token.clear();
        masked.push(character);
    }
    masked.trim_end().to_owned()
}

fn small_plan() -> Plan {
    Plan {
        hosts: 3,
        ..Plan::folia()
    }
}

const JOBS: &str = "/v1/services/proofing/jobs";

impl Session {
    async fn job(&mut self, title: &str, job: &Value) {
        self.send(title, "POST", JOBS, &job.to_string()).await;
    }

    async fn ticket(&mut self) -> String {
        let answer = self
            .send("a ticket", "POST", "/v1/tickets", r#"{"count":1}"#)
            .await;
        answer["tickets"][0].as_str().unwrap().to_owned()
    }
}

async fn ticketed_jobs(session: &mut Session) {
    let tasks = json!([{ "task": "a", "ms": 5 }, { "task": "b", "ms": 1 }]);
    session
        .job(
            "a repeatable job",
            &json!({ "kind": "preview", "tasks": tasks }),
        )
        .await;
    let ticket = session.ticket().await;
    let check =
        json!({ "kind": "die-check", "tasks": [{ "task": "c", "ms": 1 }], "ticket": ticket });
    session.job("a job under a ticket", &check).await;
    session.job("the same again", &check).await;
    session
        .send("its answer", "GET", &format!("/v1/jobs/{ticket}"), "")
        .await;
    let other =
        json!({ "kind": "die-check", "tasks": [{ "task": "d", "ms": 1 }], "ticket": ticket });
    session.job("another job under it", &other).await;
    session
        .job("no ticket", &json!({ "kind": "die-check", "tasks": [1] }))
        .await;
    let forged = json!({ "kind": "preview", "tasks": [1], "ticket": "0-1-2.abcd" });
    session.job("a forged ticket", &forged).await;
}

async fn bad_jobs(session: &mut Session) {
    session
        .send("malformed", "POST", JOBS, r#"{"kind":"preview","tasks":["#)
        .await;
    session
        .job(
            "unknown field",
            &json!({ "kind": "preview", "tasks": [1], "x": 1 }),
        )
        .await;
    session
        .job("no tasks", &json!({ "kind": "preview", "tasks": [] }))
        .await;
    session
        .job(
            "too many tasks",
            &json!({ "kind": "nudge", "tasks": vec![0; 111] }),
        )
        .await;
    session
        .job("unknown kind", &json!({ "kind": "engrave", "tasks": [1] }))
        .await;
    let nowhere = "/v1/services/nowhere/jobs";
    session
        .send(
            "unknown service",
            "POST",
            nowhere,
            r#"{"kind":"nudge","tasks":[1]}"#,
        )
        .await;
    let late = json!({ "kind": "nudge", "tasks": [1], "deadline_ms": -5 });
    session.job("past deadline", &late).await;
    let team = json!({ "kind": "nudge", "tasks": [1], "team": "x" });
    session.job("unknown team", &team).await;
}

async fn ended_jobs(session: &mut Session) {
    let failing = json!([{ "task": "e", "ms": 1, "fail": true }]);
    session
        .job(
            "a task that fails",
            &json!({ "kind": "nudge", "tasks": failing }),
        )
        .await;
    let slow = json!([{ "task": "f", "ms": 3_000 }]);
    let slow = json!({ "kind": "nudge", "tasks": slow, "deadline_ms": 1_000 });
    session.job("a deadline passes", &slow).await;
    let ticket = session.ticket().await;
    let path = format!("/v1/jobs/{ticket}");
    session.send("nothing submitted", "GET", &path, "").await;
    session.send("cancelled first", "DELETE", &path, "").await;
    let cancelled =
        json!({ "kind": "nudge", "tasks": [{ "task": "g", "ms": 1 }], "ticket": ticket });
    session.job("then submitted", &cancelled).await;
    session.send("health", "GET", "/healthz", "").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_session() {
    let site = Site::spawn(small_plan(), policies::DEFAULT, 1)
        .await
        .unwrap();
    let mut session = Session {
        base: format!("http://{}", site.entries[0].customers.address()),
        http: reqwest::Client::builder().no_proxy().build().unwrap(),
        text: String::new(),
    };
    ticketed_jobs(&mut session).await;
    bad_jobs(&mut session).await;
    ended_jobs(&mut session).await;
    insta::assert_snapshot!(session.text);
    assert_eq!(site.audit.totals(), (5, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_body() {
    let site = Site::spawn(small_plan(), policies::DEFAULT, 1)
        .await
        .unwrap();
    let url = format!(
        "http://{}/v1/services/proofing/jobs",
        site.entries[0].customers.address()
    );
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let body = format!(
        r#"{{"kind":"preview","tasks":["{}"]}}"#,
        "x".repeat(5 << 20)
    );
    let response = http.post(url).body(body).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 413);
    let answer: Value = response.json().await.unwrap();
    assert_eq!(answer["code"], 106);
    assert_eq!(answer["ran"], "none");
}

#[tokio::test(flavor = "multi_thread")]
async fn admin_needs_token() {
    let site = Site::spawn(small_plan(), policies::DEFAULT, 1)
        .await
        .unwrap();
    let admin = site.entries[0].handle.as_ref().unwrap().admin();
    let refused = hyssopctl::client::dump(admin, "wrong").await;
    assert!(refused.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_counts() {
    let site = Site::spawn(small_plan(), policies::DEFAULT, 1)
        .await
        .unwrap();
    let client = site.client(0).unwrap();
    let job = hyssopctl::client::Job {
        service: "proofing".to_owned(),
        ticket: None,
        kind: "nudge".to_owned(),
        team: None,
        deadline_ms: None,
        tasks: vec![json!({ "task": "m", "ms": 1 })],
    };
    assert!(client.submit(&job).await.unwrap().is_complete());
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let admin = site.entries[0].handle.as_ref().unwrap().admin();
    // Metrics are updated within a second, by the entry that is the job's home.
    loop {
        let request = http.get(format!("http://{admin}/metrics"));
        let request = request.bearer_auth(hyssopctl::lab::site::ADMIN_TOKEN);
        let text = request.send().await.unwrap().text().await.unwrap();
        let counted = text.lines().any(|line| {
            line.starts_with("hyssoppost_jobs_completed_total{") && !line.ends_with(" 0")
        });
        if counted && text.contains("hyssoppost_tasks_started_total{") {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
