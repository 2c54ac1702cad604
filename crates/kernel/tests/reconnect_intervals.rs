//! A process that listens again must be reached within a stated time, by however
//! many have failed to connect before.

use kernel::reconnect::{Backoff, MAX_INTERVAL};
use proptest::prelude::*;

proptest! {
    #[test]
    fn bounded_intervals(random in prop::collection::vec(0.0..=1.0, 1..40)) {
        let mut backoff = Backoff::default();
        for number in random {
            prop_assert!(backoff.next_interval(number) <= MAX_INTERVAL);
        }
    }
}

/// Guards against a storm of dials to a process that accepts connections and
/// handles none of their frames in time.
#[test]
fn reset_by_handled_frame() {
    let mut backoff = Backoff::default();
    let first = backoff.next_interval(1.0);
    backoff.record_connection(false);
    assert_eq!(
        backoff.next_interval(1.0),
        first * 2,
        "no frame was handled"
    );
    backoff.record_connection(true);
    assert_eq!(backoff.next_interval(1.0), first);
}

#[test]
fn growing_intervals() {
    let mut backoff = Backoff::default();
    let intervals: Vec<_> = (0..8).map(|_| backoff.next_interval(1.0)).collect();
    assert!(intervals.is_sorted());
    assert!(intervals[0] * 8 <= MAX_INTERVAL, "the first retry is soon");
    assert_eq!(intervals[7], MAX_INTERVAL);
}
