//! Frames and types of leased tasks: tasks with declared needs that run under
//! a lease at an upstream and may be started anew once a run is proved over.

use crate::{frame::Endpoint, id::Incarnation};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one task of a job that its customer named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: u64,
    /// Occurrence of the job's steps, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u16,
    /// Position in the step, from 0.
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

/// One run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// Number of the run among all of the task; rises from 1.
    pub attempt: u32,
}

impl fmt::Display for Run {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.task, self.attempt)
    }
}

/// What one task occupies while it runs, or what a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Processor, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Need {
    /// Returns whether `self` fits into `room`.
    pub fn fits(self, room: Need) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Adds another need.
    #[must_use]
    pub fn plus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left of `self`; never below zero.
    #[must_use]
    pub fn minus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// It succeeded.
    Done,
    /// It failed through its own fault or the upstream's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease ran out, or its upstream is gone.
    Lapsed,
    /// It did not start and never will.
    NotRun(Refusal),
}

impl fmt::Display for Ending {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => formatter.write_str("done"),
            Self::Failed => formatter.write_str("failed"),
            Self::Stopped => formatter.write_str("stopped"),
            Self::Lapsed => formatter.write_str("lapsed"),
            Self::NotRun(refusal) => write!(formatter, "not_run:{refusal:?}"),
        }
    }
}

/// Why a run did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The host has no room.
    Room,
    /// The order was too old when it arrived.
    Stale,
    /// The upstream is absent, leaving or not yet known to be idle.
    Closed,
    /// A run of the task is at the host already.
    Duplicate,
    /// The upstream wants a higher attempt.
    Attempt,
    /// The upstream refused, or is unhealthy.
    Upstream,
    /// The upstream did not answer, and the run was barred.
    Unanswered,
    /// The connection was lost before the order arrived.
    Lost,
}

/// Side to entry: what the upstream beside it is; sent on every change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its identifier.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Its host's labels, the rack among them.
    pub labels: Vec<String>,
    /// All that the host has.
    pub capacity: Need,
}

/// Side to entry: heartbeat and load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The side's clock, in milliseconds.
    pub clock: u64,
    /// Number of runs taken from [`Start`] frames on this connection.
    pub received: u32,
    /// Room left at the host.
    pub free: Need,
    /// Whether a task may start.
    pub accepting: bool,
    /// Runs at the host, of all entries.
    pub runs: u16,
}

/// Entry to side: heartbeat and acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The side's clock as last heard, in milliseconds.
    pub clock: u64,
    /// Ends up to this number have been taken.
    pub acknowledged: u64,
}

/// Entry to side: start these tasks of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The side's clock as last heard, in milliseconds; bounds the frame's age.
    pub clock: u64,
    /// Input, the same for all tasks of the job.
    pub input: String,
    /// What each task occupies.
    pub need: Need,
    /// Expected time of each run, in milliseconds.
    pub estimate: u32,
    /// The runs.
    pub runs: Vec<Run>,
}

/// Entry to side: tasks of one step wait for room. The entry may have told
/// several sides; the one that has room first gets a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The side's clock as last heard, in milliseconds.
    pub clock: u64,
    /// The step.
    pub step: Step,
    /// Tasks that wait.
    pub count: u16,
    /// What each task occupies.
    pub need: Need,
    /// Rank among queues; 0 comes first.
    pub priority: u8,
    /// Time left to start without missing the objective, in milliseconds.
    pub slack: u32,
    /// Whether other tasks of the job have started, whose work is of no use
    /// without the rest.
    pub begun: bool,
}

/// Identifies a step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Step {
    /// The job.
    pub job: u64,
    /// Number of the step, from 0.
    pub number: u16,
}

/// A run's end within [`Ends`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run.
    pub run: Run,
    /// How it ended.
    pub ending: Ending,
    /// Time from its start, in milliseconds.
    pub spent: u32,
}

/// Side to entry: ends, sent until acknowledged on some connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ends {
    /// Number of the first; the others follow.
    pub first: u64,
    /// The ends.
    pub ends: Vec<End>,
}

/// Side to entry: a run works more slowly than its peers, or stands still.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The run.
    pub run: Run,
    /// Time from its start, in milliseconds.
    pub elapsed: u32,
    /// Share of its work that is done, in percent.
    pub percent: u8,
    /// Time since `percent` last rose, in milliseconds.
    pub stalled: u32,
}

/// Entry to entry: heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's clock, in milliseconds.
    pub clock: u64,
    /// The receiver's clock as last heard, in milliseconds.
    pub echo: u64,
    /// Store revision of the rules in force; 0 for none.
    pub revision: u64,
    /// Jobs of which no task has started, by queue name.
    pub pending: Vec<(String, u32)>,
    /// Work that waits, in core-milliseconds, by priority; what is late has the
    /// last.
    pub waiting: Vec<(u8, u64)>,
    /// Work that arrives, in core-milliseconds a second, likewise.
    pub arriving: Vec<(u8, u64)>,
}

/// Entry to entry: the rules in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Store revision.
    pub revision: u64,
    /// Version that the operators gave.
    pub version: u64,
    /// Queues that take jobs.
    pub queues: Vec<Queue>,
    /// Failure domains that take no tasks.
    pub out: Vec<String>,
}

/// A queue: which jobs it takes, and what runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Host name that its customers address.
    pub host: String,
    /// Path prefix that its customers address.
    pub prefix: String,
    /// Service whose upstreams run its tasks.
    pub service: String,
    /// Rank among queues; 0 comes first.
    pub priority: u8,
    /// Runs of a task that may fail before its job fails.
    pub attempts: u32,
    /// Factor on a job's longest chain of work that gives its objective.
    pub objective_factor: f64,
    /// Time added to the objective, in milliseconds.
    pub target: u32,
}

// No factor is NaN: the adapter refuses such numbers.
impl Eq for Queue {}

/// Entry to entry: stop a job if it is the receiver's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Matches the reply to the request.
    pub call: u64,
    /// The job.
    pub job: u64,
}

/// Entry to entry: the answer to [`Cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The request's `call`.
    pub call: u64,
    /// Whether the job was the sender's.
    pub found: bool,
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
    /// Entry to side: no task of the step waits any more. Also the answer to a
    /// claim for which there is none.
    Unreserve(Step),
    /// Side to entry: room is kept for a task of the step.
    Claim(Step),
    /// See [`Ends`].
    Ends(Ends),
    /// Side to entry, once on a new connection, after [`Ends`]: the entry's
    /// runs that have not ended. What the entry sent on older connections and
    /// is not among them never arrived.
    OpenRuns(Vec<Run>),
    /// See [`Progress`].
    Progress(Progress),
    /// Entry to side and entry: the entries known.
    Entries(Vec<Endpoint>),
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Entry to entry: asks for the rules.
    Pull,
    /// See [`Rules`].
    Rules(Rules),
    /// See [`Cancel`].
    Cancel(Cancel),
    /// See [`Cancelled`].
    Cancelled(Cancelled),
}

/// A message and the process that it goes to.
pub type Addressed = (Incarnation, Frame);
