//! A side refuses tasks that it cannot verify to be current. A refusal proves
//! that the task has not started there, so the entry may place it elsewhere.

mod world;

use kernel::{MAX_PERMIT_AGE, side::Action};
use std::time::Duration;
use wire::{
    Code, Frame, Payload,
    frame::{Item, Refuse, Run, Void},
    id::{Incarnation, Job},
};
use world::{KIND, World};

fn run(world: &mut World, job: Job) -> Run {
    Run {
        job,
        side: world.side(0).incarnation(),
        permit: kernel::millis(world.now),
        kind: KIND.to_owned(),
        remaining: 1_000,
        total: 1,
        tasks: vec![Item {
            index: 0,
            payload: Payload::from("1"),
        }],
    }
}

/// Delivers a frame to the side. Returns the code of its refusal, if any, and
/// the number of tasks that it starts.
fn deliver(world: &mut World, frame: Frame) -> (Option<Code>, usize) {
    let (now, from) = (world.now, world.entry_id(0));
    world.side(0).frame(now, from, frame);
    let mut code = None;
    let mut starts = 0;
    for action in world.side(0).take_actions() {
        match action {
            Action::Send(_, Frame::Refuse(Refuse { code: refusal, .. })) => code = Some(refusal),
            Action::Start(_) => starts += 1,
            _ => {}
        }
    }
    (code, starts)
}

fn setup() -> (World, Run) {
    let mut world = World::new(1, 1, 2);
    let job = world.ticket(0);
    let run = run(&mut world, job);
    (world, run)
}

#[test]
fn duplicate_run_ignored() {
    let (mut world, run) = setup();
    assert_eq!(deliver(&mut world, Frame::Run(run.clone())), (None, 1));
    assert_eq!(
        deliver(&mut world, Frame::Run(run)),
        (None, 0),
        "a duplicate is ignored"
    );
}

#[test]
fn wrong_incarnation() {
    let (mut world, run) = setup();
    let run = Run {
        side: Incarnation(999),
        ..run
    };
    assert_eq!(
        deliver(&mut world, Frame::Run(run)),
        (Some(Code::WrongIncarnation), 0)
    );
}

#[test]
fn foreign_home() {
    let (mut world, run) = setup();
    let job = Job {
        home: Incarnation(999),
        ..run.job
    };
    assert_eq!(
        deliver(&mut world, Frame::Run(Run { job, ..run })),
        (Some(Code::Fenced), 0)
    );
}

#[test]
fn expired_ticket() {
    let (mut world, run) = setup();
    let job = Job {
        expires: world.now.as_secs() - 1,
        ..run.job
    };
    assert_eq!(
        deliver(&mut world, Frame::Run(Run { job, ..run })),
        (Some(Code::ExpiredTicket), 0)
    );
}

#[test]
fn delayed_frame() {
    let (mut world, run) = setup();
    world.now += MAX_PERMIT_AGE + Duration::from_millis(1);
    assert_eq!(
        deliver(&mut world, Frame::Run(run)),
        (Some(Code::StalePermit), 0)
    );
}

#[test]
fn tombstoned_job() {
    let (mut world, run) = setup();
    let void = Void {
        job: run.job,
        indices: Vec::new(),
    };
    deliver(&mut world, Frame::Void(void));
    assert_eq!(
        deliver(&mut world, Frame::Run(run)),
        (Some(Code::Tombstoned), 0)
    );
}

#[test]
fn foreign_tombstone_ignored() {
    let (mut world, run) = setup();
    let job = Job {
        home: Incarnation(999),
        ..run.job
    };
    let void = Void {
        job,
        indices: Vec::new(),
    };
    assert_eq!(deliver(&mut world, Frame::Void(void)), (None, 0));
    assert_eq!(world.side(0).stats().wasted, 1);
}

#[test]
fn full_queue() {
    let (mut world, run) = setup();
    let too_many = u16::try_from(kernel::side::MAX_QUEUED_TASKS).unwrap() + 1;
    let tasks = (0..too_many).map(|index| Item {
        index,
        payload: Payload::from("1"),
    });
    let run = Run {
        tasks: tasks.collect(),
        ..run
    };
    assert_eq!(
        deliver(&mut world, Frame::Run(run)),
        (Some(Code::SideFull), 0)
    );
}

#[test]
fn unknown_sender() {
    let (mut world, run) = setup();
    let now = world.now;
    world.side(0).frame(now, Incarnation(999), Frame::Run(run));
    assert!(world.side(0).take_actions().is_empty());
    assert_eq!(world.side(0).stats().wasted, 1);
}

#[test]
fn running_task_remembered() {
    let (mut world, run) = setup();
    deliver(&mut world, Frame::Run(run));
    world.now += Duration::from_mins(3);
    let now = world.now;
    world.side(0).tick(now);
    assert_eq!(
        world.side(0).remembered(),
        1,
        "a running task is remembered"
    );
    world.side(0).take_actions();
}
