//! Connects [`Forwarding`] to the dispatcher: jobs are passed to other entries, and
//! those of others are taken over.

use super::{
    Action, Answer, Dispatcher, Event, Link, Reason, Submission,
    admission::Arrival,
    forward::{Forwarding, Output, Request},
};
use crate::pressure::MIN_RETRY_AFTER;
use std::time::Duration;
use wire::{id::Incarnation, lease::Forward};

impl Dispatcher {
    /// Sets this entry's name and the processor available to it, in thousandths of a
    /// core; 0 if it is unknown.
    pub fn set_processor(&mut self, name: &str, processor: u32) {
        self.forwarding.set_processor(name, processor);
        self.fleet.set_processor(processor);
    }

    /// Returns whether this entry is weak: it forwards its jobs to stronger entries.
    pub fn is_weak(&self) -> bool {
        self.forwarding.is_weak()
    }

    /// Returns whether submissions should be passed to [`Dispatcher::forward`] before
    /// their bodies are parsed.
    pub fn wants_requests(&self, now: Duration) -> bool {
        self.forwarding.wants_requests(now)
    }

    /// Returns the number of customers' jobs that were forwarded and have no reply
    /// yet, or wait for a peer.
    pub fn open_forwards(&self) -> usize {
        self.forwarding.open_forwards()
    }

    /// Forwards a customer's request to a stronger entry, or holds it for a moment.
    /// Returns the request if this entry must serve it.
    pub fn forward(&mut self, now: Duration, customer: u64, request: Request) -> Option<Request> {
        if self.knows(request.job) {
            return Some(request);
        }
        let serves = self.can_serve();
        let unserved = self.forwarding.forward(now, customer, request, serves);
        self.apply_forwarding(now);
        unserved
    }

    /// Takes over a job that another entry has forwarded. `path` is the queue's path,
    /// and `submission` the decoded body.
    pub fn take_over(
        &mut self,
        now: Duration,
        from: Incarnation,
        forward: &Forward,
        path: &str,
        submission: Submission,
    ) {
        self.forwarding.hear(now, from);
        self.resume(now);
        let known = self.knows(submission.job);
        let customer = self.forwarding.accept(now, from, forward, known);
        self.apply_forwarding(now);
        let Some(customer) = customer else {
            self.refuse_stale(now, from, forward, submission.patience);
            return;
        };
        self.stats.taken_over += 1;
        let waited = Duration::from_millis(forward.waited_ms.into());
        let left = |left: u32| now + Duration::from_millis(left.into());
        let arrival = Arrival {
            customer,
            at: now.saturating_sub(waited),
            forwarder_exit: forward.exit_ms.map(left),
        };
        self.submit_at(now, arrival, &forward.host, path, submission);
    }

    fn refuse_stale(
        &mut self,
        now: Duration,
        from: Incarnation,
        forward: &Forward,
        patience: Duration,
    ) {
        self.stats.refused += 1;
        let age = now.saturating_sub(Duration::from_millis(forward.clock));
        self.events.push(Event::Refused {
            job: forward.job,
            queue: "-".to_owned(),
            reason: Reason::Stale,
            wait: Duration::ZERO,
            useful_for: patience,
            age,
        });
        let answer = Answer::Refused {
            reason: Reason::Stale,
            retry_after: self.placement.retry_delay(MIN_RETRY_AFTER),
        };
        self.actions.push(Action::Reply(from, forward.call, answer));
    }

    /// Returns whether this entry could serve a job itself.
    pub(super) fn can_serve(&self) -> bool {
        let mut sides = self.fleet.iter().map(|(_, side)| side);
        self.rules.get().is_some()
            && sides.any(|side| side.link == Link::Up && self.rules.is_in_service(side))
    }

    /// Drops the jobs of entries without recent contact.
    pub(super) fn expire_forwarders(&mut self, now: Duration) {
        self.forwarding.expire_forwarders(now);
        self.apply_forwarding(now);
    }

    pub(super) fn tick_forwarding(&mut self, now: Duration) {
        let serves = self.can_serve();
        self.forwarding.tick(now, serves);
        self.apply_forwarding(now);
    }

    /// Carries out what [`Forwarding`] has decided.
    pub(super) fn apply_forwarding(&mut self, now: Duration) {
        for output in self.forwarding.take_outputs() {
            match output {
                Output::Send(to, frame) => self.send(to, frame),
                Output::Answer(customer, answer) => self.answer(customer, answer),
                Output::Respond(customer, reply) => {
                    self.actions.push(Action::Respond(customer, reply));
                }
                Output::Serve(customer, request) => {
                    self.actions.push(Action::Serve(customer, request));
                }
                Output::Drop { job, customer } => self.remove_customer(now, job, customer),
                Output::Reply { to, call, answer } => {
                    self.actions.push(Action::Reply(to, call, answer));
                }
                Output::Event(event) => {
                    match &event {
                        Event::JobForwarded { .. } => self.stats.forwarded += 1,
                        Event::ForwardLost { .. } => self.stats.owner_lost += 1,
                        Event::ForwarderLost { jobs, .. } => {
                            self.stats.forwarder_lost += u64::from(*jobs);
                        }
                        _ => {}
                    }
                    self.events.push(event);
                }
            }
        }
    }

    /// Returns the action that answers a customer, or the entry that forwarded its
    /// job. A job that was dropped meanwhile has nobody to answer.
    pub(super) fn answer_action(&mut self, customer: u64, answer: Answer) -> Option<Action> {
        if !Forwarding::is_taken(customer) {
            return Some(Action::Answer(customer, answer));
        }
        let (to, call) = self.forwarding.finish(customer)?;
        Some(Action::Reply(to, call, answer))
    }
}
