//! A side reloads its settings file on SIGHUP and by itself; a file with faults
//! changes nothing.

#[path = "soak/process.rs"]
mod process;

use process::{Process, wait_until, write_ini};
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
async fn applied_or_rejected() {
    let folder = std::env::temp_dir().join(format!("hyssop-change-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = write_ini(&folder, "s0", SETTINGS);
    let log: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut side = Process::start("side", &path, &log);
    let is_logged = |text: &str| log.lock().unwrap().iter().any(|line| line.contains(text));
    side.signal(Signal::HUP);
    wait_until("the report of an unchanged file", || {
        is_logged("event=settings_unchanged")
    })
    .await;
    write_ini(
        &folder,
        "s0",
        &SETTINGS.replace("seeds = 127.0.0.1:1", "seeds = x"),
    );
    side.signal(Signal::HUP);
    wait_until("the rejection of a file with a fault", || {
        is_logged("event=settings_refused")
    })
    .await;
    wait_until("the report of the fault", || is_logged("key=\"seeds\"")).await;
    write_ini(
        &folder,
        "s0",
        &SETTINGS.replace("127.0.0.1:1\n[lease]", "127.0.0.1:1,127.0.0.1:2\n[lease]"),
    );
    // Without a signal, the change is found within the poll interval of 2 s.
    wait_until("the change to two entries", || {
        is_logged("event=settings_taken level=INFO entries=2")
    })
    .await;
    assert!(!side.has_ended(), "a reload does not end the process");
    side.signal(Signal::TERM);
    wait_until("the process to end", || side.has_ended()).await;
    std::fs::remove_dir_all(&folder).unwrap();
}
