//! Renewal of leases, and what the upstream's lists tell.

use super::{Action, Guard, Hold, Phase};
use crate::{
    event::Event,
    millis,
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::lease::{Ending, Frame, Progress, Refusal, Run, Task};

/// Lease of a run that was ordered in an earlier life of the upstream; it was
/// reckoned on a clock that is gone, so no time ends it.
const EARLIER_LIFE: u64 = u64::MAX;

/// Time for which a call waits while what runs is not known, since nothing
/// starts meanwhile.
const UNKNOWN_WAIT: Duration = Duration::from_millis(5);

/// Least time from a call that fails to the next: the time that a call waits at
/// rest.
const HOLD_AGAIN: Duration = Duration::from_millis(40);

/// Factor on a task's estimate beyond which its progress is told.
const TELL_FACTOR: u32 = 3;

/// Time without progress that is told.
const TELL_STILL: Duration = Duration::from_millis(240);

/// Least time between two reports of one run's progress.
const TELL_AGAIN: Duration = Duration::from_millis(200);

/// A run that the upstream lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The run.
    pub run: Run,
    /// Share of its work that is done, in percent.
    pub percent: u8,
}

/// The upstream's lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inventory {
    /// Start of the upstream's life, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// The upstream's clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Observation>,
    /// Ends not yet acknowledged, with their numbers, in order.
    pub unacknowledged: Vec<(u64, Run, Ending)>,
}

impl Guard {
    /// Sends the next call that renews leases, unless one is under way.
    pub(super) fn hold(&mut self, now: Duration) {
        if self.holding.is_some() {
            return;
        }
        self.holding = Some(self.token);
        self.held_at = now;
        let heard = now.saturating_sub(self.heard) <= self.timing.max_upstream_silence();
        let renews = heard && self.runs_known && !self.runs.is_empty();
        let deadline = if renews { self.lease_end(now) } else { None };
        if deadline.is_some() {
            self.leased = self.leased.max(now + self.timing.real_lease());
        }
        self.actions.push(Action::Hold(Hold {
            token: self.token,
            acknowledged: self.cursor,
            deadline,
            wait: if self.runs_known {
                self.timing.hold_wait()
            } else {
                UNKNOWN_WAIT
            },
        }));
    }

    /// Records that a call has failed. One that failed at once is not repeated
    /// at once: an upstream that resets connections would otherwise get a
    /// new one each millisecond.
    pub fn hold_failed(&mut self, now: Duration) {
        self.holding = None;
        self.hold_again(now);
    }

    /// Sends the next call unless one has only just been sent.
    pub(super) fn hold_again(&mut self, now: Duration) {
        if now.saturating_sub(self.held_at) >= HOLD_AGAIN {
            self.hold(now);
        }
    }

    /// Records that another holder's token is higher than ours.
    pub fn hold_fenced(&mut self, now: Duration) {
        self.token += super::order::TOKEN_STEP;
        self.hold_failed(now);
    }

    /// Records that the upstream is not there: nothing runs.
    pub fn upstream_gone(&mut self, now: Duration) {
        self.holding = None;
        self.runs_known = false;
        self.heard = Duration::ZERO;
        self.end_life(now);
    }

    /// Takes the upstream's lists.
    pub fn record_inventory(&mut self, now: Duration, inventory: &Inventory) {
        let token = self.holding.take();
        if inventory.started_at >= self.started_at {
            self.see_life(now, inventory.started_at);
            self.heard = now;
            for (number, run, ending) in &inventory.unacknowledged {
                if *number > self.cursor {
                    self.cursor = *number;
                    self.ended(now, *run, *ending);
                }
            }
            let newest = self.clock.is_none_or(|(clock, _)| inventory.clock >= clock);
            if newest {
                self.clock = Some((inventory.clock, now));
                self.see_running(now, inventory, token);
            }
        }
        self.hold(now);
    }

    /// Starts anew if the upstream has; what ran before is over.
    pub(super) fn see_life(&mut self, now: Duration, started_at: u64) {
        if started_at <= self.started_at {
            return;
        }
        self.events.push(Event::UpstreamRestarted {
            started_at,
            previous_start: self.started_at,
            runs: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
        });
        self.stats.restarts += 1;
        self.started_at = started_at;
        self.token = (self.token + 1).max(millis(now));
        self.clock = None;
        self.cursor = 0;
        self.runs_known = false;
        self.end_life(now);
    }

