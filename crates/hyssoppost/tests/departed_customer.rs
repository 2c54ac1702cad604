//! A customer that leaves an entry before its job has an answer and submits the job again
//! at another one: the runs of the earlier submission must be over by then.

#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../../../platform/tests/standin/mod.rs"]
mod platform_standin;
#[path = "soak/process.rs"]
mod process;

use fleet::{Fleet, Layout};
use process::wait_until;
use rustix::process::Signal;
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

/// Shortest time after which a customer submits a job again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Longer than that, so that a run left behind shows.
const LONG: Duration = Duration::from_secs(4);
/// Shorter than that: only a job that has waited can still run.
const SHORT: Duration = Duration::from_millis(150);
const TASKS: usize = 2;
const WEAK: usize = 2;
/// Time from a resubmission in which runs are observed.
const OBSERVED: Duration = Duration::from_secs(3);
/// Time within which an entry refuses a job, as one does that hasn't heard of the room.
const REFUSAL_TIME: Duration = Duration::from_millis(30);
const MAX_REFUSALS: usize = 100;
const JOB: &str = "00000000000000a1";

/// How a customer leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Reset,
    Closed,
    /// By closing, with the end of a line behind its request.
    ClosedAfterLineEnd,
    /// Through a path that keeps the entry's connection open.
    Hidden,
}

/// Where its job is at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Running,
    /// At an entry that has no room for it until about the time of the resubmission.
    Waiting,
    /// Running, through an entry that forwards.
    Forwarded,
    /// In an entry that is suspended until this time after the resubmission.
    Unread(Duration),
}

/// Two entries, a weak one and two sides as processes.
struct Site(Fleet);

impl Site {
    async fn start(name: &str, run_time: Duration) -> Self {
        let layout = Layout {
            name,
            processors: &[1.0, 1.0, 0.1],
            sides: 2,
            slots: 2 * TASKS,
            run_time,
        };
        Self(Fleet::start(&layout).await)
    }

    fn has_taken_over(&self, entry: usize) -> bool {
        let (name, event) = (
            format!("e{entry} "),
            format!("event=job_taken_over job={JOB}"),
        );
        let log = self.0.log.lock().unwrap();
        let mut lines = log.iter().filter(|line| line.starts_with(&name));
        lines.any(|line| line.contains(&event))
    }

    fn starts(&self) -> usize {
        self.0.audit.lock().starts.len()
    }

    fn resize(&self, slots: usize) {
        for side in &self.0.sides {
            side.upstream.resize(slots, OBSERVED);
        }
    }
}

async fn submit(entry: SocketAddr, departure: Departure) -> TcpStream {
    let body = json!({
        "spec": "x", "best_effort": true,
        "phases": [{ "count": TASKS, "cpu": 1_000, "estimate_ms": 4_000 }],
    })
    .to_string();
    let rest = if departure == Departure::ClosedAfterLineEnd {
        "\r\n"
    } else {
        ""
    };
    let request = format!(
        "POST /jobs/{JOB} HTTP/1.1\r\nhost: a.example\r\nx-deadline-ms: 20000\r\n\
         content-length: {}\r\n\r\n{body}{rest}",
        body.len()
    );
    let mut customer = TcpStream::connect(entry).await.unwrap();
    customer.write_all(request.as_bytes()).await.unwrap();
    customer
}

/// Has a customer leave while its job is in a place, and submit it again at another
/// entry. Returns the tasks that had two runs at once, and the number of starts.
async fn play(place: Place, departure: Departure, run_time: Duration) -> (Vec<String>, usize) {
    let name = format!("departed-{place:?}-{departure:?}-{}", run_time.as_millis());
    let site = Site::start(&name, run_time).await;
    let first = if place == Place::Forwarded { WEAK } else { 0 };
    match place {
        Place::Waiting => {
            site.resize(0);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        Place::Unread(_) => site.0.entries[first].signal(Signal::STOP),
        Place::Running | Place::Forwarded => {}
    }
    let customer = submit(site.0.entries[first].address("customers"), departure).await;
    if matches!(place, Place::Running | Place::Forwarded) {
        wait_until("the runs to start", || site.starts() == TASKS).await;
    }
    tokio::time::sleep(run_time / 20).await;
    let second = usize::from(first == 0 || site.has_taken_over(0));
    if departure == Departure::Reset {
        customer.set_zero_linger().unwrap();
    }
    let open = (departure == Departure::Hidden).then_some(customer);
    tokio::time::sleep(RESUBMIT_AFTER).await;
    if place == Place::Waiting {
        site.resize(2 * TASKS);
    }
    let second = site.0.entries[second].address("customers");
    let mut again = submit(second, departure).await;
    for _ in 0..MAX_REFUSALS {
        if timeout(REFUSAL_TIME, again.readable()).await.is_err() {
            break;
        }
        again = submit(second, departure).await;
    }
    if let Place::Unread(resumed) = place {
        tokio::time::sleep(resumed.saturating_sub(REFUSAL_TIME)).await;
        site.0.entries[first].signal(Signal::CONT);
    }
    let expected = match place {
        Place::Running | Place::Forwarded => 2 * TASKS,
        Place::Waiting | Place::Unread(_) => TASKS,
    };
    wait_until("the job to start again", || site.starts() >= expected).await;
    tokio::time::sleep(OBSERVED).await;
    drop(open);
    for line in site.0.log.lock().unwrap().iter() {
        if line.contains(JOB) {
            println!("{line}");
        }
    }
    let starts = site.starts();
    (site.0.audit.lock().violations.clone(), starts)
}

macro_rules! departures {
    ($($name:ident: $place:expr, $departure:ident, $run_time:ident;)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (found, starts) = play($place, Departure::$departure, $run_time).await;
            assert!(found.is_empty(), "{starts} starts, {found:?}");
        })*
    };
}

// Guards against two entries that run a job whose customer has left one of them.
departures! {
    reset: Place::Running, Reset, LONG;
    closed: Place::Running, Closed, LONG;
    closed_after_line_end: Place::Running, ClosedAfterLineEnd, LONG;
    unread_after_line_end: Place::Unread(Duration::from_millis(700)), ClosedAfterLineEnd, LONG;
    hidden_while_running: Place::Running, Hidden, LONG;
    hidden_while_waiting: Place::Waiting, Hidden, LONG;
    short_hidden_while_waiting: Place::Waiting, Hidden, SHORT;
    hidden_while_unread: Place::Unread(Duration::from_millis(50)), Hidden, LONG;
    hidden_by_forwarder: Place::Forwarded, Hidden, LONG;
}
