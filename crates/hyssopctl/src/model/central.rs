//! Policies with one queue that see all hosts without delay.

use super::{
    day::{Day, Job},
    hosts::Hosts,
    tally::End,
};
use std::{collections::BTreeSet, time::Duration};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// How the one queue is ordered; see [`super::Policy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By arrival.
    Fifo,
    /// By priority, then by objective.
    Urgent,
    /// As [`Order::Urgent`], with the run times known.
    Oracle,
}

/// Place in the queue: whether it is late, priority, deadline, arrival.
type Rank = (bool, u8, Duration, usize);

struct Open {
    /// Tasks without a run, and those that have not ended.
    waiting: u16,
    left: u16,
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
        Order::Urgent => now >= job.useless().min(job.at + job.patience()),
        Order::Oracle => now + job.run > job.useless(),
    }
}

/// Plays a day.
pub fn play(day: &Day, order: Order) -> Vec<End> {
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
            queue.insert(rank(order, index, &day.jobs[index], now));
        }
        while let Some(job) = day.jobs.get(open.len())
            && job.at <= now
        {
            queue.insert(rank(order, open.len(), job, now));
            open.push(Open {
                waiting: job.tasks,
                left: job.tasks,
            });
        }
        requeue(day, order, &mut queue, &open, &mut ends, now);
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
    order: Order,
    queue: &mut BTreeSet<Rank>,
    open: &[Open],
    ends: &mut [End],
    now: Duration,
) {
    for old in queue.iter().copied().collect::<Vec<Rank>>() {
        let job = &day.jobs[old.3];
        let started = open[old.3].waiting < job.tasks;
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
