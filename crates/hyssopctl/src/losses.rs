//! What was lost, by queue and cause, from the logs of any number of processes.

use crate::story::Line;
use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter, Result},
};

/// Characters of a logged time that name its second.
const SECOND: usize = "2026-12-04T07:38:14".len();

/// Seconds listed, those with the most losses.
const WORST: usize = 5;

/// How a job was lost. All of these are logged for each job, whatever is
/// sampled, up to the rate that a process logs.
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

/// Losses counted.
#[derive(Debug, Default)]
pub struct Losses {
    queues: BTreeMap<String, BTreeMap<Cause, u64>>,
    reasons: BTreeMap<String, u64>,
    endings: BTreeMap<String, u64>,
    seconds: BTreeMap<String, u64>,
    suppressed: u64,
}

impl Losses {
    /// Counts a line.
    pub fn take(&mut self, line: &Line) {
        let cause = match line.event.as_str() {
            "refused" if line.get("held_ms") == Some("0") => Cause::RefusedAtOnce,
            "refused" => Cause::RefusedLater,
            "given_up" => Cause::GivenUp,
            "answered" => match answered(line) {
                Some(cause) => cause,
                None => return,
            },
            "ended" => {
                let ending = line.get("ending").unwrap_or("?");
                if !matches!(ending, "done" | "stopped" | "not_run:Room") {
                    *self.endings.entry(ending.to_owned()).or_default() += 1;
                }
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
        let second = line.time.get(..SECOND).unwrap_or(&line.time).to_owned();
        *self.seconds.entry(second).or_default() += 1;
    }
}

fn answered(line: &Line) -> Option<Cause> {
    if line.get("state") == Some("failed") {
        Some(Cause::Failed)
    } else {
        let late = line.number("took_ms") > line.number("objective_ms");
        (late && line.get("state") == Some("completed")).then_some(Cause::Late)
    }
}

impl Display for Losses {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        writeln!(
            to,
            "{:<24}{:>12}{:>12}{:>12}{:>12}{:>12}",
            "queue", "refused", "later", "given up", "failed", "late"
        )?;
        let mut all: BTreeMap<Cause, u64> = BTreeMap::new();
        for (queue, causes) in &self.queues {
            write_row(to, queue, causes)?;
            for (cause, count) in causes {
                *all.entry(*cause).or_default() += count;
            }
        }
        write_row(to, "all", &all)?;
        write_counts(to, "refused for", &self.reasons)?;
        write_counts(to, "runs that ended", &self.endings)?;
        let mut worst: Vec<(&String, &u64)> = self.seconds.iter().collect();
        worst.sort_by(|left, right| right.1.cmp(left.1).then(left.0.cmp(right.0)));
        for (second, count) in worst.into_iter().take(WORST) {
            writeln!(to, "worst second {second}: {count}")?;
        }
        if self.suppressed > 0 {
            writeln!(to, "lines that were not logged: {}", self.suppressed)?;
        }
        Ok(())
    }
}

fn write_row(to: &mut Formatter<'_>, name: &str, causes: &BTreeMap<Cause, u64>) -> Result {
    write!(to, "{name:<24}")?;
    for cause in CAUSES {
        let count = causes.get(&cause).copied().unwrap_or(0);
        write!(to, "{count:>12}")?;
    }
    writeln!(to)
}

fn write_counts(to: &mut Formatter<'_>, what: &str, counts: &BTreeMap<String, u64>) -> Result {
    if counts.is_empty() {
        return Ok(());
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    writeln!(to, "{what}: {}", counts.join(", "))
}
