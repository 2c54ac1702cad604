//! The hosts of a day: what runs where, and until when.

use super::day::{CAPACITY, CPU, Day};
use std::time::Duration;

/// One host.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// Runs, as their jobs, with their ends.
    pub runs: Vec<(usize, Duration)>,
    /// Whether it is lost.
    pub lost: bool,
}

/// All hosts.
#[derive(Debug)]
pub struct Hosts(pub Vec<Host>);

impl Hosts {
    /// Makes idle hosts.
    pub fn new(day: &Day) -> Self {
        Self(vec![Host::default(); day.speeds.len()])
    }

    /// Returns the jobs of the runs that have ended by `now`.
    pub fn finish(&mut self, now: Duration) -> Vec<usize> {
        let mut ended = Vec::new();
        for host in &mut self.0 {
            let over = host.runs.extract_if(.., |(_, end)| *end <= now);
            ended.extend(over.map(|(run, _)| run));
        }
        ended
    }

    /// Returns the jobs of the runs that are lost with their hosts by `now`.
    pub fn lose(&mut self, day: &Day, now: Duration) -> Vec<usize> {
        let mut gone = Vec::new();
        for (index, host) in self.0.iter_mut().enumerate() {
            host.lost = day.is_lost(index, now);
            if host.lost {
                gone.extend(host.runs.drain(..).map(|(run, _)| run));
            }
        }
        gone
    }

    /// Returns the fastest host with room, the emptiest of several.
    pub fn choose(&self, day: &Day) -> Option<usize> {
        let most = (CAPACITY / CPU) as usize;
        let room = |index: &usize| !self.0[*index].lost && self.0[*index].runs.len() < most;
        (0..self.0.len()).filter(room).min_by(|left, right| {
            let speeds = day.speeds[*left].total_cmp(&day.speeds[*right]);
            speeds.then(self.0[*left].runs.len().cmp(&self.0[*right].runs.len()))
        })
    }
}
