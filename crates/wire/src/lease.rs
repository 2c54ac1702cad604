//! Frames and types of leased tasks. A leased task declares the resources that
//! it needs, runs under a lease at an upstream, and may be started once more
//! when its previous run is proved to have ended.

use crate::{Payload, endpoint::Endpoint, id::Incarnation};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// Identifier of the job, given by its customer.
    pub job: u64,
    /// Number of the repetition of the job's steps, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
    /// Position of the task in the step, from 0.
    pub index: u16,
}

impl fmt::Display for Task {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:016x}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

/// Identifies one run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run {
    /// The task that runs.
    pub task: Task,
    /// Number of the run among all runs of the task; rises from 1.
    pub attempt: u32,
}

impl fmt::Display for Run {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.task, self.attempt)
    }
}

/// Resources that a task occupies while it runs, or that a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Processor time, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Need {
    /// Returns whether `self` fits into `room`.
    pub fn fits(self, room: Need) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns the sum; each resource saturates.
    #[must_use]
    pub fn plus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference; no resource falls below zero.
    #[must_use]
    pub fn minus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// The outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The run succeeded.
    Done,
    /// The run failed, through a fault of the task or of the upstream.
    Failed,
    /// The run was stopped by a stop order.
    Stopped,
    /// The run's lease expired, or its upstream's process ended as planned.
    Lapsed,
    /// The run has not started and never will.
    NotRun(Refusal),
    /// The upstream's process crashed while the run may have been there.
    Crashed(Crash),
}

/// What a run had to do with the crash of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Crash {
    /// It had started so shortly before that it may be the cause.
    Suspect,
    /// It had started earlier.
    Bystander,
    /// It is not known to have started.
    Unconfirmed,
    /// The same, and it was a trial: no other task that may have crashed an upstream had
    /// just been ordered there.
    UnansweredTrial,
}

impl fmt::Display for Ending {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => formatter.write_str("done"),
            Self::Failed => formatter.write_str("failed"),
            Self::Stopped => formatter.write_str("stopped"),
            Self::Lapsed => formatter.write_str("lapsed"),
            Self::NotRun(refusal) => write!(formatter, "not_run:{refusal}"),
            Self::Crashed(Crash::Suspect) => formatter.write_str("crashed:suspect"),
            Self::Crashed(Crash::Bystander) => formatter.write_str("crashed:bystander"),
            Self::Crashed(Crash::Unconfirmed) => formatter.write_str("crashed:unconfirmed"),
            Self::Crashed(Crash::UnansweredTrial) => {
                formatter.write_str("crashed:unanswered_trial")
            }
        }
    }
}

/// The reason why a run has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The host lacks free capacity.
    Room,
    /// The order was too old when it arrived.
    Stale,
    /// The upstream is absent or leaving, or its runs are not all known.
    Closed,
    /// Another run of the task has not ended at the host.
    Duplicate,
    /// The upstream requires a higher attempt.
    Attempt,
    /// The upstream refused the run, or is unhealthy.
    Upstream,
    /// The upstream did not answer, and the run was revoked.
    Unanswered,
    /// The connection was lost before the order arrived.
    Lost,
    /// Another task that may have crashed an upstream has just started at the host.
    Trial,
    /// The host's failure domain is out of service, or not known to be in service.
    Domain,
    /// The job was cancelled while its entry may not have known.
    Cancelled,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Room => "room",
            Self::Stale => "stale",
            Self::Closed => "closed",
            Self::Duplicate => "duplicate",
            Self::Attempt => "attempt",
            Self::Upstream => "upstream",
            Self::Unanswered => "unanswered",
            Self::Lost => "lost",
            Self::Trial => "trial",
            Self::Domain => "domain",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Side to entry: the upstream beside the side. Sent on connection and on every
/// change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier of the upstream, which an order must name.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Labels of the upstream's host, including its rack.
    pub labels: Vec<String>,
    /// Total resources of the host.
    pub capacity: Need,
}

