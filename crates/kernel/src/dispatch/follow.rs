//! Handles reports from sides: load, ends of runs and progress of runs.

use super::{
    Dispatcher, Event, Key, REFUSAL_BACKOFF,
    fleet::{Link, Timed},
    job::State,
    lateness::is_late,
    place::is_stalled,
};
use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;
use wire::lease::{End, Ending, Ends, Frame, Progress, Refusal, Run, Task};

/// Time for which a task that was refused for lack of room is placed only on a
/// side that claims it: many one-way delays between processes. Load reports are
/// some milliseconds old. Under high load several entries send to the same free
/// resources, and a task placed by reports alone is refused repeatedly.
const CLAIM_WAIT: Duration = Duration::from_millis(40);

impl Dispatcher {
    pub(super) fn record_status(&mut self, now: Duration, from: Key, status: wire::lease::Status) {
        let Some(side) = self.fleet.get_mut(from) else {
            return;
        };
        let before = (side.is_available(now), side.room());
        side.report(now, status);
        if !side.set_rate(status.rate) {
            let (name, rate) = (side.name.clone(), status.rate);
            self.events.push(Event::RateInvalid { name, rate });
        }
        let after = (side.is_available(now), side.room());
        if after.0 && (!before.0 || !after.1.fits(before.1)) {
            self.placement.request_round();
        }
        let (accepting, name) = (status.accepting, side.name.clone());
        if accepting {
            self.supersede(now, from, &name);
        }
    }

    /// Removes earlier incarnations of a side that accepts tasks: before it
    /// does, it ensures that none of their runs is left.
    fn supersede(&mut self, now: Duration, key: Key, name: &str) {
        let earlier: Vec<Key> = self
            .fleet
            .iter()
            .filter(|(other, side)| *other != key && side.name == name)
            .filter(|(_, side)| side.link == Link::Lost)
            .map(|(other, _)| other)
            .collect();
        for other in earlier {
            self.drop_side(now, other);
        }
    }

