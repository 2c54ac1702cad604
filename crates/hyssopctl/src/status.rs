//! Summary of several processes, from their dumps.

use serde::Serialize;
use serde_json::Value;
use std::fmt::Write;

/// Summary of one process; `None` where its role has no such value.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// Admin address, as IP:port.
    pub address: String,
    /// `entry` or `side`; empty if the process was not reached.
    pub role: String,
    /// Name from the process's settings; empty if it was not reached.
    pub name: String,
    /// Failure domain; empty if the process was not reached.
    pub domain: String,
    /// `ready`, `waiting`, `leaving` or `unreachable`.
    pub state: String,
    /// Revision of the configuration in force.
    pub configuration: Option<u64>,
    /// Open jobs of an entry, running tasks of a side.
    pub work: Option<u64>,
    /// Tasks queued for capacity.
    pub waiting: Option<u64>,
    /// Number of sides known to an entry.
    pub sides: Option<usize>,
    /// Number of sides to which an entry sends tasks.
    pub usable: Option<usize>,
    /// Learnt speed of a side's host, per mille of the usual; of an entry the lowest
    /// of the sides that it uses.
    pub slowest: Option<u64>,
    /// The same; of an entry the highest.
    pub fastest: Option<u64>,
    /// Part of an entry's settled admissions that was wrong, in percent.
    pub wrong_admissions: Option<f64>,
    /// Part of its judged refusals that was wrong, in percent.
    pub wrong_refusals: Option<f64>,
    /// Names of the sides that an entry has ejected.
    #[serde(rename = "aside")]
    pub ejected: Vec<String>,
    /// Why the process was not reached.
    pub error: Option<String>,
}

impl Row {
    /// Returns the row of a process that was not reached.
    pub fn unreachable(address: &str, error: &str) -> Self {
        Self {
            address: address.to_owned(),
            state: "unreachable".to_owned(),
            error: Some(error.to_owned()),
            ..Self::default()
        }
    }

    /// Returns the row of a process from its dump.
    pub fn read(address: &str, dump: &Value) -> Self {
        let text = |key: &str| dump[key].as_str().unwrap_or_default().to_owned();
        let role = text("role");
        let sides = dump["sides"].as_array();
        let own_rate = dump["upstream"]["rate"].as_u64();
        let usable = sides.into_iter().flatten().filter(|side| is_usable(side));
        let rates: Vec<u64> = usable.filter_map(|side| side["rate"].as_u64()).collect();
        let work = if role == "side" {
            "running"
        } else {
            "open_jobs"
        };
        Self {
            address: address.to_owned(),
            name: text("name"),
            domain: text("domain"),
            state: state(dump).to_owned(),
            configuration: dump["configuration"]["revision"].as_u64(),
            work: dump[work].as_u64(),
            waiting: dump["queued_tasks"].as_u64().or(dump["queued"].as_u64()),
            sides: sides.map(Vec::len),
            usable: sides.map(|sides| sides.iter().filter(|side| is_usable(side)).count()),
            slowest: own_rate.or(rates.iter().min().copied()),
            fastest: own_rate.or(rates.iter().max().copied()),
            wrong_admissions: percentage(dump, "wrong_admissions", "admitted"),
            wrong_refusals: percentage(dump, "wrong_refusals", "judged"),
            ejected: sides
                .into_iter()
                .flatten()
                .filter(|side| is_ejected(side))
                .filter_map(|side| side["name"].as_str().map(str::to_owned))
                .collect(),
            error: None,
            role,
        }
    }

