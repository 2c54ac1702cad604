//! Statistics of a run.

use super::{load::Outcome, site::Site};
use crate::Error;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The histogram holds ratios in thousandths.
const THOUSANDTHS: f64 = 1e3;

/// Upper bound of recorded ratios, in thousandths; higher ones are clamped.
const MAX_RATIO: u64 = 10_000_000;

/// Traffic of a site, summed over its processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Number of frames sent by all entries and sides.
    pub frames: u64,
    /// Number of frames that entries counted as wasted.
    pub wasted: u64,
    /// Number of tasks that entries sent to sides.
    pub tasks: u64,
    /// Bytes of heartbeats, offers and configuration sent by all processes.
    pub control_bytes: u64,
}

impl Traffic {
    /// Returns the traffic since the start of the processes.
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

/// Statistics of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs that are complete with a correct answer.
    pub complete: usize,
    /// Number of jobs reported as complete with a missing or wrong answer.
    pub partial: usize,
    /// Number of other jobs by result code; 0 for a lost connection.
    pub failures: BTreeMap<u16, usize>,
    /// Median of response time / ideal response time, for correct answers.
    pub ratio_p50: f64,
    /// 99th percentile of the same ratio.
    pub ratio_p99: f64,
    /// 99.9th percentile of the same ratio.
    pub ratio_p999: f64,
    /// Frames sent by entries and sides per task.
    pub messages_per_task: f64,
    /// Share of the frames that entries counted as wasted, from 0 to 1.
    pub wasted_share: f64,
    /// Number of tasks that were started at least once.
    pub started: usize,
    /// Number of tasks that were started more than once.
    pub double_starts: usize,
}

impl Report {
    /// Computes the statistics of a run.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constant and valid.
    pub fn new(outcomes: &[Outcome], traffic: Traffic, site: &Site) -> Self {
        let mut ratios = Histogram::<u64>::new_with_bounds(1, MAX_RATIO, 3).expect("valid bounds");
        let mut failures = BTreeMap::new();
        let mut partial = 0;
        for outcome in outcomes {
            match outcome.code {
                Some(0) if outcome.correct => ratios.saturating_record(ratio(outcome)),
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

    /// Returns an error if a guarantee was violated.
    pub fn check(&self) -> Result<(), Error> {
        if self.partial > 0 || self.double_starts > 0 {
            return Err(Error::Failed(format!(
                "guarantee violated: {} partial answers, {} double starts",
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
    (outcome.response_time.as_secs_f64() / outcome.ideal.as_secs_f64() * THOUSANDTHS) as u64
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn thousandths(value: u64) -> f64 {
    value as f64 / THOUSANDTHS
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
