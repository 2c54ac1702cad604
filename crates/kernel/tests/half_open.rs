//! Half-open connections: an established connection stops delivering frames
//! while new ones work. Results and tasks lost on it must be recovered once.

mod world;

use kernel::{PEER_TIMEOUT, RECONNECT_GRACE};
use std::time::Duration;
use wire::Code;
use world::{Process, World};

#[test]
fn silent_connection_replaced() {
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
        "the connection lost two results"
    );
    world.advance(PEER_TIMEOUT + Duration::from_secs(1));
    world.connect(0, Process::Side(1));
    world.settle();
    assert_eq!(
        world.code(customer),
        Some(Code::Complete),
        "the side hands the results over"
    );
    assert_eq!(world.starts_of(job), 6);
    world.assert_sound();
}

#[test]
fn lost_tasks_resent() {
    let mut world = World::new(1, 1, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 2);
    // The connection loses the tasks, so the side never receives them.
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
fn nothing_before_handover() {
    let mut world = World::new(1, 1, 2);
    world.cut(0, Process::Side(0), 0, true);
    world.settle();
    world.connect(0, Process::Side(0));
    // The entry is connected; the side's handover has not arrived.
    let pipes = world.busy();
    let (pipe, _) = pipes[0];
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
fn unknown_after_grace() {
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
fn both_detect_silence() {
    let mut world = World::new(1, 1, 1);
    world.cut(0, Process::Side(0), 0, false);
    world.now += PEER_TIMEOUT + Duration::from_millis(1);
    let now = world.now;
    assert_eq!(world.entry(0).silent_sides(now).len(), 1);
    assert_eq!(world.side(0).silent(now).len(), 1);
}

#[test]
fn late_result_ignored() {
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
        "the answer does not change"
    );
    // The slots of the failed job are free.
    let next = world.ticket(0);
    let second = world.submit(0, next, 3);
    world.settle();
    world.finish_all();
    world.settle();
    assert_eq!(world.code(second), Some(Code::Complete));
    world.assert_sound();
}
