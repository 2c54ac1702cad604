//! Connections that go silent for good while new ones work.

mod world;

use kernel::{PEER_TIMEOUT, RECONNECT_GRACE};
use std::time::Duration;
use wire::Code;
use world::{Process, World};

#[test]
fn silent_side_replaced() {
    let mut world = World::new(1, 3, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 6);
    world.settle();
    world.cut(0, Process::Side(1), 0, false);
    world.finish_all();
    world.settle();
    assert_eq!(
        world.answer(customer),
        None,
        "two results are lost in the silence"
    );
    world.advance(PEER_TIMEOUT + Duration::from_secs(1));
    world.connect(0, Process::Side(1));
    world.settle();
    assert_eq!(
        world.code(customer),
        Some(Code::Complete),
        "the side handed them over"
    );
    assert_eq!(world.starts_of(job), 6);
    world.assert_sound();
}

#[test]
fn lost_tasks_sent_again() {
    let mut world = World::new(1, 1, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 2);
    // The tasks are lost on the way; the side never had them.
    world.cut(0, Process::Side(0), 0, true);
    world.settle();
    world.connect(0, Process::Side(0));
    world.settle();
    world.heartbeat();
    world.finish_all();
    world.settle();
    assert_eq!(world.code(customer), Some(Code::Complete));
    assert_eq!(world.starts_of(job), 2);
    world.assert_sound();
}

#[test]
fn nothing_sent_before_handover() {
    let mut world = World::new(1, 1, 2);
    world.cut(0, Process::Side(0), 0, true);
    world.settle();
    world.connect(0, Process::Side(0));
    // The entry has the connection; the side has not said what it holds.
    let busy = world.busy();
    let (pipe, _) = busy[0];
    world.deliver(pipe, 0);
    let job = world.ticket(0);
    world.submit(0, job, 1);
    assert_eq!(world.entry(0).stats().runs, 0);
    world.settle();
    world.heartbeat();
    assert_eq!(world.starts_of(job), 1);
    world.assert_sound();
}

#[test]
fn grace_then_unknown() {
    let mut world = World::new(1, 2, 1);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 2);
    world.settle();
    world.cut(0, Process::Side(1), 0, true);
    world.settle();
    world.finish(0, 0, false);
    world.advance(RECONNECT_GRACE.saturating_sub(Duration::from_secs(1)));
    assert_eq!(world.answer(customer), None);
    world.advance(Duration::from_secs(2));
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    world.assert_sound();
}

#[test]
fn silence_is_found_by_both() {
    let mut world = World::new(1, 1, 1);
    world.cut(0, Process::Side(0), 0, false);
    world.now += PEER_TIMEOUT + Duration::from_millis(1);
    let now = world.now;
    assert_eq!(world.entry(0).silent_sides(now).len(), 1);
    assert_eq!(world.side(0).silent(now).len(), 1);
}

#[test]
fn late_result_of_failed_job() {
    let mut world = World::new(1, 3, 1);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 3);
    world.settle();
    world.finish(0, 0, true);
    world.settle();
    assert_eq!(world.code(customer), Some(Code::TaskFailed));
    world.finish_all();
    world.settle();
    assert_eq!(
        world.code(customer),
        Some(Code::TaskFailed),
        "the answer stays"
    );
    // Its slots are free again.
    let next = world.ticket(0);
    let second = world.submit(0, next, 3);
    world.settle();
    world.finish_all();
    world.settle();
    assert_eq!(world.code(second), Some(Code::Complete));
    world.assert_sound();
}
