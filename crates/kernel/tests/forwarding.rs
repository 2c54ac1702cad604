//! Jobs that a weak entry forwards, while forwarder, owner, sides and the connections
//! between them fail.

mod site;

use kernel::{
    dispatch::{Answer, Phase, Reason},
    mutation::{self, Mutant},
};
use site::{Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(3);
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Time after which an owner drops jobs without contact: 0.40 of the resubmission time.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(520);
/// A tick of each of two processes, the order to stop, and the upstream's stop.
const REACTION: Duration = Duration::from_millis(120);

/// The weak entry of [`uneven`].
const WEAK: usize = 2;

/// Makes two strong entries and a weak one.
fn uneven(sides: usize) -> Site {
    Site::with_processors(&[1_000, 1_000, 120], sides)
}

fn with_run_time(mut site: Site, run: Duration) -> Site {
    for stub in &mut site.upstreams {
        stub.run_time = run;
    }
    site
}

fn running(site: &Site) -> usize {
    let running = site.upstreams.iter().map(|stub| stub.running().count());
    running.sum()
}

fn starts(site: &Site) -> usize {
    site.upstreams.iter().map(|stub| stub.starts.len()).sum()
}

/// Returns the strong entry that owns a job.
fn owner(site: &Site) -> usize {
    let owns = |index: &usize| {
        let entry = site.entries[*index].as_ref();
        entry.is_some_and(|entry| entry.open_jobs() > 0)
    };
    (0..2).find(owns).expect("a strong entry owns the job")
}

fn answer(site: &Site, customer: u64) -> Option<&Answer> {
    site.answers.get(&customer).map(|(_, answer)| answer)
}

/// Guards against a weak entry that serves jobs itself, or answers twice.
#[test]
fn forwarded_and_answered_once() {
    let mut site = uneven(3);
    assert!(site.entries[WEAK].as_ref().unwrap().is_weak());
    assert!(site.entries[WEAK].as_ref().unwrap().is_ready());
    let customers: Vec<u64> = (1..20)
        .map(|id| site.submit(WEAK, job(id, 2, 1_000, RUN)))
        .collect();
    site.run(Duration::from_secs(3));
    for customer in customers {
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
    assert_eq!(starts(&site), 38, "every task runs once");
    let weak = site.entries[WEAK].as_ref().unwrap();
    assert_eq!(weak.stats().forwarded, 19);
    assert_eq!((weak.stats().accepted, weak.open_forwards()), (0, 0));
    let both = (0..2).all(|index| site.entries[index].as_ref().unwrap().stats().taken_over > 2);
    assert!(both, "both strong entries get jobs");
}

/// Guards against sides that report to weak entries.
#[test]
fn weak_entry_without_sides() {
    let site = uneven(4);
    let weak = site.entries[WEAK].as_ref().unwrap();
    assert_eq!(weak.sides(site.now), (0, 0));
}

/// Guards against any change where processors are equal or not stated.
#[test]
fn equal_entries_forward_nothing() {
    for processors in [[0, 0, 0], [500, 500, 500], [1_000, 400, 0]] {
        let mut site = Site::with_processors(&processors, 3);
        for entry in 0..3 {
            assert!(!site.entries[entry].as_ref().unwrap().is_weak());
            let id = 1 + entry as u64;
            let customer = site.submit(entry, job(id, 2, 1_000, RUN));
            site.run(Duration::from_millis(300));
            assert_eq!(site.state(customer), Some(Phase::Completed));
        }
        assert_eq!(site.forwarded(), 0);
    }
}

/// Guards against a job that waits for a lost owner, and against the owner's runs
/// going on when the customer resubmits the job.
#[test]
fn owner_dies() {
    for observed in [true, false] {
        let mut site = with_run_time(uneven(3), LONG);
        let customer = site.submit(WEAK, job(1, 6, 1_000, LONG));
        site.run(Duration::from_millis(50));
        assert_eq!(running(&site), 6);
        site.kill_entry(owner(&site), observed);
        site.run(if observed {
            Duration::from_millis(20)
        } else {
            FORWARD_TIMEOUT + REACTION
        });
        assert_eq!(answer(&site, customer), Some(&Answer::Unknown));
        site.run(RESUBMIT_AFTER);
        assert_eq!(
            running(&site),
            0,
            "its runs end before the job is resubmitted"
        );
        let again = site.submit(WEAK, job(1, 6, 1_000, LONG));
        site.run(Duration::from_secs(4));
        assert_eq!(site.state(again), Some(Phase::Completed));
    }
}

/// Guards against two runs of a task when the forwarder dies and the customer
/// resubmits the job at another entry.
#[test]
fn forwarder_dies() {
    for observed in [true, false] {
        let mut site = with_run_time(uneven(3), LONG);
        site.submit(WEAK, job(1, 6, 1_000, LONG));
        site.run(Duration::from_millis(50));
        let former = owner(&site);
        site.kill_entry(WEAK, observed);
        site.run(FORWARD_TIMEOUT + REACTION);
        assert_eq!(running(&site), 0, "the owner stops the runs");
        let stats = site.entries[former].as_ref().unwrap().stats();
        assert_eq!(stats.forwarder_lost, 1);
        site.run(RESUBMIT_AFTER.saturating_sub(FORWARD_TIMEOUT + REACTION));
        let again = site.submit(1 - former, job(1, 6, 1_000, LONG));
        site.run(Duration::from_secs(4));
        assert_eq!(site.state(again), Some(Phase::Completed));
    }
}

/// Guards against runs that outlive the resubmission when the owner dies just before
/// it would have dropped the jobs of a lost forwarder.
#[test]
fn forwarder_then_owner_die() {
    let mut site = with_run_time(uneven(3), LONG);
    site.submit(WEAK, job(1, 6, 1_000, LONG));
    site.run(Duration::from_millis(50));
    let former = owner(&site);
    site.kill_entry(WEAK, false);
    site.run(FORWARD_TIMEOUT.saturating_sub(Duration::from_millis(20)));
    site.kill_entry(former, false);
    site.run(RESUBMIT_AFTER.saturating_sub(FORWARD_TIMEOUT) + Duration::from_millis(20));
    assert_eq!(running(&site), 0);
    let again = site.submit(1 - former, job(1, 6, 1_000, LONG));
    site.run(Duration::from_secs(4));
    assert_eq!(site.state(again), Some(Phase::Completed));
}

/// Guards against a connection that is silent in one direction: each end must stop
/// waiting, and the job must not run on.
#[test]
fn one_way_silence() {
    for to_owner in [true, false] {
        let mut site = with_run_time(uneven(3), LONG);
        let customer = site.submit(WEAK, job(1, 6, 1_000, LONG));
        site.run(Duration::from_millis(50));
        let former = owner(&site);
        let (from, to) = if to_owner {
            (WEAK, former)
        } else {
            (former, WEAK)
        };
        site.cut_entries(from, to, true);
        site.run(FORWARD_TIMEOUT + REACTION + Duration::from_millis(200));
        assert_eq!(answer(&site, customer), Some(&Answer::Unknown));
        assert_eq!(running(&site), 0);
        site.cut_entries(from, to, false);
        site.run(RESUBMIT_AFTER);
        let again = site.submit(WEAK, job(1, 6, 1_000, LONG));
        site.run(Duration::from_secs(4));
        assert_eq!(site.state(again), Some(Phase::Completed));
    }
}

/// Guards against a job that starts long after its forwarder has given it up, since
/// its frame was held up.
fn delayed_forward() {
    let mut site = with_run_time(Site::with_processors(&[1_000, 120], 3), LONG);
    site.cut_entries(1, 0, true);
    let customer = site.submit(1, job(1, 6, 1_000, LONG));
    site.run(Duration::from_millis(700));
    site.cut_entries(1, 0, false);
    site.run(Duration::from_millis(100));
    assert_eq!(starts(&site), 0, "the owner refuses the stale frame");
    let refused = matches!(
        answer(&site, customer),
        Some(Answer::Refused {
            reason: Reason::Stale,
            ..
        })
    );
    assert!(refused, "{:?}", answer(&site, customer));
}

#[test]
fn forward_delayed() {
    delayed_forward();
}

/// Guards against an owner that starts tasks after a pause, before it has noticed
/// that their forwarder is gone.
#[test]
fn owner_paused() {
    for pause in [200, 400, 600, 1_000, 2_000] {
        let mut site = with_run_time(uneven(2), LONG);
        // More tasks than fit: the rest would start when runs end or sides claim.
        let customer = site.submit(WEAK, job(1, 12, 1_000, LONG));
        site.run(Duration::from_millis(50));
        let former = owner(&site);
        site.frozen_entries[former] = true;
        site.run(Duration::from_millis(pause));
        let before = starts(&site);
        site.frozen_entries[former] = false;
        site.run(Duration::from_millis(5));
        if pause > 600 {
            assert_eq!(starts(&site), before, "no task starts after the pause");
        }
        site.run(Duration::from_secs(12));
        assert!(answer(&site, customer).is_some(), "after {pause} ms");
    }
}

/// Guards against a forwarder that gives up its jobs after a pause although their
/// replies have arrived meanwhile.
#[test]
fn forwarder_paused() {
    let mut site = uneven(3);
    let customer = site.submit(WEAK, job(1, 2, 1_000, RUN));
    site.run(Duration::from_millis(20));
    site.frozen_entries[WEAK] = true;
    site.run(Duration::from_millis(800));
    site.frozen_entries[WEAK] = false;
    site.run(Duration::from_millis(50));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against forwards that are never answered when frames are lost with a
/// connection that is replaced.
#[test]
fn connection_replaced() {
    for noticed in [[true, true], [true, false], [false, true]] {
        for delay in [0, 1, 3, 30, 101, 130] {
            let mut site = uneven(3);
            let customer = site.submit(WEAK, job(1, 2, 1_000, RUN));
            site.run(Duration::from_millis(delay));
            for strong in 0..2 {
                site.break_entries(strong, WEAK, noticed);
            }
            site.run(Duration::from_secs(2));
            let answered = answer(&site, customer);
            assert!(
                matches!(
                    answered,
                    Some(Answer::Unknown | Answer::State(Phase::Completed))
                ),
                "{noticed:?} after {delay} ms: {answered:?}"
            );
            assert_eq!(site.entries[WEAK].as_ref().unwrap().open_forwards(), 0);
            let next = site.submit(WEAK, job(2, 2, 1_000, RUN));
            site.run(Duration::from_millis(400));
            assert_eq!(site.state(next), Some(Phase::Completed));
        }
    }
}

/// Guards against runs for a customer that has gone.
#[test]
fn customer_disconnects() {
    let mut site = with_run_time(uneven(3), LONG);
    let customer = site.submit(WEAK, job(1, 6, 1_000, LONG));
    site.run(Duration::from_millis(50));
    let now = site.now;
    site.entries[WEAK]
        .as_mut()
        .unwrap()
        .remove_customer(now, 1, customer);
    site.run(REACTION);
    assert_eq!(running(&site), 0);
    assert!(answer(&site, customer).is_none());
}

/// Guards against a job that runs at two owners because its customer has submitted
/// it again before the entry has noticed that the first connection broke.
#[test]
fn submitted_twice() {
    let mut site = with_run_time(uneven(3), RUN * 5);
    let customers: Vec<u64> = (0..6)
        .map(|_| {
            site.run(Duration::from_millis(10));
            site.submit(WEAK, job(1, 2, 1_000, RUN * 5))
        })
        .collect();
    site.run(Duration::from_secs(1));
    for customer in customers {
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
    assert_eq!(starts(&site), 2);
}

/// Guards against a second run of a job that has ended at the entry to which it is
/// forwarded.
#[test]
fn ended_job_forwarded() {
    let mut site = Site::with_processors(&[1_000, 120], 2);
    let first = site.submit(0, job(1, 2, 1_000, RUN));
    site.run(Duration::from_millis(300));
    let second = site.submit(1, job(1, 2, 1_000, RUN));
    site.run(Duration::from_millis(50));
    assert_eq!(site.state(first), Some(Phase::Completed));
    assert_eq!(site.state(second), Some(Phase::Completed));
    assert_eq!(starts(&site), 2);
}

/// Guards against a leaving owner that takes jobs that it can't end, and against one
/// that leaves those it has.
#[test]
fn owner_leaves() {
    let mut site = with_run_time(uneven(3), RUN * 5);
    let first = site.submit(WEAK, job(1, 2, 1_000, RUN * 5));
    site.run(Duration::from_millis(50));
    let former = owner(&site);
    let now = site.now;
    let leaving = site.entries[former].as_mut().unwrap();
    leaving.leave(now + Duration::from_millis(600));
    // Sent before the weak entry knows.
    let second = site.submit(WEAK, job(2, 2, 1_000, RUN * 5));
    site.run(Duration::from_millis(50));
    let third = site.submit(WEAK, job(3, 2, 1_000, RUN * 5));
    site.run(Duration::from_secs(1));
    for customer in [first, second, third] {
        assert_eq!(site.state(customer), Some(Phase::Completed));
    }
    let owned = site.entries[former].as_ref().unwrap().stats().accepted;
    assert_eq!(owned, 1);
}

/// Guards against a leaving weak entry that exits with open forwards, or forwards
/// jobs whose replies would come too late.
#[test]
fn forwarder_leaves() {
    let mut site = with_run_time(uneven(3), LONG);
    let open = site.submit(WEAK, job(1, 2, 1_000, LONG));
    site.run(Duration::from_millis(50));
    let now = site.now;
    let weak = site.entries[WEAK].as_mut().unwrap();
    weak.leave(now + Duration::from_millis(500));
    let late = site.submit(WEAK, job(2, 2, 1_000, LONG));
    site.run(Duration::from_millis(50));
    let refused = matches!(
        answer(&site, late),
        Some(Answer::Refused {
            reason: Reason::Leaving,
            ..
        })
    );
    assert!(refused, "{:?}", answer(&site, late));
    let now = site.now;
    let weak = site.entries[WEAK].as_mut().unwrap();
    weak.give_up_all(now);
    assert_eq!(weak.open_forwards(), 0);
    site.run(REACTION);
    assert_eq!(answer(&site, open), Some(&Answer::Unknown));
    assert_eq!(running(&site), 0, "the owner is told");
}

/// Guards against a site that serves nothing once its strong entries are lost: sides
/// connect to the weak one after a second.
#[test]
fn no_strong_entry() {
    let mut site = uneven(3);
    site.kill_entry(0, true);
    site.kill_entry(1, true);
    site.run(Duration::from_millis(300));
    let early = site.submit(WEAK, job(1, 2, 1_000, RUN));
    site.run(Duration::from_millis(300));
    assert!(
        matches!(answer(&site, early), Some(Answer::Refused { .. })),
        "refused while no side is connected"
    );
    site.run(Duration::from_millis(800));
    let customer = site.submit(WEAK, job(2, 2, 1_000, RUN));
    site.run(Duration::from_millis(300));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert!(site.entries[WEAK].as_ref().unwrap().is_ready());
    // A strong entry returns: the weak one forwards again, and its sides leave it.
    site.start_entry(0);
    site.run(Duration::from_secs(1));
    let before = site.forwarded();
    let customer = site.submit(WEAK, job(3, 2, 1_000, RUN));
    site.run(Duration::from_millis(300));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.forwarded(), before + 1);
    site.run(Duration::from_secs(12));
    let weak = site.entries[WEAK].as_ref().unwrap();
    assert_eq!(weak.sides(site.now), (0, 0));
}

/// Guards against refusals while a weak entry starts and its peers connect.
#[test]
fn forwarder_starts() {
    let mut site = uneven(3);
    site.kill_entry(WEAK, true);
    site.run(Duration::from_millis(200));
    site.start_entry(WEAK);
    let customer = site.submit(WEAK, job(1, 2, 1_000, RUN));
    site.run(Duration::from_millis(800));
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.forwarded(), 1);
}

/// Guards against jobs whose waiting time counts from their arrival at the owner.
#[test]
fn waiting_time_counts_from_arrival() {
    let mut site = uneven(3);
    site.kill_entry(WEAK, true);
    site.run(Duration::from_millis(200));
    site.start_entry(WEAK);
    for stub in &mut site.upstreams {
        stub.run_time = LONG;
    }
    let mut submission = job(1, 2, 1_000, RUN);
    submission.patience = Duration::from_millis(900);
    let submitted_at = site.now;
    let customer = site.submit(WEAK, submission);
    site.run(Duration::from_secs(2));
    let (at, answer) = &site.answers[&customer];
    assert_eq!(*answer, Answer::Expired);
    let waited = at.saturating_sub(submitted_at);
    assert!(
        waited.abs_diff(Duration::from_millis(900)) <= Duration::from_millis(30),
        "{waited:?}"
    );
}

/// Each seeded fault must make a test fail.
#[test]
fn seeded_bugs_found() {
    let directed: [(Mutant, &dyn Fn()); 3] = [
        (Mutant::ForwardedTwice, &owner_dies),
        (Mutant::KeptForward, &forwarder_dies),
        (Mutant::StaleForward, &delayed_forward),
    ];
    let mut missed = Vec::new();
    for (mutant, test) in directed {
        mutation::seed(Some(mutant));
        if std::panic::catch_unwind(std::panic::AssertUnwindSafe(test)).is_ok() {
            missed.push(mutant);
        }
    }
    mutation::seed(None);
    assert!(missed.is_empty(), "not found: {missed:?}");
}
