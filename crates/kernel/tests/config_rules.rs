//! Configuration revisions: none is reverted, and only the latest is confirmed.

mod world;

use kernel::entry::Adoption;
use std::time::Duration;
use wire::frame::{Config, State};
use world::{Process, World, document};

fn config(revision: u64, change: &str) -> Config {
    Config {
        revision,
        change: change.to_owned(),
        text: document(&[], "").into(),
    }
}

#[test]
fn lower_revision_refused() {
    let mut world = World::new(1, 1, 1);
    world.publish(&["nord-b"], "");
    world.heartbeat();
    let now = world.now;
    let stale = config(1, "change-1");
    assert_eq!(world.entry(0).store_read(now, &stale), Adoption::Stale);
    assert_eq!(world.entry(0).config().unwrap().revision, 2);
    assert_eq!(world.entry(0).stats().stale_configs, 1);
}

#[test]
fn stale_store_confirms_nothing() {
    let mut world = World::new(1, 1, 1);
    world.publish(&["nord-b"], "");
    world.heartbeat();
    let stale = config(1, "change-1");
    let start = world.now;
    for _ in 0..20 {
        world.now += kernel::HEARTBEAT_INTERVAL;
        let now = world.now;
        world.entry(0).store_read(now, &stale);
        world.tick_all();
        world.settle();
    }
    let now = world.now;
    assert!(world.entry(0).config_age(now) >= now.saturating_sub(start));
    assert!(!world.side(0).may_start(now));
}

#[test]
fn conflicting_change_refused() {
    let mut world = World::new(1, 1, 1);
    let now = world.now;
    let other = config(1, "somebody-else");
    assert_eq!(world.entry(0).adopt(now, &other), Adoption::Conflict);
}

#[test]
fn invalid_document_refused() {
    let mut world = World::new(1, 1, 1);
    let now = world.now;
    let broken = Config {
        text: "[environment]\n".into(),
        ..config(9, "broken")
    };
    assert!(matches!(
        world.entry(0).adopt(now, &broken),
        Adoption::Invalid(_)
    ));
    assert_eq!(world.entry(0).config().unwrap().revision, 1);
}

#[test]
fn restart_copies_from_sides() {
    let mut world = World::new(1, 2, 1);
    world.set_store(false);
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.start_entry(0);
    world.connect_all();
    world.advance(Duration::from_secs(2));
    assert_eq!(world.entry(0).config().unwrap().revision, 1);
}

#[test]
fn change_reaches_all() {
    let mut world = World::new(3, 3, 1);
    world.publish(&["nord-c"], "");
    // Only one entry reads the store; the others receive the document from it.
    world.read_store(0);
    world.settle();
    assert_eq!(world.side(2).state(), Some(State::DomainOut));
    // Sides whose state does not change get the revision with a heartbeat.
    world.heartbeat();
    for side in 0..3 {
        assert_eq!(world.side(side).revision(), 2);
    }
    for entry in 0..3 {
        assert_eq!(world.entry(entry).config().unwrap().revision, 2);
    }
    world.assert_sound();
}

#[test]
fn stale_copy_confirms_nothing() {
    let mut world = World::new(1, 2, 1);
    // The sides apply revision 2, but their copies are still of revision 1.
    world.publish(&["nord-a"], "");
    world.heartbeat();
    assert_eq!(world.side(1).revision(), 2);
    assert_eq!(world.side(1).config().unwrap().revision, 1);
    world.set_store(false);
    world.cut_all(Process::Entry(0));
    world.kill(Process::Entry(0));
    world.start_entry(0);
    world.connect_all();
    world.advance(Duration::from_secs(10));
    assert_eq!(world.entry(0).config().unwrap().revision, 1);
    let now = world.now;
    assert!(!world.side(0).may_start(now) && !world.side(1).may_start(now));
    // When the store is reachable again, tasks may start again.
    world.set_store(true);
    world.advance(Duration::from_secs(2));
    let now = world.now;
    assert!(!world.side(0).may_start(now) && world.side(1).may_start(now));
    world.assert_sound();
}

#[test]
fn copy_updated() {
    let mut world = World::new(1, 1, 1);
    world.advance(Duration::from_mins(1));
    world.publish(&["nord-b"], "");
    world.advance(Duration::from_secs(1));
    assert_eq!(world.side(0).config().unwrap().revision, 2);
}
