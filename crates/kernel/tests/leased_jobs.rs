//! Leased jobs without faults: idle and loaded hosts, priorities, refusals,
//! disconnecting customers and an exiting entry.

mod site;

use kernel::dispatch::{Answer, Phase, Reason};
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);

#[test]
fn idle_hosts() {
    let mut site = Site::new(1, 3);
    let customer = site.submit(0, job(1, 8, 1_000, RUN));
    let start = site.now;
    site.run(Duration::from_millis(400));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    let (at, _) = site.answers[&customer];
    assert!(
        at.saturating_sub(start) < Duration::from_millis(130),
        "tasks on idle hosts start without a wait"
    );
    let starts: usize = site.upstreams.iter().map(|stub| stub.starts.len()).sum();
    assert_eq!(starts, 8, "each task starts once");
}

#[test]
fn full_hosts() {
    let mut site = Site::new(3, 3);
    // 60 tasks for 12 cores, from three entries that are not connected.
    let customers: Vec<u64> = (0..15)
        .map(|id| site.submit(usize::try_from(id % 3).unwrap(), job(id, 4, 1_000, RUN)))
        .collect();
    site.run(Duration::from_secs(2));
    for customer in customers {
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
    let last = site
        .upstreams
        .iter()
        .flat_map(|stub| &stub.starts)
        .map(|(at, _)| *at)
        .max();
    let first = site
        .upstreams
        .iter()
        .flat_map(|stub| &stub.starts)
        .map(|(at, _)| *at)
        .min();
    let elapsed = last.unwrap().saturating_sub(first.unwrap());
    assert!(
        elapsed < RUN * 5,
        "five rounds of tasks fill the hosts without idle time: {elapsed:?}"
    );
}

#[test]
fn urgent_job_first() {
    let mut site = Site::new(2, 3);
    for id in 0..12 {
        site.submit_to(0, "/slow/", job(id, 4, 1_000, RUN));
    }
    // All cores are occupied; the urgent job is submitted to the other entry.
    let urgent = site.submit(1, job(100, 4, 1_000, RUN));
    let start = site.now;
    site.run(Duration::from_secs(2));
    assert_eq!(site.state(urgent), Some(Phase::Completed));
    let (at, _) = site.answers[&urgent];
    assert!(
        at.saturating_sub(start) < RUN * 2 + RUN / 2,
        "the urgent job waits for one round of tasks only"
    );
}

#[test]
fn overload_refused() {
    let mut site = Site::new(1, 1);
    for id in 0..4 {
        site.submit(0, job(id, 16, 1_000, RUN));
    }
    // 64 tasks on 4 cores take 1.6 s; the objective is 220 ms.
    let excess = site.submit(0, job(100, 4, 1_000, RUN));
    let refused = |answer: &Answer| matches!(answer, Answer::Refused { reason: Reason::Overload, retry_after } if *retry_after >= Duration::from_secs(1));
    let (at, answer) = &site.answers[&excess];
    assert!(refused(answer), "{answer:?}");
    assert_eq!(*at, site.now, "the job is refused at once");
    site.run(Duration::from_secs(2));
    let ran = site.upstreams[0]
        .starts
        .iter()
        .any(|(_, run)| run.task.job == 100);
    assert!(!ran, "no task of a refused job starts");
}

#[test]
fn customer_disconnects() {
    let mut site = Site::new(1, 1);
    let customer = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(30));
    let now = site.now;
    site.entries[0]
        .as_mut()
        .unwrap()
        .remove_customer(now, 1, customer);
    site.run(Duration::from_millis(30));
    assert_eq!(
        site.upstreams[0].running().count(),
        0,
        "the runs of a job without customers are stopped"
    );
    let next = site.submit(0, job(2, 4, 1_000, RUN));
    site.run(Duration::from_millis(150));
    assert_eq!(
        site.state(next),
        Some(Phase::Completed),
        "the stopped runs have freed their resources"
    );
}

#[test]
fn resubmitted_job() {
    let mut site = Site::new(1, 2);
    let first = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(30));
    let second = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(200));
    let third = site.submit(0, job(1, 4, 1_000, RUN));
    for customer in [first, second, third] {
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
    let starts: usize = site.upstreams.iter().map(|stub| stub.starts.len()).sum();
    assert_eq!(starts, 4, "a resubmission starts no second run");
}

#[test]
fn several_runs_in_one_frame() {
    // Guards against a leak of free resources: the entry counted the runs that it
    // sent, the side the frames that it received.
    let mut site = Site::new(1, 1);
    for id in 0..20 {
        let customer = site.submit(0, job(id, 4, 1_000, RUN));
        site.run(Duration::from_millis(200));
        assert_eq!(site.state(customer), Some(Phase::Completed), "job {id}");
    }
}

#[test]
fn leaving_entry() {
    let mut site = Site::new(1, 3);
    let end = site.now + Duration::from_secs(2);
    site.entries[0].as_mut().unwrap().leave(end);
    let short = site.submit(0, job(1, 4, 1_000, RUN));
    let long = site.submit(0, job(2, 4, 1_000, RUN * 15));
    let refused = |answer: &Answer| {
        matches!(
            answer,
            Answer::Refused {
                reason: Reason::Leaving,
                ..
            }
        )
    };
    assert!(
        refused(&site.answers[&long].1),
        "the long job may run past the entry's exit"
    );
    site.run(Duration::from_millis(200));
    assert_eq!(
        site.state(short),
        Some(Phase::Completed),
        "the short job ends before the exit"
    );
}

#[test]
fn jobs_given_up_at_exit() {
    let mut site = Site::new(1, 1);
    let running = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(30));
    let waiting = site.submit(0, job(2, 4, 1_000, RUN));
    let now = site.now;
    site.entries[0].as_mut().unwrap().give_up_all(now);
    site.run(Duration::from_millis(60));
    assert_eq!(
        site.answers[&running].1,
        Answer::Expired,
        "tasks have started"
    );
    let refused = matches!(site.answers[&waiting].1, Answer::Refused { .. });
    assert!(refused, "no task of the waiting job has started");
    assert_eq!(site.upstreams[0].running().count(), 0);
}

/// Returns the share of tasks that ran on the rack of their data while hosts on
/// other racks were as idle.
fn share_on_rack(away: f64) -> f64 {
    let mut site = Site::new(1, 6);
    site.entries[0].as_mut().unwrap().set_remote_factor(away);
    for id in 0..30 {
        let mut job_on_rack = job(id, 1, 1_000, RUN);
        job_on_rack.steps[0].rack = Some("r1".to_owned());
        site.submit(0, job_on_rack);
        site.run(Duration::from_millis(150));
    }
    let starts = |sides: &[site::upstream::Stub]| -> f64 {
        sides
            .iter()
            .map(|stub| f64::from(u32::try_from(stub.starts.len()).unwrap()))
            .sum()
    };
    starts(&site.upstreams[3..]) / starts(&site.upstreams)
}

#[test]
fn data_locality() {
    assert!(share_on_rack(1.0) < 0.9, "remote data costs nothing");
    assert!(
        share_on_rack(2.0) > 0.99,
        "remote data doubles the run time"
    );
}
