//! Customers' requests: submission, answers, cancellation and forwarding.

use super::{Call, Entry, archive::Lookup, place::RETRY_AFTER};
use crate::{
    document::Kind,
    work::{Customer, Work, failed_answer, fingerprint},
};
use std::{sync::Arc, time::Duration};
use wire::{
    Code, Frame,
    frame::{Answer, Forward, Reply, Request, Started, Submission},
    id::{Incarnation, Job},
};

impl Entry {
    /// Handles a customer's request for a job, whichever entry is its home.
    pub fn request(&mut self, now: Duration, customer: Customer, job: Job, request: Request) {
        if now.as_secs() > job.expires {
            self.refuse(customer, Code::ExpiredTicket, Started::Unknown);
        } else if job.home == self.identity.incarnation {
            self.handle_own(now, customer, job, request);
        } else if matches!(customer, Customer::Remote { .. }) {
            // Entries forward only to a job's home, so the home was an earlier
            // incarnation of this entry.
            self.refuse(customer, Code::HomeUnreachable, Started::Unknown);
        } else if self.peers.contains_key(&job.home) {
            self.call(customer, job, request);
        } else {
            self.recover(now, customer, job);
        }
    }

    /// Removes a customer that no longer waits for an answer. Its job continues.
    pub fn remove_customer(&mut self, customer: Customer, job: Job) {
        if let Some(work) = self.open.get_mut(&job) {
            work.customers.retain(|other| *other != customer);
        }
    }

    /// Passes another entry's reply on to the customer.
    pub(super) fn receive_reply(&mut self, reply: Reply) {
        let Some(call) = self.calls.remove(&reply.call) else {
            self.stats.count_wasted("late-reply");
            return;
        };
        self.respond(call.customer, &Arc::new(reply.answer));
    }

    /// Handles a request that another entry forwarded.
    pub(super) fn receive_forward(&mut self, now: Duration, from: Incarnation, forward: Forward) {
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
                Some(call) if call.customer == Customer::Prefetch => self.refill(None),
                Some(call) => self.recover(now, call.customer, call.job),
                None => {}
            }
        }
    }

    pub(super) fn refuse(&mut self, customer: Customer, code: Code, started: Started) {
        self.count_failure(code);
        let retry_after = if code.is_retryable() {
            RETRY_AFTER
        } else {
            Duration::ZERO
        };
        let answer = failed_answer(code, started, retry_after, code.meaning().trim());
        self.respond(customer, &Arc::new(answer));
    }

    fn handle_own(&mut self, now: Duration, customer: Customer, job: Job, request: Request) {
        match request {
            Request::Submit(submission) => self.submit(now, customer, job, submission),
            Request::Answer => self.answer_request(customer, job),
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
        if self.answer_resubmission(customer, job, &submission) {
            return;
        }
        submission.deadline = submission.deadline.min(self.document.limits.deadline_ms);
        if let Err(code) = self.admit(now, &submission) {
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

    /// Handles a submission under a ticket that was used before: adds the
    /// customer to the open job, or answers from the archive. Returns false if
    /// the ticket is unused.
    fn answer_resubmission(
        &mut self,
        customer: Customer,
        job: Job,
        submission: &Submission,
    ) -> bool {
        let submitted = fingerprint(submission);
        let is_same = |other: Option<u64>| other.is_none_or(|other| other == submitted);
        if let Some(work) = self.open.get_mut(&job) {
            if work.fingerprint == submitted {
                work.customers.push(customer);
            } else {
                self.refuse(customer, Code::TicketReused, Started::Unknown);
            }
            return true;
        }
        match self.archive.get(&job) {
            Lookup::Absent => return false,
            Lookup::Held(stored, answer) if is_same(stored) => self.respond(customer, &answer),
            Lookup::Released(stored) if is_same(stored) => {
                self.refuse(customer, Code::AnswerReleased, Started::Unknown);
            }
            Lookup::Held(..) | Lookup::Released(_) => {
                self.refuse(customer, Code::TicketReused, Started::Unknown);
            }
        }
        true
    }

    /// Checks a submission against the document in force, without regard to load.
    ///
    /// # Errors
    ///
    /// Returns the code with which the submission is refused.
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

    fn admit(&self, now: Duration, submission: &Submission) -> Result<(), Code> {
        if self.fenced || self.leaving {
            return Err(Code::Draining);
        }
        self.validate(submission)?;
        if self.freshness.age(now) > crate::MAX_CONFIG_AGE {
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

    fn answer_request(&mut self, customer: Customer, job: Job) {
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
            // The submission may arrive after its cancellation; it is answered
            // from the archive then.
            let answer = failed_answer(Code::Cancelled, Started::None, Duration::ZERO, "cancelled");
            self.block_submission(job, answer);
        }
        self.answer_request(customer, job);
    }

    fn block_submission(&mut self, job: Job, answer: Answer) {
        self.archive.insert(job, None, Arc::new(answer));
    }
}
