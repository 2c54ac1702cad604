//! Metrics that entries and sides share: the process's traffic, processor time
//! and memory.

use crate::{link::Local, usage};
use metrics::{counter, gauge};
use std::{sync::atomic::Ordering, time::Duration};

/// Interval at which gauges and counters are published.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the process's traffic, processor time and memory.
pub(crate) fn publish(name: &str, local: &Local) {
    let traffic = &local.traffic;
    let counts = [
        ("hyssoppost_frames_sent_total", &traffic.frames_sent),
        ("hyssoppost_frames_received_total", &traffic.frames_received),
        ("hyssoppost_sent_bytes_total", &traffic.bytes_sent),
        (
            "hyssoppost_control_sent_bytes_total",
            &traffic.control_bytes_sent,
        ),
        ("hyssoppost_connections_refused_total", &traffic.refused),
    ];
    for (metric, value) in counts {
        let value = value.load(Ordering::Relaxed);
        counter!(metric, "process" => name.to_owned()).absolute(value);
    }
    let usage = usage::read();
    gauge!("hyssoppost_cpu_seconds", "process" => name.to_owned()).set(usage.cpu_seconds);
    gauge!("hyssoppost_resident_bytes", "process" => name.to_owned())
        .set(bytes(usage.resident_bytes));
}

/// Counts a call to the platform's store.
pub(crate) fn count_call<T, E>(call: &'static str, result: &Result<T, E>) {
    let result = if result.is_ok() { "ok" } else { "failed" };
    counter!("hyssoppost_store_calls_total", "call" => call, "result" => result).increment(1);
}

/// Converts a count to the value of a gauge.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn count(value: usize) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "memory stays far below 2^52 bytes"
)]
fn bytes(value: u64) -> f64 {
    value as f64
}
