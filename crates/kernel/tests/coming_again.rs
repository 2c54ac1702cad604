//! Customers that come again after a broken connection (folia-cluj-grown
//! trouble-1: after a loss of power they delayed all who came for the first
//! time).

mod site;

use kernel::dispatch::{Phase, Submission};
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const USUAL: Duration = Duration::from_secs(2);
/// What is left of it after a broken connection.
const LEFT: Duration = Duration::from_millis(650);

fn stating(id: u64, patience: Duration) -> Submission {
    Submission {
        patience,
        ..job(id, 1, 1_000, RUN)
    }
}

/// A site whose entry has heard how long customers usually wait.
fn experienced() -> Site {
    let mut site = Site::new(1, 1);
    for id in 0..80 {
        let more = Duration::from_millis(id % 40);
        site.submit(0, stating(1_000 + id, USUAL + more));
        site.run(Duration::from_millis(30));
    }
    site.run(Duration::from_secs(1));
    site
}

/// Hands in eight jobs that have come again, and four new ones after them.
fn press(site: &mut Site) -> (Vec<u64>, Vec<u64>) {
    let again = (0..8).map(|id| site.submit(0, stating(id, LEFT)));
    let again: Vec<u64> = again.collect();
    let new = (100..104).map(|id| site.submit(0, stating(id, USUAL)));
    let new: Vec<u64> = new.collect();
    site.run(Duration::from_secs(2));
    (again, new)
}

fn completed_by(site: &Site, customers: &[u64]) -> Option<Duration> {
    let completed = customers
        .iter()
        .filter(|customer| site.state(**customer) == Some(Phase::Completed));
    completed.map(|customer| site.answers[customer].0).max()
}

#[test]
fn new_ones_first() {
    let mut site = experienced();
    let begun = site.now;
    let (again, new) = press(&mut site);
    let took = completed_by(&site, &new).unwrap().saturating_sub(begun);
    assert!(took < RUN * 2 + RUN / 2, "the new ones waited: {took:?}");
    let served = again
        .iter()
        .filter(|customer| site.state(**customer) == Some(Phase::Completed));
    assert!(
        served.count() >= 4,
        "the others are served with what is left"
    );
}

#[test]
fn marks_survive() {
    let site = experienced();
    let marks = site.entries[0].as_ref().unwrap().patience_floors();
    assert_eq!(marks.len(), 1, "one queue was used: {marks:?}");
    let mut restarted = Site::new(1, 1);
    restarted.entries[0]
        .as_mut()
        .unwrap()
        .restore_floors(&marks);
    let begun = restarted.now;
    let (_, new) = press(&mut restarted);
    let took = completed_by(&restarted, &new)
        .unwrap()
        .saturating_sub(begun);
    assert!(took < RUN * 2 + RUN / 2, "the new ones waited: {took:?}");
}

#[test]
fn customers_change() {
    let mut site = experienced();
    // All customers of the queue wait less from now on.
    for id in 0..120 {
        site.submit(0, stating(2_000 + id, LEFT));
        site.run(Duration::from_millis(60));
    }
    for id in 0..80 {
        site.submit(0, stating(3_000 + id, LEFT));
        site.run(Duration::from_millis(60));
    }
    let (_, mark) = site.entries[0].as_ref().unwrap().patience_floors()[0].clone();
    assert!(u128::from(mark) <= LEFT.as_millis(), "the mark is {mark}");
}

/// Customers of one outage say nothing of how long others wait (trouble-1 of
/// folia-cluj-grown: the mark fell, and half of them stood among the new ones).
#[test]
fn outage_teaches_nothing() {
    let mut site = experienced();
    let mark = |site: &Site| site.entries[0].as_ref().unwrap().patience_floors()[0].1;
    let before = mark(&site);
    for id in 0..30 {
        site.submit(0, stating(2_000 + id, USUAL * 3 / 4));
        site.run(Duration::from_millis(60));
    }
    let after = mark(&site);
    assert!(
        after * 100 >= before * 95,
        "the mark fell from {before} to {after}"
    );
}
