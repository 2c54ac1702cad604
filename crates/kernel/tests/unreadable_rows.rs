//! Rows of an upstream's lists that cannot be decoded: the other rows are used, and
//! they prove the end of no run.

mod site;

use kernel::{
    dispatch::Phase,
    guard::{Inventory, UnreadableRow},
};
use site::{Site, job};
use std::time::Duration;

const LONG_RUN: Duration = Duration::from_secs(3);
/// Longer than any lease.
const PAST_LEASES: Duration = Duration::from_secs(2);

fn site_with(distort: fn(&mut Inventory), run_time: Duration) -> Site {
    let mut site = Site::new(1, 2);
    for stub in &mut site.upstreams {
        stub.run_time = run_time;
        stub.distort = distort;
    }
    site.run(PAST_LEASES);
    site
}

/// Runs the site and asserts that no task runs twice at a time.
fn run_checked(site: &mut Site, time: Duration) {
    let end = site.now + time;
    while site.now < end {
        site.run(Duration::from_millis(5));
        let running = site
            .upstreams
            .iter()
            .flat_map(site::upstream::Stub::running);
        let mut tasks: Vec<_> = running.map(|run| run.task).collect();
        tasks.sort();
        let count = tasks.len();
        tasks.dedup();
        assert_eq!(tasks.len(), count, "a task runs twice at {:?}", site.now);
    }
}

fn starts(site: &Site) -> usize {
    site.upstreams.iter().map(|stub| stub.starts.len()).sum()
}

/// Guards against leases that are not renewed beside an unreadable row.
#[test]
fn leases_renewed() {
    let add = |inventory: &mut Inventory| {
        inventory.unreadable.running.push(UnreadableRow::AnyTask);
        inventory.unreadable.ended.push(None);
    };
    let mut site = site_with(add, LONG_RUN);
    let customer = site.submit(0, job(1, 4, 1_000, LONG_RUN));
    run_checked(&mut site, LONG_RUN + Duration::from_millis(100));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(starts(&site), 4, "no run has lapsed");
}

/// Guards against the start of a task elsewhere while it runs in a row that cannot be
/// read, and against one that never ends.
#[test]
fn hidden_runs() {
    let hide_all = |inventory: &mut Inventory| {
        for _ in inventory.running.drain(..) {
            inventory.unreadable.running.push(UnreadableRow::AnyTask);
        }
    };
    let name_only = |inventory: &mut Inventory| {
        for listed in inventory.running.drain(..) {
            let row = UnreadableRow::Task(listed.run.task);
            inventory.unreadable.running.push(row);
        }
    };
    let distortions: [fn(&mut Inventory); 2] = [hide_all, name_only];
    for distort in distortions {
        let mut site = site_with(|_| {}, LONG_RUN);
        site.upstreams[0].distort = distort;
        let customer = site.submit(0, job(1, 2, 3_000, LONG_RUN));
        run_checked(&mut site, LONG_RUN * 3);
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
}

/// Guards against calls without a pause while an end cannot be acknowledged, and
/// against ends that are lost behind it.
#[test]
fn unreadable_ends() {
    let distortions: [fn(&mut Inventory); 3] = [
        |inventory| inventory.unreadable.ended.push(None),
        |inventory| inventory.unreadable.ended.push(Some(u64::MAX)),
        |inventory| {
            let is_odd = |end: &mut (u64, _, _)| end.0 % 4 == 1;
            let odd = inventory.unacknowledged.extract_if(.., is_odd);
            inventory
                .unreadable
                .ended
                .extend(odd.map(|(number, ..)| Some(number)));
        },
    ];
    for distort in distortions {
        let run = Duration::from_millis(100);
        let mut site = site_with(distort, run);
        for number in 1..4 {
            let customer = site.submit(0, job(number, 2, 1_000, run));
            run_checked(&mut site, PAST_LEASES * 2);
            assert_eq!(site.state(customer), Some(Phase::Completed), "job {number}");
        }
        site.upstreams[0].answers_at_once = true;
        site.upstreams[0].distort = |inventory| inventory.unreadable.ended.push(None);
        let before = site.upstreams[0].hold_calls;
        site.run(Duration::from_secs(1));
        assert!(site.upstreams[0].hold_calls - before <= 50);
    }
}
