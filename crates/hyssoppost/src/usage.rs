//! Processor time and memory of this process.

use std::fs;

/// Clock ticks per second in `/proc/self/stat`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that this process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time since the start, in seconds.
    pub cpu_seconds: f64,
    /// Current resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage from `/proc`; a value that can't be read is zero.
pub fn read() -> Usage {
    Usage {
        cpu_seconds: cpu_seconds().unwrap_or_default(),
        resident_bytes: resident_bytes().unwrap_or_default(),
    }
}

fn cpu_seconds() -> Option<f64> {
    const USER_TIME_FIELD: usize = 11;
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn resident_bytes() -> Option<u64> {
    const BYTES_PER_KIB: u64 = 1024;
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * BYTES_PER_KIB)
}
