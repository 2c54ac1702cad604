//! When an entry counts as late, what it gives up, and when it is ready.

use kernel::{
    event::Event,
    pressure::{Credit, Gate, Lane, Measures, Pressure, Unread},
};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(20);
const START: Duration = Duration::from_secs(1_000);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A loop with a clock.
struct Loop {
    now: Duration,
    pressure: Pressure,
    credit: Credit,
}

impl Loop {
    fn new() -> Self {
        let mut pressure = Pressure::new(INTERVAL);
        let credit = Credit::default();
        pressure.tick(START, &credit);
        Self {
            now: START,
            pressure,
            credit,
        }
    }

    /// Ticks that are late by `late` each, for `time`.
    fn run(&mut self, late: Duration, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += INTERVAL + late;
            self.pressure.tick(self.now, &self.credit);
        }
    }

    /// Ticks on time, each after calls that have waited for `waited`, for `time`.
    fn run_calls(&mut self, waited: Duration, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += INTERVAL;
            self.pressure
                .record_call(self.now, self.now.saturating_sub(waited));
            self.pressure
                .record_call(self.now, self.now.saturating_sub(waited + ms(50)));
            self.pressure.tick(self.now, &self.credit);
        }
    }

    fn readiness_changes(&mut self) -> Vec<bool> {
        let events = self.pressure.take_events().into_iter();
        let changes = events.filter_map(|event| match event {
            Event::Readiness { ready, .. } => Some(ready),
            _ => None,
        });
        changes.collect()
    }
}

/// Guards against refusals by an entry in good health.
#[test]
fn loop_on_time() {
    let mut sample = Loop::new();
    sample.run(ms(3), Duration::from_secs(10));
    assert_eq!(sample.pressure.lateness(), ms(3));
    assert_eq!(sample.pressure.measures(), Measures::default());
    assert_eq!(sample.pressure.rate_limit(), None);
    assert!(sample.pressure.is_ready());
    assert!(sample.pressure.take_events().is_empty());
}

/// Guards against taking the pause of a suspended process for overload, with the
/// calls that arrived during the pause.
#[test]
fn one_pause() {
    for pause in [ms(250), Duration::from_secs(1), Duration::from_secs(30)] {
        let mut sample = Loop::new();
        sample.run(Duration::ZERO, ms(500));
        sample.run(pause, pause);
        // Each call has arrived before the process went on.
        let pause = pause + Duration::from_secs(1);
        assert_eq!(sample.pressure.lateness(), Duration::ZERO);
        for _ in 0..40 {
            sample.run_calls(pause, ms(20));
            assert_eq!(sample.pressure.lateness(), Duration::ZERO);
        }
        assert_eq!(sample.pressure.measures(), Measures::default());
        assert!(sample.pressure.take_events().is_empty(), "{pause:?}");
    }
}

/// Guards against taking a processor quota for overload: each tenth of a second
/// the process is stopped for up to 91 ms, and handles all that has arrived when
/// it runs again.
#[test]
fn processor_quota() {
    let mut sample = Loop::new();
    for _ in 0..600 {
        sample.run_calls(ms(70), ms(20));
        sample.run(ms(71), ms(80));
        assert!(!sample.pressure.measures().refuse);
        assert!(sample.pressure.is_ready());
    }
    assert!(sample.pressure.take_events().is_empty());
}

/// The measures come in the stated order, and each is undone.
#[test]
fn order_of_measures() {
    let mut sample = Loop::new();
    let mut seen = Vec::new();
    for late in [0, 30, 70, 120, 240, 120, 70, 20] {
        sample.run(ms(late), ms(2_500));
        let measures = sample.pressure.measures();
        seen.push((measures.sample_logs, measures.thin_frames, measures.refuse));
    }
    let expected = [
        (false, false, false),
        (false, false, false),
        (true, false, false),
        (true, true, false),
        (true, true, true),
        (true, true, true),
        (true, false, true),
        (false, false, false),
    ];
    assert_eq!(seen, expected);
}

