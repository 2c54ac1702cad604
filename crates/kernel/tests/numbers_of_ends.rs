//! Ends that a side reports to an entry which it had forgotten meanwhile.

mod site;

use kernel::dispatch::Phase;
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);

/// An entry that is paused for longer than its sides remember it must get the ends of the
/// runs that it places after it has resumed: the sides number them anew.
#[test]
fn ends_after_long_pause() {
    for seconds in [5, 11] {
        let mut site = Site::new(1, 2);
        let before = site.submit(0, job(1, 8, 1_000, RUN));
        site.run(Duration::from_secs(1));
        assert_eq!(site.state(before), Some(Phase::Completed));
        site.frozen_entries[0] = true;
        site.run(Duration::from_secs(seconds));
        site.frozen_entries[0] = false;
        site.run(Duration::from_millis(500));
        let after = site.submit(0, job(2, 4, 1_000, RUN));
        site.run(Duration::from_secs(3));
        assert_eq!(
            site.state(after),
            Some(Phase::Completed),
            "after a pause of {seconds} s"
        );
    }
}
