//! Orderly shutdown of upstreams, sides and entries.

mod world;

use std::time::Duration;
use wire::Code;
use world::World;

#[test]
fn upstream_leaves() {
    let mut world = World::new(1, 2, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 4);
    world.settle();
    let now = world.now;
    world.side(0).withdraw(now);
    world.heartbeat();
    let next = world.ticket(0);
    world.submit(0, next, 2);
    world.settle();
    assert_eq!(world.running[0].len(), 2, "it gets no new task");
    world.finish_all();
    world.settle();
    assert_eq!(
        world.code(customer),
        Some(Code::Complete),
        "running tasks complete"
    );
    world.assert_sound();
}

#[test]
fn side_leaves() {
    let mut world = World::new(1, 2, 1);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 4);
    world.settle();
    let now = world.now;
    world.side(0).leave(now);
    assert!(!world.side(0).is_idle());
    world.heartbeat();
    for _ in 0..4 {
        world.finish_all();
        world.settle();
    }
    assert_eq!(world.code(customer), Some(Code::Complete));
    assert!(world.side(0).is_idle());
    world.assert_sound();
}

#[test]
fn entry_leaves() {
    let mut world = World::new(2, 2, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 4);
    world.settle();
    world.entry(0).leave();
    let late = world.ticket(0);
    let refused = world.submit(0, late, 1);
    assert_eq!(world.code(refused), Some(Code::Draining));
    assert!(!world.entry(0).is_idle());
    world.finish_all();
    world.settle();
    assert_eq!(world.code(customer), Some(Code::Complete));
    assert!(world.entry(0).is_idle());
    world.assert_sound();
}

#[test]
fn drain_times_out() {
    let mut world = World::new(1, 1, 1);
    let sent = world.ticket(0);
    let unsent = world.ticket(0);
    let first = world.submit(0, sent, 1);
    let second = world.submit(0, unsent, 1);
    world.settle();
    world.entry(0).leave();
    world.entry(0).abandon();
    world.advance(Duration::from_secs(1));
    assert_eq!(world.code(first), Some(Code::OutcomeUnknown));
    assert_eq!(world.code(second), Some(Code::Draining));
    assert_eq!(world.starts_of(unsent), 0);
    world.assert_sound();
}
