//! State dumps of the processes for leased tasks. They share their keys with
//! the dumps of the other processes where the meaning is the same.

use super::admission::Admission;
use crate::{entry::process, link::Local};
use kernel::{
    accuracy::{Accuracy, Admissions, ERROR_BOUNDS_MS, LEVELS, Tally},
    dispatch::{Dispatcher, View},
    guard::Guard,
    millis,
    pressure::Pressure,
};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};

/// Returns an entry's state as JSON.
pub(super) fn entry(
    kernel: &Dispatcher,
    pressure: &Pressure,
    admission: &Admission,
    local: &Local,
    now: Duration,
) -> Value {
    let sides: Vec<Value> = kernel
        .side_views(now)
        .map(|view| side_summary(&view))
        .collect();
    let configuration = kernel.rules().map(|rules| {
        json!({
            "revision": rules.revision,
            "change": rules.version,
            "queues": rules.queues.len(),
            "domains_out": rules.out,
        })
    });
    let stats = kernel.stats();
    json!({
        "role": "entry",
        "name": local.hello.name,
        "domain": local.hello.domain,
        "incarnation": local.hello.incarnation.to_string(),
        "ready": kernel.is_ready() && pressure.is_ready(),
        "processor_mcpu": local.hello.processor,
        "weak": kernel.is_weak(),
        "leaving": kernel.is_leaving(),
        "configuration": configuration,
        "queued_tasks": kernel.backlog(),
        "open_jobs": kernel.open_jobs(),
        "job_bytes": kernel.job_memory(),
        "usual_ratios": kernel.usual_ratios().collect::<BTreeMap<_, _>>(),
        "confined_queues": kernel.confined_queues().collect::<Vec<_>>(),
        "open_forwards": kernel.open_forwards(),
        "pressure": {
            "lateness_ms": millis(pressure.lateness()),
            "jobs_per_second_limit": pressure.rate_limit(),
            "refused_unread": admission.refused(),
        },
        "accuracy": accuracy(kernel.accuracy()),
        "sides": sides,
        "counts": {
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
            "forwarded": stats.forwarded,
            "taken_over": stats.taken_over,
            "forwarder_lost": stats.forwarder_lost,
            "owner_lost": stats.owner_lost,
        },
        "process": process(local),
    })
}

fn accuracy(accuracy: &Accuracy) -> Value {
    let queues = accuracy.queues();
    let queues: BTreeMap<_, _> = queues
        .map(|(name, tally)| (name, decisions(tally)))
        .collect();
    json!({"error_bounds_ms": ERROR_BOUNDS_MS, "queues": queues})
}

fn decisions(tally: &Tally) -> Value {
    let levels = LEVELS.iter().zip(&tally.levels);
    let used = levels.filter(|(_, admissions)| **admissions != Admissions::default());
    let levels: BTreeMap<String, Value> = used
        .map(|(level, admissions)| {
            let value = json!({
                "in_time": admissions.in_time,
                "missed": admissions.missed,
                "given_up": admissions.given_up,
                "unjudged": admissions.unjudged,
                "errors": admissions.errors,
            });
            (level.to_string(), value)
        })
        .collect();
    let counts = tally.counts();
    json!({
        "levels": levels,
        "admitted": counts.admitted,
        "wrong_admissions": counts.wrong_admissions,
        "refused": counts.refused,
        "judged": counts.judged,
        "wrong_refusals": counts.wrong_refusals,
    })
}

fn side_summary(side: &View<'_>) -> Value {
    json!({
        "name": side.name,
        "domain": side.domain,
        "open": side.available,
        "aside": side.ejected,
        "heard_ms": millis(side.silent),
        "room_mcpu": side.room.cpu,
        "runs": side.runs,
        "slowness": side.slowness,
        "rate": side.rate,
    })
}

/// Returns a side's state as JSON.
pub(super) fn side(kernel: &Guard, local: &Local, now: Duration) -> Value {
    let announcement = kernel.announced();
    let stats = kernel.stats();
    json!({
        "role": "side",
        "name": local.hello.name,
        "domain": local.hello.domain,
        "incarnation": local.hello.incarnation.to_string(),
        "leaving": kernel.is_leaving(),
        "may_start": kernel.is_accepting(now),
        "upstream": {
            "id": announcement.map(|announcement| &announcement.upstream.id),
            "service": announcement.map(|announcement| &announcement.upstream.service),
            "room_mcpu": kernel.free().cpu,
            "rate": kernel.rate(),
        },
        "running": kernel.runs(),
        "counts": {
            "started": stats.started,
            "refused": stats.refused,
            "unanswered": stats.unanswered,
            "orphaned": stats.orphaned,
            "foreign": stats.foreign,
            "lives": stats.restarts,
        },
        "process": process(local),
    })
}
