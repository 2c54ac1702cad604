//! Customers' requests: submission, answers, cancellation, forwarding.

use super::{Call, Entry, archive::Lookup, place::RETRY};
use crate::{
    document::Kind,
    work::{Customer, Work, digest, failed_answer},
};
use std::{sync::Arc, time::Duration};
use wire::{
    Code, Frame,
    frame::{Answer, Forward, Reply, Request, Started, Submission},
    id::{Incarnation, Job},
};

impl Entry {
    /// Takes a customer's request for a job, whichever entry is its home.
    pub fn request(&mut self, now: Duration, customer: Customer, job: Job, request: Request) {
        if now.as_secs() > job.expires {
            self.refuse(customer, Code::ExpiredTicket, Started::Unknown);
        } else if job.home == self.identity.incarnation {
            self.request_here(now, customer, job, request);
        } else if matches!(customer, Customer::Remote { .. }) {
            // Entries forward to homes alone, so this one is not what it was.
            self.refuse(customer, Code::HomeUnreachable, Started::Unknown);
        } else if self.peers.contains_key(&job.home) {
            self.call(customer, job, request);
        } else {
            self.recover(now, customer, job);
        }
    }

    /// Forgets a customer that has gone away; its job goes on.
    pub fn remove_customer(&mut self, customer: Customer, job: Job) {
        if let Some(work) = self.open.get_mut(&job) {
            work.customers.retain(|other| *other != customer);
        }
    }

    /// Takes another entry's answer to a forwarded request.
    pub(super) fn reply(&mut self, reply: Reply) {
        let Some(call) = self.calls.remove(&reply.call) else {
            self.stats.waste("late-reply");
            return;
        };
        self.respond(call.customer, &Arc::new(reply.answer));
    }

    /// Takes a request that another entry forwarded.
    pub(super) fn forwarded(&mut self, now: Duration, from: Incarnation, forward: Forward) {
        if let Request::Issue(count) = forward.request {
            self.issue(now, from, &forward, count);
            return;
        }
        let customer = Customer::Remote {
            entry: from,
            call: forward.call,
        };
        self.request(now, customer, forward.job, forward.request);
    }

