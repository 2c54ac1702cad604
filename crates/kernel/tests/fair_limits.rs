//! Quotas and fairness between teams, bounded queues, and cancellation.

mod world;

use wire::{
    Code,
    frame::{Request, Submission},
    id::Job,
};
use world::{World, submission};

const TEAMS: &str = "[team studio]\nslots = 2\n\n[team buyers]\nslots = 100\n";

fn with_teams(extra: &str, slots: u16) -> World {
    let mut world = World::new(1, 3, slots);
    world.publish(&[], extra);
    world.heartbeat();
    world
}

fn submit(world: &mut World, team: &str, tasks: u16) -> (u64, Job) {
    let job = world.ticket(0);
    let submission = Submission {
        team: team.to_owned(),
        ..submission(tasks)
    };
    (world.request(0, job, Request::Submit(submission)), job)
}

#[test]
fn quota_enforced() {
    let mut world = with_teams(TEAMS, 4);
    let (customer, job) = submit(&mut world, "studio", 6);
    world.settle();
    assert_eq!(world.starts_of(job), 2);
    for _ in 0..3 {
        world.finish_all();
        world.settle();
    }
    assert_eq!(world.code(customer), Some(Code::Complete));
    world.assert_sound();
}

#[test]
fn failure_releases_quota() {
    let mut world = with_teams(TEAMS, 4);
    let (first, _) = submit(&mut world, "studio", 4);
    world.settle();
    let side = (0..3)
        .find(|side| !world.running[*side].is_empty())
        .unwrap();
    world.finish(side, 0, true);
    world.settle();
    assert_eq!(world.code(first), Some(Code::TaskFailed));
    let (_, second) = submit(&mut world, "studio", 2);
    world.settle();
    assert_eq!(world.starts_of(second), 2);
}

#[test]
fn teams_alternate() {
    let mut world = with_teams(TEAMS, 1);
    let (_, long) = submit(&mut world, "buyers", 50);
    let (_, short) = submit(&mut world, "", 2);
    for _ in 0..2 {
        world.settle();
        world.finish_all();
        world.settle();
    }
    assert_eq!(
        world.starts_of(short),
        2,
        "the short job should not wait for the long one"
    );
    assert!(world.starts_of(long) >= 3);
}

#[test]
fn full_queue_refused() {
    let mut world = with_teams("[limits]\nqueue = 10\n", 1);
    submit(&mut world, "", 9);
    let (refused, job) = submit(&mut world, "", 5);
    // Three of the first job's tasks are running, so six are queued.
    assert_eq!(world.code(refused), Some(Code::QueueFull));
    world.finish_all();
    world.settle();
    assert_eq!(world.starts_of(job), 0);
    world.assert_sound();
}

#[test]
fn unknown_team_refused() {
    let mut world = with_teams(TEAMS, 1);
    let (refused, _) = submit(&mut world, "nobody", 1);
    assert_eq!(world.code(refused), Some(Code::UnknownTeam));
}

#[test]
fn cancellation_frees_slots() {
    let mut world = World::new(1, 3, 1);
    let job = world.ticket(0);
    world.submit(0, job, 9);
    world.settle();
    let before = world.entry(0).stats().runs;
    let cancelled = world.request(0, job, Request::Cancel);
    world.settle();
    assert_eq!(world.code(cancelled), Some(Code::Cancelled));
    assert_eq!(world.entry(0).queued(), 0);
    world.finish_all();
    world.settle();
    assert_eq!(
        world.entry(0).stats().runs,
        before,
        "no further task should be sent"
    );
    assert_eq!(world.starts_of(job), 3);
    let next = world.ticket(0);
    world.submit(0, next, 3);
    world.settle();
    assert_eq!(world.starts_of(next), 3);
    world.assert_sound();
}

#[test]
fn deadline_before_start() {
    let mut world = World::new(1, 1, 1);
    let blocker = world.ticket(0);
    world.submit(0, blocker, 1);
    world.settle();
    let job = world.ticket(0);
    let customer = world.submit(0, job, 1);
    world.advance(std::time::Duration::from_secs(21));
    assert_eq!(world.code(customer), Some(Code::NotPlaced));
    world.finish_all();
    world.advance(std::time::Duration::from_secs(1));
    assert_eq!(
        world.starts_of(job),
        0,
        "a job reported as not started must not start"
    );
    world.assert_sound();
}
