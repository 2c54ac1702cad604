//! A settings file that changes while its process runs.

#[path = "soak/process.rs"]
mod process;

use process::{Process, until, write};
use rustix::process::Signal;
use std::sync::{Arc, Mutex};

const SETTINGS: &str = "\
[side]
name = s0
environment = test
domain = d0
rack = r
drain_s = 2
[listen]
upstream = 127.0.0.1:0
admin = 127.0.0.1:0
[upstream]
address = 127.0.0.1:1
[entries]
seeds = 127.0.0.1:1
[lease]
longest_ms = 1000
resend_ms = 1300
stop_ms = 50
[security]
key = test-test-test-test
admin_token = test
";

#[tokio::test]
async fn taken_or_refused() {
    let folder = std::env::temp_dir().join(format!("hyssop-change-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = write(&folder, "s0", SETTINGS);
    let log: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut side = Process::start("side", &path, &log);
    let seen = |text: &str| log.lock().unwrap().iter().any(|line| line.contains(text));
    side.signal(Signal::HUP);
    until("an unchanged file", || seen("event=settings_unchanged")).await;
    write(
        &folder,
        "s0",
        &SETTINGS.replace("seeds = 127.0.0.1:1", "seeds = x"),
    );
    side.signal(Signal::HUP);
    until("a file with a fault", || seen("event=settings_refused")).await;
    until("the fault", || seen("key=\"seeds\"")).await;
    write(
        &folder,
        "s0",
        &SETTINGS.replace("127.0.0.1:1\n[lease]", "127.0.0.1:1,127.0.0.1:2\n[lease]"),
    );
    // Without a signal, it is looked at every other second.
    until("two entries", || {
        seen("event=settings_taken level=INFO entries=2")
    })
    .await;
    assert!(!side.has_ended(), "none of this ends the process");
    side.signal(Signal::TERM);
    until("a planned end", || side.has_ended()).await;
    std::fs::remove_dir_all(&folder).unwrap();
}
