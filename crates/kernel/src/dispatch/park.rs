//! Jobs that arrive before the entry has rules.

use super::{
    Dispatcher, Event, Reason, Submission,
    admission::{Arrival, Parked},
};
use std::time::Duration;

impl Dispatcher {
    /// Keeps a job until the rules arrive, or refuses it if they are no longer
    /// expected.
    pub(super) fn park(
        &mut self,
        now: Duration,
        arrival: Arrival,
        host: &str,
        path: &str,
        submission: Submission,
    ) {
        let parked = Parked {
            arrival,
            host: host.to_owned(),
            path: path.to_owned(),
            submission,
        };
        if self.admission.expects_rules(now) && self.has_room_for(&parked.submission) {
            self.admission.park(parked);
        } else {
            self.refuse_parked(now, &parked);
        }
    }

    /// Submits the parked jobs once the rules are known, or refuses them once
    /// the rules are no longer expected.
    pub(super) fn unpark(&mut self, now: Duration) {
        let has_rules = self.rules.get().is_some();
        if !has_rules && self.admission.expects_rules(now) {
            return;
        }
        for parked in self.admission.take_parked() {
            if !has_rules {
                self.refuse_parked(now, &parked);
                continue;
            }
            let Parked {
                arrival,
                host,
                path,
                submission,
            } = parked;
            let arrival = Arrival { at: now, ..arrival };
            self.submit_at(now, arrival, &host, &path, submission);
        }
    }

    fn refuse_parked(&mut self, now: Duration, parked: &Parked) {
        self.events.push(Event::Refused {
            job: parked.submission.job,
            queue: "-".to_owned(),
            reason: Reason::NoRules,
            wait: Duration::ZERO,
            useful_for: parked.submission.patience,
            age: now.saturating_sub(parked.arrival.at),
        });
        self.refuse(parked.arrival.customer, Reason::NoRules, Duration::ZERO);
    }
}
