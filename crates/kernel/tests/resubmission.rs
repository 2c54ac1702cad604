//! Resubmissions under the same ticket: each task starts at most once, also when
//! the job's home is lost, restarted, paused or unreachable.

mod world;

use kernel::{PEER_TIMEOUT, RECONNECT_GRACE};
use std::time::Duration;
use wire::{
    Code,
    frame::{Answer, Request},
};
use world::{Process, World};

fn is_complete(world: &World, customer: u64) -> bool {
    matches!(world.answer(customer), Some(Answer::Complete(_)))
}

#[test]
fn answered_once() {
    let mut world = World::new(2, 3, 2);
    let job = world.ticket(0);
    let first = world.submit(0, job, 4);
    let second = world.submit(0, job, 4);
    world.settle();
    let third = world.submit(0, job, 4);
    world.finish_all();
    world.settle();
    let after = world.submit(0, job, 4);
    for customer in [first, second, third, after] {
        assert!(is_complete(&world, customer));
    }
    assert_eq!(world.starts_of(job), 4);
    world.assert_sound();
}

#[test]
fn through_another_entry() {
    let mut world = World::new(2, 3, 2);
    let job = world.ticket(0);
    let there = world.submit(1, job, 4);
    let here = world.submit(0, job, 4);
    world.settle();
    world.finish_all();
    world.settle();
    assert!(is_complete(&world, there) && is_complete(&world, here));
    let asked = world.request(1, job, Request::Answer);
    world.settle();
    assert_eq!(world.answer(asked), world.answer(there));
    world.assert_sound();
}

#[test]
fn reused_ticket_refused() {
    let mut world = World::new(1, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 2);
    let other = world.submit(0, job, 3);
    assert_eq!(world.code(other), Some(Code::TicketReused));
    world.assert_sound();
}

#[test]
fn home_lost_after_results() {
    let mut world = World::new(3, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 4);
    world.settle();
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.finish_all();
    world.advance(PEER_TIMEOUT * 2);
    // Two entries recover the job at the same time, with the same result.
    let one = world.submit(1, job, 4);
    let two = world.submit(2, job, 4);
    world.settle();
    assert!(is_complete(&world, one));
    assert_eq!(world.answer(one), world.answer(two));
    world.assert_sound();
}

#[test]
fn home_lost_while_running() {
    let mut world = World::new(2, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 4);
    world.settle();
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.advance(PEER_TIMEOUT * 2);
    let customer = world.submit(1, job, 4);
    world.settle();
    assert_eq!(
        world.answer(customer),
        None,
        "no answer while tasks are running"
    );
    world.finish_all();
    world.settle();
    assert!(is_complete(&world, customer));
    world.assert_sound();
}

#[test]
fn home_lost_while_queued() {
    let mut world = World::new(2, 3, 1);
    let job = world.ticket(0);
    world.submit(0, job, 8);
    world.settle();
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.finish_all();
    world.advance(PEER_TIMEOUT * 2);
    let customer = world.submit(1, job, 8);
    world.settle();
    // Three tasks ran and five never will: neither complete nor "not run".
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    assert_eq!(world.starts_of(job), 3);
    world.assert_sound();
}

#[test]
fn home_restarted() {
    let mut world = World::new(2, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 4);
    world.settle();
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.start_entry(0);
    world.connect_all();
    world.finish_all();
    world.advance(PEER_TIMEOUT * 2);
    let customer = world.submit(0, job, 4);
    world.settle();
    assert!(
        is_complete(&world, customer),
        "the new incarnation should recover the job, although it is not the home"
    );
    world.assert_sound();
}

#[test]
fn paused_home_fenced() {
    let mut world = World::new(2, 3, 1);
    let job = world.ticket(0);
    world.submit(0, job, 6);
    world.settle();
    // The home is paused for longer than all timeouts, then resumes.
    world.cut_all(Process::Entry(0));
    let paused = world.entries[0].take();
    world.advance(Duration::from_secs(15));
    let customer = world.submit(1, job, 6);
    world.settle();
    world.finish_all();
    world.advance(Duration::from_secs(1));
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    world.entries[0] = paused;
    world.connect_all();
    world.settle();
    let running = world.starts_of(job);
    world.advance(Duration::from_secs(2));
    assert_eq!(
        world.starts_of(job),
        running,
        "sides that fenced it should start no task"
    );
    assert!(world.fenced.contains(&0) || world.entry(0).is_idle());
    world.assert_sound();
}

#[test]
fn unreachable_home() {
    let mut world = World::new(2, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 4);
    world.settle();
    world.cut(0, Process::Entry(1), 0, true);
    world.settle();
    let customer = world.submit(1, job, 4);
    world.settle();
    assert_eq!(world.code(customer), Some(Code::HomeUnreachable));
    world.finish_all();
    world.settle();
    let home = world.submit(0, job, 4);
    assert!(
        is_complete(&world, home),
        "no side should have fenced the home"
    );
    world.assert_sound();
}

#[test]
fn restarted_side() {
    let mut world = World::new(1, 1, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 2);
    world.settle();
    assert_eq!(world.starts_of(job), 2);
    world.cut_all(Process::Side(0));
    world.kill(Process::Side(0));
    world.start_side(0);
    world.connect_all();
    world.advance(Duration::from_secs(2));
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    let resubmitted = world.submit(0, job, 2);
    assert_eq!(world.answer(resubmitted), world.answer(customer));
    world.assert_sound();
}

#[test]
fn lost_side() {
    let mut world = World::new(1, 3, 2);
    let job = world.ticket(0);
    let customer = world.submit(0, job, 6);
    world.settle();
    world.cut_all(Process::Side(1));
    world.kill(Process::Side(1));
    world.advance(PEER_TIMEOUT + RECONNECT_GRACE + Duration::from_secs(1));
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    world.assert_sound();
}

#[test]
fn expired_ticket() {
    let mut world = World::new(1, 1, 1);
    let job = world.ticket(0);
    world.now += kernel::TICKET_LIFETIME + Duration::from_secs(2);
    let customer = world.submit(0, job, 1);
    assert_eq!(world.code(customer), Some(Code::ExpiredTicket));
    world.advance(Duration::from_secs(1));
    assert_eq!(world.starts_of(job), 0);
    world.assert_sound();
}

#[test]
fn recovery_frame_count() {
    const SIDES: usize = 12;
    let mut world = World::new(2, SIDES, 8);
    let job = world.ticket(0);
    let before = world.frames;
    world.submit(0, job, 24);
    world.settle();
    world.finish_all();
    world.settle();
    // Each side gets its two tasks in one frame and sends a result for each.
    assert_eq!(world.frames - before, 12 + 24);
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.advance(PEER_TIMEOUT * 2);
    let before = world.frames;
    let customers: Vec<u64> = (0..5).map(|_| world.submit(1, job, 24)).collect();
    world.settle();
    assert!(
        customers
            .iter()
            .all(|customer| is_complete(&world, *customer))
    );
    // One sweep for the first customer, and one for the four that arrive meanwhile.
    assert_eq!(world.frames - before, 2 * 2 * SIDES as u64);
    world.assert_sound();
}
