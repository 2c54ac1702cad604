//! Sides at the entry: connection, frames, results and loss.

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
    /// Records a connection from a side. A side with its earlier incarnation
    /// keeps its tasks; one with a new incarnation has lost them.
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
        self.send_initial_state(now, hello.incarnation);
    }

    /// Records that the connection to a side is lost. Its tasks stay placed
    /// until it reconnects or [`RECONNECT_GRACE`] has passed.
    pub fn lose_side(&mut self, now: Duration, incarnation: Incarnation) {
        if let Some(key) = self.side(incarnation) {
            self.fleet.set_link(key, Link::Lost(now));
        }
    }

    /// Returns the connected sides that have sent nothing for longer than
    /// [`PEER_TIMEOUT`].
    pub fn silent_sides(&self, now: Duration) -> Vec<Incarnation> {
        self.fleet
            .iter()
            .filter(|(_, member)| member.link.is_connected())
            .filter(|(_, member)| now.saturating_sub(member.last_received) > PEER_TIMEOUT)
            .map(|(_, member)| member.incarnation)
            .collect()
    }

    /// Counts a connection that the runtime closed because it was silent.
    pub fn count_silent_connection(&mut self) {
        self.stats.silent_connections += 1;
    }

    /// Makes all slots of a side available at once, without the ramp.
    pub fn skip_ramp(&mut self, side: Incarnation) {
        if let Some(key) = self.side(side) {
            self.fleet.skip_ramp(key);
        }
    }

    /// Handles a frame from a side or another entry.
    pub fn frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        if let Some(key) = self.side(from) {
            self.fleet.update(key, |member| member.last_received = now);
            self.receive_side_frame(now, key, frame);
        } else if self.peers.contains_key(&from) {
            self.receive_entry_frame(now, from, frame);
        } else {
            self.stats.count_wasted("stranger");
        }
    }

    fn receive_side_frame(&mut self, now: Duration, key: Key, frame: Frame) {
        match frame {
            Frame::Offer(offer) => self.receive_offer(now, key, &offer),
            Frame::Done(done) => self.receive_done(now, key, done),
            Frame::Refuse(refuse) => self.receive_refusal(now, key, &refuse),
            Frame::Heartbeat(heartbeat) => self.receive_side_heartbeat(now, key, &heartbeat),
            Frame::Handover(handover) => self.receive_handover(now, key, handover),
            Frame::Config(config) => drop(self.adopt(now, &config)),
            Frame::Pull => {
                if let Some(member) = self.fleet.get(key) {
                    self.send_config(member.incarnation);
                }
            }
            _ => self.stats.count_wasted("unexpected-frame"),
        }
    }

    fn receive_entry_frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        match frame {
            Frame::Heartbeat(heartbeat) => self.receive_entry_heartbeat(now, from, &heartbeat),
            Frame::Config(config) => drop(self.adopt(now, &config)),
            Frame::Pull => self.send_config(from),
            Frame::Forward(forward) => self.receive_forward(now, from, forward),
            Frame::Reply(reply) => self.receive_reply(reply),
            _ => self.stats.count_wasted("unexpected-frame"),
        }
    }

    fn side(&self, incarnation: Incarnation) -> Option<Key> {
        self.side_index.get(&incarnation).copied()
    }

    fn send_initial_state(&mut self, now: Duration, incarnation: Incarnation) {
        if let Some(key) = self.side(incarnation) {
            self.send_rule(key);
        }
        let endpoints = self.endpoints.clone();
        self.send_heartbeat(now, incarnation, &endpoints);
    }

    /// Sends a heartbeat to a side before the next interval.
    fn send_heartbeat(&mut self, now: Duration, incarnation: Incarnation, endpoints: &[Endpoint]) {
        let Some(member) = self.side(incarnation).and_then(|key| self.fleet.get(key)) else {
            return;
        };
        let heartbeat = self.build_heartbeat(now, member.clock, self.state_of(member), endpoints);
        self.send(incarnation, Frame::Heartbeat(heartbeat));
    }

    fn resume(&mut self, now: Duration, key: Key) {
        self.fleet.update(key, |member| {
            member.last_received = now;
            member.clock = 0;
            member.ready &= is_seeded(Mutant::Handover);
        });
        // No task is sent before the side's handover: a task sent earlier could
        // be missing from the handover and still start.
        let link = if is_seeded(Mutant::Handover) {
            Link::Up
        } else {
            Link::Joining
        };
        self.fleet.set_link(key, link);
        if let Some(incarnation) = self.fleet.get(key).map(|member| member.incarnation) {
            self.send_initial_state(now, incarnation);
        }
    }

    fn receive_offer(&mut self, now: Duration, key: Key, offer: &Offer) {
        let pools = self.fleet.pool_count();
        self.fleet.offer(key, offer);
        if self.fleet.pool_count() != pools {
            self.rebuild_queues();
        }
        self.place(now);
    }

    fn receive_side_heartbeat(&mut self, now: Duration, key: Key, heartbeat: &Heartbeat) {
        let first = self.fleet.get(key).is_some_and(|member| member.clock == 0);
        self.fleet.update(key, |member| {
            member.clock = heartbeat.clock;
            member.leaving = heartbeat.leaving;
            member.ready = heartbeat.ready;
        });
        self.fleet.report(key, heartbeat.load);
        if let Some(incarnation) = self.fleet.get(key).map(|member| member.incarnation) {
            self.reconcile_side(now, key, heartbeat.revision);
            if first {
                // The side starts no task before a heartbeat echoes its clock.
                self.send_heartbeat(now, incarnation, &[]);
            }
        }
        self.place(now);
    }

    fn receive_done(&mut self, now: Duration, key: Key, done: Done) {
        let task = Task {
            job: done.job,
            index: done.index,
        };
        self.stats.results += 1;
        // A result from a handover does not include its run time.
        if let Some(work) = self.open.get(&done.job)
            && done.spent > 0
        {
            let submission = &work.submission;
            let spent = Duration::from_micros(done.spent.into());
            self.estimator
                .record(&submission.service, &submission.kind, spent);
        }
        let was_placed = self.remove_placement(key, task);
        self.fleet.report(key, done.load);
        match done.outcome {
            Outcome::Answer(payload) => {
                self.fleet.succeeded(key);
                self.receive_answer(now, key, task, payload, was_placed);
            }
            Outcome::Failure(detail) => self.receive_failure(now, key, task, &detail, was_placed),
        }
        self.place(now);
    }

    fn receive_answer(
        &mut self,
        now: Duration,
        key: Key,
        task: Task,
        payload: Payload,
        was_placed: bool,
    ) {
        if self.record_recovered(now, task, &Outcome::Answer(payload.clone())) {
            return;
        }
        if !was_placed {
            self.stats.count_wasted("duplicate-result");
            return;
        }
        self.release_quota(&task.job);
        let Some(work) = self.open.get_mut(&task.job) else {
            self.stats.count_wasted("late-result");
            return;
        };
        work.answer(task.index, key, payload);
        if let Some(answer) = work.complete() {
            self.complete(task.job, answer);
        }
    }

    fn receive_failure(
        &mut self,
        now: Duration,
        key: Key,
        task: Task,
        detail: &Payload,
        was_placed: bool,
    ) {
        if self.record_recovered(now, task, &Outcome::Failure(detail.clone())) {
            return;
        }
        if !was_placed {
            self.stats.count_wasted("duplicate-result");
            return;
        }
        if !self.open.contains_key(&task.job) {
            self.stats.count_wasted("late-result");
            return;
        }
        // Only the first failure of a job counts against its side, so that a job
        // that can never run does not eject healthy hosts.
        if self.fleet.failed(key, now) {
            self.stats.ejections += 1;
        }
        let detail = String::from_utf8_lossy(detail.as_bytes()).into_owned();
        self.fail(task.job, Code::TaskFailed, Started::Some, &detail);
    }

    fn receive_refusal(&mut self, now: Duration, key: Key, refuse: &Refuse) {
        let is_wasted = !matches!(refuse.code, Code::Voided | Code::Tombstoned);
        if is_wasted {
            self.stats.count_wasted(refuse.code.name());
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
            Code::Fenced => self.set_fenced(),
            Code::Voided | Code::Tombstoned | Code::ExpiredTicket => {}
            // The next heartbeat reports whether the side is ready again.
            _ => {
                self.fleet.update(key, |member| member.ready = false);
            }
        }
        self.place(now);
    }

    /// Queues a task again that a side has not started and never will.
    fn return_task(&mut self, key: Key, task: Task) {
        if self.remove_placement(key, task) {
            self.requeue(key, task);
        }
    }

    fn requeue(&mut self, key: Key, task: Task) {
        self.release_quota(&task.job);
        let returned = self
            .open
            .get_mut(&task.job)
            .is_some_and(|work| work.unplace(task.index, key));
        if returned {
            self.queued += 1;
            self.enqueue(task.job);
        }
    }

    /// Handles a side's list of the tasks and results that it keeps for this
    /// entry, or for a lost one.
    fn receive_handover(&mut self, now: Duration, key: Key, handover: Handover) {
        if handover.home != self.identity.incarnation {
            self.receive_recovery(now, key, handover);
            return;
        }
        let listed: HashSet<Task> = handover
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
            .map(|tasks| tasks.difference(&listed).copied().collect())
            .unwrap_or_default();
        for task in missing {
            self.return_task(key, task);
        }
        self.fleet.set_link(key, Link::Up);
        self.apply_kept_results(now, key, handover);
    }

    fn apply_kept_results(&mut self, now: Duration, key: Key, handover: Handover) {
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
                self.receive_done(now, key, done);
            }
        }
        self.place(now);
    }

    /// Removes the sides that have not reconnected in time.
    pub(super) fn expire_sides(&mut self, now: Duration) {
        let overdue: Vec<Key> = self
            .fleet
            .iter()
            .filter_map(|(key, member)| match member.link {
                Link::Lost(at) if Self::is_reconnect_overdue(at, now) => Some(key),
                Link::Lost(_) | Link::Joining | Link::Up => None,
            })
            .collect();
        for key in overdue {
            self.drop_side(now, key);
        }
    }

    /// Removes a side; jobs with tasks there fail with an unknown outcome.
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
        self.drop_from_recoveries(now, key);
    }
}
