//! Hosts that are suspended and resume: a clock that counts the time proves nothing about
//! runs whose leases are reckoned by one that doesn't.

mod site;

use kernel::{
    dispatch::Phase,
    mutation::{self, Mutant},
};
use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);

/// Suspends a host with runs, whose upstream leaves stops unanswered; every step asserts
/// that no task has two runs.
fn suspend_and_resume(lasted: Duration) {
    let mut site = Site::new(1, 3);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
        stub.call_faults.hung.stops = 1.0;
    }
    let customer = site.submit(0, job(1, 6, 1_000, RUN));
    site.run(Duration::from_millis(100));
    site.suspend_host(0, lasted);
    site.run(RUN * 2);
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against a side that counts runs as over because their leases have expired by its
/// own clock, while the upstream's has stood still.
#[test]
fn leases_during_suspension() {
    for lasted in [300, 600, 800, 1_000] {
        suspend_and_resume(Duration::from_millis(lasted));
    }
    mutation::seed(Some(Mutant::SuspensionCounted));
    let outcome = std::panic::catch_unwind(|| suspend_and_resume(Duration::from_millis(800)));
    mutation::seed(None);
    assert!(outcome.is_err(), "the mutant is not found");
}

/// Returns the starts at all upstreams.
fn starts(site: &Site) -> usize {
    site.upstreams.iter().map(|stub| stub.starts.len()).sum()
}

/// Starts at an entry that is paused, runs for 40 ms, and is paused again for less than
/// what counts as a pause by itself, without having read that customers left in the first
/// pause. Its runs have ended meanwhile, and its sides still take its orders.
fn starts_between_pauses() -> usize {
    let mut site = Site::new(1, 3);
    for stub in &mut site.upstreams {
        stub.run_time = Duration::from_millis(150);
    }
    site.submit(0, job(1, 12, 2_000, Duration::from_millis(150)));
    site.run(Duration::from_millis(100));
    let before = starts(&site);
    site.unread_since.insert(0, site.now);
    for paused in [325, 150] {
        site.frozen_entries[0] = true;
        site.run(Duration::from_millis(paused));
        site.frozen_entries[0] = false;
        site.run(Duration::from_millis(40));
    }
    site.run(Duration::from_millis(15));
    starts(&site) - before
}

/// Guards against an entry that starts tasks again before it has read, in the time in
/// which it ran, that their customers have left.
#[test]
fn pauses_in_a_row() {
    assert_eq!(starts_between_pauses(), 0);
    mutation::seed(Some(Mutant::PausedCatchUp));
    let started = starts_between_pauses();
    mutation::seed(None);
    assert!(started > 0, "the mutant is not found");
}
