//! Entries that forward and are paused: their customers may leave meanwhile.

mod site;

use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);

/// Weak entry, which forwards.
const FORWARDER: usize = 2;

fn run_ms(site: &mut Site, number: u64) {
    site.run(Duration::from_millis(number));
}

/// Guards against a forwarder that resumes and, before it knows that the customer has left,
/// sends a job that one owner has refused to another; that owner is paused then.
#[test]
fn forwarded_again_before_departure() {
    let mut site = Site::with_processors(&[1_000, 700, 120], 3);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    let owners = [0, 1];
    // The forwarder prefers the first.
    site.frozen_entries[0] = true;
    let customer = site.submit(FORWARDER, job(1, 4, 1_000, RUN));
    run_ms(&mut site, 50);
    assert_eq!(site.forwarded(), 1);
    // The customer leaves in the pause of the forwarder.
    site.frozen_entries[FORWARDER] = true;
    let left_at = site.now;
    run_ms(&mut site, 550);
    site.frozen_entries[0] = false;
    run_ms(&mut site, 190);
    site.frozen_entries[FORWARDER] = false;
    run_ms(&mut site, 8);
    let has_job = |owner: &usize| {
        let entry = site.entries[*owner].as_ref();
        entry.is_some_and(|entry| entry.open_jobs() > 0)
    };
    let second = owners.into_iter().find(has_job);
    if let Some(second) = second {
        site.frozen_entries[second] = true;
    }
    run_ms(&mut site, 12);
    let now = site.now;
    if let Some(forwarder) = &mut site.entries[FORWARDER] {
        forwarder.remove_customer(now, 1, customer);
    }
    let resubmitted_at = left_at + RESUBMIT_AFTER;
    site.run(resubmitted_at.saturating_sub(site.now));
    let other = owners.into_iter().find(|owner| Some(*owner) != second);
    site.submit(other.expect("one of two"), job(1, 4, 1_000, RUN));
    site.run(RUN);
}
