//! Jobs whose run times are far above their estimates, on sound hosts.
//!
//! Guards against runs that advance being stopped and begun anew elsewhere for a bad
//! estimate: in scale-1 of the crew desk with rough estimates this threw away 871
//! core-seconds, fifteen times as much as with good ones.

mod site;

use kernel::dispatch::Phase;
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(200);

/// Serves jobs with good estimates, so that the usual run time is known.
fn trained_site() -> Site {
    let mut site = Site::new(1, 4);
    for id in 0..60 {
        site.submit(0, job(1_000 + id, 2, 1_000, RUN));
        site.run(Duration::from_millis(50));
    }
    site.run(Duration::from_secs(1));
    site
}

/// Serves a job of one task that takes `taken`; returns how many runs were moved for it.
fn moved(site: &mut Site, id: u64, taken: Duration) -> u64 {
    let moved = |site: &Site| site.entries[0].as_ref().unwrap().stats().moved;
    let before = moved(site);
    let mut submission = job(id, 1, 1_000, RUN);
    submission.input = format!("ms={}", taken.as_millis());
    let customer = site.submit(0, submission);
    site.run(taken * 2);
    assert_eq!(site.state(customer), Some(Phase::Completed));
    moved(site) - before
}

#[test]
fn bad_estimate_not_moved() {
    let mut site = trained_site();
    for id in 0..6 {
        assert_eq!(moved(&mut site, id, RUN * 6), 0, "job {id}");
        for good in 0..8 {
            moved(&mut site, 2_000 + id * 8 + good, RUN);
        }
    }
}

/// Guards against runs that are left on a host that has become slow.
#[test]
fn slow_host_left() {
    let mut site = trained_site();
    site.upstreams[0].speed_percent = 10;
    let customers: Vec<u64> = (0..16)
        .map(|id| site.submit(0, job(id, 1, 1_000, RUN)))
        .collect();
    site.run(RUN * 8);
    for customer in customers {
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
}
