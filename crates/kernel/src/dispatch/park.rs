//! Jobs that arrive before the entry has rules.

use super::{Dispatcher, Event, Reason, Submission};
use std::time::Duration;

/// A submission that waits for the rules.
#[derive(Debug)]
pub(super) struct Parked {
    submitted_at: Duration,
    customer: u64,
    host: String,
    path: String,
    submission: Submission,
}

impl Dispatcher {
    /// Keeps a job until the rules arrive, or refuses it if they are no longer
    /// expected.
    pub(super) fn park(
        &mut self,
        now: Duration,
        customer: u64,
        host: &str,
        path: &str,
        submission: Submission,
    ) {
        let parked = Parked {
            submitted_at: now,
            customer,
            host: host.to_owned(),
            path: path.to_owned(),
            submission,
        };
        if now < self.startup_ends && self.exit_at.is_none() {
            self.parked.push(parked);
        } else {
            self.refuse_parked(now, &parked);
        }
    }

    /// Removes a parked job whose customer has disconnected.
    pub(super) fn remove_parked(&mut self, customer: u64) {
        self.parked.retain(|parked| parked.customer != customer);
    }

    /// Submits the parked jobs once the rules are known, or refuses them once
    /// the rules are no longer expected.
    pub(super) fn unpark(&mut self, now: Duration) {
        let expected = now < self.startup_ends && self.exit_at.is_none();
        if self.parked.is_empty() || (self.rules.is_none() && expected) {
            return;
        }
        for parked in std::mem::take(&mut self.parked) {
            if self.rules.is_none() {
                self.refuse_parked(now, &parked);
                continue;
            }
            let Parked {
                customer,
                host,
                path,
                submission,
                ..
            } = parked;
            self.submit(now, customer, &host, &path, submission);
        }
    }

    fn refuse_parked(&mut self, now: Duration, parked: &Parked) {
        self.events.push(Event::Refused {
            job: parked.submission.job,
            queue: "-".to_owned(),
            reason: Reason::NoRules,
            wait: Duration::ZERO,
            useful_for: parked.submission.patience,
            age: now.saturating_sub(parked.submitted_at),
        });
        self.refuse(parked.customer, Reason::NoRules);
    }
}
