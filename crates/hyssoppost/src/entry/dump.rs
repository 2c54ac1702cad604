//! State dump of an entry as JSON.

use crate::{link::Local, logging, usage};
use kernel::{
    entry::Entry,
    fleet::{Link, Member},
    millis,
};
use serde_json::{Value, json};
use std::{sync::atomic::Ordering, time::Duration};

/// Most open jobs listed in a dump.
const MAX_LISTED_JOBS: usize = 1_000;

pub(super) fn entry(kernel: &Entry, local: &Local, now: Duration) -> Value {
    let sides: Vec<Value> = kernel
        .fleet()
        .iter()
        .map(|(_, member)| side(member, now))
        .collect();
    let jobs: Vec<Value> = kernel
        .open_jobs()
        .take(MAX_LISTED_JOBS)
        .map(|(id, work)| {
            json!({
                "job": id.to_string(),
                "service": work.submission.service,
                "kind": work.submission.kind,
                "team": work.submission.team,
                "tasks": work.tasks.len(),
                "answered": work.answered,
                "waiting": work.waiting.len(),
                "age_ms": millis(now.saturating_sub(work.accepted)),
                "customers": work.customers.len(),
            })
        })
        .collect();
    let peers: Vec<Value> = kernel
        .peers()
        .map(|(incarnation, peer)| {
            json!({
                "name": peer.name,
                "incarnation": incarnation.to_string(),
                "heard_ms": millis(now.saturating_sub(peer.last_received)),
            })
        })
        .collect();
    json!({
        "role": "entry",
        "name": local.hello.name,
        "domain": local.hello.domain,
        "incarnation": local.hello.incarnation.to_string(),
        "leaving": kernel.is_leaving(),
        "configuration": configuration(kernel, now),
        "queued_tasks": kernel.queued(),
        "open_jobs": kernel.open_jobs().count(),
        "jobs": jobs,
        "sides": sides,
        "entries": peers,
        "counts": counts(kernel),
        "process": process(local),
    })
}

/// Returns the processor time, memory, traffic and dropped log lines of this
/// process.
pub(crate) fn process(local: &Local) -> Value {
    let usage = usage::read();
    let traffic = &local.traffic;
    json!({
        "cpu_seconds": usage.cpu_seconds,
        "resident_bytes": usage.resident_bytes,
        "frames_sent": traffic.frames_sent.load(Ordering::Relaxed),
        "frames_received": traffic.frames_received.load(Ordering::Relaxed),
        "bytes_sent": traffic.bytes_sent.load(Ordering::Relaxed),
        "control_bytes_sent": traffic.control_bytes_sent.load(Ordering::Relaxed),
        "connections_refused": traffic.refused.load(Ordering::Relaxed),
        "log_lines_dropped": logging::dropped(),
    })
}

fn configuration(kernel: &Entry, now: Duration) -> Value {
    match kernel.config() {
        None => Value::Null,
        Some(config) => json!({
            "revision": config.revision,
            "change": config.change,
            "age_ms": millis(kernel.config_age(now)),
            "domains_out": kernel.document().out,
        }),
    }
}

fn side(member: &Member, now: Duration) -> Value {
    let link = match member.link {
        Link::Joining => "joining".to_owned(),
        Link::Up => "up".to_owned(),
        Link::Lost(at) => format!("lost for {} ms", millis(now.saturating_sub(at))),
    };
    json!({
        "name": member.name,
        "incarnation": member.incarnation.to_string(),
        "domain": member.domain,
        "rack": member.rack,
        "service": member.offer.service,
        "kinds": member.offer.kinds,
        "slots": member.offer.slots,
        "link": link,
        "heard_ms": millis(now.saturating_sub(member.last_received)),
        "allowed": member.allowed,
        "leaving": member.leaving,
        "ready": member.ready,
        "own_tasks": member.own_tasks,
        "other_tasks": member.other_tasks,
        "failures": member.failures,
        "aside_ms": member.ejected_until.map(|until| millis(until.saturating_sub(now))),
    })
}

fn counts(kernel: &Entry) -> Value {
    let stats = kernel.stats();
    json!({
        "jobs": stats.jobs,
        "completed": stats.completed,
        "tasks_sent": stats.tasks,
        "run_frames": stats.runs,
        "results": stats.results,
        "wasted": stats.wasted,
        "failures_by_code": stats.failures,
        "set_aside": stats.ejections,
        "silences": stats.silent_connections,
        "stale_configs": stats.stale_configs,
    })
}