/// Side to entry: heartbeat and load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The side's clock, in milliseconds.
    pub clock: u64,
    /// Number of runs received in [`Start`] frames on this connection; wraps
    /// around.
    pub received: u32,
    /// Free resources of the host.
    pub free: Need,
    /// Whether the side accepts tasks.
    pub accepting: bool,
    /// Whether the side knows that its failure domain is out of service.
    pub out: bool,
    /// Runs of all entries at the host.
    pub runs: u16,
    /// Number of entries that the side takes tasks from, the receiver included.
    pub entries: u16,
    /// Learnt speed of the host, per mille of the usual; 1,000 while it is unknown.
    pub rate: u16,
}

/// Entry to side: heartbeat and acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The side's clock as last received, in milliseconds.
    pub clock: u64,
    /// The same before all departures of customers that the sender may not know of yet:
    /// from then on the sender's runs may go on without it for a while.
    pub renewed_at: u64,
    /// Number of the last end received; those up to it need not be resent.
    pub acknowledged: u64,
    /// Shortest time between two load reports that the sender can keep up with, in
    /// milliseconds; 0 if its processor is unknown.
    pub report_interval_ms: u16,
    /// What the sender knows of the side's failure domain; `None` without rules.
    pub availability: Option<Availability>,
}

/// Whether a failure domain is in service, as the store had it at one revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Availability {
    /// The store's revision; what it had at a higher one replaces this.
    pub revision: u64,
    /// Whether operators have taken the domain out of service.
    pub out: bool,
    /// Time since the store was asked, in milliseconds; saturates.
    pub age: u32,
}

/// Entry to side: start these tasks of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The side's clock as last received, in milliseconds; bounds the age of
    /// the frame.
    pub clock: u64,
    /// Input, the same for all tasks of the job.
    pub input: String,
    /// Resources that each run occupies.
    pub need: Need,
    /// Estimated duration of each run, in milliseconds.
    pub estimate: u32,
    /// Duration, in milliseconds, that is usual for these runs at a host of usual
    /// speed, as far from their data as this one; 0 while it is unknown.
    pub usual: u32,
    /// Runs to start, one for each task.
    pub runs: Vec<Run>,
    /// Those whose tasks may have crashed another upstream.
    pub trials: Vec<Run>,
}

/// Entry to side: tasks of one step wait for capacity. The entry may send this
/// to several sides; the first side with enough free capacity claims a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The side's clock as last received, in milliseconds; bounds the age of
    /// the frame.
    pub clock: u64,
    /// The step whose tasks wait.
    pub step: Step,
    /// Number of waiting tasks.
    pub count: u16,
    /// Resources that each task occupies.
    pub need: Need,
    /// Level at which the job is served: its queue's priority and one, or 0 before all
    /// priorities.
    pub level: u8,
    /// Time within which a task must start to meet the objective, in
    /// milliseconds.
    pub slack: u32,
    /// Whether other tasks of the job have started; their work is useless
    /// without the remaining tasks.
    pub begun: bool,
}

/// Identifies a step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Step {
    /// Identifier of the job, given by its customer.
    pub job: u64,
    /// Number of the step, from 0.
    pub number: u16,
}

/// The end of a run within [`Ends`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run that has ended.
    pub run: Run,
    /// Outcome of the run.
    pub ending: Ending,
    /// Time from the start order to the end, in milliseconds; 0 if no order was
    /// sent.
    pub spent: u32,
}

/// Side to entry: ends of the entry's runs, resent on every new connection
/// until they are acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ends {
    /// Number of the first end; the numbers are consecutive and start at 1.
    pub first: u64,
    /// Ends in the order of their numbers.
    pub ends: Vec<End>,
}

/// Side to entry: the progress of a run that takes much longer than estimated,
/// or that has stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The run that is slow or has stalled.
    pub run: Run,
    /// Time since the start order, in milliseconds.
    pub elapsed: u32,
    /// Share of the run's work that is done, in percent.
    pub percent: u8,
    /// Time since `percent` last rose, in milliseconds.
    pub stalled: u32,
}

