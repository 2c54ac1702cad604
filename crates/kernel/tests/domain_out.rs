//! Removal and return of a failure domain, also with processes out of reach.

mod world;

use kernel::MAX_CONFIG_AGE;
use std::time::Duration;
use wire::Code;
use world::{Process, World};

const SECOND: Duration = Duration::from_secs(1);

fn count_starts(world: &World, side: usize, after: Duration) -> usize {
    world
        .start_log
        .iter()
        .filter(|(at, index, _)| *index == side && *at > after)
        .count()
}

#[test]
fn removal_and_return() {
    let mut world = World::new(2, 3, 2);
    let running = world.ticket(0);
    let customer = world.submit(0, running, 6);
    world.settle();
    world.publish(&["nord-a"], "");
    world.heartbeat();
    let out = world.now;
    let job = world.ticket(0);
    let queued = world.submit(0, job, 8);
    for _ in 0..8 {
        world.settle();
        world.finish_all();
        world.settle();
    }
    assert_eq!(
        world.code(customer),
        Some(Code::Complete),
        "running tasks should finish"
    );
    assert_eq!(
        world.code(queued),
        Some(Code::Complete),
        "the other domains should run the tasks"
    );
    assert_eq!(count_starts(&world, 0, out.saturating_sub(SECOND / 2)), 0);
    world.publish(&[], "");
    world.heartbeat();
    let back = world.ticket(0);
    world.submit(0, back, 6);
    world.settle();
    assert!(
        count_starts(&world, 0, out) > 0,
        "the domain should run tasks again"
    );
    world.assert_sound();
}

#[test]
fn queued_tasks_moved() {
    let mut world = World::new(2, 3, 1);
    // The entries have no report of each other's tasks yet and overload a side.
    let one = world.ticket(0);
    let two = world.ticket(1);
    let first = world.submit(0, one, 3);
    let second = world.submit(1, two, 3);
    world.settle();
    let queued: u16 = world
        .sides
        .iter()
        .flatten()
        .map(|side| side.load().queued)
        .sum();
    assert!(queued > 0);
    world.publish(&["nord-a"], "");
    world.heartbeat();
    for _ in 0..6 {
        world.finish_all();
        world.settle();
    }
    assert_eq!(world.code(first), Some(Code::Complete));
    assert_eq!(world.code(second), Some(Code::Complete));
    assert!(world.side(0).load().queued == 0);
    world.assert_sound();
}

#[test]
fn isolated_side_stops() {
    let mut world = World::new(2, 3, 1);
    world.cut(0, Process::Side(0), 0, false);
    world.cut(1, Process::Side(0), 0, false);
    world.publish(&["nord-a"], "");
    world.now += MAX_CONFIG_AGE + SECOND;
    let now = world.now;
    assert!(!world.side(0).may_start(now));
    world.advance(SECOND);
    world.assert_sound();
}

#[test]
fn paused_side_stops() {
    let mut world = World::new(1, 1, 1);
    let job = world.ticket(0);
    world.submit(0, job, 1);
    // The frames are in transit while the side is paused.
    world.publish(&["nord-a"], "");
    world.now += MAX_CONFIG_AGE + SECOND;
    world.settle();
    assert_eq!(world.starts_of(job), 0);
    world.advance(SECOND);
    assert_eq!(world.starts_of(job), 0);
    world.assert_sound();
}

#[test]
fn store_outage_tolerated() {
    let mut world = World::new(2, 3, 2);
    world.set_store(false);
    world.advance(Duration::from_secs(30));
    let job = world.ticket(0);
    let customer = world.submit(0, job, 6);
    world.settle();
    world.finish_all();
    world.settle();
    assert_eq!(world.code(customer), Some(Code::Complete));
    world.assert_sound();
}

#[test]
fn isolated_entry_stops() {
    let mut world = World::new(3, 3, 2);
    // Entry 0 and side 0 can reach only each other, not the store.
    world.cut(1, Process::Entry(0), 0, false);
    world.cut(2, Process::Entry(0), 0, false);
    for entry in [1, 2] {
        world.cut(entry, Process::Side(0), 0, false);
    }
    world.publish(&["nord-a"], "");
    for _ in 0..12 {
        world.now += kernel::HEARTBEAT_INTERVAL;
        world.read_store(1);
        world.read_store(2);
        let up = world.store_up;
        world.store_up = false;
        world.read_store(0);
        world.store_up = up;
        world.tick_all();
        world.settle();
    }
    let job = world.ticket(0);
    let customer = world.submit(0, job, 2);
    assert_eq!(world.code(customer), Some(Code::NoConfiguration));
    let now = world.now;
    assert!(!world.side(0).may_start(now));
    world.assert_sound();
}

#[test]
fn drained_upstream_skipped() {
    let mut world = World::new(1, 3, 2);
    world.publish(&[], "[upstream side-1]\ndrain = yes\n");
    world.heartbeat();
    let from = world.now;
    let job = world.ticket(0);
    world.submit(0, job, 6);
    world.settle();
    assert_eq!(count_starts(&world, 1, from.saturating_sub(SECOND)), 0);
    assert_eq!(world.starts_of(job), 4);
    world.assert_sound();
}

#[test]
fn returning_domain_ramps() {
    let mut world = World::new(1, 3, 8);
    world.publish(&["nord-a"], "");
    world.heartbeat();
    world.publish(&[], "");
    world.heartbeat();
    let job = world.ticket(0);
    world.submit(0, job, 24);
    world.settle();
    let first = usize::from(world.side(0).load().running);
    assert!(first > 0 && first < 8, "{first} of 8 slots used at once");
    for _ in 0..6 {
        world.finish_all();
        world.settle();
    }
    let next = world.ticket(0);
    world.submit(0, next, 24);
    world.settle();
    assert!(usize::from(world.side(0).load().running) > first);
    world.assert_sound();
}