    fn cells(&self) -> [String; 11] {
        let number = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |n| n.to_string());
        let sides = match (self.usable, self.sides) {
            (Some(usable), Some(all)) => format!("{usable}/{all}"),
            _ => "-".to_owned(),
        };
        let rate = match (self.slowest, self.fastest) {
            (Some(slowest), Some(fastest)) if slowest != fastest => format!("{slowest}-{fastest}"),
            (slowest, _) => number(slowest),
        };
        let ejected = if self.ejected.is_empty() {
            "-".to_owned()
        } else {
            self.ejected.join(",")
        };
        let percent = |value: Option<f64>| {
            value.map_or_else(|| "-".to_owned(), |value| format!("{value:.1}%"))
        };
        let wrong = match (self.wrong_admissions, self.wrong_refusals) {
            (None, None) => "-".to_owned(),
            (admissions, refusals) => format!("{}/{}", percent(admissions), percent(refusals)),
        };
        let or_dash = |text: &str| if text.is_empty() { "-" } else { text }.to_owned();
        [
            or_dash(&self.name),
            or_dash(&self.role),
            or_dash(&self.domain),
            self.state.clone(),
            number(self.configuration),
            number(self.work),
            number(self.waiting),
            sides,
            rate,
            wrong,
            ejected,
        ]
    }
}

/// Returns the state of a process: `ready`, `waiting` or `leaving`.
fn state(dump: &Value) -> &'static str {
    if dump["leaving"] == true {
        return "leaving";
    }
    let configured = !dump["configuration"].is_null();
    let ready = dump["ready"]
        .as_bool()
        .or(dump["may_start"].as_bool())
        .unwrap_or(configured);
    if ready { "ready" } else { "waiting" }
}

/// Returns the part of an entry's decisions that were wrong, over all queues, in percent
/// with one decimal; `None` without decisions.
fn percentage(dump: &Value, wrong: &str, all: &str) -> Option<f64> {
    let queues = dump["accuracy"]["queues"].as_object()?;
    let sum = |key: &str| -> u64 {
        queues
            .values()
            .filter_map(|queue| queue[key].as_u64())
            .sum()
    };
    let all = sum(all);
    let per_mille = (sum(wrong) * 1_000 + all / 2).checked_div(all)?;
    Some(f64::from(u32::try_from(per_mille).ok()?) / 10.0)
}

/// The dump shows for sides of called upstreams how long they stay ejected
/// (`aside_ms`), and for sides of leased tasks whether they are (`aside`).
fn is_ejected(side: &Value) -> bool {
    side["aside"] == true || side["aside_ms"].as_u64().is_some_and(|left| left > 0)
}

fn is_usable(side: &Value) -> bool {
    let available = side["open"].as_bool().unwrap_or(side["link"] == "up");
    available && !is_ejected(side)
}

/// Formats the processes as a table, with a line of totals at the end.
pub fn table(rows: &[Row]) -> String {
    let header = [
        "NAME", "ROLE", "DOMAIN", "STATE", "CONFIG", "WORK", "WAITING", "SIDES", "RATE", "WRONG",
        "ASIDE",
    ];
    let mut lines = vec![header.map(str::to_owned)];
    lines.extend(rows.iter().map(Row::cells));
    let widths: Vec<usize> = (0..header.len())
        .map(|column| {
            lines
                .iter()
                .map(|line| line[column].len())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for (number, line) in lines.iter().enumerate() {
        let mut padded = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            let _ = write!(padded, "{cell:width$}  ");
        }
        let _ = write!(text, "{}", padded.trim_end());
        if let Some(row) = number.checked_sub(1).map(|index| &rows[index])
            && let Some(error) = &row.error
        {
            let _ = write!(text, "  {}: {error}", row.address);
        }
        text.push('\n');
    }
    let _ = writeln!(text, "{}", summary(rows));
    text
}

/// Returns the totals and whether all entries have the same configuration.
fn summary(rows: &[Row]) -> String {
    let entries: Vec<&Row> = rows.iter().filter(|row| row.role == "entry").collect();
    let mut revisions: Vec<u64> = entries.iter().filter_map(|row| row.configuration).collect();
    revisions.sort_unstable();
    revisions.dedup();
    let unconfigured = entries.iter().filter(|row| row.configuration.is_none());
    let unreachable_count = rows.iter().filter(|row| row.error.is_some()).count();
    let agreement = match revisions.as_slice() {
        [] => "no configuration known".to_owned(),
        [one] => format!("configuration {one}"),
        [least, .., most] => format!("configurations differ: {least} to {most}"),
    };
    format!(
        "{} entries ({} without a configuration), {} sides, {unreachable_count} unreachable; {agreement}",
        entries.len(),
        unconfigured.count(),
        rows.iter().filter(|row| row.role == "side").count(),
    )
}
