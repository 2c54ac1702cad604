//! Jobs that wait while more urgent jobs keep arriving.
//!
//! Guards against accepting jobs that more urgent arrivals will overtake: in
//! scale-1 of folia-cluj-grown long jobs waited for seconds and were then given
//! up without a start.

mod site;

use kernel::dispatch::Answer;
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_millis(900);

/// Submits urgent jobs at a fixed interval, and one long, less urgent job. Returns
/// the time until the long job was refused; `None` if it was not.
fn refusal_time(urgent_tasks: u16, interval: Duration) -> Option<Duration> {
    let mut site = Site::new(1, 1);
    let mut slow_job = None;
    for round in 0..60 {
        site.submit(0, job(1_000 + round, urgent_tasks, 1_000, RUN));
        if round == 20 {
            let customer = site.submit_to(0, "/slow/", job(7, 4, 1_000, LONG));
            slow_job = Some((customer, site.now));
        }
        site.run(interval);
    }
    let (customer, start) = slow_job?;
    match site.answers.get(&customer)? {
        (at, Answer::Refused { .. }) => Some(at.saturating_sub(start)),
        _ => None,
    }
}

#[test]
fn refused_at_once() {
    let elapsed = refusal_time(4, RUN).expect("urgent jobs occupy all cores");
    assert!(
        elapsed <= Duration::from_millis(5),
        "the job was refused after {elapsed:?}"
    );
}

#[test]
fn free_between_arrivals() {
    assert_eq!(
        refusal_time(2, RUN * 2),
        None,
        "three quarters of the processor time are free"
    );
}
