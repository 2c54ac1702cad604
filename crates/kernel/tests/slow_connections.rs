//! Connections between processes that run late. Both ends used to give each other
//! up as silent before the first frame of a new connection had been handled, and
//! dialled anew, so that no side stayed known.

mod site;

use kernel::{
    dispatch::{Dispatcher, Phase},
    guard::Guard,
    liveness::{LATE_TICK, Limits, Liveness, SilenceCheck},
};
use site::{Site, job, timing};
use std::time::Duration;
use wire::{
    frame::{Hello, Role, VERSION},
    id::Incarnation,
};

const RUN: Duration = Duration::from_millis(100);

/// Guards against connections that are closed while they are still joining: each
/// takes longer to join than an established one may be silent.
#[test]
fn slow_joining() {
    let mut site = Site::new(1, 2);
    site.kill_entry(0, true);
    site.join_delay = site.timing.max_silence() * 3 / 2;
    site.start_entry(0);
    let before = site.connections;
    site.run(Duration::from_secs(8));
    assert_eq!(site.connections - before, 2, "one connection to each side");
    let customer = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against replacing a connection whose peer is slow but not silent.
#[test]
fn slow_peer_kept() {
    let mut site = Site::new(1, 2);
    let before = site.connections;
    site.handling_delay = site.timing.max_silence() * 2 / 3;
    site.run(Duration::from_secs(8));
    assert_eq!(site.connections, before, "no connection is replaced");
    site.handling_delay = Duration::ZERO;
    site.run(Duration::from_millis(500));
    let customer = site.submit(0, job(1, 4, 1_000, RUN));
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

/// Guards against one end giving up a joining connection before the other: both
/// keep it for the same time, and close it after that if nothing arrives.
#[test]
fn silent_joining_closed() {
    let start = Duration::from_secs(1_000);
    let limits = timing().connection_limits();
    assert!(limits.joining > limits.contact);
    let (side_id, entry_id) = (Incarnation(1), Incarnation(2));
    let hello = Hello {
        version: VERSION,
        role: Role::Side,
        name: "s".to_owned(),
        incarnation: side_id,
        domain: "d".to_owned(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    };
    let mut entry = Dispatcher::new(start, "d", timing(), 1);
    entry.join_side(start, &hello);
    let mut side = Guard::new(timing(), start);
    side.join(start, entry_id);
    let last = start + limits.joining;
    assert!(entry.silent_sides(last).is_empty());
    assert!(side.silent(last).is_empty());
    let after = last + Duration::from_millis(1);
    assert_eq!(entry.silent_sides(after), [side_id]);
    assert_eq!(side.silent(after), [entry_id]);
}

/// Guards against a joining connection delaying the end of what was placed at a
/// side that is lost meanwhile: its runs count as over as early as before.
#[test]
fn lost_while_joining() {
    let mut site = Site::new(1, 2);
    let customer = site.submit(0, job(1, 8, 1_000, RUN));
    site.run(Duration::from_millis(20));
    let before = site.connections;
    site.join_delay = Duration::from_secs(10);
    site.close_connection(0, 0);
    while site.connections == before {
        site.run(Duration::from_millis(1));
    }
    site.frozen_sides[0] = true;
    site.run(site.timing.run_expiry() + RUN * 2 + Duration::from_millis(50));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

const LIMITS: Limits = Limits {
    joining: ms(1_000),
    contact: ms(400),
    quiet: ms(200),
    slow: ms(2_000),
};

/// Guards against a longer time until an established connection that is silent
/// for good is replaced.
#[test]
fn established_limit() {
    let mut connection = Liveness::new(ms(0));
    connection.record_frame(ms(100));
    assert!(!connection.is_silent(ms(500), ms(100), &LIMITS));
    assert!(connection.is_silent(ms(501), ms(100), &LIMITS));
}

/// Guards against counting the time to join as silence of the established
/// connection.
#[test]
fn limit_from_first_frame() {
    let mut connection = Liveness::new(ms(0));
    assert!(!connection.is_silent(ms(1_000), ms(0), &LIMITS));
    connection.record_frame(ms(1_000));
    assert!(!connection.is_silent(ms(1_400), ms(0), &LIMITS));
    assert!(connection.is_silent(ms(1_401), ms(0), &LIMITS));
}

/// Guards against taking a slow peer for a silent one, and against keeping a
/// connection for ever whose frames are never handled.
#[test]
fn slow_limit() {
    let (mut joining, mut established) = (Liveness::new(ms(0)), Liveness::new(ms(0)));
    established.record_frame(ms(0));
    for time in (0..=2_000).step_by(100).map(ms) {
        joining.record_bytes(time);
        established.record_bytes(time);
        assert!(!joining.is_silent(time, ms(0), &LIMITS));
        assert!(!established.is_silent(time, ms(0), &LIMITS));
    }
    assert!(joining.is_silent(ms(2_001), ms(0), &LIMITS));
    assert!(established.is_silent(ms(2_001), ms(0), &LIMITS));
}

/// Guards against a process that closes its connections after it was not run for
/// a while, before it has read what arrived meanwhile, and against one that never
/// closes any because it always runs late.
#[test]
fn late_ticks() {
    let mut check = SilenceCheck::default();
    let mut now = ms(1_000);
    let mut tick = |interval: Duration| {
        now += interval;
        check.is_due(now)
    };
    assert!(tick(ms(20)));
    assert!(tick(LATE_TICK));
    let late = LATE_TICK + ms(1);
    assert!(!tick(late), "it has not run for a while");
    assert!(tick(ms(20)));
    let due = [tick(late), tick(late), tick(late), tick(late)];
    assert_eq!(due, [false, true, false, true]);
}
