//! Bounds the status reports of a side that is connected to many entries. In a
//! sweep of folia-cluj at 300 machines each entry received over a megabyte of
//! reports per second and none could keep up.

use kernel::guard::{Action, Announcement, Guard, Timing};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Echo, Frame, Need, Upstream},
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
    count_reports(&mut guard)
}

/// Changes the side's state every millisecond for a second; returns the number of
/// reports to the first entry.
fn count_reports(guard: &mut Guard) -> usize {
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

/// Returns the number of reports that an entry which requests `interval_ms` between
/// two receives in a second in which the side's state changes every millisecond.
fn paced_report_count(interval_ms: u16) -> usize {
    let timing = Timing::new(
        Duration::from_secs(1),
        Duration::from_millis(1_300),
        Duration::from_millis(50),
    );
    let mut guard = Guard::new(timing, Duration::ZERO);
    let entry = Incarnation(1);
    guard.join(Duration::ZERO, entry);
    let echo = Echo {
        renewed_at: 0,
        clock: 0,
        acknowledged: 0,
        report_interval_ms: interval_ms,
        availability: None,
    };
    guard.frame(Duration::ZERO, entry, Frame::Echo(echo));
    count_reports(&mut guard)
}

/// An entry with half of a core and two for 60 sides: without a request of its own
/// each side would send it 250 reports a second.
#[test]
fn entry_paces_reports() {
    assert!(paced_report_count(0) >= 200);
    let paced = paced_report_count(10);
    assert!((80..=100).contains(&paced), "{paced}");
    // Reports are heartbeats too, so no request makes them rarer than these.
    assert!(paced_report_count(u16::MAX) >= 9);
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
