//! Hosts whose capacity shrinks and grows while they run: nothing starts beyond what a
//! host has said of itself. The stub upstream asserts it at each start.

mod site;

use kernel::dispatch::Phase;
use site::{Site, job, make::announcement};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);

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
    let side = site.sides[0].as_mut().unwrap();
    side.announce(now, earlier);
    assert_eq!(side.free().cpu, 1_000);
    assert!(!side.is_accepting(now), "the host is leaving");
}
