//! Frames between entries and sides.

pub use crate::endpoint::Endpoint;

use crate::{
    Code, Payload,
    id::{Incarnation, Job},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version of the frame format; a peer with another version is refused.
pub const VERSION: u16 = 8;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts jobs and places their tasks.
    Entry,
    /// Runs tasks on the upstream beside it.
    Side,
}

/// First frame of a connection, in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// The sender's role.
    pub role: Role,
    /// The sender's name, unique in its environment.
    pub name: String,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's failure domain.
    pub domain: String,
    /// The sender's rack; empty for entries.
    pub rack: String,
    /// Address at which entries accept connections; empty for sides.
    pub address: String,
    /// Processor available to the sender, in thousandths of a core; 0 if it is
    /// unknown, and for sides.
    pub processor: u32,
    /// Number of the connection, counted by the sender; a later connection has a
    /// higher one.
    pub number: u64,
    /// Random value that the receiver's proof must cover.
    pub nonce: u64,
}

/// Second frame of a connection: proves that the sender has the shared key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Message authentication code over the sender's role and incarnation
    /// and the receiver's nonce.
    pub mac: [u8; 32],
}

/// Side to entry: the capability of the upstream. Sent on connection and on
/// every change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Service that the upstream belongs to.
    pub service: String,
    /// Request kinds that the upstream answers.
    pub kinds: Vec<String>,
    /// Tasks that the upstream runs at a time; 0 while it is absent or leaving.
    pub slots: u16,
}

/// The load of a side, summed over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tasks running.
    pub running: u16,
    /// Tasks received and not yet started.
    pub queued: u16,
}

/// A task within [`Run`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Position of the task in the job.
    pub index: u16,
    /// Input for the upstream.
    pub payload: Payload,
}

/// Entry to side: start these tasks of one job as slots become free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job, whose home must be the sender.
    pub job: Job,
    /// Incarnation of the side; a side with another one refuses the tasks.
    pub side: Incarnation,
    /// Latest clock of the side that the sender has received, in milliseconds;
    /// with it the side bounds the age of this frame by its own clock.
    pub permit: u64,
    /// Request kind.
    pub kind: String,
    /// Time left until the job's deadline, in milliseconds.
    pub remaining: u32,
    /// Number of tasks in the whole job.
    pub total: u16,
    /// Tasks to start, in this order.
    pub tasks: Vec<Item>,
}

/// The outcome of a task at its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's answer, a JSON document.
    Answer(Payload),
    /// The upstream reported a failure, or its answer was lost.
    Failure(Payload),
}

/// Side to entry: a task has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The job; its home is the receiver, unless the receiver recovers the job.
    pub job: Job,
    /// Position of the task in the job.
    pub index: u16,
    /// Time that the upstream took, in microseconds.
    pub spent: u32,
    /// The answer or the failure.
    pub outcome: Outcome,
    /// The side's load after the task has ended.
    pub load: Load,
}

/// Side to entry: these tasks have not started at this side and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refuse {
    /// The job that the tasks belong to.
    pub job: Job,
    /// Reason of the refusal, a 4xx code.
    pub code: Code,
    /// Positions of the tasks in the job.
    pub indices: Vec<u16>,
    /// The side's load at the refusal.
    pub load: Load,
}

/// Entry to side: do not start these tasks of a job if they have not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Void {
    /// The job, whose home must be the sender.
    pub job: Job,
    /// Positions of the tasks; empty for the whole job, whose later tasks are
    /// then refused as well.
    pub indices: Vec<u16>,
}

/// Heartbeat, in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's clock, in milliseconds since the Unix epoch.
    pub clock: u64,
    /// The receiver's clock, in milliseconds, as last received by the sender; 0
    /// if it never was. The contents of the heartbeat were true after that time,
    /// regardless of the delay in transit.
    pub echo: u64,
    /// Revision of the configuration in force at the sender; 0 for none.
    pub revision: u64,
    /// Time since that revision was last confirmed to be the latest, in
    /// milliseconds.
    pub age: u64,
    /// The receiver's state in that revision, if the receiver is a side.
    pub state: State,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the side would start a task now; true for entries.
    pub ready: bool,
    /// The sender's load; zero for entries.
    pub load: Load,
    /// All entries that the sender knows; sent by entries when the list changes,
    /// otherwise empty.
    pub entries: Vec<Endpoint>,
}

