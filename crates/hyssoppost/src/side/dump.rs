//! State dump of a side as JSON.

use crate::{entry, link::Local};
use kernel::{millis, side::Side};
use serde_json::{Value, json};
use std::time::Duration;

pub(super) fn side(kernel: &Side, local: &Local, now: Duration) -> Value {
    let entries: Vec<String> = kernel
        .connected()
        .map(|incarnation| incarnation.to_string())
        .collect();
    let configuration = kernel.state().map(|state| {
        json!({
            "revision": kernel.revision(),
            "state": format!("{state:?}"),
            "age_ms": millis(kernel.config_age(now)),
            "copy": kernel.config().map(|config| config.revision),
        })
    });
    let load = kernel.load();
    let stats = kernel.stats();
    json!({
        "role": "side",
        "name": local.hello.name,
        "domain": local.hello.domain,
        "rack": local.hello.rack,
        "incarnation": local.hello.incarnation.to_string(),
        "leaving": kernel.is_leaving(),
        "may_start": kernel.may_start(now),
        "configuration": configuration,
        "upstream": {
            "service": kernel.offered().service,
            "kinds": kernel.offered().kinds,
            "slots": kernel.offered().slots,
        },
        "running": load.running,
        "queued": load.queued,
        "jobs_remembered": kernel.remembered(),
        "entries": entries,
        "counts": {
            "started": stats.started,
            "refused_by_code": stats.refused,
            "wasted": stats.wasted,
            "stale_configs": stats.stale_configs,
        },
        "process": entry::process(local),
    })
}
