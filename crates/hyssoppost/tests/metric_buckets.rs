//! Buckets of the exported histograms.

use hyssoppost::admin::{FORECAST_ERROR, recorder};
use metrics::histogram;

/// Jobs that start earlier than forecast must not all fall below the first bound.
#[test]
fn signed_errors() {
    let handle = recorder();
    histogram!(FORECAST_ERROR).record(-0.15);
    histogram!(FORECAST_ERROR).record(0.3);
    let text = handle.render();
    for (bound, count) in [("-0.2", 0), ("-0.1", 1), ("0.2", 1), ("0.4", 2)] {
        let line = format!("{FORECAST_ERROR}_bucket{{le=\"{bound}\"}} {count}\n");
        assert!(text.contains(&line), "{line} is not in\n{text}");
    }
}
