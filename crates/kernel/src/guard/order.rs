//! Orders to the upstream: admission of starts, and recovery from lost answers.

use super::{Action, Guard, Order, Phase, Receipt, Slot};
use crate::{
    event::{Event, Evidence},
    mutation::{Mutant, is_seeded},
    timing::SUSPECT_AGE,
};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Ending, Frame, Refusal, Reserve, Run, Start, Step, Task},
};

/// First increment of the fencing token after the upstream has seen a higher token
/// of unknown value; each further one is twice as long. An earlier side's token may
/// be far higher if the time of day was set back.
pub(super) const MIN_TOKEN_STEP: u64 = 60_000;

/// The upstream's answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The run has started.
    Accepted,
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// The upstream has already had this attempt of the task, or a higher one.
    OldAttempt,
    /// The lease had expired when the order arrived.
    LeaseExpired,
    /// The host lacks free capacity.
    NoRoom,
    /// The upstream refuses the order, or the order names another upstream.
    Refused,
    /// There was no answer; the upstream may still execute the order.
    Unanswered,
    /// The connection was refused: no process was there to receive the order.
    NotSent,
}

impl Guard {
    /// Handles an entry's order to start runs.
    pub(super) fn start(&mut self, now: Duration, from: Incarnation, start: &Start) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let clock = Duration::from_millis(start.clock).min(now);
        peer.last_contact = peer.last_contact.max(clock);
        let runs = u32::try_from(start.runs.len()).unwrap_or(u32::MAX);
        peer.received = peer.received.wrapping_add(runs);
        self.dirty = true;
        let is_current = self.is_current(now, from, clock);
        for run in &start.runs {
            let step = Step {
                job: run.task.job,
                number: run.task.step,
            };
            self.queue.release_claim(from, step);
            let refusal = if !is_current {
                Some(Refusal::Stale)
            } else if self.is_released(now, from) {
                Some(Refusal::Closed)
            } else {
                self.refusal(now, *run, start)
            };
            match refusal {
                Some(refusal) => {
                    self.events.push(Event::RunRefused {
                        run: *run,
                        entry: from,
                        refusal,
                        free: self.free().cpu,
                        order_age: now.saturating_sub(clock),
                    });
                    if refusal == Refusal::Duplicate {
                        self.stop_earlier_run(now, from, *run);
                    } else {
                        self.refuse(from, *run, refusal);
                    }
                }
                None => self.order(now, from, *run, start),
            }
        }
    }

    /// Returns whether an entry's order that names this clock is recent, and its run would
    /// not be stopped at once. An order renews nothing: the entry may send it without
    /// knowing that the customers of its other jobs have left.
    fn is_current(&mut self, now: Duration, from: Incarnation, clock: Duration) -> bool {
        if is_seeded(Mutant::OrderRenews)
            && let Some(peer) = self.peers.get_mut(&from)
        {
            peer.renewed_at = peer.renewed_at.max(clock);
        }
        now.saturating_sub(clock) <= self.timing.max_order_age()
            && now.saturating_sub(self.renewed_at(from)) <= self.timing.orphan_timeout
    }

    fn refusal(&self, now: Duration, run: Run, start: &Start) -> Option<Refusal> {
        if self.forbidden.contains_key(&run.task.job) {
            Some(Refusal::Cancelled)
        } else if !self.is_in_service(now) {
            Some(Refusal::Domain)
        } else if !self.is_accepting(now) {
            Some(Refusal::Closed)
        } else if self.runs.contains_key(&run.task) {
            Some(Refusal::Duplicate)
        } else if !start.need.fits(self.free()) {
            Some(Refusal::Room)
        } else if start.trials.contains(&run) && self.has_trial(now) {
            Some(Refusal::Trial)
        } else {
            None
        }
    }

    /// Returns whether a run whose task may have crashed another upstream would be a
    /// suspect if the upstream crashed now.
    fn has_trial(&self, now: Duration) -> bool {
        let mut runs = self.runs.values();
        runs.any(|slot| slot.trial && now.saturating_sub(slot.ordered_at) <= SUSPECT_AGE)
    }

    /// Queues a step whose tasks wait for capacity.
    pub(super) fn enqueue_step(&mut self, now: Duration, from: Incarnation, reserve: &Reserve) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let clock = Duration::from_millis(reserve.clock).min(now);
        peer.last_contact = peer.last_contact.max(clock);
        let is_current = self.is_current(now, from, clock);
        if is_current && self.is_accepting(now) && !self.is_released(now, from) {
            self.queue.push(now, from, reserve);
            self.claim(now);
        }
    }

    /// Claims waiting tasks as long as free capacity suffices.
    pub(super) fn claim(&mut self, now: Duration) {
        if self.queue.is_empty() || !self.is_accepting(now) {
            return;
        }
        while let Some((entry, step)) = self.queue.claim(now, self.free()) {
            self.send(entry, Frame::Claim(step));
        }
    }

    /// Stops an earlier run of the task. The new run is refused until the earlier
    /// one has ended. A repetition of the same order is ignored.
    fn stop_earlier_run(&mut self, now: Duration, from: Incarnation, run: Run) {
        let is_repeat = self
            .runs
            .get(&run.task)
            .is_some_and(|slot| slot.entry == from && slot.attempt == run.attempt);
        if is_repeat {
            return;
        }
        self.stop(now, run.task);
        self.refuse(from, run, Refusal::Duplicate);
    }

    fn order(&mut self, now: Duration, entry: Incarnation, run: Run, start: &Start) {
        self.stats.started += 1;
        let upstream = self.announced.as_ref().map(|known| &known.upstream.id);
        let order = Order {
            run,
            input: start.input.clone(),
            deadline: 0,
            token: 0,
            upstream: upstream.cloned().unwrap_or_default(),
        };
        let deadline = self.send_start(now, order.clone());
        let counts = start.usual > 0 && self.rate.select(run.task.job);
        let slot = Slot {
            attempt: run.attempt,
            entry,
            need: start.need,
            phase: Phase::Starting,
            ordered_at: now,
            lease: deadline,
            order: Some(order),
            receipt: Receipt::Unknown,
            repeated: false,
            trial: start.trials.contains(&run),
            crash: None,
            stop_sent_at: None,
            stopped_since: None,
            revoked_at: None,
            estimate: start.estimate,
            usual: if counts { start.usual } else { 0 },
            percent: 0,
            progressed_at: now,
            progress_sent_at: now,
        };
        self.runs.insert(run.task, slot);
        self.events.push(Event::RunOrdered {
            run,
            entry,
            lease: deadline,
            free: self.free().cpu,
        });
    }

    /// Sends a start order whose lease begins now; returns the end of the lease,
    /// on the upstream's clock in milliseconds.
    fn send_start(&mut self, now: Duration, order: Order) -> u64 {
        self.leases_end = self.leases_end.max(now + self.timing.real_lease());
        let deadline = self.lease_end(now).unwrap_or_default();
        self.actions.push(Action::Start(Order {
            deadline,
            token: self.token,
            ..order
        }));
        deadline
    }

    /// Sends an unanswered start order once more; the upstream starts a run only
    /// once. Returns false if the order may not be repeated.
    fn repeat_start(&mut self, now: Duration, task: Task) -> bool {
        if !self.may_grant(now) || !self.is_in_service(now) {
            return false;
        }
        let order = self.runs.get_mut(&task).and_then(|slot| {
            let may_repeat = slot.phase == Phase::Starting && slot.stop_sent_at.is_none();
            slot.order.take().filter(|_| may_repeat)
        });
        let Some(order) = order else { return false };
        let deadline = self.send_start(now, order);
        if let Some(slot) = self.runs.get_mut(&task) {
            slot.lease = deadline;
            slot.repeated = true;
            // Its time would include that of the lost order.
            slot.usual = 0;
        }
        true
    }

    /// Records the upstream's answer to a start order.
    pub fn record_admission(&mut self, now: Duration, run: Run, answer: Admission) {
        let Some(slot) = self.runs.get_mut(&run.task) else {
            return;
        };
        if slot.attempt != run.attempt || slot.receipt == Receipt::Listed {
            return;
        }
        let refusal = match answer {
            Admission::Accepted => {
                // The first of two orders may still be on its way. An answer that this
                // side, having been paused, handles late may be of a later process.
                let in_time = now.saturating_sub(slot.ordered_at) <= self.timing.answer_timeout();
                slot.receipt = if slot.order.take().is_some() && in_time {
                    Receipt::Accepted
                } else {
                    Receipt::OneAccepted
                };
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Running;
                }
                return;
            }
            Admission::Unanswered if is_seeded(Mutant::Forgotten) => Refusal::Unanswered,
            Admission::NotSent if slot.order.is_some() => Refusal::Closed,
            Admission::Unanswered | Admission::NotSent => {
                self.stats.unanswered += 1;
                self.events.push(Event::RunUnanswered { run });
                if !self.repeat_start(now, run.task) {
                    self.revoke(now, run.task);
                }
                return;
            }
            // The upstream may have executed the first of the two orders, and the
            // run may already have ended, so only an inventory is conclusive.
            Admission::OldAttempt
            | Admission::LeaseExpired
            | Admission::NoRoom
            | Admission::Refused
            | Admission::Fenced
                if slot.order.is_none() && !is_seeded(Mutant::RepeatTrusted) =>
            {
                if answer == Admission::Fenced {
                    self.raise_token();
                }
                self.revoke(now, run.task);
                return;
            }
            Admission::Fenced => {
                self.raise_token();
                Refusal::Upstream
            }
            Admission::OldAttempt => Refusal::Attempt,
            Admission::LeaseExpired => Refusal::Stale,
            Admission::NoRoom => Refusal::Room,
            Admission::Refused => Refusal::Upstream,
        };
        self.finish(now, run.task, Ending::NotRun(refusal), Evidence::Refused);
    }

    /// Raises the fencing token beyond one that the upstream has seen.
    pub(super) fn raise_token(&mut self) {
        self.token = self.token.saturating_add(self.token_step);
        self.token_step = self.token_step.saturating_mul(2);
    }

    /// Orders a stop, so that the run cannot start if it has not started yet.
    fn revoke(&mut self, now: Duration, task: Task) {
        if let Some(slot) = self.runs.get_mut(&task) {
            slot.phase = Phase::Unknown;
        }
        self.order_stop(now, task);
    }

    /// Refuses the tasks of cancelled jobs from now on, and stops their runs.
    pub(super) fn forbid(&mut self, now: Duration, jobs: &[u64]) {
        for job in jobs {
            self.forbidden.insert(*job, now);
            let tasks = self.runs.keys().filter(|task| task.job == *job);
            for task in tasks.copied().collect::<Vec<Task>>() {
                self.stop(now, task);
            }
        }
    }

    /// Handles an entry's order to stop runs.
    pub(super) fn stop_runs(&mut self, now: Duration, from: Incarnation, runs: &[Run]) {
        for run in runs {
            let current = self.runs.get(&run.task);
            if current.is_some_and(|slot| slot.entry == from && slot.attempt == run.attempt) {
                self.stop(now, run.task);
            }
        }
    }

    /// Stops a run, unless a stop order was already sent.
    pub(super) fn stop(&mut self, now: Duration, task: Task) {
        let Some(slot) = self.runs.get_mut(&task) else {
            return;
        };
        if slot.stop_sent_at.is_some() {
            return;
        }
        slot.phase = match slot.phase {
            // The answer to the start order may still arrive.
            Phase::Starting | Phase::Unknown => Phase::Unknown,
            Phase::Running | Phase::Stopping => Phase::Stopping,
        };
        self.order_stop(now, task);
    }

    pub(super) fn order_stop(&mut self, now: Duration, task: Task) {
        let Some(slot) = self.runs.get_mut(&task) else {
            return;
        };
        slot.stop_sent_at = Some(now);
        slot.stopped_since.get_or_insert(now);
        let run = slot.id(task);
        let token = self.token;
        self.actions.push(Action::Stop { run, token });
    }

    /// Records that the upstream has accepted a stop order with this fencing token at
    /// `clock`, the upstream's clock in milliseconds. An answer to an order with an
    /// earlier token may be of an earlier process.
    pub fn record_stop(&mut self, run: Run, token: u64, clock: u64) {
        if token != self.token {
            return;
        }
        if let Some(slot) = self.runs.get_mut(&run.task)
            && slot.attempt == run.attempt
        {
            slot.revoked_at = Some(clock);
        }
    }

    /// Returns whether leases may be granted and renewed: all runs at the upstream are
    /// known, it has answered recently, and none of them should have been stopped.
    pub(super) fn may_grant(&self, now: Duration) -> bool {
        self.runs_known
            && now.saturating_sub(self.last_received) <= self.timing.max_upstream_silence()
            && !self.has_overdue_stop(now)
    }

    /// Returns whether a run that should have been stopped by now may still go on. A
    /// lease is common to all runs of an upstream, so none is granted or renewed until
    /// the upstream has accepted the stop: the run ends with its lease if every stop
    /// order is lost, or if this side was paused when it was due.
    fn has_overdue_stop(&self, now: Duration) -> bool {
        if is_seeded(Mutant::RenewedStop) {
            return false;
        }
        let answer_timeout = self.timing.answer_timeout();
        let max_silence = self.timing.orphan_timeout + answer_timeout;
        self.runs.values().any(|slot| {
            let is_unanswered = |since: Duration| now.saturating_sub(since) > answer_timeout;
            let is_orphaned = now.saturating_sub(self.renewed_at(slot.entry)) > max_silence
                && !is_seeded(Mutant::Orphan);
            slot.revoked_at.is_none()
                && (is_orphaned || slot.stopped_since.is_some_and(is_unanswered))
        })
    }

    /// Returns the time from which an entry's runs go on without it for the orphan timeout.
    fn renewed_at(&self, entry: Incarnation) -> Duration {
        let peer = self.peers.get(&entry);
        peer.map_or(Duration::ZERO, |peer| peer.renewed_at)
    }

    /// Repeats the stop orders that were not answered in time.
    pub(super) fn repeat_stops(&mut self, now: Duration) {
        let timeout = self.timing.answer_timeout();
        let due: Vec<Task> = self
            .runs
            .iter()
            .filter(|(_, slot)| {
                let is_due = |sent_at: Duration| now.saturating_sub(sent_at) >= timeout;
                slot.revoked_at.is_none() && slot.stop_sent_at.is_some_and(is_due)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            if let Some(slot) = self.runs.get(&task) {
                self.events.push(Event::StopUnanswered {
                    run: slot.id(task),
                    since: now.saturating_sub(slot.stopped_since.unwrap_or(now)),
                });
            }
            self.order_stop(now, task);
        }
    }

    /// Stops the runs of entries that have not renewed them for the orphan timeout.
    pub(super) fn stop_orphans(&mut self, now: Duration) {
        let limit = self.timing.orphan_timeout;
        let orphans: Vec<Task> = self
            .runs
            .iter()
            .filter(|(_, slot)| {
                slot.stop_sent_at.is_none()
                    && now.saturating_sub(self.renewed_at(slot.entry)) > limit
                    && !is_seeded(Mutant::Orphan)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in orphans {
            self.stats.orphaned += 1;
            if let Some(slot) = self.runs.get(&task) {
                self.events.push(Event::RunOrphaned {
                    run: slot.id(task),
                    entry: slot.entry,
                    silent: now.saturating_sub(self.renewed_at(slot.entry)),
                });
            }
            self.stop(now, task);
        }
    }
}
