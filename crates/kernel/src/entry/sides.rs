//! Sides at the entry: joining, frames, results, loss.

use super::Entry;
use crate::{
    PEER_TIMEOUT, RECONNECT_GRACE,
    fleet::{Key, Link, Member},
    mutation::{Mutant, is_seeded},
};
use hashbrown::HashSet;
use std::time::Duration;
use wire::{
    Code, Frame, Payload,
    frame::{Done, Endpoint, Handover, Heartbeat, Hello, Offer, Outcome, Refuse, Started, State},
    id::{Incarnation, Job, Task},
};

impl Entry {
    /// Records a connection from a side. A side of the same incarnation
    /// resumes; one of a new incarnation has forgotten what it had.
    pub fn join_side(&mut self, now: Duration, hello: &Hello) {
        if let Some(key) = self.fleet.find(&hello.name) {
            let same = self.fleet.get(key).map(|member| member.incarnation);
            if same == Some(hello.incarnation) {
                self.resume(now, key);
                return;
            }
            self.drop_side(now, key);
        }
        let mut member = Member::new(&hello.name, hello.incarnation, &hello.domain, &hello.rack);
        member.last_received = now;
        member.allowed = self.revision() > 0 && self.state_of(&member) == State::Allowed;
        let key = self.fleet.insert(member);
        self.side_index.insert(hello.incarnation, key);
        self.greet(now, hello.incarnation);
    }

    /// Records that the connection to a side is lost. Its tasks stay placed
    /// until it reconnects or the grace is over.
    pub fn lose_side(&mut self, now: Duration, incarnation: Incarnation) {
        if let Some(key) = self.side(incarnation) {
            self.fleet.set_link(key, Link::Lost(now));
        }
    }

    /// Returns the sides whose connections have been silent for too long.
    pub fn silent_sides(&self, now: Duration) -> Vec<Incarnation> {
        self.fleet
            .iter()
            .filter(|(_, member)| member.link.is_connected())
            .filter(|(_, member)| now.saturating_sub(member.last_received) > PEER_TIMEOUT)
            .map(|(_, member)| member.incarnation)
            .collect()
    }

    /// Counts a connection that the runtime closed for its silence.
    pub fn count_silent_connection(&mut self) {
        self.stats.silent_connections += 1;
    }

    /// Gives a side all of its slots at once, without the ramp.
    pub fn warm(&mut self, side: Incarnation) {
        if let Some(key) = self.side(side) {
            self.fleet.warm(key);
        }
    }

