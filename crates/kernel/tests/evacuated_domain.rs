//! A failure domain that is out of service: no run starts there, however old the rules of
//! the entry that orders it, and runs start there again once it is back.

mod site;

use kernel::{
    dispatch::Answer,
    mutation::{self, Mutant},
};
use site::{Site, calls::Shares, job, rules};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(50);
/// Longest time for which a side relies on what it knows.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Time in which what an entry knows reaches the sides.
const REPORT: Duration = Duration::from_millis(100);

/// Creates entries that are not connected to each other, and three sides in the domains
/// `d0` to `d2` that ask the store without recent reports.
fn site(entries: usize) -> Site {
    let mut site = Site::new(entries, 3);
    site.timing.max_availability_age = Some(MAX_AGE);
    for side in 0..3 {
        site.kill_side(side);
        site.start_side(side);
    }
    publish(&mut site, 2, &[], 0..entries);
    // Until the leases of the earlier sides have expired.
    site.run(Duration::from_millis(1_200));
    publish(&mut site, 3, &[], 0..entries);
    site.run(REPORT);
    site
}

/// Has some entries learn from the store which domains are out.
fn publish(site: &mut Site, revision: u64, out: &[&str], entries: std::ops::Range<usize>) {
    let now = site.now;
    for entry in site.entries[entries].iter_mut().flatten() {
        entry.adopt(now, &rules(revision, out), None);
        entry.confirm(revision, now);
    }
}

/// Has all sides ask the store.
fn ask_store(site: &mut Site, revision: u64, out: bool) {
    let now = site.now;
    for (index, side) in site.sides.iter_mut().flatten().enumerate() {
        assert!(side.needs_store_read(now));
        side.record_store_read(now, revision, out && index == 0);
    }
}

/// Submits a job that needs all three hosts; returns its runs that start in `d0`.
fn starts_in_d0(site: &mut Site, entry: usize, id: u64) -> usize {
    let before = site.upstreams[0].starts.len();
    site.submit(entry, job(id, 12, 1_000, RUN));
    site.run(RUN * 4);
    site.upstreams[0].starts.len() - before
}

/// Guards against orders of an entry that is cut off from the store and from the other
/// entries: it does not know that the domain is out of service, other entries do.
#[test]
fn entry_with_old_rules() {
    for mutant in [None, Some(Mutant::SideDomainOut)] {
        let mut site = site(2);
        mutation::seed(mutant);
        publish(&mut site, 4, &["d0"], 1..2);
        site.run(REPORT);
        assert_eq!(starts_in_d0(&mut site, 0, 1) > 0, mutant.is_some());
        mutation::seed(None);
    }
}

/// Guards against older knowledge that undoes newer, when a domain is taken out and back.
#[test]
fn newest_revision_counts() {
    for mutant in [None, Some(Mutant::OldAvailability)] {
        let mut site = site(2);
        mutation::seed(mutant);
        publish(&mut site, 4, &["d0"], 1..2);
        publish(&mut site, 5, &[], 0..1);
        site.run(REPORT);
        // Both entries report several times.
        let accepts = (0..400).all(|_| {
            site.run(Duration::from_millis(1));
            site.sides[0].as_ref().unwrap().is_accepting(site.now)
        });
        assert_eq!(accepts, mutant.is_none());
        assert!(mutant.is_some() || starts_in_d0(&mut site, 0, 1) == 4);
        mutation::seed(None);
    }
}

/// Guards against orders of entries that have all lost the store, which serves the side.
#[test]
fn entries_without_store() {
    let mut site = site(2);
    site.run(MAX_AGE / 2);
    ask_store(&mut site, 4, true);
    assert_eq!(starts_in_d0(&mut site, 0, 1), 0);
    site.run(MAX_AGE / 2);
    ask_store(&mut site, 5, false);
    assert_eq!(starts_in_d0(&mut site, 1, 2), 4);
}

/// Guards against a side that relies on old knowledge before it has asked the store, and
/// against one that serves nothing during an outage of the store.
#[test]
fn old_knowledge() {
    let mut site = site(1);
    site.run(MAX_AGE);
    assert_eq!(starts_in_d0(&mut site, 0, 1), 0);
    mutation::seed(Some(Mutant::StaleAvailability));
    site.run(REPORT);
    assert_eq!(starts_in_d0(&mut site, 0, 2), 4, "the mutant has no effect");
    mutation::seed(None);
    let now = site.now;
    for side in site.sides.iter_mut().flatten() {
        side.record_store_failure(now);
    }
    site.run(REPORT);
    assert_eq!(starts_in_d0(&mut site, 0, 3), 4);
}

/// Guards against the repetition of an unanswered order after its domain was taken out.
#[test]
fn unanswered_order() {
    let mut site = site(1);
    let hung = &mut site.upstreams[0].call_faults.hung;
    *hung = Shares {
        starts: 1.0,
        ..Shares::default()
    };
    site.submit(0, job(1, 12, 1_000, RUN));
    site.run(Duration::from_millis(10));
    site.upstreams[0].call_faults.hung = Shares::default();
    publish(&mut site, 4, &["d0"], 0..1);
    site.run(RUN * 4);
    assert_eq!(site.upstreams[0].starts.len(), 0);
}

/// Guards against an entry that stays ready, and keeps jobs, while all sides that it
/// reaches know that their domain is out of service.
#[test]
fn nothing_in_service() {
    let mut site = site(2);
    publish(&mut site, 4, &["d0"], 1..2);
    site.cut(0, 1, true);
    site.cut(0, 2, true);
    site.run(Duration::from_secs(2));
    assert!(!site.entries[0].as_ref().unwrap().is_ready());
    let customer = site.submit(0, job(1, 1, 1_000, RUN));
    let refused = site.answers.get(&customer);
    assert!(
        matches!(refused, Some((_, Answer::Refused { .. }))),
        "{refused:?}"
    );
    site.cut(0, 1, false);
    site.run(Duration::from_secs(1));
    assert!(site.entries[0].as_ref().unwrap().is_ready());
}
