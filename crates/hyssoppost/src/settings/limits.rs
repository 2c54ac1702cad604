//! Settings that bound what clients make a process hold.

use super::{EXPECTED_BYTES, EXPECTED_MILLISECONDS};
use crate::{budget::Limits, http::MAX_HEAD_BYTES};
use kernel::ini::Reader;
use rustix::process::{Resource, getrlimit};
use std::{fs, time::Duration};

/// Descriptors that are kept for files and for what the runtime needs.
const RESERVED_DESCRIPTORS: usize = 200;

/// Least memory of a host, in MiB.
const MIN_MEMORY_MIB: usize = 16;

/// Share of the host's memory that customers' connections may hold, in percent.
const CUSTOMERS_PERCENT: usize = 40;

/// Share of the host's memory that the jobs of customers may hold once they are decoded,
/// in percent.
const JOBS_PERCENT: usize = 15;

/// Most of the host's memory that both may hold, in percent.
const MAX_PERCENT: usize = 75;

const DEFAULT_BODY_BYTES: usize = 4 << 20;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
const DEFAULT_BODY_TIMEOUT_MS: u64 = 60_000;

const SECTION: &str = "limits";
const EXPECTED_MEMORY: &str = "MiB, at least 16";
const EXPECTED_DESCRIPTORS: &str = "a number of descriptors above 200";
const EXPECTED_SHARE: &str = "a number of bytes, at least 1 MiB; with the other one at most 75 % \
                              of the memory";
const EXPECTED_HEAD: &str = "a number of bytes from 1024 to 65536";
const EXPECTED_CONNECTIONS: &str = "a number of connections above 0";

/// Memory and descriptors of a process's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Host {
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Most open descriptors.
    pub descriptors: usize,
}

/// What an entry's customers may make it hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Customers {
    /// Bounds of the customers' connections.
    pub connections: Limits,
    /// Most memory of open jobs, in bytes.
    pub job_bytes: usize,
}

impl Host {
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        let memory = reader.optional(SECTION, "memory_mb", EXPECTED_MEMORY);
        if memory.is_some_and(|memory: usize| memory < MIN_MEMORY_MIB) {
            reader.fault(SECTION, "memory_mb", EXPECTED_MEMORY);
        }
        let descriptors = reader.optional(SECTION, "descriptors", EXPECTED_DESCRIPTORS);
        if descriptors.is_some_and(|count: usize| count <= RESERVED_DESCRIPTORS) {
            reader.fault(SECTION, "descriptors", EXPECTED_DESCRIPTORS);
        }
        let memory = memory.map(|mebibytes| mebibytes.saturating_mul(1 << 20));
        let allowed = allowed_descriptors();
        Self {
            memory: memory.unwrap_or_else(total_memory),
            descriptors: descriptors.map_or(allowed, |count| count.min(allowed)),
        }
    }

    /// Returns the default of the most connections of customers: the rest is for links,
    /// the store and upstreams.
    fn connections(&self) -> usize {
        let free = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        (free / 4 * 3).max(1)
    }
}

impl Customers {
    pub(super) fn read(reader: &mut Reader<'_>, host: Host) -> Self {
        const MIN_SHARE: usize = 1 << 20;
        let connections = reader.optional(SECTION, "connections", EXPECTED_CONNECTIONS);
        if connections == Some(0) {
            reader.fault(SECTION, "connections", EXPECTED_CONNECTIONS);
        }
        let share = |percent: usize| host.memory / 100 * percent;
        let mut shares = [
            ("customer_bytes", share(CUSTOMERS_PERCENT)),
            ("job_bytes", share(JOBS_PERCENT)),
        ];
        for (key, share) in &mut shares {
            if let Some(stated) = reader.optional(SECTION, key, EXPECTED_SHARE) {
                *share = stated;
            }
            if *share < MIN_SHARE {
                reader.fault(SECTION, key, EXPECTED_SHARE);
            }
        }
        let [(_, bytes), (_, job_bytes)] = shares;
        if bytes.saturating_add(job_bytes) > share(MAX_PERCENT) {
            reader.fault(SECTION, "customer_bytes", EXPECTED_SHARE);
        }
        let body_bytes = reader.optional(SECTION, "body_bytes", EXPECTED_BYTES);
        let head_bytes = reader.optional(SECTION, "head_bytes", EXPECTED_HEAD);
        if head_bytes.is_some_and(|bytes| !(1_024..=MAX_HEAD_BYTES).contains(&bytes)) {
            reader.fault(SECTION, "head_bytes", EXPECTED_HEAD);
        }
        Self {
            connections: Limits {
                connections: connections.unwrap_or_else(|| host.connections()),
                bytes,
                head_bytes: head_bytes.unwrap_or(MAX_HEAD_BYTES),
                body_bytes: body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
                header_timeout: read_time(reader, "header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS),
                idle_timeout: read_time(reader, "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS),
                body_timeout: read_time(reader, "body_timeout_ms", DEFAULT_BODY_TIMEOUT_MS),
            },
            job_bytes,
        }
    }
}

fn read_time(reader: &mut Reader<'_>, key: &str, default_ms: u64) -> Duration {
    let time = reader.optional(SECTION, key, EXPECTED_MILLISECONDS);
    if time == Some(0) {
        reader.fault(SECTION, key, "milliseconds above 0");
    }
    Duration::from_millis(time.unwrap_or(default_ms))
}

/// Returns the descriptors that the system lets the process open.
fn allowed_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |count| {
        usize::try_from(count).unwrap_or(usize::MAX)
    })
}

/// Returns the machine's memory in bytes; 1 GiB if it can't be read.
fn total_memory() -> usize {
    const FALLBACK: usize = 1 << 30;
    let read = || {
        let text = fs::read_to_string("/proc/meminfo").ok()?;
        let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
        let kibibytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
        kibibytes.checked_mul(1 << 10)
    };
    read().unwrap_or(FALLBACK)
}
