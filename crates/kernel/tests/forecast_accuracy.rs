//! Forecasts of waits and refusals, compared with what happened.
//!
//! Guards against counts that do not tell a wrong decision from a right one: under
//! overload, with hosts that become free early, and with inputs that make no sense.

mod site;

use kernel::accuracy::{
    Accuracy, Counts, Level, Outcome,
    watch::{Host, Refusal},
};
use site::{PATH, SERVICE, Site, job};
use std::time::Duration;
use wire::lease::Need;

const RUN: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_millis(900);
const STEP: Duration = Duration::from_millis(50);
const NOW: Duration = Duration::from_secs(1_000);

fn counts(site: &Site, queue: &str) -> Counts {
    let accuracy = site.entries[0].as_ref().unwrap().accuracy();
    let found = accuracy.queues().find(|(name, _)| *name == queue);
    found.map(|(_, tally)| tally.counts()).unwrap_or_default()
}

/// Jobs that take a quarter of the hosts.
#[test]
fn quiet() {
    let mut site = Site::new(1, 1);
    for id in 1..=20 {
        site.submit(0, job(id, 2, 1_000, RUN));
        site.run(RUN * 2);
    }
    let expected = Counts {
        admitted: 20,
        ..Counts::default()
    };
    assert_eq!(counts(&site, "quick"), expected);
}

/// Urgent jobs fill the hosts without a pause, so no less urgent one could be served.
#[test]
fn full_hosts() {
    let mut site = Site::new(1, 1);
    for id in 1..=100 {
        site.submit(0, job(1_000 + id, 4, 1_000, RUN));
        if id == 20 {
            site.submit_to(0, "/slow/", job(7, 4, 1_000, LONG));
        }
        site.run(RUN);
    }
    let slow = counts(&site, "slow");
    assert_eq!((slow.refused, slow.judged, slow.wrong_refusals), (1, 1, 0));
}

/// The stream of urgent jobs ends right after a job was refused because of it.
#[test]
fn burst_ends() {
    let mut site = Site::new(1, 1);
    for id in 1..=20 {
        site.submit(0, job(1_000 + id, 4, 1_000, RUN));
        site.run(RUN);
    }
    site.submit_to(0, "/slow/", job(7, 4, 1_000, LONG));
    site.run(LONG * 5);
    let slow = counts(&site, "slow");
    assert_eq!((slow.refused, slow.judged, slow.wrong_refusals), (1, 1, 1));
}

/// Jobs are admitted to hosts on which runs take three times their estimate.
#[test]
fn slow_hosts() {
    let mut site = Site::new(1, 1);
    site.upstreams[0].run_time = RUN * 3;
    for id in 1..=3 {
        site.submit(0, job(id, 4, 1_000, RUN));
        site.run(Duration::from_millis(1));
    }
    site.run(LONG * 10);
    let quick = counts(&site, "quick");
    assert_eq!((quick.admitted, quick.wrong_admissions), (3, 2));
    assert!(quick.later > 0, "{quick:?}");
}

/// Refuses a job that one core could run in half of the time left.
fn refuse(accuracy: &mut Accuracy, job: u64, edit: impl FnOnce(&mut Refusal)) {
    let mut refusal = Refusal {
        job,
        service: SERVICE.to_owned(),
        label: None,
        need: Need {
            cpu: 1_000,
            memory: 64,
            accelerators: 0,
        },
        work: 100.0,
        run_time: RUN,
        useful_until: NOW + RUN * 2,
    };
    edit(&mut refusal);
    accuracy.record_refusal(NOW, "quick", refusal);
}

/// Returns the numbers of judged and of wrong refusals after half a second with this
/// free processor on one host, in thousandths of a core.
fn judge(accuracy: &mut Accuracy, cpu: u32) -> (u64, u64) {
    let host = Host {
        service: SERVICE,
        labels: &[],
        room: Need {
            cpu,
            memory: 8_192,
            accelerators: 0,
        },
        speed: 1.0,
    };
    for step in 1..=10 {
        accuracy.judge(NOW + STEP * step, &[host]);
    }
    let (_, tally) = accuracy.queues().next().expect("a job was refused");
    (tally.judged, tally.wrong_refusals)
}

/// A burst of refusals while one core is free for as long as two of ten would need.
#[test]
fn shared_room() {
    let mut accuracy = Accuracy::default();
    for id in 1..=10 {
        refuse(&mut accuracy, id, |_| ());
    }
    assert_eq!(judge(&mut accuracy, 1_999), (10, 2));
}

/// Rests of hosts that are smaller than a task.
#[test]
fn rests_of_hosts() {
    let mut accuracy = Accuracy::default();
    refuse(&mut accuracy, 1, |_| ());
    assert_eq!(judge(&mut accuracy, 999), (1, 0));
}

