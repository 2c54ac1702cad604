//! Exchange with other entries: heartbeats, rules and cancellations.

use super::{Answer, Dispatcher, Event, Phase, peers::Cancellation};
use crate::millis;
use std::{collections::BTreeMap, time::Duration};
use wire::{
    frame::{Endpoint, Hello},
    id::Incarnation,
    lease::{Cancel, Cancelled, Frame, Heartbeat, Rules, Share},
};

impl Dispatcher {
    /// Records a new connection to another entry, and requests its rules if this
    /// entry has none.
    pub fn join_entry(&mut self, now: Duration, hello: &Hello) {
        self.discard_frames(hello.incarnation);
        self.peers.join(now, hello.incarnation);
        self.forwarding.join(now, hello);
        self.apply_forwarding(now);
        if self.rules.get().is_none() {
            self.pull(now, hello.incarnation);
        }
        self.send_evidence(now, hello.incarnation);
        self.tell_cancellations(now, hello.incarnation, true);
        self.tell_holdings(now, hello.incarnation);
    }

    /// Requests the rules of an entry, unless a request is in progress.
    fn pull(&mut self, now: Duration, from: Incarnation) {
        if self.rules.start_pull(now) {
            self.send(from, Frame::Pull);
        }
    }

    /// Records that the connection to another entry is lost.
    pub fn lose_entry(&mut self, now: Duration, entry: Incarnation) {
        self.lose_holder(now, entry);
        self.peers.lose(entry);
        self.forwarding.lose(now, entry);
        self.apply_forwarding(now);
    }

    /// Returns the entries whose connections must be replaced, since no message
    /// has arrived for too long.
    pub fn silent_entries(&self, now: Duration) -> Vec<Incarnation> {
        self.peers.silent(now)
    }

    /// Sets the list of entries; all sides get it soon if it changed.
    pub fn set_entries(&mut self, entries: &[Endpoint]) {
        self.peers.set_listed(entries);
        self.forwarding.set_entries(entries);
    }

    /// Sends the list of entries to all sides if it changed and is due.
    pub(super) fn announce_entries(&mut self, now: Duration) {
        if !self.peers.take_due_list(now) {
            return;
        }
        let sides: Vec<Incarnation> = self.fleet.iter().map(|(key, _)| key).collect();
        for side in sides {
            self.send_entries(side);
        }
    }

    /// Sends the list of entries to a side.
    pub fn send_entries(&mut self, side: Incarnation) {
        let entries = self.peers.listed();
        if !entries.is_empty() {
            self.send(side, Frame::Entries(entries.to_vec()));
        }
    }

    /// Puts rules in force unless they are older than the current ones. `from` is
    /// the sending entry; `None` for the store. Returns whether the rules were
    /// adopted.
    ///
    /// Other entries learn the new revision from heartbeats and request what the
    /// store has not sent them: rules that every entry sent to every other would
    /// fill the links of all.
    pub fn adopt(&mut self, now: Duration, rules: &Rules, from: Option<Incarnation>) -> bool {
        let old = self.rules.get();
        let moves_domains = old.is_none_or(|old| old.out != rules.out);
        if !self.rules.adopt(rules) {
            return false;
        }
        if moves_domains {
            self.fleet.expedite_echoes();
        }
        self.events.push(Event::Rules {
            revision: rules.revision,
            version: rules.version,
            queues: u32::try_from(rules.queues.len()).unwrap_or(u32::MAX),
            out: rules.out.join(","),
            from,
        });
        self.placement.request_round();
        self.unpark(now);
        true
    }

    /// Records that the store, asked at `asked_at`, has shown the rules in force at this
    /// revision.
    pub fn confirm(&mut self, revision: u64, asked_at: Duration) {
        self.rules.confirm(revision, asked_at);
    }

