//! Policies with one queue that see all hosts without delay.

use super::{Policy, day::Day, day::Job, hosts::Hosts, tally::End};
use std::{collections::BTreeSet, time::Duration};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Place in the queue: whether it is late, priority, deadline, arrival.
type Rank = (bool, u8, Duration, usize);

struct Open {
    /// Tasks without a run, and those that have not ended.
    waiting: u16,
    left: u16,
}

fn rank(policy: Policy, index: usize, job: &Job, now: Duration) -> Rank {
    match policy {
        Policy::Fifo => (false, 0, Duration::ZERO, index),
        Policy::Urgent | Policy::Product => (false, job.priority, job.due(), index),
        Policy::Oracle => (now + job.run > job.due(), job.priority, job.due(), index),
    }
}

/// Returns whether a job that has not started is refused now.
fn is_refused(policy: Policy, job: &Job, now: Duration) -> bool {
    match policy {
        Policy::Fifo => now >= job.at + job.patience(),
        Policy::Urgent | Policy::Product => now >= job.useless().min(job.at + job.patience()),
        Policy::Oracle => now + job.run > job.useless(),
    }
}

/// Plays a day.
pub fn play(day: &Day, policy: Policy) -> Vec<End> {
    let mut hosts = Hosts::new(day);
    let mut ends = vec![End::GivenUp; day.jobs.len()];
    let mut open: Vec<Open> = Vec::with_capacity(day.jobs.len());
    let mut queue: BTreeSet<Rank> = BTreeSet::new();
    let mut now = Duration::ZERO;
    let until = day.shape.length + Duration::from_secs(10);
    while now < until {
        now += STEP;
        for index in hosts.finish(now) {
            open[index].left -= 1;
            if open[index].left == 0 {
                ends[index] = End::Answered(now);
            }
        }
        for index in hosts.lose(day, now) {
            open[index].waiting += 1;
            queue.insert(rank(policy, index, &day.jobs[index], now));
        }
        while let Some(job) = day.jobs.get(open.len())
            && job.at <= now
        {
            queue.insert(rank(policy, open.len(), job, now));
            open.push(Open {
                waiting: job.tasks,
                left: job.tasks,
            });
        }
        requeue(day, policy, &mut queue, &open, &mut ends, now);
        while let Some(first) = queue.first().copied()
            && let Some(host) = hosts.choose(day)
        {
            let index = first.3;
            let run = day.jobs[index].run.mul_f64(day.speeds[host]);
            hosts.0[host].runs.push((index, now + run));
            open[index].waiting -= 1;
            if open[index].waiting == 0 {
                queue.remove(&first);
            }
        }
    }
    ends
}

/// Refuses what is of no use any more, and lets sink what is late.
fn requeue(
    day: &Day,
    policy: Policy,
    queue: &mut BTreeSet<Rank>,
    open: &[Open],
    ends: &mut [End],
    now: Duration,
) {
    for old in queue.iter().copied().collect::<Vec<Rank>>() {
        let job = &day.jobs[old.3];
        let started = open[old.3].waiting < job.tasks;
        if !started && is_refused(policy, job, now) {
            queue.remove(&old);
            ends[old.3] = End::Refused(now);
        } else if !started {
            let new = rank(policy, old.3, job, now);
            if new != old {
                queue.remove(&old);
                queue.insert(new);
            }
        }
    }
}
