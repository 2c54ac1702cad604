//! What a side takes as proof that a run is over, and as contact with its entry: answers
//! and connections of another time.

mod site;

use kernel::{
    guard::{Action, Admission, Guard, Inventory, Observation, UnreadableRows},
    mutation::{self, Mutant},
};
use site::{
    make::{announcement, timing},
    upstream::Stub,
};
use std::{panic::catch_unwind, time::Duration};
use wire::{
    id::Incarnation,
    lease::{Echo, Ending, Frame, Need, Run, Start, Task},
};

const T0: u64 = 1_000_000;
const ENTRY: Incarnation = Incarnation(77);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
fn task() -> Task {
    Task {
        job: 1,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}
fn inv(started_at: u64, clock: u64, running: &[Run]) -> Inventory {
    Inventory {
        started_at,
        clock,
        running: running
            .iter()
            .map(|r| Observation {
                run: *r,
                percent: 0,
            })
            .collect(),
        unacknowledged: vec![],
        unreadable: UnreadableRows::default(),
    }
}

/// Makes a guard that accepts tasks, to which an entry has connected at `T0 + 1`.
fn joined() -> Guard {
    let now = ms(T0);
    let stub = Stub::new(0);
    let mut g = Guard::new(timing(), now);
    let mut a = announcement(&stub, now);
    a.started_at = 1;
    a.clock = 5_000;
    g.announce(now, a);
    g.tick(now);
    // hold with the new token, then a list
    g.record_inventory(now, &inv(1, 5_000, &[]));
    g.record_inventory(now + ms(1), &inv(1, 5_001, &[]));
    g.join(now + ms(1), ENTRY);
    assert!(g.is_accepting(now + ms(1)), "accepting");
    g.take_actions();
    g
}

/// Makes a guard that has ordered a run, at `T0 + 2`.
fn ready() -> (Guard, Run) {
    let mut g = joined();
    let run = first_run();
    g.frame(ms(T0 + 1), ENTRY, echo(T0 + 1));
    g.frame(ms(T0 + 2), ENTRY, start(run, T0 + 1));
    (g, run)
}

fn first_run() -> Run {
    Run {
        task: task(),
        attempt: 1,
    }
}

/// Makes an echo that renews the entry's runs.
fn echo(clock: u64) -> Frame {
    Frame::Echo(Echo {
        renewed_at: clock,
        clock,
        acknowledged: 0,
        report_interval_ms: 0,
        availability: None,
    })
}

fn start(run: Run, clock: u64) -> Frame {
    Frame::Start(Start {
        clock,
        runs: vec![run],
        need: Need {
            cpu: 1000,
            memory: 64,
            accelerators: 0,
        },
        input: "input".into(),
        estimate: 4_000,
        usual: 0,
        trials: vec![],
    })
}

fn ends(actions: Vec<Action>) -> Vec<Ending> {
    actions
        .into_iter()
        .filter_map(|a| match a {
            Action::Send((_, Frame::Ends(e))) => {
                Some(e.ends.into_iter().map(|e| e.ending).collect::<Vec<_>>())
            }
            _ => None,
        })
        .flatten()
        .collect()
}

// A repeated order that was fenced counted as not run, though the process that fences it
// may have executed the first.
#[test]
fn fenced_repeat() {
    let (mut g, run) = ready();
    let t = T0 + 2;
    g.record_admission(ms(t + 44), run, Admission::Unanswered); // repeats
    let starts = g
        .take_actions()
        .into_iter()
        .filter(|a| matches!(a, Action::Start(_)))
        .count();
    assert_eq!(starts, 2, "order and its repetition");
    // the upstream has restarted; its first list precedes the first order there
    g.record_inventory(ms(t + 45), &inv(2, 40, &[]));
    g.take_actions();
    // the first order is executed there, then the call with the new token, then the second order
    g.record_admission(ms(t + 50), run, Admission::Fenced);
    let ended = ends(g.take_actions());
    assert!(ended.is_empty(), "counted as over: {ended:?}");
}

// The answer of an earlier process to a stop counted for the present one.
#[test]
fn stop_answer_of_earlier_process() {
    let (mut g, run) = ready();
    let t = T0 + 2;
    g.take_actions();
    g.frame(ms(t + 5), ENTRY, Frame::Stop(vec![run]));
    let token = g
        .take_actions()
        .into_iter()
        .find_map(|a| match a {
            Action::Stop { token, .. } => Some(token),
            _ => None,
        })
        .unwrap();
    g.record_inventory(ms(t + 20), &inv(2, 15, &[]));
    g.record_stop(run, token, 5_030); // answer of process 1, whose clock was 5,030
    g.take_actions();
    // the order has reached process 2
    let mut stops = 0;
    let mut renewed = 0;
    for i in 1..100u64 {
        let now = t + 20 + i * 20;
        g.frame(ms(now), ENTRY, echo(now - 5));
        g.record_inventory(ms(now), &inv(2, 15 + i * 20, &[run]));
        g.tick(ms(now));
        for a in g.take_actions() {
            match a {
                Action::Stop { .. } => stops += 1,
                Action::Hold(h) if h.deadline.is_some() => renewed += 1,
                _ => {}
            }
        }
    }
    assert!(
        stops > 0 && renewed <= 1,
        "in 2 s: stops sent {stops}, leases renewed {renewed}"
    );
}

/// Guards against a first contact that counts as a renewal: the entry may not have read
/// its customers' departures.
#[test]
fn early_order() {
    let mut g = joined();
    g.frame(ms(T0 + 2), ENTRY, start(first_run(), T0 + 1));
    let is_start = |a: &Action| matches!(a, Action::Start(_));
    assert!(!g.take_actions().iter().any(is_start));
}

/// Guards against orders that let an entry's other runs go on.
#[test]
fn orders_renew_nothing() {
    let (mut g, run) = ready();
    let renewed_at = T0 + 1;
    let mut stopped_at = None;
    for now in (renewed_at + 100..renewed_at + 2_000).step_by(100) {
        let other = Run {
            task: Task { index: 1, ..task() },
            attempt: u32::try_from(now - T0).unwrap(),
        };
        g.frame(ms(now), ENTRY, start(other, now - 1));
        g.tick(ms(now));
        let is_stop =
            |a: &Action| matches!(a, Action::Stop { run: stopped, .. } if *stopped == run);
        if g.take_actions().iter().any(is_stop) {
            stopped_at.get_or_insert(now);
        }
    }
    let limit = renewed_at + u64::try_from(timing().orphan_timeout.as_millis()).unwrap();
    assert!(
        stopped_at.is_some_and(|at| at <= limit + 100),
        "{stopped_at:?}"
    );
}

// Each of these checks finds the fault that it guards against.
#[test]
fn seeded_bugs_found() {
    let directed: [(Mutant, fn()); 2] = [
        (Mutant::RenewedByContact, early_order),
        (Mutant::OrderRenews, orders_renew_nothing),
    ];
    for (mutant, test) in directed {
        mutation::seed(Some(mutant));
        let passed = catch_unwind(test).is_ok();
        mutation::seed(None);
        assert!(!passed, "{mutant:?} is not found");
    }
}

// A connection that a paused side handled late counted as contact with its entry.
#[test]
fn delayed_join() {
    let (mut g, run) = ready();
    let t = T0 + 2;
    g.record_admission(ms(t + 3), run, Admission::Accepted);
    g.record_inventory(ms(t + 4), &inv(1, 5_010, &[run]));
    // The connection breaks and is set up again at t + 10; the entry is lost at t + 15, and the
    // side is paused from t + 11 to t + 510. Its leases last until t + 520.
    g.lose(ENTRY);
    let lost = t + 15;
    let resumed = t + 510;
    g.join(ms(resumed), ENTRY);
    g.take_actions();
    let mut last_renewal = 0;
    let mut first_stop = 0;
    for now in resumed..(lost + 1_400) {
        if now % 5 == 0 {
            g.record_inventory(ms(now), &inv(1, now - t + 5_006, &[run]));
        }
        if now % 20 == 0 {
            g.tick(ms(now));
        }
        for a in g.take_actions() {
            match a {
                Action::Hold(h) if h.deadline.is_some() => last_renewal = now,
                Action::Stop { .. } if first_stop == 0 => first_stop = now,
                _ => {}
            }
        }
    }
    let lease_end = last_renewal + 539;
    assert!(
        lease_end < lost + 1_300,
        "first stop {} ms, last renewal {} ms and lease end {} ms after the entry was lost",
        first_stop - lost,
        last_renewal - lost,
        lease_end - lost
    );
}
