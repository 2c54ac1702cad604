//! Placement on hosts of unequal speed, by an entry whose sides have reported their
//! rates.

mod site;

use kernel::{
    dispatch::{Action, Dispatcher, Step, Submission},
    event::Event,
};
use site::{HOST, PATH, SERVICE, job, rules, timing};
use std::time::Duration;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{Frame, Heartbeat, Need, Status, Upstream},
};

const NOW: Duration = Duration::from_secs(10);
const SLOW: u16 = 550;
const FAST: u16 = 1_200;

fn cores(count: u32) -> Need {
    Need {
        cpu: count * 1_000,
        memory: 65_536,
        accelerators: 0,
    }
}

fn status(free: u32, rate: u16) -> Frame {
    Frame::Status(Status {
        clock: 10_000,
        received: 0,
        free: cores(free),
        accepting: true,
        out: false,
        runs: 0,
        entries: 1,
        rate,
    })
}

fn hello(role: Role, number: u64) -> Hello {
    Hello {
        version: VERSION,
        role,
        name: format!("p{number}"),
        incarnation: Incarnation(number),
        domain: "d0".to_owned(),
        rack: String::new(),
        address: String::new(),
        number: 0,
        nonce: 0,
        processor: 0,
    }
}

/// Makes an entry with sides of eight cores, numbered from 1, with these free cores
/// and rates.
fn entry(sides: &[(u32, u16)]) -> Dispatcher {
    let mut entry = Dispatcher::new(NOW, "d0", timing(), 1);
    entry.adopt(NOW, &rules(1, &[]), None);
    for (number, (free, rate)) in (1..).zip(sides) {
        let side = Incarnation(number);
        entry.join_side(NOW, &hello(Role::Side, number));
        let upstream = Upstream {
            id: format!("u{number}"),
            service: SERVICE.to_owned(),
            labels: Vec::new(),
            capacity: cores(8),
        };
        entry.frame(NOW, side, Frame::Upstream(Some(upstream)));
        entry.frame(NOW, side, Frame::OpenRuns(Vec::new()));
        entry.frame(NOW, side, status(*free, *rate));
    }
    entry.tick(NOW);
    for action in entry.take_actions() {
        if let Action::Barrier(number) = action {
            entry.record_barrier(NOW, number);
        }
    }
    entry.take_actions();
    entry
}

/// Submits a job; returns the side and the step of each run that is sent.
fn place(entry: &mut Dispatcher, submission: Submission) -> Vec<(u64, u16)> {
    entry.submit(NOW, submission.job, HOST, PATH, submission);
    entry.place_if_changed(NOW);
    let mut placed = Vec::new();
    for action in entry.take_actions() {
        if let Action::Send((side, Frame::Start(start))) = action {
            placed.extend(start.runs.iter().map(|run| (side.0, run.task.step)));
        }
    }
    placed
}

fn two_steps(id: u64, first: Duration, second: Duration) -> Submission {
    let mut submission = job(id, 1, 1_000, first);
    let step = Step {
        estimate: second,
        ..submission.steps[0].clone()
    };
    submission.steps.push(step);
    submission
}

/// Guards against short tasks of a job that take the places on fast hosts from its
/// long ones.
#[test]
fn long_task_on_fast_host() {
    let (short, long) = (Duration::from_millis(60), Duration::from_millis(800));
    for (slow_side, sides) in [(1, [(1, SLOW), (1, FAST)]), (2, [(1, FAST), (1, SLOW)])] {
        for id in 0..40 {
            let mut entry = entry(&sides);
            let mut placed = place(&mut entry, two_steps(id, short, long));
            placed.sort_by_key(|(_, step)| *step);
            assert_eq!(placed, [(slow_side, 0), (3 - slow_side, 1)], "job {id}");
        }
    }
}

/// Guards against a last task that is left on a slow host, which has the more free
/// room, although a fast one has some.
#[test]
fn last_task_on_fast_host() {
    for id in 0..40 {
        let mut entry = entry(&[(8, SLOW), (1, FAST)]);
        let run = Duration::from_millis(300);
        assert_eq!(place(&mut entry, job(id, 1, 1_000, run)), [(2, 0)]);
    }
}

/// Guards against tasks that wait for a fast host while a slow one is free.
#[test]
fn slow_host_used() {
    let mut entry = entry(&[(8, SLOW), (1, FAST)]);
    let placed = place(&mut entry, job(1, 9, 1_000, Duration::from_millis(300)));
    assert_eq!(placed.len(), 9, "all tasks start at once: {placed:?}");
}

