//! Two entries as processes that lose the connection between them.

#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use platform_standin::store::Store;
use process::{Process, wait_until, write_ini};
use rustix::process::Signal;
use std::{
    net::TcpStream,
    sync::{Arc, Mutex},
    time::Duration,
};

const PAUSE: Duration = Duration::from_millis(1_500);
/// Several times the longest interval between two attempts to connect.
const RECONNECTED_WITHIN: Duration = Duration::from_secs(5);

/// Guards against entries that refuse each other's connections for longer than it takes
/// to connect: of both directions, the number of one entry's attempts was compared with
/// that of the other's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unequal_numbers_of_connections() {
    let folder = std::env::temp_dir().join(format!("hyssop-links-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Store::bind().await;
    let log: Arc<Mutex<Vec<String>>> = Arc::default();
    let entries: Vec<Process> = (0..2)
        .map(|index| {
            let settings = format!(
                "[entry]\nname = e{index}\nenvironment = t\ndomain = d\n\
                 [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
                 links = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[store]\naddress = {}\n\
                 [lease]\nlongest_ms = 1000\nresend_ms = 1300\nstop_ms = 50\n\
                 [security]\nkey = pair-pair-pair-pair\nadmin_token = test\n",
                store.server.address
            );
            let file = write_ini(&folder, &format!("e{index}"), &settings);
            Process::start("entry", &file, &log)
        })
        .collect();
    let count = |event: &str| {
        let log = log.lock().unwrap();
        let pattern = format!("event={event} role=Entry");
        log.iter().filter(|line| line.contains(&pattern)).count()
    };
    wait_until("the entries to connect", || count("peer_joined") >= 2).await;
    for _ in 0..300 {
        drop(TcpStream::connect(entries[1].address("links")).unwrap());
    }
    entries[0].signal(Signal::STOP);
    tokio::time::sleep(PAUSE).await;
    entries[0].signal(Signal::CONT);
    wait_until("both to lose the connection", || count("peer_lost") >= 2).await;
    tokio::time::sleep(RECONNECTED_WITHIN).await;
    for line in log.lock().unwrap().iter() {
        println!("{line}");
    }
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(count("peer_joined"), count("peer_lost") + 2);
}
