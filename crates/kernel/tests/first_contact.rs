//! The first contact of a side's new process with an entry.

mod site;

use kernel::guard::MAX_REPORT_INTERVAL;
use site::{Site, job};
use std::time::Duration;

/// Shortest time after which a customer submits a job again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Longer than the time until a resubmission, so that a run left behind shows.
const RUN: Duration = Duration::from_secs(4);
const TASKS: u16 = 6;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Starts a job at the first entry of a site, whose customer then leaves without the entry
/// reading it.
fn unread_departure(sides: usize) -> Site {
    let mut site = Site::new(2, sides);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site.submit(0, job(1, TASKS, 1_000, RUN));
    site.run(ms(50));
    site.unread_since.insert(0, site.now);
    site
}

/// Guards against a side's new process that takes orders of an entry which is not known
/// to have read its customers' departures. Every step asserts that no task has two runs.
#[test]
fn restarted_side() {
    for restarted_at in [0, 300, 640, 900, 1_250] {
        let mut site = unread_departure(2);
        site.run(ms(restarted_at));
        site.kill_side(1);
        site.start_side(1);
        site.run(RESUBMIT_AFTER.saturating_sub(ms(restarted_at)));
        site.submit(1, job(1, TASKS, 1_000, RUN));
        site.run(RUN);
    }
}

/// Guards against orders that their sides are known to refuse as stale.
#[test]
fn refusable_orders() {
    let mut site = unread_departure(3);
    site.run(ms(2_000));
    let guards = site.sides.iter().flatten();
    let refused: u64 = guards.map(|guard| guard.stats().refused).sum();
    assert!(refused <= u64::from(TASKS), "{refused} orders were refused");
}

/// Guards against a side that stays unused after its start for lack of a renewal: it is
/// used within the longest time between two of its reports.
#[test]
fn calm_start() {
    let mut site = Site::new(2, 1);
    site.run(ms(1_000));
    site.kill_side(0);
    site.run(ms(2_000));
    site.start_side(0);
    let is_accepting = |site: &Site| {
        let guard = site.sides[0].as_ref().expect("running");
        guard.is_accepting(site.now)
    };
    while !is_accepting(&site) && site.now < ms(1_020_000) {
        site.run(ms(1));
    }
    site.run(MAX_REPORT_INTERVAL);
    site.submit(0, job(1, 1, 1_000, ms(50)));
    site.run(ms(10));
    assert_eq!(site.upstreams[0].starts.len(), 1);
}