/// Entry to entry: heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's clock, in milliseconds.
    pub clock: u64,
    /// The receiver's clock as last received, in milliseconds.
    pub echo: u64,
    /// Store revision of the rules in force; 0 for none.
    pub revision: u64,
    /// Digest of these rules' content, [`Rules::digest`]; 0 for none.
    pub digest: u64,
    /// Number of jobs without a started task, by queue name.
    pub pending: Vec<(String, u32)>,
    /// Waiting work in core-milliseconds, by level as in [`Reserve`]; work that is late has
    /// the highest.
    pub waiting: Vec<(u8, u64)>,
    /// Arriving work in core-milliseconds per second, by level as `waiting`.
    pub arriving: Vec<(u8, u64)>,
    /// The sender's shares of the hosts that it uses, by service.
    pub shares: Vec<(String, Share)>,
    /// Whether the sender is shutting down and should get no new jobs.
    pub leaving: bool,
    /// Time by which the sender's event loop is late, in milliseconds.
    pub lateness: u32,
}

/// An entry's share of the processors of its sides' hosts. Every host counts as
/// divided equally among the entries that its side takes tasks from, so the shares
/// of all entries add up to the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Total, in thousandths of a core at usual speed.
    pub total: u64,
    /// Free part of it.
    pub free: u64,
}

impl Share {
    /// Returns the sum; each part saturates.
    #[must_use]
    pub fn plus(self, other: Share) -> Share {
        Share {
            total: self.total.saturating_add(other.total),
            free: self.free.saturating_add(other.free),
        }
    }
}

/// Entry to entry: the rules in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Revision of the rules in the store.
    pub revision: u64,
    /// Version that the operators assigned.
    pub version: u64,
    /// Queues that accept jobs.
    pub queues: Vec<Queue>,
    /// Failure domains that are out of service.
    pub out: Vec<String>,
}

impl Rules {
    /// Returns a digest of the content, without the revision: the store's
    /// revision also rises when other keys change.
    pub fn digest(&self) -> u64 {
        let content = (self.version, &self.queues, &self.out);
        // Serialization into memory of plain fields cannot fail.
        let bytes = postcard::to_allocvec(&content).unwrap_or_default();
        let hash = Sha256::digest(&bytes);
        hash.iter()
            .take(8)
            .fold(0, |digest, byte| digest << 8 | u64::from(*byte))
    }
}

/// A queue: the jobs that it accepts and the service that runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, as the operators assigned it.
    pub name: String,
    /// Host name of the requests that belong to the queue.
    pub host: String,
    /// Path prefix of the requests that belong to the queue.
    pub prefix: String,
    /// Service whose upstreams run the tasks.
    pub service: String,
    /// Priority among queues; 0 comes first.
    pub priority: u8,
    /// Number of failed runs of one task at which its job fails.
    pub attempts: u32,
    /// Factor by which a job's critical path is multiplied for its objective.
    pub objective_factor: f64,
    /// Time added to that product for the objective, in milliseconds.
    pub target: u32,
}

// The factor is never NaN: the adapter refuses factors that are not finite.
impl Eq for Queue {}

/// Entry to entry: cancel a job if the receiver has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Number that matches the reply to the request.
    pub call: u64,
    /// Identifier of the job, given by its customer.
    pub job: u64,
}

/// Entry to entry: the answer to [`Cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The `call` of the request.
    pub call: u64,
    /// Whether the sender of the answer had the job.
    pub found: bool,
}

/// Entry to entry: run a customer's job and reply with the response. The receiver
/// owns the job from then on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Number that matches the reply to the request; unique in the sender.
    pub call: u64,
    /// The receiver's clock as last received, in milliseconds; bounds the age of
    /// the frame.
    pub clock: u64,
    /// Identifier of the job, given by its customer.
    pub job: u64,
    /// Host name that the customer's request names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Time that the customer waits for the answer from its request on, in
    /// milliseconds.
    pub patience_ms: u64,
    /// Time since the request arrived at the sender, in milliseconds.
    pub waited_ms: u32,
    /// Time until the sender exits, in milliseconds, if it is shutting down: it can
    /// deliver no later answer.
    pub exit_ms: Option<u32>,
    /// Body of the request, as received.
    pub body: Payload,
}

/// Entry to entry: the response to a forwarded job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// The `call` of the request.
    pub call: u64,
    /// The response.
    pub reply: Reply,
}

/// The response to a customer's request for a forwarded job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// JSON document.
    pub body: String,
    /// Whether the job has not run for a reason that concerns only the sender of
    /// the reply, so that another entry may serve it.
    pub elsewhere: bool,
}

