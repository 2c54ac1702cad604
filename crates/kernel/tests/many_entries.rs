//! Bounds the status reports of a side that is connected to many entries. In a
//! sweep of folia-cluj at 300 machines each entry received over a megabyte of
//! reports per second and none could keep up.

use kernel::guard::{Action, Announcement, Guard, Timing};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Frame, Need, Upstream},
};

/// Returns the number of reports that one of `entries` entries receives in a
/// second in which the side's state changes every millisecond.
fn report_count(entries: u64) -> usize {
    let timing = Timing::new(
        Duration::from_secs(1),
        Duration::from_millis(1_300),
        Duration::from_millis(50),
    );
    let mut guard = Guard::new(timing, Duration::ZERO);
    for entry in 0..entries {
        guard.join(Duration::ZERO, Incarnation(entry + 1));
    }
    let mut count = 0;
    for step in 1..=1_000 {
        let now = Duration::from_millis(step);
        let upstream = Upstream {
            id: "u".to_owned(),
            service: "desk".to_owned(),
            labels: vec![step.to_string()],
            capacity: Need::default(),
        };
        guard.announce(
            now,
            Announcement {
                upstream,
                started_at: 1,
                leaving: false,
                clock: step,
            },
        );
        guard.flush(now);
        let statuses = guard
            .take_actions()
            .into_iter()
            .filter(|action| matches!(action, Action::Send((Incarnation(1), Frame::Status(_)))));
        count += statuses.count();
    }
    count
}

#[test]
fn reports_bounded() {
    assert!(
        report_count(3) >= 200,
        "reports at a small site are not delayed"
    );
    assert!(report_count(6) >= 200);
    // The total over all entries stays within that of six entries.
    assert!(report_count(11) * 11 <= 6 * 250, "{}", report_count(11));
    assert!(report_count(60) * 60 <= 6 * 250, "{}", report_count(60));
    assert!(
        report_count(60) >= 9,
        "reports are not less frequent than heartbeats"
    );
}
