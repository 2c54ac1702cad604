//! Jobs and reports whose numbers are as large as their types allow.

mod site;

use kernel::{
    dispatch::{Phase, Step, Submission},
    guard::{Inventory, UnreadableRows},
};
use proptest::prelude::*;
use site::{SERVICE, Site, job, make::announcement};
use std::time::Duration;
use wire::lease::{
    self, Availability, Echo, Ends, Frame, Heartbeat, Need, Progress, Pulse, Reserve, Run, Share,
    Start, Status, Task, Upstream,
};

const RUN: Duration = Duration::from_millis(100);

fn number() -> impl Strategy<Value = u32> {
    prop_oneof![0..3_u32, Just(u32::MAX), any::<u32>()]
}

fn clock() -> impl Strategy<Value = u64> {
    prop_oneof![0..3_u64, Just(u64::MAX), any::<u64>()]
}

/// Makes frames of sides and entries with a clock and a number.
fn frames(clock: u64, number: u32) -> Vec<Frame> {
    let need = Need {
        cpu: number,
        memory: number,
        accelerators: number,
    };
    let task = Task {
        job: 1,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let run = Run {
        task,
        attempt: number,
    };
    let small = u16::try_from(number).unwrap_or(u16::MAX);
    let share = Share {
        total: clock,
        free: clock,
    };
    let waiting = vec![(0, clock), (1, clock), (u8::MAX, clock)];
    vec![
        Frame::Upstream(Some(Upstream {
            service: SERVICE.to_owned(),
            capacity: need,
            ..Upstream::default()
        })),
        Frame::Status(Status {
            clock,
            received: number,
            free: need,
            accepting: true,
            out: false,
            runs: small,
            entries: small,
            rate: small,
        }),
        Frame::Echo(Echo {
            renewed_at: clock,
            clock,
            acknowledged: clock,
            report_interval_ms: small,
            availability: Some(Availability {
                revision: clock,
                out: false,
                age: u32::MAX,
            }),
        }),
        Frame::Start(Start {
            clock,
            input: String::new(),
            // The stub upstream runs tasks of at least this much.
            need: Need {
                cpu: number.max(1_000),
                ..need
            },
            estimate: number,
            usual: number,
            runs: vec![run],
            trials: vec![run],
        }),
        Frame::Reserve(Reserve {
            clock,
            step: lease::Step { job: 1, number: 0 },
            count: small,
            need,
            level: u8::MAX,
            slack: number,
            begun: false,
        }),
        Frame::Ends(Ends {
            first: clock,
            ends: Vec::new(),
        }),
        Frame::Progress(Progress {
            run,
            elapsed: number,
            percent: u8::MAX,
            stalled: number,
        }),
        Frame::Heartbeat(Heartbeat {
            clock,
            echo: clock,
            revision: clock,
            digest: 1,
            pending: vec![("r".to_owned(), number), ("s".to_owned(), number)],
            waiting: waiting.clone(),
            arriving: waiting,
            shares: vec![(SERVICE.to_owned(), share)],
            leaving: false,
            lateness: number,
        }),
        Frame::Pulse(Pulse { clock, echo: clock }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    // The stub upstream runs tasks of at least this much.
    let cpu = prop_oneof![Just(1_000), Just(u32::MAX)];
    (1..2_000_u16, cpu, number(), number()).prop_map(|(count, cpu, memory, estimate)| Step {
        count,
        need: Need {
            cpu,
            memory,
            accelerators: 0,
        },
        estimate: Duration::from_millis(estimate.into()),
        ..Step::default()
    })
}

/// Guards against runs that count as lapsed, and later reports that count as overtaken,
/// by one clock that is far ahead.
#[test]
fn clock_far_ahead() {
    const RUN: Duration = Duration::from_secs(1);
    let mut site = Site::new(1, 1);
    site.upstreams[0].run_time = RUN;
    let mut report = announcement(&site.upstreams[0], site.now);
    let (started_at, right_clock) = (report.started_at, report.clock + 100);
    report.clock = 1 << 50;
    site.sides[0]
        .as_mut()
        .unwrap()
        .announce(site.now, report.clone());
    let customer = site.submit(0, job(1, 2, 1_000, RUN));
    site.run(Duration::from_millis(100));
    let guard = site.sides[0].as_mut().unwrap();
    let list = Inventory {
        started_at,
        clock: 1 << 50,
        running: Vec::new(),
        unacknowledged: Vec::new(),
        unreadable: UnreadableRows::default(),
    };
    guard.record_inventory(site.now, &list);
    report.clock = right_clock;
    report.upstream.labels = vec!["new".to_owned()];
    guard.announce(site.now, report);
    assert_eq!(guard.announced().unwrap().upstream.labels, ["new"]);
    site.run(RUN * 2);
    assert_eq!(site.state(customer), Some(Phase::Completed));
    assert_eq!(site.upstreams[0].starts.len(), 2, "no run counts as lapsed");
}

/// Guards against a host that is no longer followed since one clock was far behind.
#[test]
fn clock_far_behind() {
    let mut site = Site::new(1, 1);
    site.run(RUN);
    site.upstreams[0].distort = |inventory| inventory.clock += 60_000;
    site.run(RUN);
    let mut report = announcement(&site.upstreams[0], site.now);
    report.clock += 60_000;
    report.upstream.labels = vec!["new".to_owned()];
    let guard = site.sides[0].as_mut().unwrap();
    guard.announce(site.now, report);
    assert_eq!(guard.announced().unwrap().upstream.labels, ["new"]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against an entry that ends, or no longer serves others, since the
    /// numbers of one job are too large to calculate with.
    #[test]
    fn odd_jobs(steps in prop::collection::vec(step(), 1..4), patience: u64) {
        let mut site = Site::new(2, 2);
        let patience = Duration::from_millis(patience);
        for number in 1..4 {
            let (steps, input) = (steps.clone(), String::new());
            site.submit(0, Submission { job: number, input, steps, patience });
        }
        site.run(Duration::from_millis(300));
        for number in 1..4 {
            let dispatcher = site.entries[0].as_mut().unwrap();
            dispatcher.cancel(site.now, 1_000 + number, number);
        }
        site.run(Duration::from_secs(1));
        let customer = site.submit(0, job(9, 2, 1_000, RUN));
        site.run(Duration::from_secs(2));
        prop_assert_eq!(site.state(customer), Some(Phase::Completed));
    }

    /// Guards against a process that ends since the numbers in a frame are too large to
    /// calculate with.
    #[test]
    fn odd_frames(numbers in prop::collection::vec((clock(), number()), 1..4)) {
        let mut site = Site::new(3, 2);
        site.submit(0, job(1, 4, 1_000, RUN));
        site.run(Duration::from_millis(20));
        for (clock, number) in numbers {
            for frame in frames(clock, number) {
                let (now, side) = (site.now, site.side_ids[0]);
                let peers = [site.entry_id(1), site.entry_id(2), side];
                for from in peers {
                    let entry = site.entries[0].as_mut().unwrap();
                    entry.frame(now, from, frame.clone());
                }
                let entry = site.entry_id(0);
                site.sides[0].as_mut().unwrap().frame(now, entry, frame);
                site.submit(0, job(u64::from(number) + 2, 4, 1_000, RUN));
                site.run(Duration::from_millis(20));
            }
        }
        site.run(Duration::from_secs(2));
    }

    /// Guards against a side that ends since the numbers in an upstream's heartbeat or
    /// list are too large to calculate with, or that ends runs by them.
    #[test]
    fn odd_reports(clock in clock(), born in clock(), memory in number()) {
        let mut site = Site::new(1, 1);
        site.submit(0, job(1, 2, 1_000, RUN));
        site.run(Duration::from_millis(20));
        let (now, mut report) = (site.now, announcement(&site.upstreams[0], site.now));
        let known = report.started_at;
        let list = |started_at| Inventory {
            started_at,
            clock,
            running: Vec::new(),
            unacknowledged: Vec::new(),
            unreadable: UnreadableRows::default(),
        };
        report.clock = clock;
        report.upstream.capacity.memory = memory;
        let token = site.upstreams[0].token();
        let side = site.sides[0].as_mut().unwrap();
        let mut run = Run { task: Task { job: 1, occurrence: 0, step: 0, index: 0 }, attempt: 1 };
        side.record_stop(run, token, clock);
        run.attempt = u32::MAX;
        side.record_stop(run, token, clock);
        for _ in 0..100 {
            side.hold_fenced(now);
        }
        side.announce(now, report.clone());
        report.started_at = born;
        side.announce(now, report);
        for started_at in [known, born] {
            side.record_inventory(now, &list(started_at));
            side.tick(now + RUN);
        }
        site.run(Duration::from_secs(3));
    }
}
