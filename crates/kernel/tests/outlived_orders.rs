//! Orders that an upstream left unanswered, and that its next process executes under the
//! same identifier.

mod site;

use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(6);

/// Time from the arrival of an unanswered order until it is executed.
const ORDER_DELAY: Duration = Duration::from_secs(2);

/// Leaves an upstream's orders unanswered, and restarts it `before` they are executed;
/// every step asserts that no task has two runs.
fn restart_before_execution(before: Duration) {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site.upstreams[0].delayed_outlive_crash = true;
    site.upstreams[0].order_delay = Some(ORDER_DELAY);
    let ordered_at = site.now;
    site.submit(0, job(1, 4, 1_000, RUN));
    // The first order and its repetition; the stops after them are executed.
    site.run(Duration::from_millis(120));
    site.upstreams[0].order_delay = None;
    let restart = (ordered_at + ORDER_DELAY).saturating_sub(before);
    site.run(restart.saturating_sub(site.now));
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    site.upstreams[0].set_alive(now, true);
    site.run(RUN);
}

/// Guards against two runs of a task whose first order is executed late by a process that
/// has seen no fencing token.
#[test]
fn order_reaches_next_process() {
    for before in [0, 2, 5, 10, 20, 40] {
        restart_before_execution(Duration::from_millis(before));
    }
}
