//! Builders of jobs, rules and announcements for tests.

use super::{HOST, PATH, SERVICE, upstream::Stub};
use kernel::{
    dispatch::{Step, Submission},
    guard::{Announcement, Timing},
};
use std::time::Duration;
use wire::lease::{Need, Queue, Rules, Upstream};

/// Longest time for which a host may be used by a capacity that it no longer has: the
/// users' `contact_ms` and one heartbeat.
pub const MAX_CAPACITY_AGE: Duration = Duration::from_millis(4_500);

/// Makes the lease times that the tests use.
pub fn timing() -> Timing {
    let timing = Timing::new(
        Duration::from_secs(1),
        Duration::from_millis(1_300),
        Duration::from_millis(50),
    );
    Timing {
        max_capacity_age: Some(MAX_CAPACITY_AGE),
        ..timing
    }
}

/// Makes rules with the queues `quick` and, at a lower priority, `slow`, and
/// the failure domains `out`.
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

/// Makes a job of one step with `tasks` tasks.
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

/// Makes an upstream's announcement to its side.
pub fn announcement(stub: &Stub, now: Duration) -> Announcement {
    Announcement {
        upstream: Upstream {
            id: format!("u{}-{}", stub.index, stub.started_at),
            service: SERVICE.to_owned(),
            labels: vec![format!("r{}", stub.index / 3)],
            capacity: stub.capacity,
        },
        started_at: stub.started_at,
        leaving: stub.leaving,
        clock: stub.clock(now),
    }
}