    /// Ends what ran in an upstream's earlier life. A run that was ordered and
    /// never listed may have reached the next life; it is stopped there.
    fn end_life(&mut self, now: Duration) {
        let (listed, unknown): (Vec<Task>, Vec<Task>) = self
            .runs
            .keys()
            .partition(|task| self.runs[*task].listed || is_seeded(Mutant::EarlyLife));
        for task in listed {
            self.finish(now, task, Ending::Lapsed);
        }
        for task in unknown {
            if let Some(slot) = self.runs.get_mut(&task) {
                slot.phase = Phase::Unknown;
                slot.barred = None;
                slot.lease = EARLIER_LIFE;
                if slot.stopped.is_none() {
                    self.leased = self.leased.max(now + self.timing.real_max_lease());
                    self.order_stop(now, task);
                }
            }
        }
        self.queue.clear();
        self.dirty = true;
    }

    fn end_all(&mut self, now: Duration) {
        let tasks: Vec<Task> = self.runs.keys().copied().collect();
        for task in tasks {
            self.finish(now, task, Ending::Lapsed);
        }
        self.queue.clear();
        self.dirty = true;
    }

    /// Ends all runs once every lease must have run out.
    pub(super) fn end_lapsed(&mut self, now: Duration) {
        if !self.runs.is_empty() && now > self.leased {
            self.events.push(Event::LeasesLapsed {
                runs: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
                silent: now.saturating_sub(self.heard),
            });
            self.runs_known = false;
            self.end_all(now);
        }
    }

    fn ended(&mut self, now: Duration, run: Run, ending: Ending) {
        let matches = self
            .runs
            .get(&run.task)
            .is_some_and(|slot| slot.attempt == run.attempt);
        if matches {
            self.finish(now, run.task, ending);
        }
    }

    /// Takes the list of what runs. It tells of all runs only if the call had
    /// the present token: until then, orders with an older one may still come.
    fn see_running(&mut self, now: Duration, inventory: &Inventory, token: Option<u64>) {
        let mut foreign = false;
        for listed in &inventory.running {
            if !self.see_run(now, *listed) {
                foreign = true;
                self.stats.foreign += 1;
                self.events.push(Event::RunForeign { run: listed.run });
                let (run, token) = (listed.run, self.token);
                self.actions.push(Action::Stop { run, token });
            }
        }
        let known = !foreign && token == Some(self.token);
        if self.runs_known != known {
            self.runs_known = known;
            self.dirty = true;
        }
        self.end_unstarted(now, inventory);
    }

    /// Records that a run is listed; false if nobody here has ordered it.
    fn see_run(&mut self, now: Duration, listed: Observation) -> bool {
        let Some(slot) = self.runs.get_mut(&listed.run.task) else {
            return false;
        };
        if slot.attempt != listed.run.attempt {
            return false;
        }
        slot.listed = true;
        if slot.phase == Phase::Starting {
            slot.phase = Phase::Running;
        }
        if listed.percent > slot.percent {
            slot.percent = listed.percent;
            slot.moved = now;
        }
        let elapsed = now.saturating_sub(slot.ordered);
        let stalled = now.saturating_sub(slot.moved);
        let long = elapsed > Duration::from_millis(slot.estimate.into()) * TELL_FACTOR;
        let due = now.saturating_sub(slot.told) >= TELL_AGAIN;
        if slot.stopped.is_none() && due && (long || stalled >= TELL_STILL) {
            slot.told = now;
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

    /// Ends the runs that have not started and never will: barred by a stop,
    /// or ordered under a lease that is over.
    fn end_unstarted(&mut self, now: Duration, inventory: &Inventory) {
        let stop = millis(self.timing.stop_timeout);
        let absent: Vec<(Task, bool)> = self
            .runs
            .iter()
            .filter(|(task, slot)| {
                let listed = inventory
                    .running
                    .iter()
                    .any(|listed| listed.run == slot.id(**task));
                let barred = slot
                    .barred
                    .is_some_and(|clock| inventory.clock > clock + stop);
                !listed && (barred || inventory.clock > slot.lease.saturating_add(stop))
            })
            .map(|(task, slot)| {
                let lost = slot.lease == EARLIER_LIFE;
                (*task, lost || slot.listed || slot.phase == Phase::Running)
            })
            .collect();
        for (task, ran) in absent {
            let ending = if ran {
                Ending::Lapsed
            } else {
                Ending::NotRun(Refusal::Unanswered)
            };
            self.finish(now, task, ending);
        }
    }
}