/// Entry to entry: the customer of a forwarded job has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The `call` of the request.
    pub call: u64,
}

/// Entry to entry: shows both ends of a connection with forwarded jobs that the
/// other is alive and receives their frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// The sender's clock, in milliseconds.
    pub clock: u64,
    /// The receiver's clock as last received, in milliseconds.
    pub echo: u64,
}

/// Entry to entry: a task has crashed the upstreams that started it, and its job is
/// given up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Culprit {
    /// The task.
    pub task: Task,
    /// Name of its job's queue.
    pub queue: String,
    /// Whether it was a suspect of the crashes, and not only there.
    pub suspect: bool,
    /// Time since it was given up, in milliseconds.
    pub age: u32,
}

/// Within [`Frame::Crashes`]: the crashes of upstreams that had runs of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCount {
    /// The task.
    pub task: Task,
    /// Crashes of upstreams that had started it.
    pub all: u32,
    /// Those of them that it may have caused.
    pub suspicions: u32,
    /// Side of the last of those.
    pub suspected_at: Option<Incarnation>,
    /// Crashes of upstreams that are not known to have started it.
    pub unconfirmed: u32,
    /// Those of them that left a trial unanswered.
    pub unanswered_trials: u32,
}

/// Within [`Frame::Held`]: a job that has been open for so long that its customer may have
/// submitted it to another entry meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Identifier of the job, given by its customer.
    pub job: u64,
    /// Time since its submission arrived, in milliseconds.
    pub age_ms: u32,
    /// Time that the customer waits for the answer, from submission, in milliseconds.
    pub patience_ms: u64,
}

/// All frames of leased tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// See [`Upstream`]; `None` while it is absent.
    Upstream(Option<Upstream>),
    /// See [`Status`].
    Status(Status),
    /// See [`Echo`].
    Echo(Echo),
    /// See [`Start`].
    Start(Start),
    /// Entry to side: stop these runs.
    Stop(Vec<Run>),
    /// See [`Reserve`].
    Reserve(Reserve),
    /// Entry to side: no task of the step waits any longer. Also the answer to a
    /// claim when no task is left.
    Unreserve(Step),
    /// Side to entry: capacity is reserved for one task of the step.
    Claim(Step),
    /// See [`Ends`].
    Ends(Ends),
    /// Side to entry, once on a new connection, after [`Ends`]: the entry's
    /// runs that have not ended. A run that the entry sent on an earlier
    /// connection and that is not among them has never arrived.
    OpenRuns(Vec<Run>),
    /// See [`Progress`].
    Progress(Progress),
    /// Entry to side and entry: all entries that the sender knows.
    Entries(Vec<Endpoint>),
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Entry to entry: requests the rules.
    Pull,
    /// See [`Rules`].
    Rules(Rules),
    /// See [`Cancel`].
    Cancel(Cancel),
    /// See [`Cancelled`].
    Cancelled(Cancelled),
    /// Entry to entry: jobs that were cancelled. A submission of one may arrive again.
    CancelledJobs(Vec<u64>),
    /// Entry to side and entry: jobs that were cancelled, while an entry that does not
    /// know of it may have them.
    Forbid(Vec<u64>),
    /// See [`Forward`].
    Forward(Forward),
    /// See [`Forwarded`].
    Forwarded(Forwarded),
    /// See [`Withdraw`].
    Withdraw(Withdraw),
    /// See [`Pulse`].
    Pulse(Pulse),
    /// See [`Culprit`].
    Culprit(Culprit),
    /// Entry to entry: crashes of upstreams with tasks of a job that the sender has
    /// dropped.
    Crashes(Vec<CrashCount>),
    /// Entry to entry: jobs that the sender has accepted and not answered.
    Held(Vec<Holding>),
    /// Entry to entry: these jobs have been submitted again, at the sender. The receiver
    /// must end its runs of them and reply with [`Frame::Released`].
    Release(Vec<Holding>),
    /// Entry to entry: no run of these jobs is left that the sender has started.
    Released(Vec<u64>),
}

/// A frame and the incarnation of its receiver.
pub type Addressed = (Incarnation, Frame);
