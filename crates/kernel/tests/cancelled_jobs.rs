//! Cancelled jobs: once a customer knows of it, no task starts, at whichever entry the
//! job is or arrives again.

mod site;

use kernel::dispatch::{Answer, Phase};
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(900);
const JOB: u64 = 7;
/// Time after the answer to a cancellation from which no task may start.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

fn site() -> Site {
    let mut site = Site::with_processors(&[1_000, 1_000], 3);
    for stub in &mut site.upstreams {
        stub.run_time = RUN;
    }
    site
}

/// Cancels the job at an entry; returns the answer and when it came.
fn cancel(site: &mut Site, entry: usize) -> (Duration, Answer) {
    let (now, customer) = (site.now, 1 << 50);
    let dispatcher = site.entries[entry].as_mut().unwrap();
    dispatcher.cancel(now, customer, JOB);
    site.run(Duration::from_millis(600));
    site.answers.get(&customer).unwrap().clone()
}

fn starts_after(site: &Site, time: Duration) -> usize {
    let starts = site.upstreams.iter().flat_map(|stub| &stub.starts);
    starts.filter(|(at, _)| *at > time).count()
}

/// Guards against a job that runs whole when a late duplicate of its submission reaches
/// an entry that never had it.
#[test]
fn late_duplicate() {
    let mut site = site();
    site.submit(0, job(JOB, 4, 1_000, RUN));
    site.run(Duration::from_millis(300));
    let (answered_at, answer) = cancel(&mut site, 0);
    assert_eq!(answer, Answer::State(Phase::Cancelled));
    site.run(CANCEL_BOUND);
    let duplicate = site.submit(1, job(JOB, 4, 1_000, RUN));
    site.run(RUN);
    assert_eq!(starts_after(&site, answered_at), 0);
    assert_eq!(site.state(duplicate), Some(Phase::Cancelled));
}

/// Guards against an owner that was paused while another entry answered the cancelling,
/// and starts the tasks again when it resumes.
#[test]
fn paused_owner() {
    let mut site = site();
    let customer = site.submit(0, job(JOB, 4, 1_000, RUN));
    site.run(Duration::from_millis(300));
    site.frozen_entries[0] = true;
    site.run(Duration::from_millis(1_600));
    let (answered_at, answer) = cancel(&mut site, 1);
    assert_eq!(answer, Answer::NoJob);
    site.run(CANCEL_BOUND);
    site.frozen_entries[0] = false;
    site.run(RUN * 3);
    assert_eq!(starts_after(&site, answered_at), 0);
    assert_eq!(site.state(customer), Some(Phase::Cancelled));
}
