//! Processor time and memory of this process, for the budgets of a node.

use std::fs;

/// Clock ticks a second in `/proc/self/stat`, fixed on Linux.
const TICKS: f64 = 100.0;

/// What this process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage; zero where the system does not tell.
pub fn read() -> Usage {
    Usage {
        cpu_seconds: cpu_seconds().unwrap_or_default(),
        resident_bytes: resident_bytes().unwrap_or_default(),
    }
}

fn cpu_seconds() -> Option<f64> {
    const USER_TIME: usize = 11;
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS)
}

fn resident_bytes() -> Option<u64> {
    const KIB: u64 = 1024;
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * KIB)
}