/// A configuration document with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision of the document; never decreases.
    pub revision: u64,
    /// Identifier of the change that created the revision.
    pub change: String,
    /// The document, in INI; shared by all frames that contain it.
    pub text: Arc<str>,
}

/// The state of a side in a document.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Tasks may start.
    #[default]
    Allowed,
    /// The side's failure domain is out of service.
    DomainOut,
    /// The upstream takes no new tasks.
    Draining,
}

/// Entry to side: the part of a document that applies to the side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The document's revision.
    pub revision: u64,
    /// The side's state in the document.
    pub state: State,
}

/// Entry to side: fence a lost entry and hand over the results of its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recover {
    /// The lost entry's incarnation.
    pub home: Incarnation,
    /// Jobs of the lost entry whose answers customers request.
    pub jobs: Vec<Job>,
}

/// A task within [`Handover`]: its result, or that it is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The job that the task belongs to.
    pub job: Job,
    /// Position of the task in the job.
    pub index: u16,
    /// Number of tasks in the whole job.
    pub total: u16,
    /// Outcome of the task; `None` while it waits or runs.
    pub outcome: Option<Outcome>,
}

/// Side to entry: the answer to [`Recover`], and sent on every new connection
/// for the jobs of the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Incarnation of the entry whose jobs are handed over.
    pub home: Incarnation,
    /// Whether the entry is fenced; false in answer to [`Recover`] if the side
    /// is still connected to the entry.
    pub fenced: bool,
    /// Results and open tasks of the entry's jobs.
    pub kept: Vec<Kept>,
}

/// A customer's job, as forwarded to the ticket's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Service whose upstreams run the tasks.
    pub service: String,
    /// Request kind, the same for all tasks.
    pub kind: String,
    /// Team to which the job is charged; empty for the default team.
    pub team: String,
    /// Time from acceptance to the deadline, in milliseconds.
    pub deadline: u32,
    /// Inputs, one for each task.
    pub tasks: Vec<Payload>,
}

/// A customer's request to a job's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Run the job, or wait for the one that runs under the same identifier.
    Submit(Submission),
    /// Answer when the job has ended.
    Answer,
    /// Cancel the job.
    Cancel,
    /// Issue this many tickets; the job identifier of the request is ignored.
    Issue(u16),
}

/// Entry to entry: a customer's request for a job whose home is the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Number that matches the reply to the request on this connection.
    pub call: u64,
    /// The job that is requested.
    pub job: Job,
    /// The customer's request.
    pub request: Request,
}

/// The answer to a [`Request`]; for a job, the final one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Every task's answer, in order.
    Complete(Vec<Payload>),
    /// The job has failed.
    Failed(Failure),
    /// Tickets, in answer to [`Request::Issue`].
    Tickets(Vec<Job>),
}

/// The reason of a job's failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Result code that the customer receives.
    pub code: Code,
    /// Whether any task has started.
    pub ran: Started,
    /// Time after which the customer may retry, in milliseconds; 0 if none is
    /// recommended.
    pub retry_after: u32,
    /// Explanation for the customer.
    pub detail: String,
}

/// Whether tasks of a failed job have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Started {
    /// No task has started, and none will.
    None,
    /// At least one task has started.
    Some,
    /// It is unknown whether a task has started.
    Unknown,
}

impl Started {
    /// Returns the text used in answers to customers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Some => "some",
            Self::Unknown => "unknown",
        }
    }
}

/// Entry to entry: the answer to [`Forward`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The `call` of the request.
    pub call: u64,
    /// The home's answer to the request.
    pub answer: Answer,
}

/// All frames between the dispatcher's processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// See [`Hello`].
    Hello(Hello),
    /// See [`Proof`].
    Proof(Proof),
    /// See [`Offer`].
    Offer(Offer),
    /// See [`Run`].
    Run(Run),
    /// See [`Done`].
    Done(Done),
    /// See [`Refuse`].
    Refuse(Refuse),
    /// See [`Void`].
    Void(Void),
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Requests the receiver's configuration.
    Pull,
    /// See [`Config`].
    Config(Config),
    /// See [`Rule`].
    Rule(Rule),
    /// See [`Recover`].
    Recover(Recover),
    /// See [`Handover`].
    Handover(Handover),
    /// See [`Forward`].
    Forward(Forward),
    /// See [`Reply`].
    Reply(Reply),
    /// See [`crate::lease`].
    Lease(crate::lease::Frame),
}
