//! Numbered result codes for answers, logs and exit messages.

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $variant:ident = $number:literal, $name:literal, $status:literal, $action:literal;)+) => {
        /// A numbered result code.
        ///
        /// 1xx: the request is at fault. 2xx: refused for now. 3xx: failed
        /// after acceptance. 4xx: refused between the system's processes.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Code {
            /// Every code, in order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the code's number.
            pub fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)+ }
            }

            /// Returns the code's name.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }

            /// Returns the HTTP status of an answer with the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)+ }
            }

            /// Returns whether the same request may succeed later.
            pub fn is_retryable(self) -> bool {
                matches!(self.number(), 200..=299 | 305)
            }

            /// Returns the meaning of the code, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$variant => concat!($($doc),+),)+ }
            }

            /// Returns what the receiver should do.
            pub fn action(self) -> &'static str {
                match self { $(Self::$variant => $action,)+ }
            }
        }
    };
}

codes! {
    /// Every task has its answer.
    Complete = 0, "complete", 200, "Use the answers.";
    /// The body is not a valid job document.
    MalformedJob = 101, "malformed-job", 400, "Correct the document.";
    /// The service is not declared.
    UnknownService = 102, "unknown-service", 404, "Check the service's name.";
    /// The service does not declare the request kind.
    UnknownKind = 103, "unknown-kind", 404, "Check the request kind.";
    /// The job has no tasks.
    NoTasks = 104, "no-tasks", 400, "Send at least one task.";
    /// The job has more tasks than the limit.
    TooManyTasks = 105, "too-many-tasks", 413, "Split the job.";
    /// The body is larger than the limit.
    BodyTooLarge = 106, "body-too-large", 413, "Send less in one job.";
    /// The deadline had passed on arrival.
    PastDeadline = 107, "past-deadline", 400, "Send a later deadline.";
    /// The ticket is malformed or its signature is wrong.
    BadTicket = 108, "bad-ticket", 400, "Ask for a new ticket.";
    /// The ticket's time is over.
    ExpiredTicket = 109, "expired-ticket", 410, "Ask for a new ticket; the old job may have run.";
    /// The ticket was used before for another job.
    TicketReused = 110, "ticket-reused", 409, "Use one ticket for one job.";
    /// The request kind is not repeatable, so it needs a ticket from `POST /v1/tickets`.
    TicketRequired = 111, "ticket-required", 428, "Ask for a ticket with POST /v1/tickets and send it in the job.";
    /// The team is not declared.
    UnknownTeam = 112, "unknown-team", 404, "Check the team's name.";
    /// No job with the ticket is known.
    UnknownJob = 113, "unknown-job", 404, "Submit the job.";
    /// The job ended earlier and its answer is no longer held.
    AnswerReleased = 114, "answer-released", 410, "Check outside the system what was done.";
    /// The job asks for what this deployment does not run.
    UnsupportedJob = 115, "unsupported-job", 503, "Ask for less; the Limits of the design page name what is not run.";
    /// The queue is full.
    QueueFull = 201, "queue-full", 503, "Retry after the stated time.";
    /// The process is leaving and takes no new jobs.
    Draining = 202, "draining", 503, "Retry at once; another entry answers.";
    /// No configuration is in force yet, or its freshness cannot be shown.
    NoConfiguration = 203, "no-configuration", 503, "Retry after the stated time.";
    /// No upstream that may run the request kind is present.
    NoUpstream = 204, "no-upstream", 503, "Retry after the stated time.";
    /// The job cannot finish before its deadline.
    CannotMeetDeadline = 205, "cannot-meet-deadline", 503, "Retry after the stated time or allow more time.";
    /// The ticket's home entry runs but cannot be reached from here.
    HomeUnreachable = 206, "home-unreachable", 503, "Retry with the same ticket.";
    /// A task failed at its upstream.
    TaskFailed = 301, "task-failed", 502, "Read the detail; submit again under a new ticket if that is safe.";
    /// The deadline passed before every task had its answer.
    DeadlineExceeded = 302, "deadline-exceeded", 504, "Submit again under a new ticket if that is safe.";
    /// A task may have started and its result is lost.
    OutcomeUnknown = 303, "outcome-unknown", 502, "Check outside the system what was done before submitting again.";
    /// The customer cancelled the job.
    Cancelled = 304, "cancelled", 409, "Nothing.";
    /// No eligible upstream accepted the tasks in time.
    NotPlaced = 305, "not-placed", 503, "Retry after the stated time.";
    /// The task was addressed to an earlier incarnation of the side.
    WrongIncarnation = 401, "wrong-incarnation", 503, "The entry places the task elsewhere.";
    /// The job is tombstoned at the side.
    Tombstoned = 402, "tombstoned", 503, "None: the job was given up.";
    /// The sender's incarnation is fenced at the side.
    Fenced = 403, "fenced", 503, "The entry takes a new incarnation.";
    /// The side's failure domain is out of service.
    DomainOut = 404, "domain-out", 503, "The entry places the task elsewhere.";
    /// The side is leaving or its upstream is.
    SideLeaving = 405, "side-leaving", 503, "The entry places the task elsewhere.";
    /// The side cannot show that its configuration is current.
    StaleConfiguration = 406, "stale-configuration", 503, "The entry places the task elsewhere.";
    /// The side's queue is full.
    SideFull = 407, "side-full", 503, "The entry places the task elsewhere.";
    /// The frame was delayed for longer than the side's permit allows.
    StalePermit = 408, "stale-permit", 503, "The entry places the task elsewhere.";
    /// The task was already received.
    Duplicate = 409, "duplicate", 409, "None: the first copy counts.";
    /// The task was voided before it started.
    Voided = 410, "voided", 503, "The entry places the task elsewhere.";
}

impl std::fmt::Display for Code {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}({})", self.name(), self.number())
    }
}