/// A job that takes longer than its answer is of use, on empty hosts.
#[test]
fn too_long_to_serve() {
    let mut accuracy = Accuracy::default();
    refuse(&mut accuracy, 1, |refusal| refusal.run_time = RUN * 3);
    assert_eq!(judge(&mut accuracy, 32_000), (1, 0));
}

/// A flood of refusals of one queue.
#[test]
fn bounded_watch() {
    let mut accuracy = Accuracy::default();
    for id in 0..10_000 {
        refuse(&mut accuracy, id, |_| ());
    }
    let (judged, _) = judge(&mut accuracy, 0);
    assert!((1..=64).contains(&judged), "{judged} jobs were watched");
}

/// Estimates that are zero, infinite or no numbers.
#[test]
fn absurd_estimates() {
    let mut accuracy = Accuracy::default();
    refuse(&mut accuracy, 1, |refusal| refusal.work = 0.0);
    refuse(&mut accuracy, 2, |refusal| refusal.work = f64::NAN);
    refuse(&mut accuracy, 3, |refusal| refusal.work = f64::INFINITY);
    refuse(&mut accuracy, 4, |refusal| {
        refusal.run_time = Duration::ZERO;
    });
    refuse(&mut accuracy, 5, |refusal| refusal.need = Need::default());
    assert_eq!(judge(&mut accuracy, 32_000), (0, 0));
    refuse(&mut accuracy, 6, |refusal| {
        refusal.run_time = Duration::MAX;
        refusal.useful_until = Duration::MAX;
    });
    assert_eq!(judge(&mut accuracy, 32_000), (0, 0));
}

/// A pause of the process, and a clock that is set back, while a job is watched.
#[test]
fn paused_watch() {
    for after in [NOW + LONG, NOW.saturating_sub(LONG)] {
        let mut accuracy = Accuracy::default();
        refuse(&mut accuracy, 1, |_| ());
        accuracy.judge(after, &[]);
        assert_eq!(judge(&mut accuracy, 32_000), (0, 0));
    }
}

/// Forecasts without an end, a clock that jumps before the start or the end of a job,
/// and jobs and queues that nobody has seen.
#[test]
fn absurd_outcomes() {
    let mut accuracy = Accuracy::default();
    let (level, deadline) = (Level::Priority, NOW + LONG);
    let before = NOW.saturating_sub(RUN);
    let mut settle = |id, forecast, started: Duration, ended: Duration| {
        accuracy.record_admission(NOW, id, level, forecast, deadline);
        accuracy.record_start(started, id);
        accuracy.settle(ended, id, "quick", true, Outcome::InTime)
    };
    let error = |settled: Option<kernel::accuracy::Settlement>| {
        settled.and_then(|settlement| settlement.error_ms())
    };
    assert_eq!(error(settle(1, Duration::MAX, NOW, NOW)), Some(i32::MIN));
    assert_eq!(error(settle(2, RUN, NOW + RUN * 3, NOW + LONG)), Some(200));
    assert_eq!(error(settle(3, RUN, before, NOW + LONG)), None);
    assert_eq!(error(settle(4, RUN, NOW + LONG * 2, NOW + LONG * 2)), None);
    assert_eq!(settle(5, RUN, NOW, before), None);
    accuracy.record_start(NOW, 99);
    let unknown = accuracy.settle(NOW, 99, "unseen", true, Outcome::Missed);
    assert_eq!(unknown, None);
    let (queue, tally) = accuracy.queues().next().unwrap();
    assert_eq!((queue, tally.counts().admitted), ("quick", 4));
    assert_eq!(accuracy.queues().count(), 1);
}

/// Rules that replace all queues again and again.
#[test]
fn many_queues() {
    let mut accuracy = Accuracy::default();
    for id in 0..5_000_u32 {
        let now = NOW + STEP * id;
        accuracy.record_admission(now, id.into(), Level::Priority, RUN, now);
        accuracy.settle(now, id.into(), &format!("q{id}"), true, Outcome::InTime);
    }
    assert!(accuracy.queues().count() <= 1_024);
    assert!(accuracy.queues().any(|(queue, _)| queue == "q4999"));
}

/// Reports of several entries can be added up.
#[test]
fn reported_changes() {
    let mut accuracy = Accuracy::default();
    let mut reported = 0;
    for id in 0..400_u32 {
        let now = NOW + STEP * id;
        accuracy.record_admission(now, id.into(), Level::Late, RUN, now);
        accuracy.settle(now, id.into(), PATH, true, Outcome::Missed);
        reported += accuracy
            .take_report(now)
            .map_or(0, |(_, counts)| counts.admitted);
    }
    let end = NOW + STEP * 400 + LONG * 10;
    let (_, rest) = accuracy.take_report(end).expect("there are changes");
    assert_eq!((reported + rest.admitted, rest.wrong_admissions), (400, 0));
    assert_eq!(accuracy.take_report(end + LONG * 10), None);
}
