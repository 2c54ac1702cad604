//! When an entry counts as late, what it gives up, and when it is ready.

use kernel::{
    event::Event,
    pressure::{Credit, Gate, Lane, Measures, Pressure},
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
}

impl Loop {
    fn new() -> Self {
        let mut pressure = Pressure::new(INTERVAL);
        pressure.tick(START);
        Self {
            now: START,
            pressure,
        }
    }

    /// Ticks that are late by `late` each, for `time`.
    fn run(&mut self, late: Duration, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += INTERVAL + late;
            self.pressure.tick(self.now);
        }
    }

    /// Ticks on time, each after calls that have waited for `waited`, for `time`.
    fn run_calls(&mut self, waited: Duration, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += INTERVAL;
            self.pressure.record_call(waited);
            self.pressure.record_call(waited + ms(50));
            self.pressure.tick(self.now);
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
    assert_eq!(sample.pressure.admitted_per_mille(), 1_000);
    assert!(sample.pressure.is_ready());
    assert!(sample.pressure.take_events().is_empty());
}

/// Guards against taking the pause of a suspended process for overload, with the
/// calls that arrived during the pause.
#[test]
fn one_pause() {
    for pause in [ms(90), Duration::from_secs(1), Duration::from_secs(30)] {
        let mut sample = Loop::new();
        sample.run(Duration::ZERO, ms(500));
        sample.run(pause, pause);
        assert_eq!(sample.pressure.lateness(), Duration::ZERO);
        sample.run_calls(pause, ms(20));
        assert_eq!(sample.pressure.lateness(), Duration::ZERO);
        sample.run(Duration::ZERO, ms(200));
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

/// Refusals begin within a second of sustained lateness and end within two seconds
/// after it.
#[test]
fn refusals_begin_and_end() {
    let mut sample = Loop::new();
    sample.run(ms(230), ms(900));
    assert!(sample.pressure.measures().refuse);
    sample.run(ms(230), Duration::from_secs(5));
    assert!(
        sample.pressure.admitted_per_mille() > 0,
        "some are admitted"
    );
    assert!(sample.pressure.admitted_per_mille() < 50);
    sample.run(Duration::ZERO, Duration::from_secs(2));
    assert!(!sample.pressure.measures().refuse);
    assert_eq!(sample.pressure.admitted_per_mille(), 1_000);
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
        let seconds = (sample.now - START).as_secs();
        let changes = sample.readiness_changes().len() as u64;
        assert!(
            changes <= seconds / 2 + 1,
            "{period}: {changes} in {seconds} s"
        );
    }
}

fn gate(per_mille: u32, drained_in: Duration) -> Gate {
    let lane = |prefix: &str, wait| Lane {
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        name: format!("queue of {prefix}"),
        wait,
    };
    let lanes = vec![lane("/jobs/", ms(100)), lane("/jobs/slow/", ms(900))];
    Gate::closed(ms(250), per_mille, drained_in, lanes)
}

/// Guards against refusals while the loop keeps up, and of requests for which the
/// dispatcher has another answer.
#[test]
fn open_gate() {
    let credit = Credit::default();
    let refusal = |gate: &Gate, host: &str, path: &str| {
        gate.refusal(host, path, Some(Duration::ZERO), &credit, 0.5)
    };
    assert_eq!(refusal(&Gate::default(), "desk.example", "/jobs/"), None);
    let closed = gate(0, Duration::ZERO);
    assert_eq!(refusal(&closed, "other.example", "/jobs/"), None);
    assert_eq!(refusal(&closed, "desk.example", "/other/"), None);
    assert!(refusal(&closed, "DESK.example:80", "/jobs/").is_some());
}

/// A closed gate refuses what is hopeless, and admits its share of the rest evenly.
#[test]
fn closed_gate() {
    let credit = Credit::default();
    let gate = gate(250, Duration::ZERO);
    let refusal =
        |path: &str, patience| gate.refusal("desk.example", path, Some(ms(patience)), &credit, 0.5);
    let hopeless = refusal("/jobs/", 850).expect("waits 100 ms and 3 x 250 ms");
    assert_eq!(hopeless.wait, ms(850));
    assert_eq!(hopeless.queue, "queue of /jobs/");
    let slow = refusal("/jobs/slow/", 1_500).expect("waits 900 ms and 3 x 250 ms");
    assert_eq!(slow.queue, "queue of /jobs/slow/");
    let admitted: Vec<bool> = (0..400)
        .map(|_| refusal("/jobs/", 1_500).is_none())
        .collect();
    for window in admitted.chunks(4) {
        assert_eq!(window.iter().filter(|admitted| **admitted).count(), 1);
    }
}

/// Guards against customers who come back before the backlog has drained, or all
/// at the same time.
#[test]
fn retry_after() {
    let pause = |drained_in, jitter| {
        let credit = Credit::default();
        let refused = gate(0, drained_in)
            .refusal("desk.example", "/jobs/", None, &credit, jitter)
            .expect("nothing is admitted");
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