/// Guards against a queue that never empties while ticks are on time, as happens
/// when each turn takes a bounded number of calls.
#[test]
fn calls_wait() {
    let mut sample = Loop::new();
    sample.run_calls(ms(300), ms(200));
    assert_eq!(sample.pressure.lateness(), ms(300));
    assert!(sample.pressure.measures().refuse);
}

/// Refusals begin within a second of sustained lateness. The rate falls as long as
/// the loop is late, not below a few jobs a second, and the limit is lifted 1 s
/// after the last job that was refused for it.
#[test]
fn refusals_begin_and_end() {
    let mut sample = Loop::new();
    sample.run_calls(Duration::ZERO, Duration::from_secs(2));
    sample.run_calls(ms(230), ms(200));
    let first = sample.pressure.rate_limit().expect("a limit");
    assert!(first < 50.0, "half of the 100 calls a second, not {first}");
    sample.run_calls(ms(230), Duration::from_secs(5));
    let least = sample.pressure.rate_limit().expect("a limit");
    assert!((1.0..first).contains(&least), "{least}");
    for _ in 0..20 {
        sample.run(Duration::ZERO, ms(100));
        while admits(&sample.credit) {}
    }
    let grown = sample.pressure.rate_limit().expect("the limit is in use");
    assert!(grown > least * 1.5, "{grown} after {least}");
    sample.run(Duration::ZERO, ms(1_020));
    assert_eq!(sample.pressure.rate_limit(), None);
    let events = sample.pressure.take_events();
    let limits: Vec<&Event> = events
        .iter()
        .filter(|event| !matches!(event, Event::Readiness { .. }))
        .collect();
    assert!(
        matches!(
            limits[..],
            [Event::LoopLate { .. }, Event::LoopRecovered { .. }]
        ),
        "{limits:?}"
    );
}

/// Returns whether a job whose customer waits for long is admitted.
fn admits(credit: &Credit) -> bool {
    let request = Unread {
        host: "desk.example",
        path: "/jobs/",
        patience: Duration::from_mins(1),
    };
    gate(Duration::ZERO)
        .refusal(&request, Duration::ZERO, credit, 0.5)
        .is_none()
}

/// Readiness fails after 1 s above the bound and returns after 3 s below a quarter
/// of it; anything between changes nothing.
#[test]
fn readiness_dwell() {
    let mut sample = Loop::new();
    sample.run(ms(230), ms(700));
    assert!(sample.pressure.is_ready());
    sample.run(ms(230), ms(1_500));
    assert_eq!(sample.readiness_changes(), [false]);
    sample.run(ms(100), Duration::from_secs(20));
    assert!(!sample.pressure.is_ready(), "between the bounds");
    sample.run(ms(10), ms(2_800));
    sample.run(ms(80), ms(400));
    sample.run(ms(10), ms(2_800));
    assert!(!sample.pressure.is_ready(), "interrupted recovery");
    sample.run(ms(10), ms(600));
    assert_eq!(sample.readiness_changes(), [true]);
}

/// Guards against flapping: whatever the lateness does, readiness changes at most
/// twice in 4 s.
#[test]
fn readiness_cannot_flap() {
    for period in [60, 200, 700, 1_300, 2_100, 3_500, 6_000] {
        let mut sample = Loop::new();
        for _ in 0..40 {
            sample.run(ms(400), ms(period));
            sample.run(Duration::ZERO, ms(period));
        }
        let seconds = sample.now.saturating_sub(START).as_secs();
        let changes = sample.readiness_changes().len() as u64;
        assert!(
            changes <= seconds / 2 + 1,
            "{period}: {changes} in {seconds} s"
        );
    }
}

