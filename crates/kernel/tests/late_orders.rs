//! Orders that a side has decided on and sends only after it was suspended.

mod site;

use site::{
    Site, job,
    suspension::{Moment, Process},
};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);

const SUSPENSION: Duration = Duration::from_millis(1_500);

/// Suspends a side within the turn that orders starts, and restarts its upstream under the
/// same identifier or a new one `after` that, or never. Every step asserts that no task
/// has two runs.
fn suspend_in_turn(after: Option<Duration>, keeps_id: bool) -> Site {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site.upstreams[0].keeps_id = keeps_id;
    site.begin_suspension(Process::Side(0), Moment::OrderTurn, false);
    site.submit(0, job(1, 4, 1_000, RUN));
    let resumes_at = site.now + SUSPENSION;
    if let Some(after) = after {
        site.run(after);
        assert!(site.is_suspended(Process::Side(0)));
        let now = site.now;
        site.upstreams[0].set_alive(now, false);
        site.upstreams[0].set_alive(now, true);
    }
    site.run(resumes_at.saturating_sub(site.now));
    assert!(site.is_suspended(Process::Side(0)));
    site.end_suspension(Process::Side(0));
    site.run(RUN);
    site
}

/// Guards against an order whose lease has expired meanwhile.
#[test]
fn order_sent_after_suspension() {
    suspend_in_turn(None, false);
}

/// Guards against an order to a process that has ended meanwhile: the next one's clock
/// shows less, and it has seen no fencing token.
#[test]
fn order_sent_to_next_process() {
    suspend_in_turn(Some(Duration::from_millis(500)), true);
}

/// Guards against a start by an order that was for the process before, at any moment.
#[test]
fn order_names_ended_process() {
    for after in (20..1_500).step_by(77).chain([1_490, 1_495, 1_499, 1_500]) {
        let site = suspend_in_turn(Some(Duration::from_millis(after)), false);
        let orders = site.upstreams[0].misdirected_orders();
        assert!(!orders.is_empty(), "no order came after {after} ms");
        let starts = &site.upstreams[0].starts;
        assert!(starts.iter().all(|(_, run)| !orders.contains(run)));
    }
}