/// Guards against tasks that leave fast hosts to others although their job's end
/// depends on them, and against tasks that take fast places without a gain.
#[test]
fn task_without_gain_on_slow_host() {
    let (short, long) = (Duration::from_millis(60), Duration::from_millis(800));
    for id in 0..40 {
        // The short task ends before the long one on either host, so load decides.
        let mut entry = entry(&[(8, SLOW), (2, FAST)]);
        let mut placed = place(&mut entry, two_steps(id, short, long));
        placed.sort_by_key(|(_, step)| *step);
        assert_eq!(placed, [(1, 0), (2, 1)], "job {id}");
    }
}

/// Guards against a change of placement where all hosts are equally fast.
#[test]
fn equal_rates_change_nothing() {
    let sequence = |rate: u16| -> Vec<Vec<(u64, u16)>> {
        let mut entry = entry(&[(8, rate), (8, rate), (3, rate), (8, rate), (6, rate)]);
        let long = Duration::from_millis(800);
        let jobs = (0..12).map(|id| two_steps(id, Duration::from_millis(60), long));
        jobs.map(|job| place(&mut entry, job)).collect()
    };
    let usual = sequence(1_000);
    assert_eq!(usual.iter().flatten().count(), 24);
    assert_eq!(sequence(700), usual);
}

/// Returns the expected wait of a job behind 400 ms of work for eight cores that are
/// in use at a rate.
fn wait_at(rate: u16) -> Duration {
    let mut entry = entry(&[(0, rate)]);
    entry.join_entry(NOW, &hello(Role::Entry, 9));
    let heartbeat = Heartbeat {
        clock: 1,
        echo: 0,
        revision: 1,
        digest: 0,
        pending: Vec::new(),
        waiting: vec![(0, 3_200)],
        arriving: Vec::new(),
        shares: Vec::new(),
        leaving: false,
        lateness: 0,
    };
    entry.frame(NOW, Incarnation(9), Frame::Heartbeat(heartbeat));
    place(&mut entry, job(1, 1, 1_000, Duration::from_secs(1)));
    let waits = entry.take_events().into_iter();
    let mut waits = waits.filter_map(|event| match event {
        Event::Accepted { wait, .. } => Some(wait),
        _ => None,
    });
    waits.next().expect("the job is accepted")
}

#[test]
fn forecast_counts_rates() {
    assert_eq!(wait_at(1_000), Duration::from_millis(400));
    assert_eq!(wait_at(500), Duration::from_millis(800));
    assert_eq!(wait_at(2_000), Duration::from_millis(200));
}

/// Guards against rates outside of the bounds, which would make a host infinitely
/// fast or slow.
#[test]
fn invalid_rate_ignored() {
    let mut entry = entry(&[(8, 800)]);
    entry.take_events();
    for rate in [0, 0, 249, 4_001, u16::MAX] {
        entry.frame(NOW, Incarnation(1), status(8, rate));
    }
    let rates: Vec<u16> = entry.side_views(NOW).map(|view| view.rate).collect();
    assert_eq!(rates, [800], "the last valid rate stays");
    let events = entry.take_events();
    let logged = |event: &&Event| matches!(event, Event::RateInvalid { rate: 0, .. });
    assert_eq!(events.iter().filter(logged).count(), 1, "{events:?}");
    entry.frame(NOW, Incarnation(1), status(8, 4_000));
    let rates: Vec<u16> = entry.side_views(NOW).map(|view| view.rate).collect();
    assert_eq!(rates, [4_000]);
    let answer = place(&mut entry, job(1, 1, 1_000, Duration::from_millis(100)));
    assert_eq!(answer, [(1, 0)], "the entry goes on");
}

/// Guards against a rate of an upstream's earlier process at the entry.
#[test]
fn new_upstream_is_usual() {
    let mut entry = entry(&[(8, 800)]);
    let upstream = Upstream {
        id: "other".to_owned(),
        service: SERVICE.to_owned(),
        labels: Vec::new(),
        capacity: cores(8),
    };
    entry.frame(NOW, Incarnation(1), Frame::Upstream(None));
    entry.frame(NOW, Incarnation(1), Frame::Upstream(Some(upstream)));
    let rates: Vec<u16> = entry.side_views(NOW).map(|view| view.rate).collect();
    assert_eq!(rates, [1_000]);
}
