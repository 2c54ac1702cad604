//! The state of a process for leased tasks, on request.

use super::record::age;
use kernel::{dispatch::Dispatcher, guard::Guard};
use serde_json::{Value, json};
use std::time::Duration;

/// Describes an entry.
pub(super) fn dispatcher(kernel: &Dispatcher, now: Duration) -> Value {
    let sides: Vec<Value> = kernel
        .side_views(now)
        .map(|side| {
            json!({
                "name": side.name,
                "domain": side.domain,
                "open": side.open,
                "aside": side.aside,
                "silent_ms": age(side.silent),
                "room_mcpu": side.room.cpu,
                "runs": side.runs,
                "slowness": side.slowness,
            })
        })
        .collect();
    let rules = kernel.rules().map(|rules| {
        json!({
            "revision": rules.revision,
            "version": rules.version,
            "queues": rules.queues.len(),
            "out": rules.out,
        })
    });
    let stats = kernel.stats();
    json!({
        "leaving": kernel.is_leaving(),
        "jobs_open": kernel.open(),
        "tasks_waiting": kernel.backlog(),
        "rules": rules,
        "sides": sides,
        "accepted": stats.accepted,
        "completed": stats.completed,
        "failed": stats.failed,
        "refused": stats.refused,
        "abandoned": stats.abandoned,
        "expired": stats.expired,
        "runs": stats.runs,
        "rejected": stats.rejected,
        "moved": stats.moved,
        "lost": stats.lost,
    })
}

/// Describes a side.
pub(super) fn guard(kernel: &Guard, now: Duration) -> Value {
    let stats = kernel.stats();
    json!({
        "upstream": kernel.announced().map(|known| known.upstream.id.clone()),
        "service": kernel.announced().map(|known| known.upstream.service.clone()),
        "accepting": kernel.is_accepting(now),
        "runs": kernel.runs(),
        "room_mcpu": kernel.free().cpu,
        "started": stats.started,
        "refused": stats.refused,
        "unanswered": stats.unanswered,
        "orphaned": stats.orphaned,
        "foreign": stats.foreign,
        "lives": stats.lives,
    })
}
