//! Shares of queues with different priorities while hosts are short.
//!
//! Guards against a least urgent queue that pays for every shortage alone: in scale-1
//! of the crew desk with its mix of jobs turned around, a third of its jobs were
//! refused, while all others together lacked a tenth.

mod site;

use kernel::dispatch::{Answer, Phase};
use site::{PATH, Site, job};
use std::time::Duration;

const RUN: Duration = Duration::from_millis(100);
const SLOW_RUN: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(5);

/// Jobs of one queue: those that arrived, and those that completed.
#[derive(Debug)]
struct Count {
    arrived: f64,
    completed: f64,
}

impl Count {
    fn share(&self) -> f64 {
        self.completed / self.arrived
    }
}

/// Offers the urgent and the least urgent queue these shares of twelve cores for some
/// seconds; returns what became of the jobs after the first two.
fn offer(urgent: f64, least: f64) -> [Count; 2] {
    let mut site = Site::new(1, 3);
    let start = site.now;
    // Cores that are offered, and core-seconds of a job.
    let queues = [
        (PATH, urgent * 12.0, 0.2, 2, RUN),
        ("/slow/", least * 12.0, 0.25, 1, SLOW_RUN),
    ];
    let mut due = [0.0; 2];
    let mut sent: [Vec<u64>; 2] = Default::default();
    let mut next = 1;
    while site.now < start + Duration::from_secs(22) {
        for (queue, (path, cores, work, tasks, run)) in queues.into_iter().enumerate() {
            due[queue] += cores / work * STEP.as_secs_f64();
            while due[queue] >= 1.0 {
                due[queue] -= 1.0;
                let customer = site.submit_to(0, path, job(next, tasks, 1_000, run));
                next += 1;
                if site.now >= start + Duration::from_secs(2) {
                    sent[queue].push(customer);
                }
            }
        }
        site.run(STEP);
    }
    site.run(Duration::from_secs(4));
    sent.map(|customers| {
        let done = |customer: &&u64| site.state(**customer) == Some(Phase::Completed);
        let completed = customers.iter().filter(done).count();
        for customer in &customers {
            let (_, answer) = &site.answers[customer];
            let refused = matches!(answer, Answer::Refused { .. });
            assert!(
                refused || site.state(*customer) == Some(Phase::Completed),
                "a job is served or refused: {answer:?}"
            );
        }
        Count {
            arrived: f64::from(u32::try_from(customers.len()).unwrap()),
            completed: f64::from(u32::try_from(completed).unwrap()),
        }
    })
}

/// Asserts that the least urgent queue does not pay alone for these shares of the cores.
fn assert_floor(urgent: f64, least: f64) {
    let [urgent, least] = offer(urgent, least);
    assert!(
        least.share() >= urgent.share() * 0.75,
        "urgent {urgent:?}, least urgent {least:?}"
    );
}

/// The urgent queue takes nearly all hosts in a burst.
#[test]
fn burst_over_least_urgent() {
    assert_floor(0.95, 0.2);
}

/// The mix is turned around: the least urgent queue has little of the work.
#[test]
fn mix_turned_around() {
    assert_floor(1.1, 0.08);
}

/// Guards against a floor that costs the urgent queue jobs although the hosts suffice.
#[test]
fn urgent_first_without_shortage() {
    let [urgent, _] = offer(0.6, 0.3);
    assert!(urgent.share() > 0.999, "urgent {urgent:?}");
}
