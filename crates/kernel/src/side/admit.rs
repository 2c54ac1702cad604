//! Acceptance, refusal, voiding and recovery of tasks at a side.

use super::{MAX_QUEUED_TASKS, Side, Start};
use crate::{
    MAX_CONFIG_AGE, MAX_PERMIT_AGE, PEER_TIMEOUT,
    mutation::{Mutant, is_seeded},
};
use std::time::Duration;
use wire::{
    Code, Frame,
    frame::{Handover, Recover, Refuse, Run, State, Void},
    id::{Incarnation, Job, Task},
};

impl Side {
    pub(super) fn run(&mut self, now: Duration, from: Incarnation, run: Run) {
        if let Some(code) = self.refusal(now, from, &run) {
            let indices = run.tasks.iter().map(|item| item.index).collect();
            self.refuse(from, run.job, code, indices);
            return;
        }
        let deadline = now + Duration::from_millis(run.remaining.into());
        for item in run.tasks {
            let start = Start {
                task: Task {
                    job: run.job,
                    index: item.index,
                },
                kind: run.kind.clone(),
                payload: item.payload,
                deadline,
            };
            if !self.ledger.push(run.total, start) {
                self.stats.wasted += 1;
            }
        }
        self.start_queued(now);
    }

    fn refusal(&self, now: Duration, from: Incarnation, run: &Run) -> Option<Code> {
        let permit = Duration::from_millis(run.permit);
        if run.side != self.incarnation {
            Some(Code::WrongIncarnation)
        } else if run.job.home != from || self.fenced.contains(&from) {
            Some(Code::Fenced)
        } else if now.as_secs() > run.job.expires {
            Some(Code::ExpiredTicket)
        } else if self.ledger.is_tombstoned(&run.job) && !is_seeded(Mutant::Tombstone) {
            Some(Code::Tombstoned)
        } else if now.saturating_sub(permit) > MAX_PERMIT_AGE {
            Some(Code::StalePermit)
        } else if self.ledger.queued() + run.tasks.len() > MAX_QUEUED_TASKS {
            Some(Code::SideFull)
        } else {
            self.start_refusal(now)
        }
    }

    /// Returns the code with which tasks are refused now; `None` if they may start.
    pub(super) fn start_refusal(&self, now: Duration) -> Option<Code> {
        if self.leaving || self.offer.slots == 0 {
            Some(Code::SideLeaving)
        } else if self.rule.is_none()
            || (self.config_age(now) > MAX_CONFIG_AGE && !is_seeded(Mutant::Vouch))
        {
            Some(Code::StaleConfiguration)
        } else {
            match self.rule.map(|rule| rule.state) {
                Some(State::DomainOut) if !is_seeded(Mutant::DomainOut) => Some(Code::DomainOut),
                Some(State::Draining) => Some(Code::SideLeaving),
                _ => None,
            }
        }
    }

    /// Refuses all queued tasks if none may start.
    pub(super) fn refuse_queued(&mut self, now: Duration) {
        let Some(code) = self.start_refusal(now) else {
            return;
        };
        for (job, indices) in self.ledger.void_queue() {
            self.refuse(job.home, job, code, indices);
        }
    }

    pub(super) fn void(&mut self, from: Incarnation, void: &Void) {
        if void.job.home != from {
            self.stats.wasted += 1;
            return;
        }
        let voided = if void.indices.is_empty() {
            self.ledger.tombstone(void.job)
        } else {
            self.ledger.void(void.job, &void.indices)
        };
        if !voided.is_empty() {
            self.refuse(from, void.job, Code::Voided, voided);
        }
    }

    fn refuse(&mut self, to: Incarnation, job: Job, code: Code, indices: Vec<u16>) {
        *self.stats.refused.entry(code.number()).or_default() += indices.len() as u64;
        let refuse = Refuse {
            job,
            code,
            indices,
            load: self.load(),
        };
        self.send(to, Frame::Refuse(refuse));
    }

    pub(super) fn recover(&mut self, now: Duration, from: Incarnation, recover: &Recover) {
        let home = recover.home;
        let is_connected = self.peers.get(&home).is_some_and(|peer| {
            peer.connected && now.saturating_sub(peer.last_received) <= PEER_TIMEOUT
        });
        if is_connected && !self.fenced.contains(&home) {
            let handover = Handover {
                home,
                fenced: false,
                kept: Vec::new(),
            };
            self.send(from, Frame::Handover(handover));
            return;
        }
        if self.fenced.insert(home) {
            self.ledger.void_home(home);
        }
        for job in &recover.jobs {
            let entries = self.recovering.entry(*job).or_default();
            if !entries.contains(&from) {
                entries.push(from);
            }
        }
        let handover = Handover {
            home,
            fenced: true,
            kept: self.ledger.kept_of(&recover.jobs),
        };
        self.send(from, Frame::Handover(handover));
    }

    pub(super) fn result_receivers(&self, job: Job) -> Vec<Incarnation> {
        let recovering = self.recovering.get(&job).map_or(&[][..], Vec::as_slice);
        std::iter::once(&job.home)
            .chain(recovering)
            .filter(|entry| self.peers.get(*entry).is_some_and(|peer| peer.connected))
            .copied()
            .collect()
    }
}
