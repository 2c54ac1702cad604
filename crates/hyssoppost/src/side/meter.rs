//! The side's metrics, named by the conventions of Prometheus.

use crate::{link::Local, meter};
use kernel::side::Side;
use metrics::{counter, gauge};
use std::time::Duration;

/// Publishes the side's counters and gauges.
pub(super) fn publish(kernel: &Side, local: &Local, now: Duration) {
    let name = local.hello.name.clone();
    let stats = kernel.stats();
    counter!("hyssoppost_tasks_started_total", "side" => name.clone()).absolute(stats.started);
    for (code, value) in &stats.refused {
        let code = code.to_string();
        counter!("hyssoppost_tasks_refused_total", "side" => name.clone(), "code" => code)
            .absolute(*value);
    }
    let load = kernel.load();
    let gauges = [
        ("hyssoppost_tasks_running", f64::from(load.running)),
        ("hyssoppost_side_tasks_queued", f64::from(load.queued)),
        (
            "hyssoppost_jobs_remembered",
            meter::count(kernel.remembered()),
        ),
        (
            "hyssoppost_configuration_age_seconds",
            kernel.config_age(now).as_secs_f64(),
        ),
    ];
    for (metric, value) in gauges {
        gauge!(metric, "side" => name.clone()).set(value);
    }
    meter::publish(&name, local);
}
