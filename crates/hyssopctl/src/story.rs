//! A job's story, read from the logs of any number of processes.

use std::collections::BTreeMap;

/// One line about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time as logged; sorts as text.
    pub time: String,
    /// The process, or the file that the line stood in.
    pub process: String,
    /// The event's name.
    pub event: String,
    /// The other pairs, in order.
    pub pairs: Vec<(String, String)>,
}

impl Line {
    /// Returns a value of the line.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(name, _)| name == key)?;
        Some(&pair.1)
    }

    /// Returns a value that is a number; 0 if there is none.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a line if it is about the job. What stands before `time=` is taken for
/// the process's name, as log collectors put it there.
pub fn read(text: &str, job: &str, file: &str) -> Option<Line> {
    if text.contains(job) {
        parse(text, file)
    } else {
        None
    }
}

/// Reads a line, whatever it is about.
pub fn parse(text: &str, file: &str) -> Option<Line> {
    let (before, rest) = text.split_at(text.find("time=")?);
    let process = before.split_whitespace().last().unwrap_or(file).to_owned();
    let mut pairs: Vec<(String, String)> = rest
        .split_whitespace()
        .filter_map(|word| word.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.trim_matches('"').to_owned()))
        .collect();
    let mut take = |key: &str| {
        let at = pairs.iter().position(|(name, _)| name == key)?;
        Some(pairs.remove(at).1)
    };
    let time = take("time")?;
    let event = take("event")?;
    take("level");
    Some(Line {
        time,
        process,
        event,
        pairs,
    })
}

/// Returns the cause of a job's outcome, from its lines in order of time.
pub fn cause(lines: &[Line]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
    if let Some(line) = last("refused") {
        return refusal(line);
    }
    let trouble = trouble(lines);
    if let Some(line) = last("given_up") {
        return format!(
            "given up after {} ms with {} tasks left; a task may have run{trouble}",
            line.number("held_ms"),
            line.number("tasks_left")
        );
    }
    if let Some(line) = last("answered") {
        let (took, objective) = (line.number("took_ms"), line.number("objective_ms"));
        let state = line.get("state").unwrap_or("?");
        let when = if took <= objective { "in time" } else { "late" };
        return format!("{state} {when}: {took} ms of {objective} ms{trouble}");
    }
    if let Some(line) = last("abandoned") {
        return format!(
            "its customer left after {} ms; runs were stopped{trouble}",
            line.number("held_ms")
        );
    }
    format!("no outcome in these logs{trouble}")
}

fn refusal(line: &Line) -> String {
    let held = line.number("held_ms");
    let when = if held == 0 {
        "at once".to_owned()
    } else {
        format!("after {held} ms")
    };
    format!(
        "refused {when}, not run: {}; expected wait {} ms, an answer was of use for {} ms",
        line.get("reason").unwrap_or("?"),
        line.number("wait_ms"),
        line.number("useful_ms")
    )
}

/// Names what cost a job its time, the largest first.
fn trouble(lines: &[Line]) -> String {
    let mut causes = Vec::new();
    let waited = lines
        .iter()
        .filter(|line| line.event == "placed")
        .map(|line| line.number("waited_ms"))
        .max()
        .unwrap_or(0);
    let mut endings: BTreeMap<&str, (u32, u64)> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == "ended") {
        let ending = line.get("ending").unwrap_or("?");
        if ending != "done" {
            let entry = endings.entry(ending).or_default();
            entry.0 += 1;
            entry.1 += line.number("spent_ms");
        }
    }
    for line in lines.iter().filter(|line| line.event == "moved") {
        causes.push(format!(
            "run {} made {} % in {} ms at side {}, so it was moved",
            line.get("run").unwrap_or("?"),
            line.number("percent"),
            line.number("elapsed_ms"),
            line.get("side").unwrap_or("?")
        ));
    }
    for (ending, (count, spent)) in endings {
        causes.push(format!(
            "{count} runs ended {ending} after {spent} ms in all"
        ));
    }
    let slowest = lines
        .iter()
        .filter(|line| line.event == "ended" && line.get("ending") == Some("done"))
        .max_by_key(|line| line.number("spent_ms"));
    if let Some(line) = slowest {
        causes.push(format!(
            "slowest run {} took {} ms at side {}",
            line.get("run").unwrap_or("?"),
            line.number("spent_ms"),
            line.get("side").unwrap_or("?")
        ));
    }
    if waited > 0 {
        causes.push(format!("last task placed after {waited} ms"));
    }
    if causes.is_empty() {
        String::new()
    } else {
        format!("; {}", causes.join("; "))
    }
}
