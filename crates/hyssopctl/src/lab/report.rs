//! Figures of a run.

use super::{load::Outcome, site::Site};
use crate::Error;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Ratios are recorded in thousandths.
const SCALE: f64 = 1e3;

/// Highest ratio recorded, in thousandths; higher ones count as this.
const HIGHEST: u64 = 10_000_000;

/// Traffic of a site, summed over its processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Frames sent between the system's processes.
    pub frames: u64,
    /// Frames that moved no work forward.
    pub wasted: u64,
    /// Tasks that entries sent.
    pub tasks: u64,
    /// Bytes of heartbeats, offers and configuration, sent by all processes.
    pub control_bytes: u64,
}

impl Traffic {
    /// Reads the traffic so far.
    pub async fn read(site: &Site) -> Result<Self, Error> {
        let (entries, sides) = site.dumps().await?;
        let mut traffic = Self::default();
        for dump in entries.iter().chain(&sides) {
            traffic.frames += dump["process"]["frames_sent"].as_u64().unwrap_or_default();
        }
        for dump in entries.iter().chain(&sides) {
            let bytes = &dump["process"]["control_bytes_sent"];
            traffic.control_bytes += bytes.as_u64().unwrap_or_default();
        }
        for dump in &entries {
            let counts = &dump["counts"];
            traffic.tasks += counts["tasks_sent"].as_u64().unwrap_or_default();
            traffic.wasted += sum(&counts["wasted"]);
        }
        Ok(traffic)
    }

    /// Returns the traffic since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            frames: self.frames.saturating_sub(earlier.frames),
            wasted: self.wasted.saturating_sub(earlier.wasted),
            tasks: self.tasks.saturating_sub(earlier.tasks),
            control_bytes: self.control_bytes.saturating_sub(earlier.control_bytes),
        }
    }
}

fn sum(object: &Value) -> u64 {
    let values = object.as_object().into_iter().flat_map(|map| map.values());
    values.filter_map(Value::as_u64).sum()
}

/// Figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs answered whole.
    pub complete: usize,
    /// Jobs answered as complete without every task's own answer.
    pub partial: usize,
    /// Jobs that ended otherwise, by result code; 0 for a lost connection.
    pub failures: BTreeMap<u16, usize>,
    /// Response time against the ideal, of whole answers.
    pub ratio_p50: f64,
    /// As above.
    pub ratio_p99: f64,
    /// As above.
    pub ratio_p999: f64,
    /// Frames between the system's processes for each task.
    pub messages_per_task: f64,
    /// Share of frames that moved no work forward.
    pub wasted_share: f64,
    /// Tasks started.
    pub started: usize,
    /// Tasks started more than once.
    pub double_starts: usize,
}

impl Report {
    /// Sums up a run.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are valid.
    pub fn new(outcomes: &[Outcome], traffic: Traffic, site: &Site) -> Self {
        let mut ratios = Histogram::<u64>::new_with_bounds(1, HIGHEST, 3).expect("valid bounds");
        let mut failures = BTreeMap::new();
        let mut partial = 0;
        for outcome in outcomes {
            match outcome.code {
                Some(0) if outcome.whole => ratios.saturating_record(ratio(outcome)),
                Some(0) => partial += 1,
                code => *failures.entry(code.unwrap_or_default()).or_default() += 1,
            }
        }
        let quantile = |quantile| thousandths(ratios.value_at_quantile(quantile));
        let (started, double_starts) = site.audit.totals();
        Self {
            jobs: outcomes.len(),
            complete: usize::try_from(ratios.len()).unwrap_or(usize::MAX),
            partial,
            failures,
            ratio_p50: quantile(0.5),
            ratio_p99: quantile(0.99),
            ratio_p999: quantile(0.999),
            messages_per_task: share(traffic.frames, traffic.tasks),
            wasted_share: share(traffic.wasted, traffic.frames),
            started,
            double_starts,
        }
    }

    /// Fails if a promise was broken.
    pub fn check(&self) -> Result<(), Error> {
        if self.partial > 0 || self.double_starts > 0 {
            return Err(Error::Failed(format!(
                "promise broken: {} partial answers, {} double starts",
                self.partial, self.double_starts
            )));
        }
        Ok(())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn ratio(outcome: &Outcome) -> u64 {
    (outcome.took.as_secs_f64() / outcome.ideal.as_secs_f64() * SCALE) as u64
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn thousandths(value: u64) -> f64 {
    value as f64 / SCALE
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
