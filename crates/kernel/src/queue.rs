//! Jobs that wait for slots, fair between teams.

use hashbrown::HashMap;
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use wire::id::Job;

/// Waiting jobs of one class: teams take turns, and within a team the job of
/// the lowest rank goes first.
#[derive(Debug, Default)]
pub struct Queue {
    teams: HashMap<String, BTreeSet<(Duration, Job)>>,
    turns: VecDeque<String>,
}

impl Queue {
    /// Adds a job, once.
    pub fn push(&mut self, team: &str, rank: Duration, job: Job) {
        if !self.teams.contains_key(team) {
            self.turns.push_back(team.to_owned());
        }
        let line = self.teams.entry_ref(team).or_default();
        line.insert((rank, job));
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
        let line = self.teams.get_mut(team)?;
        let (_, job) = line.pop_first()?;
        if line.is_empty() {
            self.teams.remove(team);
            self.turns.pop_front();
        }
        Some(job)
    }
}
