//! Output and exit codes of the commands, as golden files.

use hyssopctl::status::{Row, table};
use serde_json::json;
use std::process::{Command, Output};

const COMMANDS: [&str; 12] = [
    "bench", "check", "demo", "domain", "dump", "explain", "losses", "publish", "simulate",
    "slopes", "status", "submit",
];

fn hyssopctl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopctl"));
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data"));
    command.args(arguments).output().unwrap()
}

fn run_and_format(arguments: &[&str]) -> String {
    let output = hyssopctl(arguments);
    let code = output.status.code().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    format!(
        "code {code}\n--- out\n{}--- err\n{}",
        text(output.stdout),
        text(output.stderr)
    )
}

#[test]
fn all_usages() {
    insta::assert_snapshot!("usage", run_and_format(&["--help"]));
    for command in COMMANDS {
        insta::assert_snapshot!(
            format!("usage_{command}"),
            run_and_format(&[command, "--help"])
        );
    }
}

#[test]
fn bad_arguments() {
    for command in COMMANDS {
        let output = hyssopctl(&[command, "--no-such-option"]);
        assert_eq!(output.status.code(), Some(2), "{command}");
        assert!(output.stdout.is_empty(), "{command}");
    }
}

#[test]
fn checked_files() {
    insta::assert_snapshot!("check_good", run_and_format(&["check", "good.ini"]));
    insta::assert_snapshot!(
        "check_faults",
        run_and_format(&["check", "good.ini", "bad.ini"])
    );
    insta::assert_snapshot!("check_missing", run_and_format(&["check", "missing.ini"]));
}

#[test]
fn explained_job() {
    let files = ["explain", "b29852c7766e0bc2", "side.log", "entry.log"];
    insta::assert_snapshot!("explain_late", run_and_format(&files));
    let unknown = ["explain", "0000000000000000", "entry.log"];
    insta::assert_snapshot!("explain_unknown", run_and_format(&unknown));
}

#[test]
fn counted_losses() {
    insta::assert_snapshot!(
        "losses",
        run_and_format(&["losses", "entry.log", "losses.log"])
    );
}

#[test]
fn unreachable_status() {
    // No process listens on the discard port of the loopback address.
    let output = hyssopctl(&["status", "--token", "secret", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(4));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("unreachable"), "{text}");
}

#[test]
fn status_table() {
    let leased = json!({
        "role": "entry", "name": "entry-1", "domain": "nord-a", "ready": true,
        "leaving": false, "configuration": {"revision": 12}, "queued_tasks": 9,
        "open_jobs": 3, "sides": [
            {"name": "side-1", "open": true, "aside": false, "rate": 552},
            {"name": "side-4", "open": true, "aside": false, "rate": 1184},
            {"name": "side-2", "open": true, "aside": true, "rate": 250},
            {"name": "side-3", "open": false, "aside": false},
        ],
        "accuracy": {"queues": {
            "r": {"admitted": 180, "wrong_admissions": 5, "judged": 32, "wrong_refusals": 1},
            "slow": {"admitted": 20, "wrong_admissions": 1, "judged": 0, "wrong_refusals": 0},
        }},
    });
    let called = json!({
        "role": "entry", "name": "entry-2", "domain": "nord-b", "leaving": false,
        "configuration": {"revision": 11}, "queued_tasks": 0, "open_jobs": 0,
        "sides": [{"name": "side-1", "link": "up", "aside_ms": null}],
    });
    let side = json!({
        "role": "side", "name": "side-1", "domain": "nord-a", "leaving": true,
        "may_start": false, "running": 5, "upstream": {"rate": 552},
    });
    let unconfigured = json!({"role": "entry", "name": "entry-3", "leaving": false});
    let rows = [
        Row::read("10.0.0.1:7300", &leased),
        Row::read("10.0.0.2:7300", &called),
        Row::read("10.0.0.3:7300", &unconfigured),
        Row::read("10.0.0.4:7300", &side),
        Row::unreachable("10.0.0.5:7300", "connection refused"),
    ];
    insta::assert_snapshot!("status_table", table(&rows));
    let parsed = serde_json::to_string_pretty(&rows[0]).unwrap();
    insta::assert_snapshot!("status_json", parsed);
}
