//! Orders to the upstream: which starts are taken, and what becomes of those
//! whose answers are lost.

use super::{Action, Guard, Order, Phase, Slot};
use crate::{
    event::Event,
    millis,
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Ending, Frame, Need, Refusal, Reserve, Run, Start, Step, Task},
};

/// Least time between two stop orders for one run.
const STOP_AGAIN: Duration = Duration::from_millis(100);

/// Step by which the fencing token rises past one that is not known.
pub(super) const TOKEN_STEP: u64 = 60_000;

/// The upstream's answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs.
    Accepted,
    /// Another holder has a higher token.
    Fenced,
    /// A run with this number or a higher one was there before.
    OldAttempt,
    /// The lease was over when the order arrived.
    LeaseExpired,
    /// The host has no room.
    NoRoom,
    /// The upstream refuses, or is another one than was meant.
    Refused,
    /// There was no answer; the order may still be carried out.
    Unanswered,
}

impl Guard {
    /// Takes an order to start runs.
    pub(super) fn start(&mut self, now: Duration, from: Incarnation, start: &Start) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let clock = Duration::from_millis(start.clock);
        peer.contact = peer.contact.max(clock);
        let runs = u32::try_from(start.runs.len()).unwrap_or(u32::MAX);
        peer.received = peer.received.wrapping_add(runs);
        self.dirty = true;
        let fresh = now.saturating_sub(clock) <= self.timing.max_order_age();
        for run in &start.runs {
            let step = Step {
                job: run.task.job,
                number: run.task.step,
            };
            self.queue.redeem(from, step);
            let refusal = if fresh {
                self.refusal(now, *run, start.need)
            } else {
                Some(Refusal::Stale)
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
                        self.replace(now, from, *run);
                    } else {
                        self.refuse(from, *run, refusal);
                    }
                }
                None => self.order(now, from, *run, start),
            }
        }
    }

    fn refusal(&self, now: Duration, run: Run, need: Need) -> Option<Refusal> {
        if !self.is_accepting(now) {
            Some(Refusal::Closed)
        } else if self.runs.contains_key(&run.task) {
            Some(Refusal::Duplicate)
        } else if !need.fits(self.free()) {
            Some(Refusal::Room)
        } else {
            None
        }
    }

    /// Takes a step whose tasks wait for room.
    pub(super) fn reserve(&mut self, now: Duration, from: Incarnation, reserve: &Reserve) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let clock = Duration::from_millis(reserve.clock);
        peer.contact = peer.contact.max(clock);
        if now.saturating_sub(clock) <= self.timing.max_order_age() && self.is_accepting(now) {
            self.queue.push(now, from, reserve);
            self.claim(now);
        }
    }

    /// Claims tasks for the room that is free.
    pub(super) fn claim(&mut self, now: Duration) {
        if self.queue.is_empty() || !self.is_accepting(now) {
            return;
        }
        while let Some((entry, step)) = self.queue.claim(now, self.free()) {
            self.send(entry, Frame::Claim(step));
        }
    }

    /// Stops an earlier run of a task that is to start anew; the new order is
    /// refused until that has ended.
    fn replace(&mut self, now: Duration, from: Incarnation, run: Run) {
        let same = self
            .runs
            .get(&run.task)
            .is_some_and(|slot| slot.entry == from && slot.attempt == run.attempt);
        if same {
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
        let deadline = self.give(now, order.clone());
        let slot = Slot {
            attempt: run.attempt,
            entry,
            need: start.need,
            phase: Phase::Starting,
            ordered: now,
            lease: deadline,
            order: Some(order),
            listed: false,
            stopped: None,
            barred: None,
            estimate: start.estimate,
            percent: 0,
            moved: now,
            told: now,
        };
        self.runs.insert(run.task, slot);
        self.events.push(Event::RunOrdered {
            run,
            entry,
            lease: deadline,
            free: self.free().cpu,
        });
    }

    /// Gives an order with a lease from now on; returns the lease's end.
    fn give(&mut self, now: Duration, order: Order) -> u64 {
        self.leased = self.leased.max(now + self.timing.real_lease());
        let deadline = self.lease_end(now).unwrap_or_default();
        self.actions.push(Action::Start(Order {
            deadline,
            token: self.token,
            ..order
        }));
        deadline
    }

    /// Gives an order without an answer once more; the upstream starts a run
    /// once, however often it is ordered. Returns whether that was possible.
    fn repeat(&mut self, now: Duration, task: Task) -> bool {
        let order = self.runs.get_mut(&task).and_then(|slot| {
            let may = slot.phase == Phase::Starting && slot.stopped.is_none();
            slot.order.take().filter(|_| may)
        });
        let Some(order) = order else { return false };
        let deadline = self.give(now, order);
        if let Some(slot) = self.runs.get_mut(&task) {
            slot.lease = deadline;
        }
        true
    }

    /// Returns the end of a lease given now, on the upstream's clock.
    pub(super) fn lease_end(&self, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let lease = if is_seeded(Mutant::LongLease) {
            self.timing.lease * 3
        } else {
            self.timing.lease
        };
        Some(clock + millis(now.saturating_sub(at)) + millis(lease))
    }

    /// Records the upstream's answer to a start order.
    pub fn record_admission(&mut self, now: Duration, run: Run, answer: Admission) {
        let Some(slot) = self.runs.get_mut(&run.task) else {
            return;
        };
        if slot.attempt != run.attempt || slot.listed {
            return;
        }
        let refusal = match answer {
            Admission::Accepted => {
                slot.order = None;
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Running;
                }
                return;
            }
            Admission::Unanswered if is_seeded(Mutant::Forgotten) => Refusal::Unanswered,
            Admission::Unanswered => {
                self.stats.unanswered += 1;
                self.events.push(Event::RunUnanswered { run });
                if !self.repeat(now, run.task) {
                    self.bar(now, run.task);
                }
                return;
            }
            // The first of two orders may have been carried out, and the run
            // may even be over: only a list tells.
            Admission::OldAttempt
            | Admission::LeaseExpired
            | Admission::NoRoom
            | Admission::Refused
                if slot.order.is_none() && !is_seeded(Mutant::RepeatTrusted) =>
            {
                self.bar(now, run.task);
                return;
            }
            Admission::Fenced => {
                self.token += TOKEN_STEP;
                Refusal::Upstream
            }
            Admission::OldAttempt => Refusal::Attempt,
            Admission::LeaseExpired => Refusal::Stale,
            Admission::NoRoom => Refusal::Room,
            Admission::Refused => Refusal::Upstream,
        };
        self.finish(now, run.task, Ending::NotRun(refusal));
    }

    /// Makes sure that a run does not start any more, if it has not.
    fn bar(&mut self, now: Duration, task: Task) {
        if let Some(slot) = self.runs.get_mut(&task) {
            slot.phase = Phase::Unknown;
        }
        self.order_stop(now, task);
    }

    /// Takes an entry's order to stop runs.
    pub(super) fn stop_runs(&mut self, now: Duration, from: Incarnation, runs: &[Run]) {
        for run in runs {
            let current = self.runs.get(&run.task);
            if current.is_some_and(|slot| slot.entry == from && slot.attempt == run.attempt) {
                self.stop(now, run.task);
            }
        }
    }

    /// Stops a run, unless a stop is already under way.
    pub(super) fn stop(&mut self, now: Duration, task: Task) {
        let Some(slot) = self.runs.get_mut(&task) else {
            return;
        };
        if slot.stopped.is_some() {
            return;
        }
        slot.phase = match slot.phase {
            // Its own answer may still be under way.
            Phase::Starting | Phase::Unknown => Phase::Unknown,
            Phase::Running | Phase::Stopping => Phase::Stopping,
        };
        self.order_stop(now, task);
    }

    pub(super) fn order_stop(&mut self, now: Duration, task: Task) {
        let Some(slot) = self.runs.get_mut(&task) else {
            return;
        };
        slot.stopped = Some(now);
        let run = slot.id(task);
        let token = self.token;
        self.actions.push(Action::Stop { run, token });
    }

    /// Records that the upstream has taken a stop order, at its `clock`.
    pub fn record_stop(&mut self, run: Run, clock: u64) {
        if let Some(slot) = self.runs.get_mut(&run.task)
            && slot.attempt == run.attempt
        {
            slot.barred = Some(clock);
        }
    }

    /// Orders stops again that got no answer.
    pub(super) fn repeat_stops(&mut self, now: Duration) {
        let due: Vec<Task> = self
            .runs
            .iter()
            .filter(|(_, slot)| {
                let waits = |at: Duration| now.saturating_sub(at) >= STOP_AGAIN;
                slot.barred.is_none() && slot.stopped.is_some_and(waits)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            self.order_stop(now, task);
        }
    }

    /// Stops the runs of entries that have been silent for too long.
    pub(super) fn stop_orphans(&mut self, now: Duration) {
        let limit = self.timing.orphan_timeout;
        let orphans: Vec<Task> = self
            .runs
            .iter()
            .filter(|(_, slot)| {
                let contact = self
                    .peers
                    .get(&slot.entry)
                    .map_or(Duration::ZERO, |peer| peer.contact);
                slot.stopped.is_none()
                    && now.saturating_sub(contact) > limit
                    && !is_seeded(Mutant::Orphan)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in orphans {
            self.stats.orphaned += 1;
            if let Some(slot) = self.runs.get(&task) {
                let contact = self.peers.get(&slot.entry).map(|peer| peer.contact);
                self.events.push(Event::RunOrphaned {
                    run: slot.id(task),
                    entry: slot.entry,
                    silent: now.saturating_sub(contact.unwrap_or_default()),
                });
            }
            self.stop(now, task);
        }
    }
}
