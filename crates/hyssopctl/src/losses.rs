//! Counts lost jobs by queue and cause, from the logs of any number of processes.

use crate::trace::Line;
use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter, Result},
};

/// Length of a logged time up to its second.
const SECOND_LENGTH: usize = "2026-12-04T07:38:14".len();

/// Number of seconds listed, those with the most losses.
const WORST_SECONDS: usize = 5;

/// How a job was lost. Sampling does not drop these lines; only the rate limit
/// of a process's log does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    RefusedAtOnce,
    RefusedLater,
    GivenUp,
    Failed,
    Late,
}

const CAUSES: [Cause; 5] = [
    Cause::RefusedAtOnce,
    Cause::RefusedLater,
    Cause::GivenUp,
    Cause::Failed,
    Cause::Late,
];

/// Keys of the numbers of a line with decisions, in the order of the printed columns.
const DECISIONS: [&str; 9] = [
    "admitted",
    "missed",
    "given_up",
    "wrong_admissions",
    "earlier",
    "later",
    "refused",
    "judged",
    "wrong_refusals",
];

/// Sums of a queue's decisions.
#[derive(Debug, Default)]
struct Decisions([u64; DECISIONS.len()]);

impl Decisions {
    fn add(&mut self, line: &Line) {
        for (sum, key) in self.0.iter_mut().zip(DECISIONS) {
            *sum = sum.saturating_add(line.number(key));
        }
    }
}

/// Counts of lost jobs and of failed runs.
#[derive(Debug, Default)]
pub struct Losses {
    queues: BTreeMap<String, BTreeMap<Cause, u64>>,
    reasons: BTreeMap<String, u64>,
    endings: BTreeMap<String, u64>,
    seconds: BTreeMap<String, u64>,
    decisions: BTreeMap<String, Decisions>,
    suppressed: u64,
}

impl Losses {
    /// Counts the loss that a line reports, if any.
    pub fn count_line(&mut self, line: &Line) {
        let cause = match line.event.as_str() {
            "refused" if line.get("held_ms") == Some("0") => Cause::RefusedAtOnce,
            "refused" => Cause::RefusedLater,
            "given_up" | "forward_lost" => Cause::GivenUp,
            "answered" => match answer_cause(line) {
                Some(cause) => cause,
                None => return,
            },
            "ended" => {
                // Earlier versions wrote refusals with a capital.
                let ending = line.get("ending").unwrap_or("?").to_ascii_lowercase();
                if !matches!(ending.as_str(), "done" | "stopped" | "not_run:room") {
                    *self.endings.entry(ending).or_default() += 1;
                }
                return;
            }
            "decisions" => {
                let queue = line.get("queue").unwrap_or("-").to_owned();
                self.decisions.entry(queue).or_default().add(line);
                return;
            }
            "log_suppressed" | "log_dropped" => {
                self.suppressed += line.number("lines");
                return;
            }
            _ => return,
        };
        let queue = line.get("queue").unwrap_or("-").to_owned();
        *self
            .queues
            .entry(queue)
            .or_default()
            .entry(cause)
            .or_default() += 1;
        if let Some(reason) = line.get("reason") {
            *self.reasons.entry(reason.to_owned()).or_default() += 1;
        }
        let second = line
            .time
            .get(..SECOND_LENGTH)
            .unwrap_or(&line.time)
            .to_owned();
        *self.seconds.entry(second).or_default() += 1;
    }
}

fn answer_cause(line: &Line) -> Option<Cause> {
    if line.get("state") == Some("failed") {
        Some(Cause::Failed)
    } else {
        let late = line.number("took_ms") > line.number("objective_ms");
        (late && line.get("state") == Some("completed")).then_some(Cause::Late)
    }
}

impl Display for Losses {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        writeln!(
            formatter,
            "{:<24}{:>12}{:>12}{:>12}{:>12}{:>12}",
            "queue", "refused", "later", "given up", "failed", "late"
        )?;
        let mut all: BTreeMap<Cause, u64> = BTreeMap::new();
        for (queue, causes) in &self.queues {
            write_row(formatter, queue, causes)?;
            for (cause, count) in causes {
                *all.entry(*cause).or_default() += count;
            }
        }
        write_row(formatter, "all", &all)?;
        write_counts(formatter, "refused for", &self.reasons)?;
        write_counts(formatter, "runs that ended", &self.endings)?;
        let mut worst: Vec<(&String, &u64)> = self.seconds.iter().collect();
        worst.sort_by(|left, right| right.1.cmp(left.1).then(left.0.cmp(right.0)));
        for (second, count) in worst.into_iter().take(WORST_SECONDS) {
            writeln!(formatter, "worst second {second}: {count}")?;
        }
        write_decisions(formatter, &self.decisions)?;
        if self.suppressed > 0 {
            writeln!(formatter, "lines that were not logged: {}", self.suppressed)?;
        }
        Ok(())
    }
}

fn write_row(formatter: &mut Formatter<'_>, name: &str, causes: &BTreeMap<Cause, u64>) -> Result {
    write!(formatter, "{name:<24}")?;
    for cause in CAUSES {
        let count = causes.get(&cause).copied().unwrap_or(0);
        write!(formatter, "{count:>12}")?;
    }
    writeln!(formatter)
}

fn write_decisions(
    formatter: &mut Formatter<'_>,
    decisions: &BTreeMap<String, Decisions>,
) -> Result {
    if decisions.is_empty() {
        return Ok(());
    }
    writeln!(
        formatter,
        "\n{:<24}{:>9}{:>9}{:>9}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}",
        "decisions",
        "admitted",
        "missed",
        "given up",
        "wrong",
        "wrong %",
        "earlier",
        "later",
        "refused",
        "judged",
        "wrong",
        "wrong %"
    )?;
    for (queue, Decisions(sums)) in decisions {
        let [
            admitted,
            missed,
            given_up,
            wrong_admissions,
            earlier,
            later,
            refused,
            judged,
            wrong_refusals,
        ] = sums;
        writeln!(
            formatter,
            "{queue:<24}{admitted:>9}{missed:>9}{given_up:>9}{wrong_admissions:>9}{:>8}\
             {earlier:>9}{later:>9}{refused:>9}{judged:>9}{wrong_refusals:>9}{:>8}",
            percentage(*wrong_admissions, *admitted),
            percentage(*wrong_refusals, *judged)
        )?;
    }
    Ok(())
}

/// Returns a part in percent with one decimal; `-` of nothing.
fn percentage(part: u64, all: u64) -> String {
    let per_mille = part
        .saturating_mul(1_000)
        .saturating_add(all / 2)
        .checked_div(all);
    per_mille.map_or_else(
        || "-".to_owned(),
        |per_mille| format!("{}.{}", per_mille / 10, per_mille % 10),
    )
}

fn write_counts(
    formatter: &mut Formatter<'_>,
    title: &str,
    counts: &BTreeMap<String, u64>,
) -> Result {
    if counts.is_empty() {
        return Ok(());
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    writeln!(formatter, "{title}: {}", counts.join(", "))
}
