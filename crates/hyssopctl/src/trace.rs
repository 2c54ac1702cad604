//! Log lines about one job from any number of processes, and the cause of its
//! outcome.

use std::collections::BTreeMap;

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time as logged, in UTC; sorts as text.
    pub time: String,
    /// Name of the process, or of the file if the line does not name one.
    pub process: String,
    /// Value of `event`.
    pub event: String,
    /// The other keys and values in the order of the line, without `level`.
    pub pairs: Vec<(String, String)>,
}

impl Line {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(name, _)| name == key)?;
        Some(&pair.1)
    }

    /// Returns the value of a key as a number; 0 if it is missing or not a number.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Parses a line if it contains the job's identifier.
pub fn parse_matching(text: &str, job: &str, file: &str) -> Option<Line> {
    if text.contains(job) {
        parse(text, file)
    } else {
        None
    }
}

/// Parses a line. The last word before `time=` is the process's name, which log
/// collectors put there; `file` is used if there is none.
pub fn parse(text: &str, file: &str) -> Option<Line> {
    let (prefix, rest) = text.split_at(text.find("time=")?);
    let process = prefix.split_whitespace().last().unwrap_or(file).to_owned();
    let mut pairs: Vec<(String, String)> = rest
        .split_whitespace()
        .filter_map(|word| word.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.trim_matches('"').to_owned()))
        .collect();
    let mut extract = |key: &str| {
        let at = pairs.iter().position(|(name, _)| name == key)?;
        Some(pairs.remove(at).1)
    };
    let time = extract("time")?;
    let event = extract("event")?;
    extract("level");
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
    let forwarded = lines.iter().rposition(|line| line.event == "job_forwarded");
    // What an entry refuses to which a job was forwarded may be forwarded again.
    let refused = lines.iter().rposition(|line| line.event == "refused");
    if let Some(index) = refused.filter(|index| Some(*index) >= forwarded) {
        return refusal(&lines[index]) + &owners(lines);
    }
    let delays = owners(lines) + &delays(lines);
    if let Some(line) = last("forward_lost")
        && last("answered").is_none()
    {
        return format!(
            "owner {} lost after {} ms; a task may have run{delays}",
            line.get("peer").unwrap_or("?"),
            line.number("held_ms")
        );
    }
    if let Some(line) = last("given_up") {
        return format!(
            "given up after {} ms with {} tasks unfinished; a task may have run{delays}",
            line.number("held_ms"),
            line.number("tasks_left")
        );
    }
    if let Some(line) = last("culprit") {
        return format!(
            "failed: {} upstreams crashed with task {}, {} of them shortly after its start{delays}",
            line.number("crashes"),
            line.get("task").unwrap_or("?"),
            line.number("suspicions")
        );
    }
    if let Some(line) = last("answered") {
        let (took, objective) = (line.number("took_ms"), line.number("objective_ms"));
        let state = line.get("state").unwrap_or("?");
        let when = if took <= objective { "in time" } else { "late" };
        return format!("{state} {when}: {took} ms of {objective} ms{delays}");
    }
    if let Some(line) = last("let_go") {
        return format!(
            "submitted again at another entry after {} ms; runs were stopped{delays}",
            line.number("held_ms")
        );
    }
    if let Some(line) = last("abandoned") {
        return format!(
            "the customer disconnected after {} ms; runs were stopped{delays}",
            line.number("held_ms")
        );
    }
    format!("no outcome in these logs{delays}")
}

/// Lists the entries to which a job was forwarded.
fn owners(lines: &[Line]) -> String {
    let owners = lines.iter().filter(|line| line.event == "job_taken_over");
    let owners: Vec<String> = owners
        .map(|line| {
            let from = line.get("from").unwrap_or("?");
            format!("; taken over by {} from {from}", line.process)
        })
        .collect();
    owners.concat()
}

fn refusal(line: &Line) -> String {
    let held = line.number("held_ms");
    let when = if held == 0 {
        "at once".to_owned()
    } else {
        format!("after {held} ms")
    };
    format!(
        "refused {when}, not run: {}; expected wait {} ms, answer useful for {} ms",
        line.get("reason").unwrap_or("?"),
        line.number("wait_ms"),
        line.number("useful_ms")
    )
}

/// Lists what delayed a job: moved runs, runs that did not end well, the slowest
/// run, and the longest wait for placement.
fn delays(lines: &[Line]) -> String {
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
            "run {} reached {} % in {} ms at side {} and was moved",
            line.get("run").unwrap_or("?"),
            line.number("percent"),
            line.number("elapsed_ms"),
            line.get("side").unwrap_or("?")
        ));
    }
    for (ending, (count, spent)) in endings {
        causes.push(format!(
            "{count} runs ended as {ending} after {spent} ms in total"
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
