//! Tasks that wait for free resources, in the order in which they are placed.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    time::Duration,
};
use wire::lease::Task;

/// Level of late work, behind the priority of every queue.
pub(super) const LATE_LEVEL: u8 = u8::MAX;

/// Sort key of waiting tasks.
///
/// Jobs that can still meet their objectives come before those that cannot.
/// Then come lower levels, then jobs that have started, whose work is
/// wasted unless they end, then earlier due times.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) late: bool,
    pub(super) level: u8,
    pub(super) unstarted: bool,
    pub(super) due: Duration,
}

impl Rank {
    /// Returns the level under which the work is counted: the job's level,
    /// or [`LATE_LEVEL`].
    pub(super) fn level(self) -> u8 {
        if self.late { LATE_LEVEL } else { self.level }
    }
}

/// Waiting tasks, with the sum of their work by level.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    tasks: BTreeSet<(Rank, Task)>,
    /// Core-milliseconds, by level.
    work: BTreeMap<u8, u64>,
}

impl Backlog {
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Adds a task of `work` core-milliseconds.
    pub(super) fn insert(&mut self, rank: Rank, task: Task, work: u64) {
        if self.tasks.insert((rank, task)) {
            *self.work.entry(rank.level()).or_default() += work;
        }
    }

    /// Removes a task of `work` core-milliseconds; returns whether it was waiting.
    pub(super) fn remove(&mut self, rank: Rank, task: Task, work: u64) -> bool {
        let waited = self.tasks.remove(&(rank, task));
        if waited && let Some(left) = self.work.get_mut(&rank.level()) {
            *left -= work;
        }
        waited
    }

    /// Returns the first task, or the first after `after`.
    pub(super) fn next(&self, after: Option<(Rank, Task)>) -> Option<(Rank, Task)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.tasks.range((from, Bound::Unbounded)).next().copied()
    }

    /// Returns the waiting core-milliseconds, by level.
    pub(super) fn levels(&self) -> impl Iterator<Item = (u8, u64)> {
        self.work.iter().map(|(level, work)| (*level, *work))
    }
}

/// Returns the sum of the work at `level` and at more urgent levels.
pub(super) fn work_ahead(levels: impl Iterator<Item = (u8, u64)>, level: u8) -> u64 {
    levels
        .filter(|(other, _)| *other <= level)
        .fold(0, |sum, (_, work)| sum.saturating_add(work))
}
