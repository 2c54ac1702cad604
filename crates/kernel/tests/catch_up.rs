//! An entry that was paused and catches up under a processor quota.

mod site;

use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);
/// Time of a run that ends while the entry is paused.
const SHORT_RUN: Duration = Duration::from_millis(150);
/// Shortest time without a call that counts as a pause, and a step.
const PAUSE: Duration = Duration::from_millis(325);
/// Time for which the entry runs without reading that its customers have left.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// Part of each tenth of a second for which a quota lets it run.
const SHARE: Duration = Duration::from_millis(25);
const REST: Duration = Duration::from_millis(75);

fn starts(site: &Site) -> usize {
    site.upstreams.iter().map(|stub| stub.starts.len()).sum()
}

/// Pauses an entry with running and, if its runs are short, waiting tasks, and lets it run
/// for a `share` of each tenth of a second without reading that customers left in the
/// pause. Asserts that nothing starts.
fn run_unread(paused_after: Duration, run: Duration, pause: Duration, share: Duration) -> Site {
    let mut site = Site::new(1, 3);
    for stub in &mut site.upstreams {
        stub.run_time = run;
    }
    let tasks = if run == SHORT_RUN { 12 } else { 6 };
    site.submit(0, job(1, tasks, 2_000, run));
    site.run(paused_after);
    let before = starts(&site);
    assert_eq!(before, 6);
    site.frozen_entries[0] = true;
    site.unread_since.insert(0, site.now);
    site.run(pause);
    let mut ran = Duration::ZERO;
    while ran < UNREAD_TIME {
        site.frozen_entries[0] = false;
        site.run(share);
        ran += share;
        // Calls on their way to upstreams arrive.
        site.frozen_entries[0] = true;
        site.run((SHARE + REST).saturating_sub(share));
        assert_eq!(starts(&site), before, "tasks started after {ran:?}");
    }
    site.frozen_entries[0] = false;
    site
}

/// Guards against an entry that starts tasks again, whose customers have left, before it
/// has read that.
#[test]
fn catch_up_under_quota() {
    let pause = Duration::from_millis(1_600);
    run_unread(Duration::from_millis(100), RUN, pause, SHARE);
}

/// The same after a pause so short that its sides still take its orders.
#[test]
fn catch_up_while_sides_take_orders() {
    for share in [SHARE, SHARE + REST] {
        for paused_after in 100..120 {
            run_unread(Duration::from_millis(paused_after), SHORT_RUN, PAUSE, share);
        }
    }
}

/// Guards against an entry that starts nothing for longer than it takes to read what has
/// arrived.
#[test]
fn starts_once_read() {
    let paused_after = Duration::from_millis(100);
    let mut site = run_unread(paused_after, SHORT_RUN, PAUSE, SHARE + REST);
    site.unread_since.clear();
    // The sides take orders again once they know, too.
    site.run(Duration::from_millis(250));
    assert_eq!(starts(&site), 12);
}