fn gate(drained_in: Duration) -> Gate {
    let lane = |prefix: &str, wait| Lane {
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        name: format!("queue of {prefix}"),
        wait,
    };
    let lanes = vec![lane("/jobs/", ms(100)), lane("/jobs/slow/", ms(900))];
    Gate::closed(ms(250), drained_in, lanes)
}

fn unread<'a>(host: &'a str, path: &'a str, patience: u64) -> Unread<'a> {
    Unread {
        host,
        path,
        patience: ms(patience),
    }
}

/// Returns credit for some jobs: that of 200 ms at 50 jobs a second.
fn ten_jobs() -> Credit {
    let mut sample = Loop::new();
    sample.run_calls(Duration::ZERO, Duration::from_secs(2));
    sample.run_calls(ms(230), ms(400));
    let rate = sample.pressure.rate_limit().expect("a limit");
    assert!((40.0..50.0).contains(&rate), "half of 100: {rate}");
    sample.credit
}

/// Guards against refusals while the loop keeps up, and of requests for which the
/// dispatcher has another answer.
#[test]
fn open_gate() {
    let credit = Credit::default();
    let refusal = |gate: &Gate, host: &str, path: &str| {
        gate.refusal(&unread(host, path, 0), Duration::ZERO, &credit, 0.5)
    };
    assert_eq!(refusal(&Gate::default(), "desk.example", "/jobs/"), None);
    let closed = gate(Duration::ZERO);
    assert_eq!(refusal(&closed, "other.example", "/jobs/"), None);
    assert_eq!(refusal(&closed, "desk.example", "/other/"), None);
    assert!(refusal(&closed, "DESK.example:80", "/jobs/").is_some());
}

/// A closed gate refuses what is hopeless or has waited for long, and admits jobs
/// as long as there is credit.
#[test]
fn closed_gate() {
    let credit = ten_jobs();
    let gate = gate(Duration::ZERO);
    let refusal = |path: &str, patience, waited| {
        let request = unread("desk.example", path, patience);
        gate.refusal(&request, ms(waited), &credit, 0.5)
    };
    let hopeless = refusal("/jobs/", 850, 0).expect("waits 100 ms and 3 x 250 ms");
    assert_eq!(hopeless.wait, ms(850));
    assert_eq!(hopeless.queue, "queue of /jobs/");
    let slow = refusal("/jobs/slow/", 1_500, 0).expect("waits 900 ms and 3 x 250 ms");
    assert_eq!(slow.queue, "queue of /jobs/slow/");
    assert!(refusal("/jobs/", 1_500, 200).is_some(), "has waited");
    assert!(refusal("/jobs/", 1_500, 100).is_none(), "credit is left");
    let admitted = (0..400).filter(|_| refusal("/jobs/", 1_500, 0).is_none());
    assert!((3..10).contains(&admitted.count()));
    assert!(refusal("/jobs/", 1_500, 0).is_some(), "no credit is left");
}

/// Guards against customers who come back before the backlog has drained, or all
/// at the same time.
#[test]
fn retry_after() {
    let pause = |drained_in, jitter| {
        let refused = gate(drained_in)
            .refusal(
                &unread("desk.example", "/jobs/", 0),
                Duration::ZERO,
                &Credit::default(),
                jitter,
            )
            .expect("the job is hopeless");
        refused.retry_after
    };
    assert_eq!(pause(Duration::ZERO, 0.0), ms(1_000), "at least a second");
    assert_eq!(pause(ms(2_500), 0.0), ms(2_500));
    assert_eq!(pause(Duration::MAX, 1.0), ms(12_000), "bounded");
    let seconds: std::collections::BTreeSet<u128> = (0..100_u32)
        .map(|jitter| pause(ms(1_500), f64::from(jitter) / 1e2))
        .map(|pause| pause.as_millis().div_ceil(1_000))
        .collect();
    assert_eq!(seconds.into_iter().collect::<Vec<_>>(), [2, 3, 4, 5]);
}
