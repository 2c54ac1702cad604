//! A golden file of one whole HTTP session through real sockets.

use hyssopctl::lab::{Plan, Site};
use serde_json::{Value, json};
use std::fmt::Write;

/// A session with an entry: every request and response, with what differs from
/// run to run masked.
struct Session {
    base: String,
    http: reqwest::Client,
    text: String,
}

impl Session {
    async fn send(&mut self, title: &str, method: &str, path: &str, body: &str) -> Value {
        let shown = mask(path);
        writeln!(self.text, "## {title}\n{method} {shown}\n{}", mask(body)).unwrap();
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

/// Replaces tickets and times.
fn mask(text: &str) -> String {
    let mut masked = String::new();
    let mut word = String::new();
    for character in text.chars().chain([' ']) {
        if character.is_ascii_alphanumeric() || "-.".contains(character) {
            word.push(character);
            continue;
        }
        let ticket = word.len() > 40 && word.contains('.');
        let time = word.len() == 10 && word.bytes().all(|byte| byte.is_ascii_digit());
        masked.push_str(if ticket {
            "TICKET"
        } else if time {
            "TIME"
        } else {
            &word
        });
        word.clear();
        masked.push(character);
    }
    masked.trim_end().to_owned()
}

fn small_plan() -> Plan {
    Plan {
        workers: 3,
        ..Plan::folia()
    }
}

fn ticket(answer: &Value) -> String {
    answer["tickets"][0].as_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_session() {
    let site = Site::spawn(small_plan(), policies::DEFAULT, 1)
        .await
        .unwrap();
    let mut session = Session {
        base: format!("http://{}", site.entries[0].callers.address()),
        http: reqwest::Client::builder().no_proxy().build().unwrap(),
        text: String::new(),
    };
    let jobs = "/v1/services/proofing/jobs";
    let tasks = json!([{ "task": "a", "ms": 5 }, { "task": "b", "ms": 1 }]);
    let preview = json!({ "kind": "preview", "tasks": tasks }).to_string();
    session
        .send("a repeatable job", "POST", jobs, &preview)
        .await;
    let issued = session
        .send("a ticket", "POST", "/v1/tickets", r#"{"count":1}"#)
        .await;
    let first = ticket(&issued);
    let check =
        json!({ "kind": "die-check", "tasks": [{ "task": "c", "ms": 1 }], "ticket": first });
    let check = check.to_string();
    session
        .send("a job under a ticket", "POST", jobs, &check)
        .await;
    session.send("the same again", "POST", jobs, &check).await;
    session
        .send("its answer", "GET", &format!("/v1/jobs/{first}"), "")
        .await;
    let other =
        json!({ "kind": "die-check", "tasks": [{ "task": "d", "ms": 1 }], "ticket": first });
    session
        .send("another job under it", "POST", jobs, &other.to_string())
        .await;
    let unticketed = json!({ "kind": "die-check", "tasks": tasks }).to_string();
    session.send("no ticket", "POST", jobs, &unticketed).await;
    let forged = json!({ "kind": "preview", "tasks": tasks, "ticket": "0-1-2.abcd" }).to_string();
    session.send("a forged ticket", "POST", jobs, &forged).await;
    session
        .send("malformed", "POST", jobs, r#"{"kind":"preview","tasks":["#)
        .await;
    session
        .send(
            "unknown field",
            "POST",
            jobs,
            r#"{"kind":"preview","tasks":[1],"x":1}"#,
        )
        .await;
    session
        .send("no tasks", "POST", jobs, r#"{"kind":"preview","tasks":[]}"#)
        .await;
    let many = json!({ "kind": "nudge", "tasks": vec![0; 111] }).to_string();
    session
        .send("too many tasks", "POST", jobs, &many.replace("0,", "0,"))
        .await;
    session
        .send(
            "unknown kind",
            "POST",
            jobs,
            r#"{"kind":"engrave","tasks":[1]}"#,
        )
        .await;
    let nowhere = "/v1/services/nowhere/jobs";
    session
        .send("unknown service", "POST", nowhere, &preview)
        .await;
    let late = json!({ "kind": "nudge", "tasks": [1], "deadline_ms": -5 }).to_string();
    session.send("past deadline", "POST", jobs, &late).await;
    let team = json!({ "kind": "nudge", "tasks": [1], "team": "x" }).to_string();
    session.send("unknown team", "POST", jobs, &team).await;
    let failing = json!({ "kind": "nudge", "tasks": [{ "task": "e", "ms": 1, "fail": true }] });
    session
        .send("a task that fails", "POST", jobs, &failing.to_string())
        .await;
    let slow =
        json!({ "kind": "nudge", "tasks": [{ "task": "f", "ms": 400 }], "deadline_ms": 100 });
    session
        .send("a deadline passes", "POST", jobs, &slow.to_string())
        .await;
    let issued = session
        .send("another ticket", "POST", "/v1/tickets", r#"{"count":1}"#)
        .await;
    let second = ticket(&issued);
    session
        .send(
            "nothing submitted",
            "GET",
            &format!("/v1/jobs/{second}"),
            "",
        )
        .await;
    session
        .send(
            "cancelled first",
            "DELETE",
            &format!("/v1/jobs/{second}"),
            "",
        )
        .await;
    let barred = json!({ "kind": "nudge", "tasks": [{ "task": "g", "ms": 1 }], "ticket": second });
    session
        .send("then submitted", "POST", jobs, &barred.to_string())
        .await;
    session.send("health", "GET", "/healthz", "").await;
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
        site.entries[0].callers.address()
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
