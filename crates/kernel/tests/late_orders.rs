//! Orders that a side has decided on and sends only after it was suspended.

mod site;

use site::{
    Site, job,
    suspension::{Moment, Process},
};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);

/// Suspends a side within the turn that orders starts; its upstream goes on, and is
/// restarted under the same identifier if so wanted. Every step asserts that no task has
/// two runs.
fn suspend_in_turn(restarted: bool) {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site.begin_suspension(Process::Side(0), Moment::OrderTurn, false);
    site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(500));
    assert!(site.is_suspended(Process::Side(0)));
    if restarted {
        let now = site.now;
        site.upstreams[0].set_alive(now, false);
        site.upstreams[0].set_alive(now, true);
    }
    site.run(Duration::from_secs(1));
    site.end_suspension(Process::Side(0));
    site.run(RUN);
}

/// Guards against an order whose lease has expired meanwhile.
#[test]
fn order_sent_after_suspension() {
    suspend_in_turn(false);
}

/// Guards against an order to a process that has ended meanwhile: the next one's clock
/// shows less, and it has seen no fencing token.
#[test]
fn order_sent_to_next_process() {
    suspend_in_turn(true);
}
