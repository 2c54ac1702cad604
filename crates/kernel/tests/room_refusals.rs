//! Placement of a task that a side refused for lack of room.
//!
//! Guards against placing such a task by load reports alone: in scale-2 of
//! folia-cluj-grown tasks were refused nine times and more.

mod site;

use kernel::dispatch::{Action, Dispatcher};
use site::{HOST, PATH, SERVICE, job, rules, timing};
use std::time::Duration;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
    lease::{End, Ending, Ends, Frame, Need, Refusal, Run, Status, Step, Upstream},
};

const SIDE: Incarnation = Incarnation(7);
const CAPACITY: Need = Need {
    cpu: 4_000,
    memory: 65_536,
    accelerators: 0,
};

/// An entry with one side that reports free resources repeatedly.
struct Fixture {
    entry: Dispatcher,
    now: Duration,
    received: u32,
    last_end: u64,
}

impl Fixture {
    fn new() -> Self {
        let now = Duration::from_secs(10);
        let mut entry = Dispatcher::new(now, "d0", timing(), 1);
        entry.adopt(now, &rules(1, &[]), None);
        entry.join_side(
            now,
            &Hello {
                version: VERSION,
                role: Role::Side,
                name: "s".to_owned(),
                incarnation: SIDE,
                domain: "d0".to_owned(),
                rack: String::new(),
                address: String::new(),
                processor: 0,
                number: 0,
                nonce: 0,
            },
        );
        let upstream = Upstream {
            id: "u".to_owned(),
            service: SERVICE.to_owned(),
            labels: Vec::new(),
            capacity: CAPACITY,
        };
        entry.frame(now, SIDE, Frame::Upstream(Some(upstream)));
        entry.frame(now, SIDE, Frame::OpenRuns(Vec::new()));
        Self {
            entry,
            now,
            received: 0,
            last_end: 0,
        }
    }

    /// Delivers a report of free resources after `pause`; returns the runs that
    /// the entry then sends.
    fn report(&mut self, pause: Duration) -> Vec<Run> {
        self.now += pause;
        let status = Status {
            entries: 1,
            rate: 1_000,
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            received: self.received,
            free: CAPACITY,
            accepting: true,
            out: false,
            runs: 0,
        };
        self.entry.frame(self.now, SIDE, Frame::Status(status));
        self.entry.tick(self.now);
        self.starts()
    }

    fn starts(&mut self) -> Vec<Run> {
        let sent = self.entry.take_actions().into_iter();
        let starts: Vec<Run> = sent
            .filter_map(|action| match action {
                Action::Send((_, Frame::Start(start))) => Some(start.runs),
                Action::Barrier(number) => {
                    self.entry.record_barrier(self.now, number);
                    None
                }
                _ => None,
            })
            .flatten()
            .collect();
        self.received += u32::try_from(starts.len()).unwrap();
        starts
    }

    fn refuse(&mut self, run: Run) {
        self.last_end += 1;
        let end = End {
            run,
            ending: Ending::NotRun(Refusal::Room),
            spent: 0,
        };
        let ends = Ends {
            first: self.last_end,
            ends: vec![end],
        };
        self.entry.frame(self.now, SIDE, Frame::Ends(ends));
    }
}

fn refused_task() -> (Fixture, Run) {
    let mut fixture = Fixture::new();
    fixture.report(Duration::ZERO);
    let task = job(1, 1, 1_000, Duration::from_secs(1));
    fixture.entry.submit(fixture.now, 1, HOST, PATH, task);
    let sent = fixture.report(Duration::from_millis(1));
    assert_eq!(sent.len(), 1, "the side has free resources");
    fixture.refuse(sent[0]);
    (fixture, sent[0])
}

#[test]
fn reports_ignored() {
    let (mut fixture, _) = refused_task();
    for _ in 0..6 {
        let sent = fixture.report(Duration::from_millis(6));
        assert!(sent.is_empty(), "the task waits for a claim");
    }
    let sent = fixture.report(Duration::from_millis(10));
    assert_eq!(sent.len(), 1, "the wait for a claim has a limit");
}

#[test]
fn claim_granted() {
    let (mut fixture, run) = refused_task();
    fixture.report(Duration::from_millis(5));
    let step = Step {
        job: run.task.job,
        number: run.task.step,
    };
    fixture.entry.frame(fixture.now, SIDE, Frame::Claim(step));
    assert_eq!(fixture.starts().len(), 1, "the claiming side gets the task");
}
