//! An upstream that restarts under the same identifier and is not noticed at once.

mod site;

use site::{Site, job};
use std::time::Duration;

/// Longer than everything that bounds a run that is left behind.
const RUN: Duration = Duration::from_secs(4);

/// Guards against a side that counts the lease of an order by the clock of an earlier
/// process: the present one grants the longest lease.
#[test]
fn lease_of_earlier_clock() {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    site.upstreams[0].set_alive(now, true);
    site.upstreams[0].call_faults.hung.holds = 1.0;
    site.submit(0, job(1, 4, 1_000, RUN));
    site.run(RUN);
}
