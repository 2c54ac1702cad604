//! A side with many entries (sweep of folia-cluj at 300 machines: each entry took
//! over a megabyte of reports a second, and none kept up).

use kernel::guard::{Action, Announcement, Guard, Timing};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Frame, Need, Upstream},
};

/// Counts the reports to one of so many entries in a second in which the side
/// has something new to report all the time.
fn reports(entries: u64) -> usize {
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
        let told = guard
            .take_actions()
            .into_iter()
            .filter(|action| matches!(action, Action::Send((Incarnation(1), Frame::Status(_)))));
        count += told.count();
    }
    count
}

#[test]
fn reports_bounded() {
    assert!(reports(3) >= 200, "a small site learns of room at once");
    assert!(reports(6) >= 200);
    // All reports of one side, to sixty entries.
    assert!(reports(11) * 11 <= 6 * 250, "{}", reports(11));
    assert!(reports(60) * 60 <= 6 * 250, "{}", reports(60));
    assert!(reports(60) >= 9, "and never rarer than heartbeats");
}
