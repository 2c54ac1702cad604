//! The entry's metrics, named by the conventions of Prometheus.

use crate::{link::Local, meter};
use kernel::{entry::Entry, fleet::Member};
use metrics::{counter, gauge};
use std::time::Duration;

/// Publishes the entry's counters and gauges.
pub(super) fn publish(kernel: &Entry, local: &Local, now: Duration) {
    let name = local.hello.name.clone();
    let stats = kernel.stats();
    let counts = [
        ("hyssoppost_jobs_accepted_total", stats.jobs),
        ("hyssoppost_jobs_completed_total", stats.completed),
        ("hyssoppost_tasks_sent_total", stats.tasks),
        ("hyssoppost_run_frames_total", stats.runs),
        ("hyssoppost_results_total", stats.results),
        ("hyssoppost_sides_set_aside_total", stats.ejections),
        (
            "hyssoppost_heartbeat_misses_total",
            stats.silent_connections,
        ),
        (
            "hyssoppost_configurations_refused_total",
            stats.stale_configs,
        ),
    ];
    for (metric, value) in counts {
        counter!(metric, "entry" => name.clone()).absolute(value);
    }
    for (cause, value) in &stats.wasted {
        counter!("hyssoppost_wasted_messages_total", "entry" => name.clone(), "cause" => *cause)
            .absolute(*value);
    }
    for (code, value) in &stats.failures {
        let code = code.to_string();
        counter!("hyssoppost_jobs_failed_total", "entry" => name.clone(), "code" => code)
            .absolute(*value);
    }
    let ejected = |(_, member): &(_, &Member)| member.ejected_until.is_some();
    let ejected = kernel.fleet().iter().filter(ejected).count();
    let gauges = [
        ("hyssoppost_tasks_queued", meter::count(kernel.queued())),
        ("hyssoppost_sides", meter::count(kernel.fleet().len())),
        ("hyssoppost_sides_aside", meter::count(ejected)),
        (
            "hyssoppost_configuration_age_seconds",
            kernel.config_age(now).as_secs_f64(),
        ),
    ];
    for (metric, value) in gauges {
        gauge!(metric, "entry" => name.clone()).set(value);
    }
    meter::publish(&name, local);
}
