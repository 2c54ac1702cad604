//! The tasks that wait for room, in the order in which they are placed.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    time::Duration,
};
use wire::lease::Task;

/// Priority under which late work is counted, behind that of every queue.
pub(super) const LATE_LEVEL: u8 = u8::MAX;

/// Order among jobs: what can no longer meet its objective does not delay what
/// can, then by priority, then what has begun, since its work is lost if it
/// does not end, then by when the objective is missed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) late: bool,
    pub(super) priority: u8,
    pub(super) unstarted: bool,
    pub(super) due: Duration,
}

impl Rank {
    /// Returns the priority under which the work is counted.
    pub(super) fn level(self) -> u8 {
        if self.late { LATE_LEVEL } else { self.priority }
    }
}

/// Waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    tasks: BTreeSet<(Rank, Task)>,
    /// Core-milliseconds that wait, by level.
    work: BTreeMap<u8, u64>,
}

impl Backlog {
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Adds a task that takes so many core-milliseconds.
    pub(super) fn insert(&mut self, rank: Rank, task: Task, work: u64) {
        if self.tasks.insert((rank, task)) {
            *self.work.entry(rank.level()).or_default() += work;
        }
    }

    /// Removes a task; returns whether it waited.
    pub(super) fn remove(&mut self, rank: Rank, task: Task, work: u64) -> bool {
        let waited = self.tasks.remove(&(rank, task));
        if waited && let Some(left) = self.work.get_mut(&rank.level()) {
            *left -= work;
        }
        waited
    }

    /// Returns the first task, or that which comes after another.
    pub(super) fn next(&self, after: Option<(Rank, Task)>) -> Option<(Rank, Task)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.tasks.range((from, Bound::Unbounded)).next().copied()
    }

    /// Returns the core-milliseconds that wait, by level.
    pub(super) fn levels(&self) -> impl Iterator<Item = (u8, u64)> {
        self.work.iter().map(|(level, work)| (*level, *work))
    }
}

/// Returns the work of up to a level, in core-milliseconds.
pub(super) fn work_ahead(levels: impl Iterator<Item = (u8, u64)>, level: u8) -> u64 {
    levels
        .filter(|(other, _)| *other <= level)
        .map(|(_, work)| work)
        .sum()
}
