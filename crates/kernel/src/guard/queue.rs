//! Steps that wait for room at one host, and the room kept for them.
//!
//! Late binding: entries tell several sides of a step whose tasks wait. A side
//! with room keeps it, claims a task from the entry, and gets one unless all
//! have found room elsewhere. Several entries compete here, and only here are
//! their ranks compared: what can still meet its objective, or has begun, goes
//! first, then the lower priority number, then what has begun, then what has to
//! start soonest. The pattern is
//! Sparrow's batch sampling with late binding (Ousterhout et al., 2013).

use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Need, Reserve, Step},
};

/// Time for which room is kept for a claim without an answer: several ways
/// between domains.
const KEPT: Duration = Duration::from_millis(60);

/// Steps that may wait at a host; what comes beyond is not taken.
const LIMIT: usize = 4_096;

#[derive(Debug)]
struct Waiting {
    entry: Incarnation,
    step: Step,
    need: Need,
    count: u16,
    priority: u8,
    begun: bool,
    /// Latest start that meets the objective.
    start_by: Duration,
}

impl Waiting {
    fn rank(&self, now: Duration) -> (bool, u8, bool, Duration) {
        let late = now > self.start_by && !self.begun;
        (late, self.priority, !self.begun, self.start_by)
    }
}

#[derive(Debug)]
struct Claim {
    entry: Incarnation,
    step: Step,
    need: Need,
    since: Duration,
}

/// Steps that wait, and claims under way.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
    claims: Vec<Claim>,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the room kept for claims.
    pub(super) fn kept(&self) -> Need {
        let needs = self.claims.iter().map(|claim| claim.need);
        needs.fold(Need::default(), Need::plus)
    }

    pub(super) fn push(&mut self, now: Duration, entry: Incarnation, reserve: &Reserve) {
        let same = |waiting: &Waiting| waiting.entry == entry && waiting.step == reserve.step;
        self.waiting.retain(|waiting| !same(waiting));
        if self.waiting.len() >= LIMIT {
            return;
        }
        self.waiting.push(Waiting {
            entry,
            step: reserve.step,
            need: reserve.need,
            count: reserve.count,
            priority: reserve.priority,
            begun: reserve.begun,
            start_by: now + Duration::from_millis(reserve.slack.into()),
        });
    }

    /// Forgets a step and the room kept for it.
    pub(super) fn remove(&mut self, entry: Incarnation, step: Step) {
        self.waiting
            .retain(|waiting| waiting.entry != entry || waiting.step != step);
        self.claims
            .retain(|claim| claim.entry != entry || claim.step != step);
    }

    /// Forgets all of an entry.
    pub(super) fn remove_entry(&mut self, entry: Incarnation) {
        self.waiting.retain(|waiting| waiting.entry != entry);
        self.claims.retain(|claim| claim.entry != entry);
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.claims.clear();
    }

    /// Gives up the room kept for one claim that a start answers.
    pub(super) fn redeem(&mut self, entry: Incarnation, step: Step) {
        let find = |claim: &Claim| claim.entry == entry && claim.step == step;
        if is_seeded(Mutant::KeptRoom) {
            return;
        }
        if let Some(at) = self.claims.iter().position(find) {
            self.claims.swap_remove(at);
        }
    }

    /// Gives up the room kept for claims that nobody has answered.
    pub(super) fn expire(&mut self, now: Duration) {
        self.claims
            .retain(|claim| now.saturating_sub(claim.since) <= KEPT || is_seeded(Mutant::KeptRoom));
    }

    /// Claims room for the first step by rank. A step of a lower priority does
    /// not pass one that needs more room, which would wait for ever otherwise.
    pub(super) fn claim(&mut self, now: Duration, room: Need) -> Option<(Incarnation, Step)> {
        let first = self.waiting.iter().map(|waiting| waiting.rank(now)).min()?;
        let (at, _) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| waiting.need.fits(room))
            .filter(|(_, waiting)| {
                let (late, priority, ..) = waiting.rank(now);
                (late, priority) == (first.0, first.1)
            })
            .min_by_key(|(_, waiting)| waiting.rank(now))?;
        let waiting = &mut self.waiting[at];
        waiting.count = waiting.count.saturating_sub(1);
        let claim = Claim {
            entry: waiting.entry,
            step: waiting.step,
            need: waiting.need,
            since: now,
        };
        if waiting.count == 0 {
            self.waiting.swap_remove(at);
        }
        let claimed = (claim.entry, claim.step);
        self.claims.push(claim);
        Some(claimed)
    }
}