    pub(super) fn peer_frame(&mut self, now: Duration, from: Incarnation, frame: Frame) {
        self.forwarding.hear(now, from);
        match frame {
            Frame::Heartbeat(heartbeat) => {
                self.forwarding.record_heartbeat(now, from, &heartbeat);
                self.record_heartbeat(now, from, heartbeat);
            }
            Frame::Pull => {
                if let Some(rules) = self.rules.get().cloned() {
                    self.send(from, Frame::Rules(rules));
                }
            }
            Frame::Rules(rules) => {
                self.adopt(now, &rules, Some(from));
            }
            Frame::Cancel(cancel) => {
                let found = self.cancel_here(now, cancel.job);
                self.learn_cancellations(now, &[cancel.job], false);
                let call = cancel.call;
                self.send(from, Frame::Cancelled(Cancelled { call, found }));
            }
            Frame::Cancelled(reply) => {
                if let Some((cancellation, found)) = self.peers.record_reply(reply) {
                    self.answer_cancellation(now, &cancellation, found);
                }
            }
            Frame::CancelledJobs(jobs) => self.learn_cancellations(now, &jobs, false),
            Frame::Forbid(jobs) => self.learn_cancellations(now, &jobs, true),
            Frame::Forwarded(reply) => self.forwarding.record_reply(now, from, reply),
            Frame::Withdraw(withdraw) => self.forwarding.record_withdrawal(from, withdraw),
            Frame::Pulse(pulse) => self.forwarding.record_pulse(now, from, pulse),
            Frame::Crashes(counts) => self.record_crashes(now, &counts),
            Frame::Held(held) => self.record_held(now, from, &held),
            Frame::Release(held) => self.release(now, from, &held),
            Frame::Released(jobs) => self.record_released(from, &jobs),
            Frame::Culprit(culprit) => self.record_culprit(now, culprit),
            _ => log::debug!("event=frame_ignored peer={from}"),
        }
        self.apply_forwarding(now);
    }

    fn record_heartbeat(&mut self, now: Duration, from: Incarnation, heartbeat: Heartbeat) {
        let (revision, digest) = (heartbeat.revision, heartbeat.digest);
        if self.peers.record_heartbeat(now, from, heartbeat)
            && self.rules.compare(now, revision, digest)
        {
            self.pull(now, from);
        }
    }

    /// Sends due heartbeats, and answers cancellations whose replies are overdue.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        let due = self
            .peers
            .take_due_heartbeats(now, self.loop_lateness.thin_frames);
        if !due.is_empty() {
            let heartbeat = self.build_heartbeat(now);
            for entry in due {
                let heartbeat = Heartbeat {
                    echo: self.forwarding.echo(entry),
                    ..heartbeat.clone()
                };
                self.forwarding.record_heartbeat_sent(now, entry);
                self.send(entry, Frame::Heartbeat(heartbeat));
            }
        }
        for cancellation in self.peers.take_overdue_cancellations(now) {
            self.answer_cancellation(now, &cancellation, false);
        }
    }

    fn build_heartbeat(&self, now: Duration) -> Heartbeat {
        let mut pending: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.may_have_run() {
                *pending.entry(&job.queue).or_default() += 1;
            }
        }
        Heartbeat {
            clock: millis(now),
            echo: 0,
            revision: self.rules.revision(),
            digest: self.rules.digest(),
            pending: pending
                .into_iter()
                .map(|(queue, count)| (queue.to_owned(), count))
                .collect(),
            waiting: self.unconfined_work().collect(),
            arriving: self.admission.arriving(now).collect(),
            shares: self.shares(now),
            leaving: self.admission.is_leaving(),
            lateness: u32::try_from(millis(self.lateness())).unwrap_or(u32::MAX),
        }
    }

    /// Returns this entry's shares of its sides' hosts, by service.
    fn shares(&self, now: Duration) -> Vec<(String, Share)> {
        let mut shares: BTreeMap<&str, Share> = BTreeMap::new();
        for (key, side) in self.fleet.iter() {
            if let Some(upstream) = &side.upstream
                && self.rules.may_run(now, side, &upstream.service, None)
                && !self.confinement.is_confined_host(&upstream.service, key)
            {
                let sum = shares.entry(&upstream.service).or_default();
                *sum = sum.plus(side.share());
            }
        }
        shares
            .into_iter()
            .map(|(service, share)| (service.to_owned(), share))
            .collect()
    }

    /// Cancels a job at this entry or, if it is unknown here, at the others.
    pub fn cancel(&mut self, now: Duration, customer: u64, job: u64) {
        let found = self.cancel_here(now, job);
        let peers = self.peers.connected();
        let cancellation = Cancellation::new(now, customer, job);
        if found || peers.is_empty() {
            self.answer_cancellation(now, &cancellation, found);
            return;
        }
        let call = self.peers.start_cancellation(cancellation);
        for peer in peers {
            self.send(peer, Frame::Cancel(Cancel { call, job }));
        }
    }

    fn answer_cancellation(&mut self, now: Duration, cancellation: &Cancellation, found: bool) {
        self.record_cancellation(now, cancellation.job, !found);
        let answer = if found {
            Answer::State(Phase::Cancelled)
        } else {
            Answer::NoJob
        };
        self.answer(cancellation.customer, answer);
    }
}
