//! Formats runs as tables and plots.

use super::runner::{Run, Sample};
use crate::{Error, util};
use plotters::prelude::*;
use std::{fmt::Write, path::Path, time::Duration};

/// A dip is a time in which less than this share of the usable slots is busy.
const DIP_THRESHOLD: f64 = 0.9;

const PLOT_SIZE: (u32, u32) = (960, 480);
const LINE_COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Use of the slots in a phase of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// Start, from the start of the run.
    pub from: Duration,
    /// End, from the start of the run.
    pub to: Duration,
    /// Mean share of the usable slots that were busy, from 0 to 1.
    pub busy: f64,
    /// Longest dip: time with less than 90 % of the usable slots busy.
    pub dip: Duration,
}

/// Splits a run into phases at the times of its events.
pub fn phases(samples: &[Sample], event_times: &[Duration], end: Duration) -> Vec<Phase> {
    let mut edges = vec![Duration::ZERO];
    edges.extend(event_times.iter().filter(|event_time| **event_time < end));
    edges.push(end);
    edges.dedup();
    edges
        .windows(2)
        .map(|edge| phase(samples, edge[0], edge[1]))
        .collect()
}

fn phase(samples: &[Sample], from: Duration, to: Duration) -> Phase {
    let inside: Vec<&Sample> = samples
        .iter()
        .filter(|sample| sample.at >= from && sample.at < to)
        .collect();
    let busy: u64 = inside.iter().map(|sample| u64::from(sample.busy)).sum();
    let usable: u64 = inside.iter().map(|sample| u64::from(sample.usable)).sum();
    let mut dip = Duration::ZERO;
    let mut dip_start = None;
    for sample in &inside {
        if share(sample) < DIP_THRESHOLD {
            let dip_start = *dip_start.get_or_insert(sample.at);
            dip = dip.max(sample.at.saturating_sub(dip_start));
        } else {
            dip_start = None;
        }
    }
    Phase {
        from,
        to,
        busy: ratio(busy, usable),
        dip,
    }
}

fn share(sample: &Sample) -> f64 {
    ratio(sample.busy.into(), sample.usable.into())
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Formats the statistics of runs as a Markdown table.
pub fn markdown(runs: &[Run]) -> String {
    let mut text = String::from(
        "| policy | jobs | complete | p50 | p99 | p99.9 | messages a task | wasted | failures by code | double starts | partial |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for run in runs {
        let report = &run.report;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} % | {:?} | {} | {} |",
            run.policy,
            report.jobs,
            report.complete,
            report.ratio_p50,
            report.ratio_p99,
            report.ratio_p999,
            report.messages_per_task,
            report.wasted_share * 100.0,
            report.failures,
            report.double_starts,
            report.partial,
        );
    }
    text
}

/// Writes the statistics of runs as CSV.
pub fn write_csv(runs: &[Run], path: &Path) -> Result<(), Error> {
    let mut text = String::from(
        "policy,jobs,complete,ratio_p50,ratio_p99,ratio_p999,messages_per_task,wasted_share,failed,double_starts,partial\n",
    );
    for run in runs {
        let report = &run.report;
        let failed: usize = report.failures.values().sum();
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{},{},{failed},{},{}",
            run.policy,
            report.jobs,
            report.complete,
            report.ratio_p50,
            report.ratio_p99,
            report.ratio_p999,
            report.messages_per_task,
            report.wasted_share,
            report.double_starts,
            report.partial,
        );
    }
    util::write_output(path, text.as_bytes())
}

/// Plots the busy share of the usable slots over time, one line per policy.
pub fn write_plot(runs: &[Run], title: &str, path: &Path) -> Result<(), Error> {
    draw(runs, title, path).map_err(|error| Error::Failed(format!("plot: {error}")))
}

fn draw(
    runs: &[Run],
    title: &str,
    path: &Path,
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let end = runs
        .iter()
        .filter_map(|run| run.samples.last())
        .map(|sample| sample.at.as_secs_f64())
        .fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("busy share of usable slots")
        .draw()?;
    for (run, colour) in runs.iter().zip(LINE_COLOURS.iter().cycle()) {
        let points = run
            .samples
            .iter()
            .map(|sample| (sample.at.as_secs_f64(), share(sample)));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(run.policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()
}
