//! A job submitted again is the same job, whatever became of its home.

mod world;

use kernel::{PEER_TIMEOUT, RECONNECT_GRACE};
use std::time::Duration;
use wire::{
    Code,
    frame::{Answer, Request},
};
use world::{Process, World};

fn complete(world: &World, customer: u64) -> bool {
    matches!(world.answer(customer), Some(Answer::Complete(_)))
}

#[test]
fn before_during_after() {
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
        assert!(complete(&world, customer));
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
    assert!(complete(&world, there) && complete(&world, here));
    let asked = world.request(1, job, Request::Answer);
    world.settle();
    assert_eq!(world.answer(asked), world.answer(there));
    world.assert_sound();
}

#[test]
fn other_job_refused() {
    let mut world = World::new(1, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 2);
    let other = world.submit(0, job, 3);
    assert_eq!(world.code(other), Some(Code::TicketReused));
    world.assert_sound();
}

#[test]
fn home_dies_with_results_kept() {
    let mut world = World::new(3, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 4);
    world.settle();
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.finish_all();
    world.advance(PEER_TIMEOUT * 2);
    // Two entries recover at once and find the same.
    let one = world.submit(1, job, 4);
    let two = world.submit(2, job, 4);
    world.settle();
    assert!(complete(&world, one));
    assert_eq!(world.answer(one), world.answer(two));
    world.assert_sound();
}

#[test]
fn home_dies_with_tasks_running() {
    let mut world = World::new(2, 3, 2);
    let job = world.ticket(0);
    world.submit(0, job, 4);
    world.settle();
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.advance(PEER_TIMEOUT * 2);
    let customer = world.submit(1, job, 4);
    world.settle();
    assert_eq!(world.answer(customer), None, "tasks still run");
    world.finish_all();
    world.settle();
    assert!(complete(&world, customer));
    world.assert_sound();
}

#[test]
fn home_dies_with_tasks_unsent() {
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
    // Some ran and five never will: neither whole nor "not run".
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    assert_eq!(world.starts_of(job), 3);
    world.assert_sound();
}

#[test]
fn home_restarts_at_once() {
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
        complete(&world, customer),
        "the new incarnation is not the home, but recovers"
    );
    world.assert_sound();
}

#[test]
fn home_paused_then_woken() {
    let mut world = World::new(2, 3, 1);
    let job = world.ticket(0);
    world.submit(0, job, 6);
    world.settle();
    // The home stands still longer than any lease, then goes on.
    world.cut_all(Process::Entry(0));
    let asleep = world.entries[0].take();
    world.advance(Duration::from_secs(15));
    let customer = world.submit(1, job, 6);
    world.settle();
    world.finish_all();
    world.advance(Duration::from_secs(1));
    assert_eq!(world.code(customer), Some(Code::OutcomeUnknown));
    world.entries[0] = asleep;
    world.connect_all();
    world.settle();
    let running = world.starts_of(job);
    world.advance(Duration::from_secs(2));
    assert_eq!(
        world.starts_of(job),
        running,
        "fenced sides start nothing for it"
    );
    assert!(world.retired.contains(&0) || world.entry(0).is_idle());
    world.assert_sound();
}

#[test]
fn home_alive_but_out_of_reach() {
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
    assert!(complete(&world, home), "nothing was fenced");
    world.assert_sound();
}

#[test]
fn side_restarts_and_forgets() {
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
    let again = world.submit(0, job, 2);
    assert_eq!(world.answer(again), world.answer(customer));
    world.assert_sound();
}

#[test]
fn side_lost_for_good() {
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
fn recovery_costs_two_frames_a_side() {
    const SIDES: usize = 12;
    let mut world = World::new(2, SIDES, 8);
    let job = world.ticket(0);
    let before = world.frames;
    world.submit(0, job, 24);
    world.settle();
    world.finish_all();
    world.settle();
    // Two tasks a side travel in one frame, and each has its result.
    assert_eq!(world.frames - before, 12 + 24);
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.advance(PEER_TIMEOUT * 2);
    let before = world.frames;
    let customers: Vec<u64> = (0..5).map(|_| world.submit(1, job, 24)).collect();
    world.settle();
    assert!(customers.iter().all(|customer| complete(&world, *customer)));
    // The first customer's sweep, and one more for the four that came meanwhile.
    assert_eq!(world.frames - before, 2 * 2 * SIDES as u64);
    world.assert_sound();
}
