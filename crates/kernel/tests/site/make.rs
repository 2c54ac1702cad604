//! What tests hand to a site.

use super::{HOST, PATH, SERVICE, upstream::Up};
use kernel::{
    dispatch::{Step, Submission},
    guard::{Announcement, Timing},
};
use std::time::Duration;
use wire::lease::{Need, Queue, Rules, Upstream};

/// Makes the times that all tests of leases use.
pub fn timing() -> Timing {
    Timing::new(
        Duration::from_secs(1),
        Duration::from_millis(1_300),
        Duration::from_millis(50),
    )
}

/// Makes rules with the one queue of the tests.
pub fn rules(revision: u64, out: &[&str]) -> Rules {
    Rules {
        revision,
        version: revision,
        queues: vec![queue("quick", PATH, 0), queue("slow", "/slow/", 2)],
        out: out.iter().map(|name| (*name).to_owned()).collect(),
    }
}

fn queue(name: &str, prefix: &str, priority: u8) -> Queue {
    Queue {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        service: SERVICE.to_owned(),
        priority,
        attempts: 3,
        objective_factor: 1.6,
        target: 60,
    }
}

/// A job of one step.
pub fn job(id: u64, tasks: u16, cpu: u32, run: Duration) -> Submission {
    Submission {
        job: id,
        input: "input".to_owned(),
        steps: vec![Step {
            count: tasks,
            need: Need {
                cpu,
                memory: 64,
                accelerators: 0,
            },
            estimate: run,
            ..Step::default()
        }],
        patience: Duration::from_secs(10),
    }
}

/// What an upstream reports to the side beside it.
pub fn announcement(up: &Up, now: Duration) -> Announcement {
    Announcement {
        upstream: Upstream {
            id: format!("u{}-{}", up.index, up.started_at),
            service: SERVICE.to_owned(),
            labels: vec![format!("r{}", up.index / 3)],
            capacity: up.capacity,
        },
        started_at: up.started_at,
        leaving: up.leaving,
        clock: up.clock(now),
    }
}
