//! Renewal of leases, and reconciliation with the upstream's inventory.

use super::{Action, Guard, Hold, Phase, Receipt, UnreadableRows};
use crate::{
    event::{Event, Evidence},
    millis,
    mutation::{Mutant, is_seeded},
    rate::Rate,
    timing::SUSPECT_AGE,
};
use std::time::Duration;
use wire::lease::{Crash, Ending, Frame, Progress, Refusal, Run, Task};

/// Lease end of a run that was ordered before the upstream restarted. It was
/// computed on the clock of the previous process, so it never passes.
const NO_EXPIRY: u64 = u64::MAX;

/// Longest wait of a hold call while the upstream's runs are not all known. It
/// is short because nothing starts until they are.
const RECONCILE_WAIT: Duration = Duration::from_millis(5);

/// Shortest time from a failed hold call to the next one; equal to the wait of
/// a call at an idle upstream.
const HOLD_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Most start times of earlier processes of the upstream that are remembered.
const MAX_PREVIOUS_STARTS: usize = 16;

/// Multiple of a run's estimate beyond which its progress is reported.
const OVERRUN_REPORT_FACTOR: u32 = 3;

/// Time without progress after which a run's progress is reported.
const STALL_REPORT_TIME: Duration = Duration::from_millis(240);

/// Shortest time between two progress reports of one run.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A run that the upstream reports as running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The run; another holder may have ordered it.
    pub run: Run,
    /// Share of its work that is done, in percent.
    pub percent: u8,
}

/// The upstream's answer to a [`Hold`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inventory {
    /// Time of the upstream's start, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// The upstream's clock, in milliseconds.
    pub clock: u64,
    /// Runs in progress.
    pub running: Vec<Observation>,
    /// Ends not yet acknowledged, with their numbers, in ascending order.
    pub unacknowledged: Vec<(u64, Run, Ending)>,
    /// Rows that could not be decoded. They prove nothing about any run.
    pub unreadable: UnreadableRows,
}

impl Guard {
    /// Sends the next hold call, unless one is in progress.
    pub(super) fn hold(&mut self, now: Duration) {
        if self.hold_token.is_some() {
            return;
        }
        self.hold_token = Some(self.token);
        self.held_since_restart = true;
        self.hold_sent_at = now;
        let deadline = if !self.runs.is_empty() && self.may_grant(now) {
            self.lease_end(now)
        } else {
            None
        };
        if deadline.is_some() {
            self.leases_end = self.leases_end.max(now + self.timing.real_lease());
        }
        self.actions.push(Action::Hold(Hold {
            token: self.token,
            acknowledged: self.last_end,
            deadline,
            wait: if self.runs_known {
                self.timing.hold_wait()
            } else {
                RECONCILE_WAIT
            },
        }));
    }

