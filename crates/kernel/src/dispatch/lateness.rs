//! Evidence that an upstream has become slower than its rate explains.

use std::collections::VecDeque;

/// Run time, as a multiple of the one expected at the host, above which a run is
/// late.
const LATE_FACTOR: f64 = 2.5;

/// Time, in milliseconds, by which a run must also be late: short runs take as long
/// for reasons of the network.
const LATE_MARGIN_MS: f64 = 20.0;

/// Number of jobs, one after the other, whose runs must all be late. One task in
/// thirty takes seven times as long: with 2,000 pairs of job and host a second, three
/// such in a row occur every 20 s, and four every ten minutes.
const JOBS: usize = 4;

/// Number of jobs in a row whose runs must be late before a slow run is moved. A single
/// late job may have a bad estimate, which says nothing about the upstream.
const JOBS_TO_MOVE: usize = 2;

/// Returns whether a run is late that was expected to take `expected_ms` at its host.
pub(super) fn is_late(expected_ms: f64, spent_ms: f64) -> bool {
    spent_ms > expected_ms * LATE_FACTOR + LATE_MARGIN_MS
}

/// The last jobs with runs at one upstream.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    /// Jobs, oldest first, and whether all of their runs were late.
    jobs: VecDeque<(u64, bool)>,
}

impl Lateness {
    /// Records a run.
    pub(super) fn record(&mut self, job: u64, late: bool) {
        if let Some((_, all_late)) = self.jobs.iter_mut().find(|(known, _)| *known == job) {
            *all_late &= late;
            return;
        }
        if self.jobs.len() == JOBS {
            self.jobs.pop_front();
        }
        self.jobs.push_back((job, late));
    }

    /// Returns whether a slow run may be the upstream's fault, and not its estimate's.
    pub(super) fn is_suspect(&self) -> bool {
        self.are_late(JOBS_TO_MOVE)
    }

    /// Returns whether the upstream has become slower than its rate explains.
    pub(super) fn is_slow(&self) -> bool {
        self.are_late(JOBS)
    }

    /// Returns whether the last `count` jobs were all late.
    fn are_late(&self, count: usize) -> bool {
        let mut last = self.jobs.iter().rev().take(count);
        self.jobs.len() >= count && last.all(|(_, late)| *late)
    }
}
