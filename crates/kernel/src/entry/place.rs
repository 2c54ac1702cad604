//! Placement of waiting tasks, and completion and failure of jobs.

use super::Entry;
use crate::{
    RECONNECT_GRACE,
    document::DEFAULT_TEAM,
    fleet::{Key, Pool},
    millis,
    work::{Work, failed_answer},
};
use hashbrown::HashMap;
use std::{sync::Arc, time::Duration};
use wire::{
    Code, Frame,
    frame::{Answer, Item, Run, Started, Submission, Void},
    id::{Job, Task},
};

/// Time after which customers may resubmit a failed job.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Ratio of response time to expected work that ranks assume for every job.
const TARGET_SLOWDOWN: u32 = 4;

/// Tasks placed in one pass, by side and job.
type Batches = HashMap<(Key, Job), Vec<u16>>;

/// Reason why no task of a queue's first job could be placed.
enum Blocked {
    /// The team's quota is in use.
    Team,
    /// The policy names no side.
    Sides,
}

impl Entry {
    /// Sends waiting tasks to sides while the policy names any.
    pub(super) fn place(&mut self, now: Duration) {
        if self.fenced {
            return;
        }
        let mut batches = Batches::new();
        let pool_sets: Vec<Vec<Pool>> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.front().is_some())
            .map(|(pools, _)| pools.clone())
            .collect();
        for pools in pool_sets {
            self.place_queue(&pools, &mut batches);
        }
        for ((side, job), indices) in batches {
            self.send_run(now, side, job, indices);
        }
    }

    /// Places tasks of the queue that these pools serve, until the policy names no
    /// side or every team's quota is in use.
    fn place_queue(&mut self, pools: &[Pool], batches: &mut Batches) {
        let mut blocked_teams = 0;
        while let Some(queue) = self.queues.get_mut(pools) {
            let Some(job) = queue.front() else { return };
            let waiting = self
                .open
                .get(&job)
                .is_some_and(|work| !work.waiting.is_empty());
            if !waiting {
                queue.pop();
                continue;
            }
            if blocked_teams >= queue.teams() {
                return;
            }
            match self.place_next(pools, job, batches) {
                Ok(()) => blocked_teams = 0,
                Err(Blocked::Team) => blocked_teams += 1,
                Err(Blocked::Sides) => return,
            }
            if let Some(queue) = self.queues.get_mut(pools) {
                queue.rotate();
            }
        }
    }

    /// Places the next task of a job.
    fn place_next(
        &mut self,
        pools: &[Pool],
        job: Job,
        batches: &mut Batches,
    ) -> Result<(), Blocked> {
        let Some(work) = self.open.get_mut(&job) else {
            return Ok(());
        };
        let quota = quota(&self.document, &work.submission.team, self.endpoints.len());
        let load = self
            .team_load
            .entry_ref(work.submission.team.as_str())
            .or_default();
        if *load >= quota {
            return Err(Blocked::Team);
        }
        let (fleet, random) = (&mut self.fleet, &mut self.random);
        let side = pools
            .iter()
            .find_map(|pool| (self.choose)(fleet, *pool, random))
            .ok_or(Blocked::Sides)?;
        let Some(index) = work.waiting.pop_front() else {
            return Ok(());
        };
        *load += 1;
        work.place(index, side);
        self.queued -= 1;
        self.placed
            .entry(side)
            .or_default()
            .insert(Task { job, index });
        self.fleet.update(side, |member| member.own_tasks += 1);
        batches.entry((side, job)).or_default().push(index);
        Ok(())
    }

    fn send_run(&mut self, now: Duration, side: Key, job: Job, indices: Vec<u16>) {
        let (Some(work), Some(member)) = (self.open.get(&job), self.fleet.get(side)) else {
            return;
        };
        let items = indices.into_iter().map(|index| Item {
            index,
            payload: work.submission.tasks[usize::from(index)].clone(),
        });
        let run = Run {
            job,
            side: member.incarnation,
            permit: member.clock,
            kind: work.submission.kind.clone(),
            remaining: u32::try_from(millis(work.deadline.saturating_sub(now))).unwrap_or(u32::MAX),
            total: u16::try_from(work.tasks.len()).unwrap_or(u16::MAX),
            tasks: items.collect(),
        };
        self.stats.runs += 1;
        self.stats.tasks += run.tasks.len() as u64;
        self.send(run.side, Frame::Run(run));
    }

    /// Adds a job with waiting tasks to the queue of the pools that serve it.
    pub(super) fn enqueue(&mut self, job: Job) {
        let Some(work) = self.open.get(&job) else {
            return;
        };
        let submission = &work.submission;
        let pools = self.fleet.pools_for(&submission.service, &submission.kind);
        let queue = self.queues.entry(pools.to_vec()).or_default();
        queue.push(&submission.team, work.rank, job);
    }

    /// Returns a job's rank: the time at which it would end if every job took
    /// [`TARGET_SLOWDOWN`] times its expected work.
    ///
    /// Short jobs thus overtake long ones, but no job starves, since the ranks
    /// of later jobs increase with time.
    pub(super) fn rank(&self, now: Duration, submission: &Submission) -> Duration {
        let mean = self.estimator.mean(&submission.service, &submission.kind);
        let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        now + mean.saturating_mul(tasks.saturating_mul(TARGET_SLOWDOWN))
    }

    /// Queues all waiting jobs again after the set of pools has changed.
    pub(super) fn rebuild_queues(&mut self) {
        self.queues.clear();
        let waiting: Vec<Job> = self
            .open
            .iter()
            .filter(|(_, work)| !work.waiting.is_empty())
            .map(|(job, _)| *job)
            .collect();
        for job in waiting {
            self.enqueue(job);
        }
    }

    /// Records that a task is no longer placed at a side. Returns false if it
    /// was not placed there.
    pub(super) fn remove_placement(&mut self, key: Key, task: Task) -> bool {
        let was_placed = self
            .placed
            .get_mut(&key)
            .is_some_and(|tasks| tasks.remove(&task));
        if was_placed {
            self.fleet
                .update(key, |m| m.own_tasks = m.own_tasks.saturating_sub(1));
        }
        was_placed
    }

    /// Returns one task to the quota of the job's team.
    pub(super) fn release_quota(&mut self, job: &Job) {
        if let Some(work) = self.open.get(job)
            && let Some(load) = self.team_load.get_mut(&work.submission.team)
        {
            *load = load.saturating_sub(1);
        }
    }

    /// Ends a job whose tasks are all answered.
    pub(super) fn complete(&mut self, job: Job, answer: Answer) {
        let Some(work) = self.close(job) else { return };
        self.stats.completed += 1;
        self.finish(job, work, answer);
    }

    /// Fails a job: answers its customers at once and voids its tasks at sides.
    pub(super) fn fail(&mut self, job: Job, code: Code, started: Started, detail: &str) {
        let Some(work) = self.close(job) else { return };
        for side in &work.sides {
            if let Some(member) = self.fleet.get(*side) {
                let void = Void {
                    job,
                    indices: Vec::new(),
                };
                let incarnation = member.incarnation;
                self.send(incarnation, Frame::Void(void));
            }
        }
        self.count_failure(code);
        let retry_after = if code.is_retryable() {
            RETRY_AFTER
        } else {
            Duration::ZERO
        };
        self.finish(job, work, failed_answer(code, started, retry_after, detail));
    }

    /// Fails the jobs whose deadlines have passed.
    pub(super) fn expire_jobs(&mut self, now: Duration) {
        while let Some((deadline, job)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let Some(work) = self.open.get(&job) else {
                self.deadlines.pop_first();
                continue;
            };
            let started = work.started();
            let code = match started {
                Started::None => Code::NotPlaced,
                Started::Some | Started::Unknown => Code::DeadlineExceeded,
            };
            self.fail(job, code, started, "the deadline has passed");
        }
    }

    /// Returns whether a side that was lost at `lost` can no longer reconnect.
    pub(super) fn is_reconnect_overdue(lost: Duration, now: Duration) -> bool {
        now.saturating_sub(lost) > RECONNECT_GRACE
    }

    /// Removes a job from the open ones and releases its team's quota.
    fn close(&mut self, job: Job) -> Option<Work> {
        let work = self.open.remove(&job)?;
        self.deadlines.remove(&(work.deadline, job));
        self.queued -= work.waiting.len();
        let placed = work
            .tasks
            .iter()
            .filter(|task| matches!(task, crate::work::Task::Placed(_)))
            .count();
        if let Some(load) = self.team_load.get_mut(&work.submission.team) {
            *load = load.saturating_sub(u32::try_from(placed).unwrap_or(u32::MAX));
        }
        Some(work)
    }

    /// Answers a job's customers and archives the answer.
    fn finish(&mut self, job: Job, work: Work, answer: Answer) {
        let answer = Arc::new(answer);
        for customer in work.customers {
            self.respond(customer, &answer);
        }
        self.archive.insert(job, Some(work.fingerprint), answer);
    }
}

/// Returns the team's quota at one of `entries` entries, in placed tasks.
fn quota(document: &crate::document::Document, team: &str, entries: usize) -> u32 {
    let name = if team.is_empty() { DEFAULT_TEAM } else { team };
    let entry_count = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    document
        .teams
        .get(name)
        .map_or(u32::MAX, |team| team.slots.div_ceil(entry_count))
}
