//! Jobs that wait for slots, with round-robin scheduling between teams.

use hashbrown::HashMap;
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use wire::id::Job;

/// Waiting jobs that the same pools can run. Teams take turns; within a team
/// the job with the lowest rank goes first.
#[derive(Debug, Default)]
pub struct Queue {
    teams: HashMap<String, BTreeSet<(Duration, Job)>>,
    turns: VecDeque<String>,
}

impl Queue {
    /// Adds a job; does nothing if it is queued already.
    pub fn push(&mut self, team: &str, rank: Duration, job: Job) {
        if !self.teams.contains_key(team) {
            self.turns.push_back(team.to_owned());
        }
        let jobs = self.teams.entry_ref(team).or_default();
        jobs.insert((rank, job));
    }

    /// Returns the job whose turn it is, without removing it.
    pub fn front(&self) -> Option<Job> {
        let team = self.turns.front()?;
        let (_, job) = self.teams.get(team)?.first()?;
        Some(*job)
    }

    /// Passes the turn to the next team.
    pub fn rotate(&mut self) {
        if !self.turns.is_empty() {
            self.turns.rotate_left(1);
        }
    }

    /// Returns the number of teams that have waiting jobs.
    pub fn teams(&self) -> usize {
        self.turns.len()
    }

    /// Removes the job whose turn it is.
    pub fn pop(&mut self) -> Option<Job> {
        let team = self.turns.front()?;
        let jobs = self.teams.get_mut(team)?;
        let (_, job) = jobs.pop_first()?;
        if jobs.is_empty() {
            self.teams.remove(team);
            self.turns.pop_front();
        }
        Some(job)
    }
}
