//! Steps that wait for capacity at one host, and claims that reserve it.
//!
//! Placement uses late binding: an entry enqueues a step with waiting tasks at
//! several sides. A side with enough free capacity reserves it and claims a
//! task from the entry, which starts one unless all have been placed elsewhere.
//! The steps of different entries are ranked against each other only here.
//! Steps that can still meet their objective, or whose job has started tasks,
//! come first; then the lower level; then jobs with started tasks;
//! then the earliest latest start. This is Sparrow's batch sampling with late
//! binding (Ousterhout et al., 2013).

use crate::mutation::{Mutant, is_seeded};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Need, Reserve, Step},
};

/// Time after which an unanswered claim is dropped: several one-way delays
/// between failure domains.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(60);

/// Most steps that wait at one host; further ones are dropped.
const MAX_WAITING_STEPS: usize = 4_096;

#[derive(Debug)]
struct Waiting {
    entry: Incarnation,
    step: Step,
    need: Need,
    count: u16,
    level: u8,
    begun: bool,
    /// Latest start that meets the objective.
    start_by: Duration,
}

impl Waiting {
    fn rank(&self, now: Duration) -> (bool, u8, bool, Duration) {
        let is_late = now > self.start_by && !self.begun;
        (is_late, self.level, !self.begun, self.start_by)
    }
}

#[derive(Debug)]
struct Claim {
    entry: Incarnation,
    step: Step,
    need: Need,
    claimed_at: Duration,
}

/// Waiting steps and pending claims.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
    claims: Vec<Claim>,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the capacity reserved by pending claims.
    pub(super) fn reserved(&self) -> Need {
        let needs = self.claims.iter().map(|claim| claim.need);
        needs.fold(Need::default(), Need::plus)
    }

    pub(super) fn push(&mut self, now: Duration, entry: Incarnation, reserve: &Reserve) {
        let same = |waiting: &Waiting| waiting.entry == entry && waiting.step == reserve.step;
        self.waiting.retain(|waiting| !same(waiting));
        if self.waiting.len() >= MAX_WAITING_STEPS {
            return;
        }
        self.waiting.push(Waiting {
            entry,
            step: reserve.step,
            need: reserve.need,
            count: reserve.count,
            level: reserve.level,
            begun: reserve.begun,
            start_by: now + Duration::from_millis(reserve.slack.into()),
        });
    }

    /// Removes a step and its claims.
    pub(super) fn remove(&mut self, entry: Incarnation, step: Step) {
        self.waiting
            .retain(|waiting| waiting.entry != entry || waiting.step != step);
        self.claims
            .retain(|claim| claim.entry != entry || claim.step != step);
    }

    /// Removes all steps and claims of an entry.
    pub(super) fn remove_entry(&mut self, entry: Incarnation) {
        self.waiting.retain(|waiting| waiting.entry != entry);
        self.claims.retain(|claim| claim.entry != entry);
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.claims.clear();
    }

    /// Releases one claim of the step, as a start order answers it.
    pub(super) fn release_claim(&mut self, entry: Incarnation, step: Step) {
        let matches = |claim: &Claim| claim.entry == entry && claim.step == step;
        if is_seeded(Mutant::KeptRoom) {
            return;
        }
        if let Some(index) = self.claims.iter().position(matches) {
            self.claims.swap_remove(index);
        }
    }

    /// Releases the claims that were not answered in time.
    pub(super) fn expire(&mut self, now: Duration) {
        self.claims.retain(|claim| {
            now.saturating_sub(claim.claimed_at) <= CLAIM_TIMEOUT || is_seeded(Mutant::KeptRoom)
        });
    }

    /// Claims capacity for the highest-ranked step that fits into `free`. A step
    /// of a higher level does not overtake one that needs more capacity, since that
    /// one could otherwise wait without end.
    pub(super) fn claim(&mut self, now: Duration, free: Need) -> Option<(Incarnation, Step)> {
        let first = self.waiting.iter().map(|waiting| waiting.rank(now)).min()?;
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| waiting.need.fits(free))
            .filter(|(_, waiting)| {
                let (is_late, level, ..) = waiting.rank(now);
                (is_late, level) == (first.0, first.1)
            })
            .min_by_key(|(_, waiting)| waiting.rank(now))?;
        let waiting = &mut self.waiting[index];
        waiting.count = waiting.count.saturating_sub(1);
        let claim = Claim {
            entry: waiting.entry,
            step: waiting.step,
            need: waiting.need,
            claimed_at: now,
        };
        if waiting.count == 0 {
            self.waiting.swap_remove(index);
        }
        let assigned = (claim.entry, claim.step);
        self.claims.push(claim);
        Some(assigned)
    }
}
