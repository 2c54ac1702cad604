//! Rows of an upstream's lists that could not be decoded. They prove nothing about any
//! run, and cost no other row.

use super::{Guard, Inventory};
use crate::event::Event;
use std::time::Duration;
use wire::lease::Task;

/// Rows of an [`Inventory`] that could not be decoded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableRows {
    /// Those of runs in progress.
    pub running: Vec<UnreadableRow>,
    /// Numbers of the unacknowledged ends; `None` for one that is malformed, too.
    pub ended: Vec<Option<u64>>,
}

/// A row of a run in progress that could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnreadableRow {
    /// It is of this task.
    Task(Task),
    /// It may be of any task.
    AnyTask,
}

impl UnreadableRows {
    /// Returns whether a row is that of a run of the task.
    pub(super) fn lists(&self, task: Task) -> bool {
        self.running.contains(&UnreadableRow::Task(task))
    }

    /// Returns whether a row may be that of a run of any task.
    pub(super) fn may_list_any(&self) -> bool {
        self.running.contains(&UnreadableRow::AnyTask)
    }
}

impl Guard {
    /// Records the ends that are new. Returns whether the next call would be answered
    /// at once without any: an unreadable end is listed that cannot be acknowledged.
    pub(super) fn record_new_ends(&mut self, now: Duration, inventory: &Inventory) -> bool {
        let before = self.last_end;
        for (number, run, ending) in &inventory.unacknowledged {
            if *number > self.last_end {
                self.last_end = *number;
                self.record_end(now, *run, *ending);
            }
        }
        // An unreadable end is passed over only if it is the next one: a number that is
        // far too high would acknowledge all further ends.
        let unreadable = &inventory.unreadable.ended;
        self.has_lost_ends |= !unreadable.is_empty();
        for number in unreadable.iter().flatten() {
            if self.last_end.checked_add(1) == Some(*number) {
                self.last_end = *number;
            }
        }
        let is_listed = |number: &Option<u64>| number.is_none_or(|number| number > self.last_end);
        self.last_end == before && unreadable.iter().any(is_listed)
    }

    /// Reports a change in the numbers of unreadable rows.
    pub(super) fn report_unreadable(&mut self, rows: &UnreadableRows) {
        let counts = (rows.running.len(), rows.ended.len());
        if std::mem::replace(&mut self.unreadable_rows, counts) != counts {
            self.events.push(Event::RowsUnreadable {
                running: u32::try_from(counts.0).unwrap_or(u32::MAX),
                ended: u32::try_from(counts.1).unwrap_or(u32::MAX),
            });
        }
    }

    /// Returns whether an unreadable row may be that of a run that this side has not
    /// ordered. Such a run has lapsed once no lease is left that this side has renewed.
    pub(super) fn may_hide_foreign(&self, now: Duration, inventory: &Inventory) -> bool {
        let is_foreign = |row: &UnreadableRow| match row {
            UnreadableRow::Task(task) => !self.runs.contains_key(task),
            UnreadableRow::AnyTask => true,
        };
        let last_lease = self.leases_end.max(self.earlier_leases_end);
        now <= last_lease && inventory.unreadable.running.iter().any(is_foreign)
    }
}
