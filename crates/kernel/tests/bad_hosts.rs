//! Hosts that fail everything, and jobs that can never run.

mod world;

use std::time::Duration;
use wire::Code;
use world::{KIND, SERVICE, World};

fn aside(world: &mut World) -> usize {
    let fleet = world.entry(0).fleet();
    fleet
        .iter()
        .filter(|(_, member)| member.ejected_until.is_some())
        .count()
}

/// Submits a job of one task and fails it where `fails` says so.
fn one_task(world: &mut World, fails: impl Fn(usize) -> bool) -> Option<Code> {
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
fn bad_host_put_aside() {
    let mut world = World::new(1, 4, 2);
    let mut harmed = 0;
    for _ in 0..200 {
        let code = one_task(&mut world, |side| side == 2);
        harmed += usize::from(code != Some(Code::Complete));
    }
    assert_eq!(aside(&mut world), 1);
    assert!(harmed <= 4, "{harmed} of 200 jobs were harmed");
    world.assert_sound();
}

#[test]
fn probed_and_back() {
    let mut world = World::new(1, 4, 2);
    for _ in 0..100 {
        one_task(&mut world, |side| side == 2);
    }
    assert_eq!(aside(&mut world), 1);
    world.advance(Duration::from_secs(6));
    assert_eq!(aside(&mut world), 0, "one slot to prove itself");
    let before = world
        .started
        .iter()
        .filter(|(_, side, _)| *side == 2)
        .count();
    for _ in 0..40 {
        one_task(&mut world, |_| false);
    }
    let after = world
        .started
        .iter()
        .filter(|(_, side, _)| *side == 2)
        .count();
    assert!(after > before);
    assert_eq!(aside(&mut world), 0);
}

#[test]
fn impossible_jobs_blamed() {
    let mut world = World::new(1, 4, 2);
    for round in 0..120 {
        // Every fourth job can never run; each harms only itself.
        let fails = round % 4 == 0;
        let code = one_task(&mut world, |_| fails);
        assert_eq!(code == Some(Code::Complete), !fails);
    }
    assert_eq!(aside(&mut world), 0);
}

#[test]
fn never_all_aside() {
    let mut world = World::new(1, 4, 2);
    for _ in 0..100 {
        one_task(&mut world, |_| true);
    }
    assert!(
        aside(&mut world) <= 2,
        "a fault of all is not the fault of each"
    );
    let pools = world.entry(0).fleet().pools_for(SERVICE, KIND).to_vec();
    assert!(world.entry(0).fleet().eligible(pools[0]).len() >= 2);
}
