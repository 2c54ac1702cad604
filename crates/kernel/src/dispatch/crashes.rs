//! Tasks that crash the upstreams that start them.
//!
//! A crash loses all runs at the upstream, and any of those that had just started may
//! be its cause. A task that was such a suspect is started again beside no other
//! suspect, which its side enforces for all entries, so that a second crash shows which
//! of them it was.

use super::{
    Dispatcher, Event, Job, Key, Phase,
    confinement::{Change, Evidence},
    crash_count::{Crashes, Verdict},
};
use crate::millis;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{CrashCount, Culprit, End, Ending, Frame, Task},
};

/// Time for which the crashes of a task are remembered after its job was dropped;
/// customers resubmit jobs within seconds.
const MEMORY_TIME: Duration = Duration::from_mins(1);

/// Crashes of upstreams with tasks of jobs that were dropped, here or at another entry.
#[derive(Debug, Default)]
pub(super) struct CrashMemory {
    tasks: BTreeMap<Task, Crashes>,
    order: VecDeque<(Duration, Task)>,
}

impl CrashMemory {
    /// Returns the crashes of a task.
    pub(super) fn get(&self, task: Task) -> Option<Crashes> {
        self.tasks.get(&task).copied()
    }

    /// Adds what is known of a task's crashes.
    fn merge(&mut self, now: Duration, task: Task, crashes: Crashes) {
        let known = self.tasks.entry(task).or_insert_with(|| {
            self.order.push_back((now + MEMORY_TIME, task));
            Crashes::default()
        });
        *known = known.merged(crashes);
    }

    /// Removes what is older than [`MEMORY_TIME`].
    pub(super) fn expire(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, task)) = self.order.pop_front() {
                self.tasks.remove(&task);
            }
        }
    }
}

impl Dispatcher {
    /// Fails the job of a task that crashes its upstreams, and tells the other entries:
    /// its customer may resubmit it there if this entry is lost before it answers.
    pub(super) fn give_up_culprit(&mut self, now: Duration, task: Task, verdict: Verdict) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let queue = job.queue.clone();
        let crashes = job
            .slot(task)
            .map_or_else(Crashes::default, |slot| slot.crashes);
        self.events.push(Event::Culprit {
            task,
            queue: queue.clone(),
            crashes: crashes.all,
            suspicions: crashes.suspicions,
        });
        self.finish(now, task.job, Phase::Failed);
        let evidence = Evidence {
            at: now,
            task,
            queue,
            verdict,
        };
        for peer in self.peers.connected() {
            self.send(peer, Frame::Culprit(evidence.frame(now)));
        }
        self.confinement.record(evidence);
        self.update_confinement(now);
    }

    /// Remembers the crashes of a job's tasks, as the job is dropped: its customer may
    /// resubmit it, here or at another entry.
    pub(super) fn remember_crashes(&mut self, now: Duration, job: &Job) {
        let crashed = job.crashes();
        // The other entries are told of a culprit, and keep its job as failed for longer.
        let is_told = crashed
            .iter()
            .any(|(_, crashes)| crashes.verdict().is_some());
        if crashed.is_empty() || job.is_done() || is_told {
            return;
        }
        self.share_crashes(now, &crashed);
    }

    /// Counts the crash of an upstream with a run whose job was dropped before.
    pub(super) fn remember_crash(&mut self, now: Duration, from: Key, end: End) {
        let Ending::Crashed(crash) = end.ending else {
            return;
        };
        let task = end.run.task;
        let mut crashes = self.crash_memory.get(task).unwrap_or_default();
        crashes.record(crash, from);
        self.share_crashes(now, &[(task, crashes)]);
    }

    fn share_crashes(&mut self, now: Duration, crashed: &[(Task, Crashes)]) {
        for (task, crashes) in crashed {
            self.crash_memory.merge(now, *task, *crashes);
        }
        let counts: Vec<CrashCount> = crashed
            .iter()
            .map(|(task, crashes)| crashes.frame(*task))
            .collect();
        for peer in self.peers.connected() {
            self.send(peer, Frame::Crashes(counts.clone()));
        }
    }

    /// Records the crashes of a dropped job's tasks that another entry has counted.
    pub(super) fn record_crashes(&mut self, now: Duration, counts: &[CrashCount]) {
        for count in counts {
            let crashes = Crashes::of(*count);
            self.crash_memory.merge(now, count.task, crashes);
            let job = self.jobs.get_mut(&count.task.job);
            if let Some(slot) = job.and_then(|job| job.slot(count.task)) {
                slot.crashes = slot.crashes.merged(crashes);
            }
            self.give_up_if_culprit(now, count.task.job);
        }
    }

    /// Fails a job if a task of it is to be given up for its crashes.
    pub(super) fn give_up_if_culprit(&mut self, now: Duration, job: u64) {
        let crashed = self.jobs.get(&job).map(Job::crashes).unwrap_or_default();
        let culprit = crashed
            .iter()
            .find_map(|(task, crashes)| Some((*task, crashes.verdict()?)));
        if let Some((task, verdict)) = culprit {
            self.give_up_culprit(now, task, verdict);
        }
    }

    /// Gives the tasks of a new job the crashes that are remembered.
    pub(super) fn recall_crashes(&self, job: &mut Job) {
        if self.crash_memory.tasks.is_empty() {
            return;
        }
        for task in job.all_tasks() {
            if let Some(crashes) = self.crash_memory.get(task)
                && let Some(slot) = job.slot(task)
            {
                slot.crashes = crashes;
            }
        }
    }

    /// Records that another entry has given up the job of a task that crashes its
    /// upstreams.
    pub(super) fn record_culprit(&mut self, now: Duration, culprit: Culprit) {
        let job = culprit.task.job;
        if self.jobs.contains_key(&job) {
            self.finish(now, job, Phase::Failed);
        } else if self.history.get(job).is_none() {
            self.history.insert(now, job, Phase::Failed);
        }
        self.confinement.record(Evidence::of(culprit, now));
        self.update_confinement(now);
    }

    /// Sends what counts against queues to an entry that has just connected: it may
    /// have restarted.
    pub(super) fn send_evidence(&mut self, now: Duration, to: Incarnation) {
        let frames: Vec<Frame> = self
            .confinement
            .evidence()
            .map(|evidence| Frame::Culprit(evidence.frame(now)))
            .collect();
        for frame in frames {
            self.send(to, frame);
        }
    }

    /// Updates which queues are confined to which hosts.
    pub(super) fn update_confinement(&mut self, now: Duration) {
        let changes = self.confinement.update(now, &self.rules, &self.fleet);
        for change in changes {
            self.placement.request_round();
            self.events.push(match change {
                Change::Confined(queue, hosts) => Event::QueueConfined {
                    queue,
                    hosts: u32::try_from(hosts).unwrap_or(u32::MAX),
                },
                Change::Released(queue) => Event::QueueReleased { queue },
            });
        }
    }
}

impl Evidence {
    /// Makes evidence of another entry's frame.
    fn of(culprit: Culprit, now: Duration) -> Self {
        Self {
            at: now.saturating_sub(Duration::from_millis(culprit.age.into())),
            task: culprit.task,
            queue: culprit.queue,
            verdict: if culprit.suspect {
                Verdict::Suspect
            } else {
                Verdict::Present
            },
        }
    }

    /// Makes the frame that tells another entry.
    fn frame(&self, now: Duration) -> Culprit {
        let age = millis(now.saturating_sub(self.at));
        Culprit {
            task: self.task,
            queue: self.queue.clone(),
            suspect: self.verdict == Verdict::Suspect,
            age: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
