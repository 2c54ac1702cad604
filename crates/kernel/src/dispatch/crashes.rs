//! Tasks that crash the upstreams that start them.
//!
//! A crash loses all runs at the upstream, and any of those that had just started may
//! be its cause. A task that was such a suspect is started again beside no other
//! suspect of this entry, so that a second crash shows which of them it was.

use super::{Dispatcher, Event, Phase};
use std::time::Duration;
use wire::lease::{Crash, Culprit, Frame, Task};

/// Crashes as a suspect after which a task is given up. Since suspects are separated
/// after the first crash, a task that only ran beside the cause is rarely a suspect
/// twice.
const MAX_SUSPICIONS: u32 = 2;

/// Crashes in all after which a task is given up: it may crash its upstreams later than
/// a suspect would.
const MAX_CRASHES: u32 = 3;

/// The crashes of upstreams that had a run of a task.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Crashes {
    /// Those of upstreams that had started the task.
    all: u32,
    /// Those of them that the task may have caused.
    suspicions: u32,
    /// Those of upstreams that are not known to have started it.
    unconfirmed: u32,
}

impl Crashes {
    /// Counts a crash.
    pub(super) fn record(&mut self, crash: Crash) {
        match crash {
            Crash::Unconfirmed => self.unconfirmed += 1,
            Crash::Bystander => self.all += 1,
            Crash::Suspect => {
                self.all += 1;
                self.suspicions += 1;
            }
        }
    }

    /// Returns whether the task is to be started beside no other suspect.
    pub(super) fn are_suspicious(self) -> bool {
        self.suspicions > 0 || self.unconfirmed > 0
    }

    /// Returns whether the task counts as the cause of the crashes.
    pub(super) fn are_evidence(self) -> bool {
        self.suspicions >= MAX_SUSPICIONS || self.all >= MAX_CRASHES
    }
}

impl Dispatcher {
    /// Fails the job of a task that crashes its upstreams, and tells the other entries:
    /// its customer may resubmit it there if this entry is lost before it answers.
    pub(super) fn give_up_culprit(&mut self, now: Duration, task: Task) {
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
        for peer in self.peers.connected() {
            let queue = queue.clone();
            self.send(peer, Frame::Culprit(Culprit { task, queue }));
        }
    }

    /// Records that another entry has given up the job of a task that crashes its
    /// upstreams.
    pub(super) fn record_culprit(&mut self, now: Duration, culprit: &Culprit) {
        let job = culprit.task.job;
        if self.jobs.contains_key(&job) {
            self.finish(now, job, Phase::Failed);
        } else if self.history.get(job).is_none() {
            self.history.insert(now, job, Phase::Failed);
        }
    }
}
