//! The frames that entries and sides exchange.

use crate::{
    Code, Payload,
    id::{Incarnation, Job},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version of the frames; peers with another version are refused.
pub const VERSION: u16 = 2;

/// What a process is.
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
    /// What the sender is.
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
    /// Number of the connection at the sender; rises with each that it opens.
    pub number: u64,
    /// Random value that the receiver's proof must cover.
    pub nonce: u64,
}

/// Second frame of a connection: shows that the sender holds the shared key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Message authentication code over the sender's role and incarnation
    /// and the receiver's nonce.
    pub mac: [u8; 32],
}

/// What a side offers; sent on joining and on every change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Service that the upstream belongs to.
    pub service: String,
    /// Request kinds that the upstream answers.
    pub kinds: Vec<String>,
    /// Tasks that the upstream runs at a time; 0 while it is absent or leaving.
    pub slots: u16,
}

/// How busy a side is, over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tasks running.
    pub running: u16,
    /// Tasks received and not yet started.
    pub queued: u16,
}

/// One task within [`Run`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Position of the task in the job.
    pub index: u16,
    /// Input for the upstream.
    pub payload: Payload,
}

/// Entry to side: start these tasks of one job when slots are free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job, whose home must be the sender.
    pub job: Job,
    /// The side's incarnation that the tasks are meant for.
    pub side: Incarnation,
    /// Latest side clock that the sender has heard, in milliseconds; bounds
    /// the age of this frame by the side's own clock.
    pub permit: u64,
    /// Request kind.
    pub kind: String,
    /// Time left until the job's deadline, in milliseconds.
    pub remaining: u32,
    /// Number of tasks in the whole job.
    pub total: u16,
    /// The tasks.
    pub tasks: Vec<Item>,
}

/// How a task ended at its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's answer.
    Answer(Payload),
    /// The upstream reported a failure, or its answer was lost.
    Failure(Payload),
}

/// Side to entry: a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The job.
    pub job: Job,
    /// Position of the task in the job.
    pub index: u16,
    /// Time that the upstream took, in microseconds.
    pub spent: u32,
    /// How the task ended.
    pub outcome: Outcome,
    /// The side's load after the task ended.
    pub load: Load,
}

/// Side to entry: these tasks did not start here and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refuse {
    /// The job.
    pub job: Job,
    /// Why.
    pub code: Code,
    /// Positions of the tasks in the job.
    pub indices: Vec<u16>,
    /// The side's load.
    pub load: Load,
}

/// Entry to side: do not start what has not started of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Void {
    /// The job.
    pub job: Job,
    /// Positions to void; empty for the whole job, which also refuses every
    /// later task of it.
    pub indices: Vec<u16>,
}

/// An entry that the sender knows of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The entry's name.
    pub name: String,
    /// Address of the entry's link listener, `IP:port`.
    pub address: String,
}

/// Heartbeat, in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's clock, in milliseconds since the Unix epoch.
    pub clock: u64,
    /// The receiver's clock as the sender last heard it; 0 for never. What the
    /// heartbeat says was true after that moment, however long it travelled.
    pub echo: u64,
    /// Revision of the configuration in force at the sender; 0 for none.
    pub revision: u64,
    /// Time since that revision was last known to be the latest, in
    /// milliseconds.
    pub age: u64,
    /// What the revision says of the receiver, if that is a side.
    pub state: State,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether a side would start a task now; true for entries.
    pub ready: bool,
    /// The sender's load; zero for entries.
    pub load: Load,
    /// Entries known; sent by entries when the list changes.
    pub entries: Vec<Endpoint>,
}

/// A configuration document with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision; only ever rises.
    pub revision: u64,
    /// Identifies the change that made the revision.
    pub change: String,
    /// The document, in INI; shared by all frames that carry it.
    pub text: Arc<str>,
}

/// What a document says of one side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Tasks may start.
    #[default]
    Allowed,
    /// The side's failure domain is out.
    DomainOut,
    /// The upstream takes no new tasks.
    Draining,
}

/// Entry to side: all that the side needs of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The document's revision.
    pub revision: u64,
    /// What it says of the side.
    pub state: State,
}

/// Entry to side: fence a lost entry and hand over what it left here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recover {
    /// The lost entry's incarnation.
    pub home: Incarnation,
    /// The jobs that customers ask for.
    pub jobs: Vec<Job>,
}

/// A kept result within [`Handover`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The job.
    pub job: Job,
    /// Position of the task in the job.
    pub index: u16,
    /// Number of tasks in the whole job.
    pub total: u16,
    /// How the task ended; `None` while it waits or runs.
    pub outcome: Option<Outcome>,
}

/// Side to entry: the answer to [`Recover`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The lost entry's incarnation.
    pub home: Incarnation,
    /// False if this side still hears the entry and has fenced nothing.
    pub fenced: bool,
    /// Results and running tasks of the entry's jobs.
    pub kept: Vec<Kept>,
}

/// What a customer submits, as forwarded to the ticket's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Service.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Team that pays; empty for the default team.
    pub team: String,
    /// Time from acceptance to the deadline, in milliseconds.
    pub deadline: u32,
    /// Inputs, one a task.
    pub tasks: Vec<Payload>,
}

/// What a customer asks of a job's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Run the job, or join the one that runs under the same identifier.
    Submit(Submission),
    /// Answer when the job has ended.
    Answer,
    /// Give the job up.
    Cancel,
    /// Issue this many tickets; the job of the request means nothing.
    Issue(u16),
}

/// Entry to entry: a request whose home is the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Matches the reply to the request on this connection.
    pub call: u64,
    /// The job.
    pub job: Job,
    /// What is asked.
    pub request: Request,
}

/// The answer to a [`Request`]; for a job, its final one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Every task's answer, in order.
    Complete(Vec<Payload>),
    /// The job failed.
    Failed(Failure),
    /// Tickets, in answer to [`Request::Issue`].
    Tickets(Vec<Job>),
}

/// Why a job failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// What is known about started tasks.
    pub ran: Started,
    /// When to come back, in milliseconds; 0 for no advice.
    pub retry_after: u32,
    /// Detail for the customer.
    pub detail: String,
}

/// What a failure says about started tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Started {
    /// No task started, and none will.
    None,
    /// At least one task started.
    Some,
    /// Not known.
    Unknown,
}

impl Started {
    /// Returns the word used in answers to customers.
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
    /// The request's `call`.
    pub call: u64,
    /// The answer.
    pub answer: Answer,
}

/// Everything that travels between the dispatcher's processes.
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
    /// Asks the receiver for its configuration.
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
