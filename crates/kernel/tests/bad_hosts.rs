//! Ejection of sides whose tasks fail, but not because of jobs that always fail.

mod world;

use std::time::Duration;
use wire::Code;
use world::{KIND, SERVICE, World};

fn count_ejected(world: &mut World) -> usize {
    let fleet = world.entry(0).fleet();
    fleet
        .iter()
        .filter(|(_, member)| member.ejected_until.is_some())
        .count()
}

/// Runs a job of one task, which fails on the sides that `fails` selects.
fn run_task(world: &mut World, fails: impl Fn(usize) -> bool) -> Option<Code> {
    let job = world.ticket(0);
    let customer = world.submit(0, job, 1);
    world.settle();
    for side in 0..world.sides.len() {
        while world.finish(side, 0, fails(side)) {}
    }
    world.settle();
    world.code(customer)
}

#[test]
fn failing_host_ejected() {
    let mut world = World::new(1, 4, 2);
    let mut failed_jobs = 0;
    for _ in 0..200 {
        let code = run_task(&mut world, |side| side == 2);
        failed_jobs += usize::from(code != Some(Code::Complete));
    }
    assert_eq!(count_ejected(&mut world), 1);
    assert!(failed_jobs <= 4, "{failed_jobs} of 200 jobs failed");
    world.assert_sound();
}

#[test]
fn ejected_host_readmitted() {
    let mut world = World::new(1, 4, 2);
    for _ in 0..100 {
        run_task(&mut world, |side| side == 2);
    }
    assert_eq!(count_ejected(&mut world), 1);
    world.advance(Duration::from_secs(6));
    assert_eq!(count_ejected(&mut world), 0, "the side is in use again");
    let before = world
        .start_log
        .iter()
        .filter(|(_, side, _)| *side == 2)
        .count();
    for _ in 0..40 {
        run_task(&mut world, |_| false);
    }
    let after = world
        .start_log
        .iter()
        .filter(|(_, side, _)| *side == 2)
        .count();
    assert!(after > before);
    assert_eq!(count_ejected(&mut world), 0);
}

#[test]
fn failing_jobs_eject_none() {
    let mut world = World::new(1, 4, 2);
    for round in 0..120 {
        // Every fourth job fails on every side and must not eject any.
        let fails = round % 4 == 0;
        let code = run_task(&mut world, |_| fails);
        assert_eq!(code == Some(Code::Complete), !fails);
    }
    assert_eq!(count_ejected(&mut world), 0);
}

#[test]
fn half_pool_kept() {
    let mut world = World::new(1, 4, 2);
    for _ in 0..100 {
        run_task(&mut world, |_| true);
    }
    assert!(
        count_ejected(&mut world) <= 2,
        "at least half of the sides stay in use"
    );
    let pools = world.entry(0).fleet().pools_for(SERVICE, KIND).to_vec();
    assert!(world.entry(0).fleet().eligible(pools[0]).len() >= 2);
}
