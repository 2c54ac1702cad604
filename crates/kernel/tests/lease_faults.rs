//! Leased jobs while entries, sides, upstreams and connections fail.

mod site;

use kernel::dispatch::Phase;
use site::{
    Site, job, rules,
    upstream::{Fault, Holds},
};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);

#[test]
fn lost_entry_resubmission() {
    for observed in [true, false] {
        let mut site = Site::new(2, 3);
        for stub in &mut site.upstreams {
            stub.run_time = Duration::from_secs(3);
        }
        site.submit(0, job(1, 6, 1_000, Duration::from_secs(3)));
        site.run(Duration::from_millis(50));
        site.kill_entry(0, observed);
        site.run(RESUBMIT_AFTER);
        let running: usize = site
            .upstreams
            .iter()
            .map(|stub| stub.running().count())
            .sum();
        assert_eq!(running, 0, "its runs end before the job is resubmitted");
        let resubmitted = site.submit(1, job(1, 6, 1_000, Duration::from_secs(3)));
        site.run(Duration::from_secs(4));
        assert_eq!(site.state(resubmitted), Some(Phase::Completed));
    }
}

#[test]
fn lost_entry_and_frozen_side() {
    // The side freezes just after it has renewed the leases of runs whose entry is
    // lost.
    let mut site = Site::new(2, 3);
    for stub in &mut site.upstreams {
        stub.run_time = Duration::from_secs(3);
    }
    site.submit(0, job(1, 6, 1_000, Duration::from_secs(3)));
    site.run(Duration::from_millis(50));
    site.kill_entry(0, false);
    site.run(Duration::from_millis(600));
    site.frozen_sides = vec![true, false, false];
    site.run(RESUBMIT_AFTER.saturating_sub(Duration::from_millis(600)));
    let running: usize = site
        .upstreams
        .iter()
        .map(|stub| stub.running().count())
        .sum();
    assert_eq!(running, 0);
}

#[test]
fn partitioned_side_replaced() {
    let mut site = Site::new(1, 2);
    let customer = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(20));
    site.cut(0, 0, true);
    site.run(Duration::from_secs(3));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    site.cut(0, 0, false);
    site.run(Duration::from_secs(1));
    let next = site.submit(0, job(2, 8, 1_000, RUN));
    site.run(Duration::from_millis(200));
    assert_eq!(
        site.state(next),
        Some(Phase::Completed),
        "the side is used again"
    );
}

#[test]
fn frozen_side_resumes() {
    let mut site = Site::new(1, 2);
    let customer = site.submit(0, job(1, 8, 1_000, RUN));
    site.run(Duration::from_millis(20));
    site.frozen_sides[0] = true;
    site.run(Duration::from_secs(4));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    site.frozen_sides[0] = false;
    site.run(Duration::from_secs(1));
    let next = site.submit(0, job(2, 8, 1_000, RUN));
    site.run(Duration::from_millis(200));
    assert_eq!(site.state(next), Some(Phase::Completed));
}

#[test]
fn side_restarts() {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = Duration::from_millis(800);
    }
    let customer = site.submit(0, job(1, 8, 1_000, Duration::from_millis(800)));
    site.run(Duration::from_millis(50));
    site.kill_side(0);
    site.run(Duration::from_millis(100));
    site.start_side(0);
    site.run(Duration::from_secs(3));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

#[test]
fn upstream_crashes() {
    let mut site = Site::new(1, 2);
    let customer = site.submit(0, job(1, 8, 1_000, RUN));
    site.run(Duration::from_millis(30));
    let now = site.now;
    site.upstreams[0].set_alive(now, false);
    site.run(Duration::from_millis(300));
    let now = site.now;
    site.upstreams[0].set_alive(now, true);
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    let next = site.submit(0, job(2, 8, 1_000, RUN));
    site.run(Duration::from_millis(200));
    assert_eq!(
        site.state(next),
        Some(Phase::Completed),
        "the host is used again"
    );
}

#[test]
fn delayed_orders() {
    let mut site = Site::new(1, 2);
    site.upstreams[0].order_delay = Some(Duration::from_secs(2));
    let customer = site.submit(0, job(1, 6, 1_000, RUN));
    site.run(Duration::from_millis(150));
    site.upstreams[0].order_delay = None;
    site.run(Duration::from_secs(4));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    let late_starts = site.upstreams[0]
        .starts
        .iter()
        .filter(|(_, run)| run.task.job == 1)
        .count();
    let total: usize = site.upstreams.iter().map(|stub| stub.starts.len()).sum();
    assert!(
        total >= 6 && late_starts <= 6,
        "every task ran, and the delayed host started none twice"
    );
}