    /// Records that a hold call has failed. The first call after it is sent at once, so
    /// that a crash is known while its connection breaks. Further calls are delayed: an
    /// upstream that resets connections would otherwise get a new one each millisecond.
    pub fn hold_failed(&mut self, now: Duration) {
        self.hold_token = None;
        self.was_refused = false;
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            self.hold(now);
        } else {
            self.retry_hold(now);
        }
    }

    /// Sends the next hold call once [`HOLD_RETRY_INTERVAL`] has passed.
    pub(super) fn retry_hold(&mut self, now: Duration) {
        if now.saturating_sub(self.hold_sent_at) >= HOLD_RETRY_INTERVAL {
            self.hold(now);
        }
    }

    /// Records that the upstream has seen a higher fencing token.
    pub fn hold_fenced(&mut self, now: Duration) {
        self.raise_token();
        self.hold_failed(now);
    }

    /// Records that a hold call was refused a connection. After two such calls in a row the
    /// upstream's process does not exist, and nothing runs. A single one may have met a
    /// reset of connections.
    pub fn upstream_gone(&mut self, now: Duration) {
        self.hold_token = None;
        if !std::mem::replace(&mut self.was_refused, true) && !is_seeded(Mutant::RefusedOnce) {
            self.failing_since.get_or_insert(now);
            self.hold(now);
            return;
        }
        self.runs_known = false;
        self.end_previous_runs(now, true);
        self.last_received = Duration::ZERO;
    }

    /// Records an inventory and sends the next hold call.
    pub fn record_inventory(&mut self, now: Duration, inventory: &Inventory) {
        let token = self.hold_token.take();
        let mut answers_at_once = false;
        if self.is_present(inventory.started_at) {
            self.detect_restart(now, inventory.started_at);
            self.confirm_announcement(now);
            self.last_received = now;
            self.failing_since = None;
            self.was_refused = false;
            self.report_unreadable(&inventory.unreadable);
            answers_at_once = self.record_new_ends(now, inventory);
            let is_newest = self.clock.is_none_or(|(clock, _)| inventory.clock >= clock);
            if is_newest && self.believes(now, inventory.clock) {
                self.clock = Some((inventory.clock, now));
                self.reconcile_running(now, inventory, token);
            }
        }
        if answers_at_once {
            self.retry_hold(now);
        } else {
            self.hold(now);
        }
    }

    /// Returns whether an inventory with this start time is of the upstream's
    /// present process. A restart may show an earlier time than the process before
    /// it, since the time of day can be set back. The answer is of the present
    /// process then if its call was sent after the last known restart.
    fn is_present(&self, started_at: u64) -> bool {
        (started_at >= self.started_at || self.held_since_restart)
            && !self.previous_starts.contains(&started_at)
    }

    /// Resets the state if the upstream has restarted, which ended its runs.
    pub(super) fn detect_restart(&mut self, now: Duration, started_at: u64) {
        if started_at == self.started_at {
            return;
        }
        if self.previous_starts.len() == MAX_PREVIOUS_STARTS {
            self.previous_starts.pop_front();
        }
        self.previous_starts.push_back(self.started_at);
        self.held_since_restart = false;
        self.events.push(Event::UpstreamRestarted {
            started_at,
            previous_start: self.started_at,
            runs: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
        });
        self.stats.restarts += 1;
        if !is_seeded(Mutant::KeptRate) {
            self.rate = Rate::default();
        }
        self.started_at = started_at;
        self.token = self.token.saturating_add(1).max(millis(now));
        self.clock = None;
        self.doubted_clock = None;
        self.last_end = 0;
        self.has_lost_ends = false;
        self.runs_known = false;
        self.end_previous_runs(now, false);
    }

    /// Ends the runs of the upstream's previous process. An order that the previous
    /// process is not known to have received may reach the new one, so its run is
    /// stopped there instead. If no process is there now (`absent`), the previous one
    /// has received what was accepted; otherwise the new one may have accepted it.
    fn end_previous_runs(&mut self, now: Duration, absent: bool) {
        self.mark_crashed(now);
        let (received, unknown): (Vec<Task>, Vec<Task>) = self.runs.keys().partition(|task| {
            let receipt = self.runs[*task].receipt;
            (receipt == Receipt::Listed && !self.runs[*task].repeated)
                || (absent && receipt == Receipt::Accepted)
                || is_seeded(Mutant::EarlyLife)
        });
        let evidence = if absent {
            Evidence::Gone
        } else {
            Evidence::Restarted
        };
        for task in received {
            self.finish(now, task, Ending::Lapsed, evidence);
        }
        for task in unknown {
            if let Some(slot) = self.runs.get_mut(&task) {
                slot.phase = Phase::Unknown;
                slot.revoked_at = None;
                slot.usual = 0;
                slot.lease = NO_EXPIRY;
                if slot.stop_sent_at.is_none() {
                    self.leases_end = self.leases_end.max(now + self.timing.real_max_lease());
                    self.order_stop(now, task);
                }
            }
        }
        if !absent {
            // Calls sent before were granted by the clock of the previous process, so the
            // present one may have granted the longest lease.
            self.leases_end = self.leases_end.max(now + self.timing.real_max_lease());
        }
        self.queue.clear();
        self.dirty = true;
    }

    /// Marks the runs of a process that has ended without announcing it, and the
    /// suspects among them.
    fn mark_crashed(&mut self, now: Duration) {
        let announced = self.announced.as_ref();
        if announced.is_some_and(|known| known.leaving) {
            return;
        }
        // The crash was after the last inventory; a call may take long to fail.
        let noticed_at = self.failing_since.unwrap_or(now);
        let alive_at = self.last_received.min(noticed_at);
        let (mut runs, mut suspects, mut unlisted) = (0, 0, 0);
        for slot in self.runs.values_mut() {
            if slot.crash.is_some() {
                continue;
            }
            let is_recent = slot.ordered_at <= noticed_at
                && alive_at.saturating_sub(slot.ordered_at) <= SUSPECT_AGE;
            let crash = match (slot.receipt != Receipt::Unknown, is_recent) {
                (true, true) => Crash::Suspect,
                (false, true) if slot.trial => Crash::UnansweredTrial,
                (true, false) => Crash::Bystander,
                (false, _) => Crash::Unconfirmed,
            };
            slot.crash = Some(crash);
            runs += 1;
            suspects += u32::from(crash == Crash::Suspect);
            unlisted += u32::from(slot.receipt != Receipt::Listed);
        }
        if runs > 0 {
            self.events.push(Event::UpstreamCrashed {
                runs,
                suspects,
                unlisted,
                noticed_after: now.saturating_sub(noticed_at),
            });
        }
    }

    /// Records that the host has been suspended. The upstream's clock may have stood still
    /// all the while, and its leases and runs with it, so leases end later by the own
    /// clock, and none is granted by a clock of before.
    pub fn record_suspension(&mut self, lasted: Duration) {
        if is_seeded(Mutant::SuspensionCounted) {
            return;
        }
        self.leases_end += lasted;
        self.earlier_leases_end += lasted;
        self.last_received = Duration::ZERO;
        self.events.push(Event::Suspended { lasted });
    }

    fn end_all(&mut self, now: Duration) {
        let tasks: Vec<Task> = self.runs.keys().copied().collect();
        for task in tasks {
            self.finish(now, task, Ending::Lapsed, Evidence::AllLeasesExpired);
        }
        self.queue.clear();
        self.dirty = true;
    }

    /// Ends all runs once every lease must have expired.
    pub(super) fn end_lapsed(&mut self, now: Duration) {
        if !self.runs.is_empty() && now > self.leases_end {
            self.events.push(Event::LeasesLapsed {
                runs: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
                silent: now.saturating_sub(self.last_received),
            });
            self.runs_known = false;
            self.end_all(now);
        }
    }

    pub(super) fn record_end(&mut self, now: Duration, run: Run, ending: Ending) {
        let is_current = self
            .runs
            .get(&run.task)
            .is_some_and(|slot| slot.attempt == run.attempt);
        if is_current {
            self.finish(now, run.task, ending, Evidence::Listed);
        }
    }

    /// Reconciles the runs with the list of those in progress. The list covers
    /// all runs only if its call had the current token: before that, orders with
    /// an older token may still arrive at the upstream.
    fn reconcile_running(&mut self, now: Duration, inventory: &Inventory, token: Option<u64>) {
        let mut foreign = false;
        for listed in &inventory.running {
            if !self.update_run(now, *listed) {
                foreign = true;
                self.stats.foreign += 1;
                self.events.push(Event::RunForeign { run: listed.run });
                let (run, token) = (listed.run, self.token);
                self.actions.push(Action::Stop { run, token });
            }
        }
        let known = !foreign
            && token == Some(self.token)
            && (self.runs_known || !self.may_hide_foreign(now, inventory));
        if self.runs_known != known {
            self.runs_known = known;
            self.dirty = true;
        }
        self.end_unstarted(now, inventory);
    }

    /// Updates a run that the upstream lists. Returns false if this side has not
    /// ordered it.
    fn update_run(&mut self, now: Duration, listed: Observation) -> bool {
        let Some(slot) = self.runs.get_mut(&listed.run.task) else {
            return false;
        };
        if slot.attempt != listed.run.attempt {
            return false;
        }
        slot.receipt = Receipt::Listed;
        if slot.phase == Phase::Starting {
            slot.phase = Phase::Running;
        }
        if listed.percent > slot.percent {
            slot.percent = listed.percent;
            slot.progressed_at = now;
        }
        let elapsed = now.saturating_sub(slot.ordered_at);
        let stalled = now.saturating_sub(slot.progressed_at);
        let is_overdue =
            elapsed > Duration::from_millis(slot.estimate.into()) * OVERRUN_REPORT_FACTOR;
        let is_due = now.saturating_sub(slot.progress_sent_at) >= PROGRESS_REPORT_INTERVAL;
        if slot.stop_sent_at.is_none() && is_due && (is_overdue || stalled >= STALL_REPORT_TIME) {
            slot.progress_sent_at = now;
            let progress = Progress {
                run: listed.run,
                elapsed: u32::try_from(millis(elapsed)).unwrap_or(u32::MAX),
                percent: slot.percent,
                stalled: u32::try_from(millis(stalled)).unwrap_or(u32::MAX),
            };
            let entry = slot.entry;
            self.send(entry, Frame::Progress(progress));
        }
        true
    }

    /// Ends the runs that are not listed and can no longer start, because a stop
    /// has revoked them or their lease has expired. A run whose row may be unreadable
    /// is stopped instead when its lease expires: only the time that an accepted stop
    /// takes proves its end.
    fn end_unstarted(&mut self, now: Duration, inventory: &Inventory) {
        let stop_timeout = millis(self.timing.stop_timeout);
        let is_over = |at: u64| inventory.clock > at.saturating_add(stop_timeout);
        let may_be_hidden = inventory.unreadable.may_list_any();
        let mut unproved = Vec::new();
        let mut ended = Vec::new();
        for (task, slot) in &self.runs {
            let mut listed = inventory.running.iter();
            if listed.any(|listed| listed.run == slot.id(*task))
                || inventory.unreadable.lists(*task)
            {
                continue;
            }
            let has_lapsed = is_over(slot.lease);
            let is_revoked = slot.revoked_at.is_some_and(is_over);
            if is_revoked || (has_lapsed && !may_be_hidden) {
                let may_have_run = slot.lease == NO_EXPIRY
                    || slot.receipt == Receipt::Listed
                    || slot.phase == Phase::Running
                    || may_be_hidden
                    || self.has_lost_ends;
                let evidence = if is_revoked {
                    Evidence::Stopped
                } else {
                    Evidence::LeaseExpired
                };
                ended.push((*task, may_have_run, evidence));
            } else if has_lapsed {
                unproved.push(*task);
            }
        }
        for task in unproved {
            self.stop(now, task);
        }
        for (task, may_have_run, evidence) in ended {
            let ending = if may_have_run {
                Ending::Lapsed
            } else {
                Ending::NotRun(Refusal::Unanswered)
            };
            self.finish(now, task, ending, evidence);
        }
    }
}