    /// Records that the connection to another entry is lost.
    pub fn lose_entry(&mut self, now: Duration, entry: Incarnation) {
        self.peers.remove(&entry);
        let lost: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.home == entry)
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            match self.calls.remove(&number) {
                Some(call) if call.customer == Customer::Stock => self.restock(None),
                Some(call) => self.recover(now, call.customer, call.job),
                None => {}
            }
        }
    }

    pub(super) fn refuse(&mut self, customer: Customer, code: Code, started: Started) {
        self.count_failure(code);
        let retry = if code.is_retryable() {
            RETRY
        } else {
            Duration::ZERO
        };
        let answer = failed_answer(code, started, retry, code.meaning().trim());
        self.respond(customer, &Arc::new(answer));
    }

    fn request_here(&mut self, now: Duration, customer: Customer, job: Job, request: Request) {
        match request {
            Request::Submit(submission) => self.submit(now, customer, job, submission),
            Request::Answer => self.answer(customer, job),
            Request::Cancel => self.cancel(customer, job),
            Request::Issue(_) => self.refuse(customer, Code::MalformedJob, Started::None),
        }
    }

    /// Forwards a request to the job's home.
    pub(super) fn call(&mut self, customer: Customer, job: Job, request: Request) {
        self.next_call += 1;
        let number = self.next_call;
        let call = Call {
            home: job.home,
            job,
            customer,
        };
        self.calls.insert(number, call);
        let forward = Forward {
            call: number,
            job,
            request,
        };
        self.send(job.home, Frame::Forward(forward));
    }

    fn submit(&mut self, now: Duration, customer: Customer, job: Job, mut submission: Submission) {
        if self.resubmitted(customer, job, &submission) {
            return;
        }
        submission.deadline = submission.deadline.min(self.document.limits.deadline_ms);
        if let Err(code) = self.check(now, &submission) {
            self.refuse(customer, code, Started::None);
            return;
        }
        let rank = self.rank(now, &submission);
        let mut work = Work::new(submission, now, rank);
        work.customers.push(customer);
        self.deadlines.insert((work.deadline, job));
        self.queued += work.waiting.len();
        self.open.insert(job, work);
        self.stats.jobs += 1;
        self.enqueue(job);
        self.place(now);
    }

    /// Answers or joins a job that was submitted before.
    fn resubmitted(&mut self, customer: Customer, job: Job, submission: &Submission) -> bool {
        let fingerprint = digest(submission);
        let same = |other: Option<u64>| other.is_none_or(|other| other == fingerprint);
        if let Some(work) = self.open.get_mut(&job) {
            if work.digest == fingerprint {
                work.customers.push(customer);
            } else {
                self.refuse(customer, Code::TicketReused, Started::Unknown);
            }
            return true;
        }
        match self.archive.get(&job) {
            Lookup::Absent => return false,
            Lookup::Held(digest, answer) if same(digest) => self.respond(customer, &answer),
            Lookup::Released(digest) if same(digest) => {
                self.refuse(customer, Code::AnswerReleased, Started::Unknown);
            }
            Lookup::Held(..) | Lookup::Released(_) => {
                self.refuse(customer, Code::TicketReused, Started::Unknown);
            }
        }
        true
    }

    /// Checks a submission against the document, before any ticket is used.
    pub fn validate(&self, submission: &Submission) -> Result<&Kind, Code> {
        if self.config.is_none() {
            return Err(Code::NoConfiguration);
        }
        let document = &self.document;
        let kinds = document.services.get(&submission.service);
        let kinds = kinds.ok_or(Code::UnknownService)?;
        let kind = kinds.get(&submission.kind).ok_or(Code::UnknownKind)?;
        let team = submission.team.as_str();
        if !team.is_empty() && !document.teams.contains_key(team) {
            return Err(Code::UnknownTeam);
        }
        if submission.tasks.is_empty() {
            return Err(Code::NoTasks);
        }
        if submission.tasks.len() > usize::from(document.limits.tasks) {
            return Err(Code::TooManyTasks);
        }
        if submission.deadline == 0 {
            return Err(Code::PastDeadline);
        }
        Ok(kind)
    }

    fn check(&self, now: Duration, submission: &Submission) -> Result<(), Code> {
        if self.retired || self.leaving {
            return Err(Code::Draining);
        }
        self.validate(submission)?;
        if self.authority.age(now) > crate::MAX_CONFIG_AGE {
            return Err(Code::NoConfiguration);
        }
        let limits = &self.document.limits;
        if self.queued + submission.tasks.len() > limits.queue as usize {
            return Err(Code::QueueFull);
        }
        if !self.fleet.is_served(&submission.service, &submission.kind) {
            return Err(Code::NoUpstream);
        }
        Ok(())
    }

    fn answer(&mut self, customer: Customer, job: Job) {
        if let Some(work) = self.open.get_mut(&job) {
            work.customers.push(customer);
            return;
        }
        match self.archive.get(&job) {
            Lookup::Absent => self.refuse(customer, Code::UnknownJob, Started::None),
            Lookup::Held(_, answer) => self.respond(customer, &answer),
            Lookup::Released(_) => self.refuse(customer, Code::AnswerReleased, Started::Unknown),
        }
    }

    fn cancel(&mut self, customer: Customer, job: Job) {
        if let Some(work) = self.open.get_mut(&job) {
            work.customers.push(customer);
            let started = work.started();
            self.fail(job, Code::Cancelled, started, "cancelled by the customer");
            return;
        }
        if self.archive.get(&job) == Lookup::Absent {
            // Bars a submission that is still on its way.
            let answer = failed_answer(Code::Cancelled, Started::None, Duration::ZERO, "cancelled");
            self.bar(job, answer);
        }
        self.answer(customer, job);
    }

    fn bar(&mut self, job: Job, answer: Answer) {
        self.archive.insert(job, None, Arc::new(answer));
    }
}