#[test]
fn failing_upstream_ejected() {
    let mut site = Site::new(1, 4);
    site.upstreams[0].fault = Fault::Failing;
    let mut done = 0;
    for id in 0..30 {
        let customer = site.submit(0, job(id, 2, 1_000, RUN));
        site.run(Duration::from_millis(250));
        done += u32::from(site.state(customer) == Some(Phase::Completed));
    }
    assert_eq!(done, 30, "no job fails because of the faulty upstream");
    let tried = site.upstreams[0].starts.len();
    assert!(
        tried <= 10,
        "an ejected upstream gets only probe runs: {tried}"
    );
    site.upstreams[0].fault = Fault::None;
    site.run(Duration::from_secs(2));
    for id in 100..110 {
        site.submit(0, job(id, 12, 1_000, RUN));
        site.run(Duration::from_millis(250));
    }
    assert!(
        site.upstreams[0].starts.len() > tried + 10,
        "the recovered upstream is used again"
    );
}

#[test]
fn stalled_runs_moved() {
    let mut site = Site::new(1, 3);
    site.upstreams[0].fault = Fault::Stalled;
    let customer = site.submit(0, job(1, 6, 1_000, RUN));
    site.run(Duration::from_secs(2));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

#[test]
fn impossible_job() {
    let mut site = Site::new(1, 4);
    for stub in &mut site.upstreams {
        stub.fault = Fault::Failing;
    }
    let customer = site.submit(0, job(1, 1, 1_000, RUN));
    site.run(Duration::from_secs(2));
    assert_eq!(site.state(customer), Some(Phase::Failed));
    let starts: usize = site.upstreams.iter().map(|stub| stub.starts.len()).sum();
    assert_eq!(starts, 3, "the queue allows three failed runs");
}

#[test]
fn domain_out() {
    let mut site = Site::new(1, 3);
    let adopt = |site: &mut Site, rules| {
        let now = site.now;
        let entry = site.entries[0].as_mut().unwrap();
        entry.adopt(now, &rules, None)
    };
    adopt(&mut site, rules(2, &["d1"]));
    for id in 0..6 {
        site.submit(0, job(id, 8, 1_000, RUN));
        site.run(Duration::from_millis(250));
    }
    assert!(
        site.upstreams[1].starts.is_empty(),
        "no task starts in the domain"
    );
    let taken = adopt(&mut site, rules(1, &[]));
    assert!(!taken, "older rules are refused");
    adopt(&mut site, rules(3, &[]));
    site.submit(0, job(100, 12, 1_000, RUN));
    site.run(Duration::from_millis(250));
    assert!(
        !site.upstreams[1].starts.is_empty(),
        "the domain is used again"
    );
}

#[test]
fn upstream_leaves() {
    let mut site = Site::new(1, 2);
    site.upstreams[0].leaving = true;
    site.run(Duration::from_secs(1));
    let customer = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_millis(250));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert!(site.upstreams[0].starts.is_empty());
}

/// Guards against long delays of short tasks after a lost answer to a start
/// order: the order is repeated soon. In scale-2 of folia-cluj-grown two in five
/// short jobs of eight tasks lost an answer.
#[test]
fn unanswered_order_repeated() {
    let mut site = Site::new(1, 2);
    site.upstreams[0].order_delay = Some(Duration::from_secs(2));
    site.upstreams[1].order_delay = Some(Duration::from_secs(2));
    let customer = site.submit(0, job(1, 1, 1_000, RUN));
    let start = site.now;
    site.run(Duration::from_millis(50));
    site.upstreams[0].order_delay = None;
    site.upstreams[1].order_delay = None;
    site.run(Duration::from_secs(4));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    let (at, _) = site.answers[&customer];
    let took = at.saturating_sub(start);
    assert!(took < Duration::from_millis(200), "it took {took:?}");
    let starts: usize = site.upstreams.iter().map(|stub| stub.starts.len()).sum();
    assert_eq!(starts, 1, "the delayed order starts no second run");
}

#[test]
fn few_unanswered_orders() {
    // Occasional lost answers at all upstreams eject none of them.
    let mut site = Site::new(1, 4);
    for id in 0..30 {
        for stub in &mut site.upstreams {
            stub.order_delay = (id % 3 == 0).then(|| Duration::from_secs(2));
        }
        site.submit(0, job(id, 4, 1_000, RUN));
        site.run(Duration::from_millis(8));
        for stub in &mut site.upstreams {
            stub.order_delay = None;
        }
        site.run(Duration::from_millis(400));
    }
    let events = site.entries[0].as_mut().unwrap().take_events();
    let ejections = events
        .iter()
        .filter(|event| matches!(event, kernel::event::Event::Ejected { .. }));
    assert_eq!(ejections.count(), 0);
}

/// Guards against a flood of connections to an upstream that resets them, since
/// each call opens a new one. In scale-2 of jkb-split-grown five upstreams that
/// restarted repeatedly received 18,751.
#[test]
fn reset_calls_limited() {
    let mut site = Site::new(1, 2);
    let before = site.upstreams[0].hold_calls;
    site.upstreams[0].holds = Holds::Reset;
    site.run(Duration::from_secs(2));
    let calls = site.upstreams[0].hold_calls - before;
    assert!(calls <= 2 * 25 + 2, "{calls} calls in two seconds");
    site.upstreams[0].holds = Holds::Answered;
    site.submit(0, job(1, 8, 1_000, RUN));
    site.run(Duration::from_secs(1));
    assert!(
        !site.upstreams[0].starts.is_empty(),
        "the upstream is used again"
    );
}
