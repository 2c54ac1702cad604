//! Customers that resubmit jobs after a broken connection.
//!
//! Guards against resubmitted jobs delaying first submissions, as in trouble-1 of
//! folia-cluj-grown after a power loss.

mod site;

use kernel::dispatch::{Phase, Submission};
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(2);
/// Patience left after a broken connection.
const PATIENCE_LEFT: Duration = Duration::from_millis(650);

fn submission(id: u64, patience: Duration) -> Submission {
    Submission {
        patience,
        ..job(id, 1, 1_000, RUN)
    }
}

/// Makes a site whose entry has learnt the patience of the queue's customers.
fn trained_site() -> Site {
    let mut site = Site::new(1, 1);
    for id in 0..80 {
        let more = Duration::from_millis(id % 40);
        site.submit(0, submission(1_000 + id, PATIENCE + more));
        site.run(Duration::from_millis(30));
    }
    site.run(Duration::from_secs(1));
    site
}

/// Submits eight resubmitted jobs, then four new ones.
fn submit_batch(site: &mut Site) -> (Vec<u64>, Vec<u64>) {
    let resubmitted = (0..8).map(|id| site.submit(0, submission(id, PATIENCE_LEFT)));
    let resubmitted: Vec<u64> = resubmitted.collect();
    let new = (100..104).map(|id| site.submit(0, submission(id, PATIENCE)));
    let new: Vec<u64> = new.collect();
    site.run(Duration::from_secs(2));
    (resubmitted, new)
}

fn completed_by(site: &Site, customers: &[u64]) -> Option<Duration> {
    let completed = customers
        .iter()
        .filter(|customer| site.state(**customer) == Some(Phase::Completed));
    completed.map(|customer| site.answers[customer].0).max()
}

#[test]
fn new_customers_first() {
    let mut site = trained_site();
    let start = site.now;
    let (resubmitted, new) = submit_batch(&mut site);
    let took = completed_by(&site, &new).unwrap().saturating_sub(start);
    assert!(took < RUN * 2 + RUN / 2, "the new jobs took {took:?}");
    let served = resubmitted
        .iter()
        .filter(|customer| site.state(**customer) == Some(Phase::Completed));
    assert!(
        served.count() >= 4,
        "resubmitted jobs get the remaining capacity"
    );
}

#[test]
fn restored_floors() {
    let site = trained_site();
    let floors = site.entries[0].as_ref().unwrap().patience_floors();
    assert_eq!(floors.len(), 1, "one queue was used: {floors:?}");
    let mut restarted = Site::new(1, 1);
    restarted.entries[0]
        .as_mut()
        .unwrap()
        .restore_floors(&floors);
    let start = restarted.now;
    let (_, new) = submit_batch(&mut restarted);
    let took = completed_by(&restarted, &new)
        .unwrap()
        .saturating_sub(start);
    assert!(took < RUN * 2 + RUN / 2, "the new jobs took {took:?}");
}

#[test]
fn customers_changed() {
    let mut site = trained_site();
    // From now on all customers of the queue have less patience.
    for id in 0..120 {
        site.submit(0, submission(2_000 + id, PATIENCE_LEFT));
        site.run(Duration::from_millis(60));
    }
    for id in 0..80 {
        site.submit(0, submission(3_000 + id, PATIENCE_LEFT));
        site.run(Duration::from_millis(60));
    }
    let (_, floor) = site.entries[0].as_ref().unwrap().patience_floors()[0].clone();
    assert!(
        u128::from(floor) <= PATIENCE_LEFT.as_millis(),
        "the floor is {floor}"
    );
}

/// Guards against lowering the floor by the resubmissions of one outage. In
/// trouble-1 of folia-cluj-grown it fell, and half of these customers were ranked
/// among the new ones.
#[test]
fn outage_keeps_floor() {
    let mut site = trained_site();
    let floor = |site: &Site| site.entries[0].as_ref().unwrap().patience_floors()[0].1;
    let before = floor(&site);
    for id in 0..30 {
        site.submit(0, submission(2_000 + id, PATIENCE * 3 / 4));
        site.run(Duration::from_millis(60));
    }
    let after = floor(&site);
    assert!(
        after * 100 >= before * 95,
        "the floor fell from {before} to {after}"
    );
}
