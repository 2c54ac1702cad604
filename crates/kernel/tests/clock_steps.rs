//! Steps of the time of day: an upstream that restarts, or a side, may show an
//! earlier time than the process before it.

mod site;

use kernel::dispatch::Phase;
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_hours(1);

/// Submits a job and returns whether it completes within `time`.
fn completes(site: &mut Site, id: u64, time: Duration) -> bool {
    let customer = site.submit(0, job(id, 2, 1_000, RUN));
    site.run(time);
    site.state(customer) == Some(Phase::Completed)
}

/// Restarts the upstream with this start time.
fn restart_upstream(site: &mut Site, started_at: u64) {
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    site.upstreams[0].set_alive(now, true);
    site.upstreams[0].started_at = started_at;
}

#[test]
fn upstream_set_back() {
    let mut site = Site::new(1, 1);
    restart_upstream(&mut site, 9_000_000);
    site.run(Duration::from_secs(1));
    assert!(completes(&mut site, 1, Duration::from_millis(500)));
    restart_upstream(&mut site, 5_000_000);
    site.run(Duration::from_secs(1));
    assert!(completes(&mut site, 2, Duration::from_millis(500)));
}

#[test]
fn delayed_announcement() {
    let mut site = Site::new(1, 1);
    restart_upstream(&mut site, 9_000_000);
    site.run(Duration::from_secs(1));
    let now = site.now;
    let earlier = site::make::announcement(&site.upstreams[0], now);
    restart_upstream(&mut site, 5_000_000);
    site.run(Duration::from_secs(1));
    let customer = site.submit(0, job(1, 2, 1_000, Duration::from_millis(400)));
    site.upstreams[0].run_time = Duration::from_millis(400);
    site.run(Duration::from_millis(100));
    let now = site.now;
    // The site asserts that no run of a task starts beside another.
    site.sides[0].as_mut().unwrap().announce(now, earlier);
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.upstreams[0].starts.len(), 2, "each task runs once");
}

#[test]
fn side_set_back() {
    let mut site = Site::new(1, 1);
    assert!(completes(&mut site, 1, Duration::from_millis(500)));
    site.upstreams[0].raise_token(STEP);
    site.kill_side(0);
    site.start_side(0);
    site.run(Duration::from_secs(2));
    assert!(completes(&mut site, 2, Duration::from_millis(500)));
}
