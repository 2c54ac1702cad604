//! Jobs that wait for slots, fair between teams.

use hashbrown::HashMap;
use std::collections::VecDeque;
use wire::id::Job;

/// Waiting jobs of one service: teams take turns, and within a team the oldest
/// job goes first.
#[derive(Debug, Default)]
pub struct Queue {
    teams: HashMap<String, VecDeque<Job>>,
    turns: VecDeque<String>,
}

impl Queue {
    /// Adds a job behind the others of its team.
    pub fn push(&mut self, team: &str, job: Job) {
        self.line(team).push_back(job);
    }

    /// Adds a job before the others of its team, for tasks that came back.
    pub fn push_front(&mut self, team: &str, job: Job) {
        self.line(team).push_front(job);
    }

    /// Returns the job whose turn it is, without removing it.
    pub fn front(&self) -> Option<Job> {
        let team = self.turns.front()?;
        self.teams.get(team)?.front().copied()
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
        let team = self.turns.front()?.clone();
        let line = self.teams.get_mut(&team)?;
        let job = line.pop_front();
        if line.is_empty() {
            self.teams.remove(&team);
            self.turns.pop_front();
        }
        job
    }

    fn line(&mut self, team: &str) -> &mut VecDeque<Job> {
        if !self.teams.contains_key(team) {
            self.turns.push_back(team.to_owned());
        }
        self.teams.entry(team.to_owned()).or_default()
    }
}
