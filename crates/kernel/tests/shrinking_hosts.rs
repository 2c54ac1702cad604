//! Hosts whose capacity shrinks and grows while they run: nothing starts beyond what a
//! host has said of itself. The stub upstream asserts it at each start.

mod site;

use kernel::{
    dispatch::Phase,
    mutation::{self, Mutant},
};
use site::{
    Site, job,
    make::{MAX_CAPACITY_AGE, announcement},
};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
/// Estimate of a job that may wait for a report and still be useful.
const ESTIMATE: Duration = Duration::from_secs(1);

/// Sets the processor of a host, in thousandths of a core.
fn resize(site: &mut Site, host: usize, cpu: u32) {
    site.upstreams[host].capacity.cpu = cpu;
}

/// Delivers what a host says of itself now.
fn announce(site: &mut Site, host: usize) {
    let (now, announcement) = (site.now, announcement(&site.upstreams[host], site.now));
    site.sides[host]
        .as_mut()
        .unwrap()
        .announce(now, announcement);
}

/// Guards against starts by the capacity that a host had before, and against a host
/// that stays small after it has grown again.
#[test]
fn shrunk_host_grows() {
    let mut site = Site::new(1, 1);
    let first = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(20));
    resize(&mut site, 0, 2_000);
    announce(&mut site, 0);
    // Two of the four runs have to end before another may start.
    let second = site.submit(0, job(2, 4, 1_000, RUN));
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(first), Some(Phase::Completed));
    assert_eq!(site.state(second), Some(Phase::Completed));
    resize(&mut site, 0, 4_000);
    announce(&mut site, 0);
    let third = site.submit(0, job(3, 4, 1_000, RUN));
    site.run(RUN + Duration::from_millis(20));
    assert_eq!(site.state(third), Some(Phase::Completed));
}

/// Guards against a report that was delayed on its way and replaces a later one: its
/// capacity is that of before, and so is its state.
#[test]
fn late_report_ignored() {
    let mut site = Site::new(1, 1);
    let now = site.now;
    let earlier = announcement(&site.upstreams[0], now);
    site.run(Duration::from_millis(20));
    resize(&mut site, 0, 1_000);
    site.upstreams[0].leaving = true;
    announce(&mut site, 0);
    let now = site.now;
    let guard = site.sides[0].as_mut().unwrap();
    guard.announce(now, earlier);
    assert_eq!(guard.free().cpu, 1_000);
    assert!(!guard.is_accepting(now), "the host is leaving");
}

/// Asserts that a job of four tasks waits for a report of host 0, and then completes.
fn assert_awaits_report(site: &mut Site) {
    // The side connects again, or sees that its upstream has restarted.
    site.run(Duration::from_millis(200));
    let customer = site.submit(0, job(1, 4, 1_000, ESTIMATE));
    site.run(Duration::from_millis(400));
    let state = site.state(customer);
    assert_eq!(state, None, "nothing starts without a report");
    site.reports_paused = false;
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against starts by the capacity that a host had before its side was paused:
/// the users allow [`MAX_CAPACITY_AGE`], and the side reads later reports after its
/// entries' orders.
#[test]
fn paused_side_awaits_report() {
    let mut site = Site::new(1, 1);
    announce(&mut site, 0);
    site.frozen_sides[0] = true;
    resize(&mut site, 0, 1_000);
    site.run(MAX_CAPACITY_AGE + Duration::from_millis(100));
    site.frozen_sides[0] = false;
    site.reports_paused = true;
    assert_awaits_report(&mut site);
}

/// Guards against starts by the capacity of an upstream's earlier process: the host may
/// be another one.
#[test]
fn restarted_host_awaits_report() {
    let mut site = Site::new(1, 1);
    site.reports_paused = true;
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    resize(&mut site, 0, 1_000);
    site.upstreams[0].set_alive(now, true);
    assert_awaits_report(&mut site);
}

#[test]
fn seeded_bug_found() {
    mutation::seed(Some(Mutant::OldCapacity));
    let found = [paused_side_awaits_report, restarted_host_awaits_report]
        .map(|test| std::panic::catch_unwind(test).is_err());
    mutation::seed(None);
    assert_eq!(found, [true, true]);
}
