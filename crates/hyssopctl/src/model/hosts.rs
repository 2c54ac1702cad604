//! State of the simulated hosts: their runs and when these end.

use super::workload::{HOST_MCPU, TASK_MCPU, Workload};
use std::time::Duration;

/// A simulated host.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// Index of the job and end time of each run.
    pub runs: Vec<(usize, Duration)>,
    /// Whether the host is down.
    pub lost: bool,
}

/// All hosts of a workload.
#[derive(Debug)]
pub struct Hosts(pub Vec<Host>);

impl Hosts {
    /// Creates idle hosts.
    pub fn new(workload: &Workload) -> Self {
        Self(vec![Host::default(); workload.slowdowns.len()])
    }

    /// Removes the runs that have ended by `now` and returns their jobs.
    pub fn finish(&mut self, now: Duration) -> Vec<usize> {
        let mut ended_jobs = Vec::new();
        for host in &mut self.0 {
            let finished = host.runs.extract_if(.., |(_, end)| *end <= now);
            ended_jobs.extend(finished.map(|(run, _)| run));
        }
        ended_jobs
    }

    /// Updates which hosts are down; removes their runs and returns their jobs.
    pub fn lose(&mut self, workload: &Workload, now: Duration) -> Vec<usize> {
        let mut interrupted = Vec::new();
        for (index, host) in self.0.iter_mut().enumerate() {
            host.lost = workload.is_lost(index, now);
            if host.lost {
                interrupted.extend(host.runs.drain(..).map(|(run, _)| run));
            }
        }
        interrupted
    }

    /// Returns the fastest host with free capacity; of several, the one with the
    /// fewest runs.
    pub fn choose(&self, workload: &Workload) -> Option<usize> {
        let max_runs = (HOST_MCPU / TASK_MCPU) as usize;
        let has_room = |index: &usize| !self.0[*index].lost && self.0[*index].runs.len() < max_runs;
        (0..self.0.len()).filter(has_room).min_by(|left, right| {
            let by_speed = workload.slowdowns[*left].total_cmp(&workload.slowdowns[*right]);
            by_speed.then(self.0[*left].runs.len().cmp(&self.0[*right].runs.len()))
        })
    }
}
