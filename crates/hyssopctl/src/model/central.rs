//! Baseline policies with one queue that see all hosts without delay.

use super::{
    hosts::Hosts,
    tally::End,
    workload::{Job, Workload},
};
use std::{collections::BTreeSet, time::Duration};

/// Granularity of virtual time.
const TIME_STEP: Duration = Duration::from_millis(1);

/// Order of the queue; see [`super::Policy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By arrival.
    Fifo,
    /// By priority, then by the time at which the objective is missed.
    Urgent,
    /// As [`Order::Urgent`], after moving jobs that will be late to the end.
    Oracle,
}

/// Sort key in the queue: whether the job will be late, its priority, the time at
/// which its objective is missed, and its index by arrival.
type Rank = (bool, u8, Duration, usize);

struct Progress {
    /// Tasks without a run, including those whose run was lost with its host.
    unstarted: u16,
    unfinished: u16,
}

fn rank(order: Order, index: usize, job: &Job, now: Duration) -> Rank {
    match order {
        Order::Fifo => (false, 0, Duration::ZERO, index),
        Order::Urgent => (false, job.priority, job.due(), index),
        Order::Oracle => (now + job.run > job.due(), job.priority, job.due(), index),
    }
}

/// Returns whether a job that has not started is refused now.
fn is_refused(order: Order, job: &Job, now: Duration) -> bool {
    match order {
        Order::Fifo => now >= job.at + job.patience(),
        Order::Urgent => now >= job.useful_until().min(job.at + job.patience()),
        Order::Oracle => now + job.run > job.useful_until(),
    }
}

/// Simulates a workload and returns how each job ended.
pub fn simulate(workload: &Workload, order: Order) -> Vec<End> {
    let mut hosts = Hosts::new(workload);
    let mut ends = vec![End::GivenUp; workload.jobs.len()];
    let mut open: Vec<Progress> = Vec::with_capacity(workload.jobs.len());
    let mut queue: BTreeSet<Rank> = BTreeSet::new();
    let mut now = Duration::ZERO;
    let end = workload.parameters.length + Duration::from_secs(10);
    while now < end {
        now += TIME_STEP;
        for index in hosts.finish(now) {
            open[index].unfinished -= 1;
            if open[index].unfinished == 0 {
                ends[index] = End::Answered(now);
            }
        }
        for index in hosts.lose(workload, now) {
            open[index].unstarted += 1;
            queue.insert(rank(order, index, &workload.jobs[index], now));
        }
        while let Some(job) = workload.jobs.get(open.len())
            && job.at <= now
        {
            queue.insert(rank(order, open.len(), job, now));
            open.push(Progress {
                unstarted: job.tasks,
                unfinished: job.tasks,
            });
        }
        update_queue(workload, order, &mut queue, &open, &mut ends, now);
        while let Some(first) = queue.first().copied()
            && let Some(host) = hosts.choose(workload)
        {
            let index = first.3;
            let run = workload.jobs[index].run.mul_f64(workload.slowdowns[host]);
            hosts.0[host].runs.push((index, now + run));
            open[index].unstarted -= 1;
            if open[index].unstarted == 0 {
                queue.remove(&first);
            }
        }
    }
    ends
}

/// Refuses jobs whose answer would be useless, and updates the rank of the other
/// jobs that have not started.
fn update_queue(
    workload: &Workload,
    order: Order,
    queue: &mut BTreeSet<Rank>,
    open: &[Progress],
    ends: &mut [End],
    now: Duration,
) {
    for old in queue.iter().copied().collect::<Vec<Rank>>() {
        let job = &workload.jobs[old.3];
        let started = open[old.3].unstarted < job.tasks;
        if !started && is_refused(order, job, now) {
            queue.remove(&old);
            ends[old.3] = End::Refused(now);
        } else if !started {
            let new = rank(order, old.3, job, now);
            if new != old {
                queue.remove(&old);
                queue.insert(new);
            }
        }
    }
}
