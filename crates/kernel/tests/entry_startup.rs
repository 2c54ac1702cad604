//! Jobs that arrive at a starting entry before its rules or its sides.
//!
//! Guards against refusing such jobs: in trouble-1 of folia-cluj-grown, 291 were
//! refused in the half second after a power loss.

mod site;

use kernel::{
    dispatch::{Answer, Dispatcher, Phase, Reason},
    event::Event,
};
use site::{Site, job, rules, timing};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const SHORT_WAIT: Duration = Duration::from_millis(80);

fn reason(site: &Site, customer: u64) -> Option<Reason> {
    match site.answers.get(&customer)? {
        (_, Answer::Refused { reason, .. }) => Some(*reason),
        _ => None,
    }
}

/// Makes a site whose entry has just started and has no rules yet.
fn without_rules() -> Site {
    let mut site = Site::new(1, 1);
    site.entries[0] = Some(Dispatcher::new(site.now, "d0", timing(), 1));
    site
}

#[test]
fn late_rules() {
    let mut site = without_rules();
    let customer = site.submit(0, job(7, 1, 1_000, RUN));
    site.run(SHORT_WAIT);
    assert!(site.answers.is_empty(), "the job waits for the rules");
    let now = site.now;
    let entry = site.entries[0].as_mut().unwrap();
    entry.adopt(now, &rules(1, &[]), None);
    site.run(Duration::from_secs(1));
    // The objective counts from the arrival of the rules; the job is accepted.
    assert!(site.answers.contains_key(&customer));
    assert_ne!(reason(&site, customer), Some(Reason::NoRules));
}

#[test]
fn missing_rules() {
    let mut site = without_rules();
    let customer = site.submit(0, job(7, 1, 1_000, RUN));
    let disconnected = site.submit(0, job(8, 1, 1_000, RUN));
    let now = site.now;
    site.entries[0]
        .as_mut()
        .unwrap()
        .remove_customer(now, 8, disconnected);
    site.run(Duration::from_millis(900));
    assert_eq!(reason(&site, customer), Some(Reason::NoRules));
    assert!(
        !site.answers.contains_key(&disconnected),
        "its customer had disconnected"
    );
    let late = site.submit(0, job(9, 1, 1_000, RUN));
    assert_eq!(
        reason(&site, late),
        Some(Reason::NoRules),
        "refused at once"
    );
    let events = site.entries[0].as_mut().unwrap().take_events();
    let age = |id: u64| {
        events.iter().find_map(|event| match event {
            Event::Refused { job, age, .. } if *job == id => Some(*age),
            _ => None,
        })
    };
    assert!(
        age(7) > Some(Duration::from_millis(700)),
        "refused after a wait"
    );
    assert_eq!(age(9), Some(Duration::ZERO), "refused at once");
}

#[test]
fn late_side() {
    let mut site = Site::new(1, 1);
    site.start_entry(0);
    let customer = site.submit(0, job(7, 1, 1_000, RUN));
    site.run(Duration::from_secs(1));
    assert_eq!(site.state(customer), Some(Phase::Completed));
}

#[test]
fn missing_side() {
    let mut site = Site::new(1, 1);
    site.kill_side(0);
    site.run(Duration::from_secs(8));
    site.start_entry(0);
    let early = site.submit(0, job(7, 1, 1_000, RUN));
    assert!(reason(&site, early).is_none(), "a side may still connect");
    site.run(Duration::from_millis(300));
    assert_eq!(reason(&site, early), Some(Reason::NoUpstream));
    site.run(Duration::from_millis(600));
    let late = site.submit(0, job(8, 1, 1_000, RUN));
    assert_eq!(
        reason(&site, late),
        Some(Reason::NoUpstream),
        "refused at once"
    );
}