    pub(super) fn record_ends(&mut self, now: Duration, from: Key, ends: &Ends) {
        let Some(side) = self.fleet.get_mut(from) else {
            return;
        };
        side.last_received = now;
        let known = side.last_end;
        let end = ends.first.saturating_add(ends.ends.len() as u64);
        side.last_end = known.max(end.saturating_sub(1));
        let skip = known.saturating_add(1).saturating_sub(ends.first);
        let new = ends
            .ends
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX));
        for end in new {
            self.record_end(now, from, *end);
        }
    }

    pub(super) fn record_open_runs(&mut self, now: Duration, from: Key, runs: &[Run]) {
        let Some(side) = self.fleet.get_mut(from) else {
            return;
        };
        side.link = Link::Up;
        self.placement.request_round();
        self.events.push(Event::SideUp {
            name: side.name.clone(),
            side: from,
        });
        let missing: Vec<Run> = side
            .runs
            .iter()
            .filter(|run| !runs.contains(run))
            .copied()
            .collect();
        for run in missing {
            let end = End {
                run,
                ending: Ending::NotRun(Refusal::Lost),
                spent: 0,
            };
            self.record_end(now, from, end);
        }
        self.stop_left_runs(from, runs);
    }

    /// Stops the open runs of a side whose jobs are not open here any more: a stop that
    /// was sent before may have been lost with the connection.
    fn stop_left_runs(&mut self, from: Key, runs: &[Run]) {
        let is_left = |run: &&Run| {
            if is_seeded(Mutant::LostStop) {
                return false;
            }
            let job = self.jobs.get(&run.task.job);
            !job.is_some_and(|job| job.placed().contains(&(from, **run)))
        };
        let left: Vec<Run> = runs.iter().filter(is_left).copied().collect();
        let Some(side) = self.fleet.get(from).filter(|_| !left.is_empty()) else {
            return;
        };
        self.events.push(Event::RunsLeft {
            name: side.name.clone(),
            side: from,
            runs: u32::try_from(left.len()).unwrap_or(u32::MAX),
        });
        self.send(from, Frame::Stop(left));
    }

    pub(super) fn record_end(&mut self, now: Duration, from: Key, end: End) {
        let known = self
            .fleet
            .get_mut(from)
            .is_some_and(|side| side.runs.remove(&end.run));
        if !known {
            return;
        }
        let task = end.run.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            if let Some(side) = self.fleet.get_mut(from) {
                side.cancel_probe();
            }
            self.remember_crash(now, from, end);
            return;
        };
        // The job may have been resubmitted since, with the same run numbers.
        if !job.placed().contains(&(from, end.run)) {
            if let Some(slot) = job.slot(task) {
                slot.not_before = slot.not_before.min(now);
            }
            return;
        }
        let cpu = job.step(task).need.cpu;
        job.has_run |= !matches!(end.ending, Ending::NotRun(_));
        let Some(slot) = job.slot(task) else { return };
        match end.ending {
            Ending::Done => {
                slot.state = State::Done;
                slot.spent = Duration::from_millis(end.spent.into());
            }
            Ending::Failed => slot.failures += 1,
            Ending::Crashed(crash) => slot.crashes.record(crash, from),
            Ending::Stopped | Ending::Lapsed => {}
            Ending::NotRun(Refusal::Room) => slot.claim_only_until = now + CLAIM_WAIT,
            Ending::NotRun(_) => slot.not_before = now + REFUSAL_BACKOFF,
        }
        if end.ending != Ending::Done {
            slot.state = State::Waiting;
            slot.avoid = Some(from);
        }
        self.events.push(Event::Ended {
            run: end.run,
            side: from,
            ending: end.ending,
            spent: Duration::from_millis(end.spent.into()),
            cpu,
        });
        self.update_health(now, from, end);
        self.rerank(now, task.job);
        self.continue_job(now, task, end.ending);
    }

    /// Updates the upstream's health after the end of a run.
    fn update_health(&mut self, now: Duration, from: Key, end: End) {
        let ejected = match end.ending {
            Ending::Done => {
                let transition = self
                    .time_run(end)
                    .map(|run| self.fleet.record_run(now, from, run))
                    .unwrap_or_default();
                if transition.readmitted {
                    self.events.push(Event::Readmitted { side: from });
                }
                transition.ejected
            }
            Ending::Failed => {
                let allowed = self.fleet.may_eject(now, from);
                self.fleet
                    .get_mut(from)
                    .is_some_and(|side| side.record_failure(now, allowed))
            }
            Ending::NotRun(refusal @ (Refusal::Upstream | Refusal::Unanswered)) => {
                let allowed = self.fleet.may_eject(now, from);
                self.stats.rejected += 1;
                self.fleet.get_mut(from).is_some_and(|side| {
                    if refusal == Refusal::Unanswered {
                        side.record_unanswered(now, allowed)
                    } else {
                        side.record_failure(now, allowed)
                    }
                })
            }
            Ending::NotRun(_) | Ending::Stopped | Ending::Lapsed | Ending::Crashed(_) => {
                self.stats.rejected += u64::from(matches!(end.ending, Ending::NotRun(_)));
                if let Some(side) = self.fleet.get_mut(from) {
                    side.cancel_probe();
                }
                false
            }
        };
        if ejected {
            self.report_ejection(from, end.run);
        }
    }

    /// Updates what is usual for the queue of a run that has succeeded, and compares
    /// the run with it.
    fn time_run(&mut self, end: End) -> Option<Timed> {
        let task = end.run.task;
        let late = self.judge_lateness(task, f64::from(end.spent));
        let job = self.jobs.get(&task.job)?;
        let estimate = job.step(task).estimate;
        let ratio = f64::from(end.spent.max(1)) / estimate.as_secs_f64().max(1e-3) / 1e3;
        let plan = job.tasks[usize::from(task.step)][usize::from(task.index)].plan;
        let at_usual_speed = ratio * plan.rate / self.fleet.speeds(&job.service).mean;
        let usual_ratio = at_usual_speed / plan.distance;
        if usual_ratio.is_finite() && usual_ratio > 0.0 {
            let count = job.task_count();
            self.usual.record(&job.queue, estimate, usual_ratio, count);
        }
        Some(Timed {
            job: task.job,
            ratio,
            spent: end.spent,
            late,
        })
    }

    /// Returns whether a run of `spent_ms` was later than its host's rate explains;
    /// `None` while it is unknown what is usual, or if most runs of the queue are late.
    fn judge_lateness(&mut self, task: Task, spent_ms: f64) -> Option<bool> {
        let job = self.jobs.get(&task.job)?;
        let plan = job.tasks[usize::from(task.step)][usize::from(task.index)].plan;
        let expected_ms = plan.usual?.as_secs_f64() * 1e3 / plan.rate;
        let late = is_late(expected_ms, spent_ms);
        self.usual.record_late(&job.queue, late, job.task_count());
        self.usual.is_late_rare(&job.queue).then_some(late)
    }

    /// Records that a run is stopped because it is slow; returns whether its upstream
    /// is newly ejected.
    fn record_slow_run(&mut self, now: Duration, from: Key, progress: Progress) -> bool {
        let percent = f64::from(progress.percent.max(1));
        let total_ms = f64::from(progress.elapsed) * 100.0 / percent;
        let task = progress.run.task;
        let late = self.judge_lateness(task, total_ms);
        self.fleet.record_lateness(now, from, task.job, late)
    }

    /// Stops a run that progresses too slowly, so that it starts elsewhere.
    pub(super) fn review_progress(&mut self, now: Duration, from: Key, progress: Progress) {
        if !self.should_move(now, progress) {
            return;
        }
        let stalled = is_stalled(progress);
        let ejected = if stalled {
            let allowed = self.fleet.may_eject(now, from);
            self.fleet
                .get_mut(from)
                .is_some_and(|side| side.eject(now, allowed))
        } else {
            self.record_slow_run(now, from, progress)
        };
        if ejected {
            self.report_ejection(from, progress.run);
        }
        if !stalled && !self.fleet.is_suspect(from) {
            return;
        }
        self.stats.moved += 1;
        self.events.push(Event::Moved {
            run: progress.run,
            side: from,
            elapsed: Duration::from_millis(progress.elapsed.into()),
            percent: progress.percent,
            stalled: Duration::from_millis(progress.stalled.into()),
        });
        self.send(from, Frame::Stop(vec![progress.run]));
    }

    fn report_ejection(&mut self, side: Key, run: Run) {
        let slowness = self.fleet.get(side).map_or(1.0, |side| side.slowness);
        let share = slowness / self.fleet.mean_slowness.max(1e-3) * 100.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the range"
        )]
        let slowness = share.clamp(0.0, 1e6) as u32;
        self.events.push(Event::Ejected {
            side,
            run,
            slowness,
        });
    }
}