    /// Takes a frame from a side or another entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        if let Some(key) = self.side(from) {
            self.fleet.update(key, |member| member.last_received = now);
            self.side_frame(now, key, frame);
        } else if self.peers.contains_key(&from) {
            self.entry_frame(now, from, frame);
        } else {
            self.stats.waste("stranger");
        }
    }

    fn side_frame(&mut self, now: Duration, key: Key, frame: Frame) {
        match frame {
            Frame::Offer(offer) => self.offered(now, key, &offer),
            Frame::Done(done) => self.done(now, key, done),
            Frame::Refuse(refuse) => self.refused(now, key, &refuse),
            Frame::Heartbeat(beat) => self.side_beat(now, key, &beat),
            Frame::Handover(handover) => self.handed_over(now, key, handover),
            Frame::Config(config) => drop(self.adopt(now, &config)),
            Frame::Pull => {
                if let Some(member) = self.fleet.get(key) {
                    self.send_config(member.incarnation);
                }
            }
            _ => self.stats.waste("unexpected-frame"),
        }
    }

    fn entry_frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        match frame {
            Frame::Heartbeat(beat) => self.entry_beat(now, from, &beat),
            Frame::Config(config) => drop(self.adopt(now, &config)),
            Frame::Pull => self.send_config(from),
            Frame::Forward(forward) => self.forwarded(now, from, forward),
            Frame::Reply(reply) => self.reply(reply),
            _ => self.stats.waste("unexpected-frame"),
        }
    }

    fn side(&self, incarnation: Incarnation) -> Option<Key> {
        self.side_index.get(&incarnation).copied()
    }

    fn greet(&mut self, now: Duration, incarnation: Incarnation) {
        if let Some(key) = self.side(incarnation) {
            self.send_rule(key);
        }
        let known = self.known.clone();
        self.beat_side(now, incarnation, &known);
    }

    /// Sends a heartbeat to a side out of turn.
    fn beat_side(&mut self, now: Duration, incarnation: Incarnation, known: &[Endpoint]) {
        let Some(member) = self.side(incarnation).and_then(|key| self.fleet.get(key)) else {
            return;
        };
        let beat = self.make_beat(now, member.clock, self.state_of(member), known);
        self.send(incarnation, Frame::Heartbeat(beat));
    }

    fn resume(&mut self, now: Duration, key: Key) {
        self.fleet.update(key, |member| {
            member.last_received = now;
            member.clock = 0;
            member.ready &= is_seeded(Mutant::Handover);
        });
        // Nothing is sent before the side has said what it holds: a task sent
        // earlier could be missing from that list and still start.
        let link = if is_seeded(Mutant::Handover) {
            Link::Up
        } else {
            Link::Joining
        };
        self.fleet.set_link(key, link);
        if let Some(incarnation) = self.fleet.get(key).map(|member| member.incarnation) {
            self.greet(now, incarnation);
        }
    }

    fn offered(&mut self, now: Duration, key: Key, offer: &Offer) {
        let pools = self.fleet.pool_count();
        self.fleet.offer(key, offer);
        if self.fleet.pool_count() != pools {
            self.rebuild_queues();
        }
        self.place(now);
    }

    fn side_beat(&mut self, now: Duration, key: Key, beat: &Heartbeat) {
        let first = self.fleet.get(key).is_some_and(|member| member.clock == 0);
        self.fleet.update(key, |member| {
            member.clock = beat.clock;
            member.leaving = beat.leaving;
            member.ready = beat.ready;
        });
        self.fleet.report(key, beat.load);
        if let Some(incarnation) = self.fleet.get(key).map(|member| member.incarnation) {
            self.reconcile_side(now, key, beat.revision);
            if first {
                // The side cannot start before a heartbeat echoes its clock.
                self.beat_side(now, incarnation, &[]);
            }
        }
        self.place(now);
    }

    fn done(&mut self, now: Duration, key: Key, done: Done) {
        let task = Task {
            job: done.job,
            index: done.index,
        };
        self.stats.results += 1;
        // A result that was handed over does not say how long it took.
        if let Some(work) = self.open.get(&done.job)
            && done.spent > 0
        {
            let submission = &work.submission;
            let spent = Duration::from_micros(done.spent.into());
            self.estimator
                .record(&submission.service, &submission.kind, spent);
        }
        let held = self.free_place(key, task);
        self.fleet.report(key, done.load);
        match done.outcome {
            Outcome::Answer(payload) => {
                self.fleet.succeeded(key);
                self.answered(now, key, task, payload, held);
            }
            Outcome::Failure(detail) => self.task_failed(now, key, task, &detail, held),
        }
        self.place(now);
    }

    fn answered(&mut self, now: Duration, key: Key, task: Task, payload: Payload, held: bool) {
        if self.recovered(now, task, &Outcome::Answer(payload.clone())) {
            return;
        }
        if !held {
            self.stats.waste("duplicate-result");
            return;
        }
        self.free_team(&task.job);
        let Some(work) = self.open.get_mut(&task.job) else {
            self.stats.waste("late-result");
            return;
        };
        work.answer(task.index, key, payload);
        if let Some(answer) = work.complete() {
            self.complete(task.job, answer);
        }
    }

    fn task_failed(&mut self, now: Duration, key: Key, task: Task, detail: &Payload, held: bool) {
        if self.recovered(now, task, &Outcome::Failure(detail.clone())) {
            return;
        }
        if !held {
            self.stats.waste("duplicate-result");
            return;
        }
        if !self.open.contains_key(&task.job) {
            self.stats.waste("late-result");
            return;
        }
        // Later failures of the same job are not held against their sides, so
        // that a job that can never run does not put good hosts aside.
        if self.fleet.failed(key, now) {
            self.stats.ejections += 1;
        }
        let detail = String::from_utf8_lossy(detail.as_bytes()).into_owned();
        self.fail(task.job, Code::TaskFailed, Started::Some, &detail);
    }

    fn refused(&mut self, now: Duration, key: Key, refuse: &Refuse) {
        let wasteful = !matches!(refuse.code, Code::Voided | Code::Tombstoned);
        if wasteful {
            self.stats.waste(refuse.code.name());
        }
        for index in &refuse.indices {
            let task = Task {
                job: refuse.job,
                index: *index,
            };
            self.return_task(key, task);
        }
        self.fleet.report(key, refuse.load);
        match refuse.code {
            Code::Fenced => self.retire(),
            Code::Voided | Code::Tombstoned | Code::ExpiredTicket => {}
            // Until the side says otherwise in a heartbeat.
            _ => {
                self.fleet.update(key, |member| member.ready = false);
            }
        }
        self.place(now);
    }

    /// Queues a task again that is proved not to have started.
    fn return_task(&mut self, key: Key, task: Task) {
        if self.free_place(key, task) {
            self.requeue(key, task);
        }
    }

    fn requeue(&mut self, key: Key, task: Task) {
        self.free_team(&task.job);
        let returned = self
            .open
            .get_mut(&task.job)
            .is_some_and(|work| work.unplace(task.index, key));
        if returned {
            self.queued += 1;
            self.enqueue(task.job);
        }
    }

    /// Takes a side's list of what it holds for this entry, or for a lost one.
    fn handed_over(&mut self, now: Duration, key: Key, handover: Handover) {
        if handover.home != self.identity.incarnation {
            self.recovery_reply(now, key, handover);
            return;
        }
        let held: HashSet<Task> = handover
            .kept
            .iter()
            .map(|kept| Task {
                job: kept.job,
                index: kept.index,
            })
            .collect();
        let missing: Vec<Task> = self
            .placed
            .get(&key)
            .map(|tasks| tasks.difference(&held).copied().collect())
            .unwrap_or_default();
        for task in missing {
            self.return_task(key, task);
        }
        self.fleet.set_link(key, Link::Up);
        self.take_kept(now, key, handover);
    }

    fn take_kept(&mut self, now: Duration, key: Key, handover: Handover) {
        let load = self
            .fleet
            .get(key)
            .map_or_else(Default::default, |member| member.reported);
        for kept in handover.kept {
            let task = Task {
                job: kept.job,
                index: kept.index,
            };
            let placed = self
                .placed
                .get(&key)
                .is_some_and(|tasks| tasks.contains(&task));
            if let (Some(outcome), true) = (kept.outcome, placed) {
                let done = Done {
                    job: kept.job,
                    index: kept.index,
                    spent: 0,
                    outcome,
                    load,
                };
                self.done(now, key, done);
            }
        }
        self.place(now);
    }

    /// Gives up the sides whose grace is over.
    pub(super) fn expire_sides(&mut self, now: Duration) {
        let over: Vec<Key> = self
            .fleet
            .iter()
            .filter_map(|(key, member)| match member.link {
                Link::Lost(at) if Self::grace_over(at, now) => Some(key),
                Link::Lost(_) | Link::Joining | Link::Up => None,
            })
            .collect();
        for key in over {
            self.drop_side(now, key);
        }
    }

    /// Forgets a side; jobs that had tasks there have an unknown outcome.
    fn drop_side(&mut self, now: Duration, key: Key) {
        let Some(member) = self.fleet.remove(key) else {
            return;
        };
        if self.side_index.get(&member.incarnation) == Some(&key) {
            self.side_index.remove(&member.incarnation);
        }
        let tasks = self.placed.remove(&key).unwrap_or_default();
        if is_seeded(Mutant::Resend) {
            for task in tasks {
                self.requeue(key, task);
            }
            return;
        }
        let jobs: HashSet<Job> = tasks.iter().map(|task| task.job).collect();
        for job in jobs {
            let Some(started) = self.open.get(&job).map(crate::work::Work::started) else {
                continue;
            };
            let detail = format!(
                "side {} was lost for {} s with a task that may have started",
                member.name,
                RECONNECT_GRACE.as_secs()
            );
            self.fail(job, Code::OutcomeUnknown, started, &detail);
        }
        self.recovery_lost(now, key);
    }
}
