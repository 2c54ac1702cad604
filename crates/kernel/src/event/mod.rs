//! Events: decisions of entries and sides, and changes in their view of others.
//!
//! An event names its subject, the inputs of the decision with their age, and
//! the outcome. Its text is one line of key=value pairs. Events about a job carry
//! its identifier, so that the lines of all processes can be joined into a trace.

mod text;

use crate::{
    accuracy::{Counts, Settlement, watch::Judgement},
    outcome::{Phase, Reason},
};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Ending, Refusal, Run, Task},
};

/// Severity of an event in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Part of a job's normal course; may be logged for a sample of jobs only.
    Routine,
    /// A failure, or a change in the process's view of others.
    Notable,
}

/// Why a run was sent to its side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The side had reported free resources.
    Room,
    /// The side had reserved resources and claimed a task of the step.
    Claim,
}

/// Why a side counts a run as over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The upstream has listed its end.
    Listed,
    /// The upstream has refused the only start order.
    Refused,
    /// The upstream has accepted a stop order, and a later list does not show the run.
    Stopped,
    /// The run's lease has expired on the upstream's clock, and a list does not show it.
    LeaseExpired,
    /// All leases have expired by the side's clock.
    AllLeasesExpired,
    /// The upstream's process has ended: its address refuses connections.
    Gone,
    /// Another process of the upstream has answered.
    Restarted,
}

/// Where a process has learnt something from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An entry.
    Entry,
    /// The platform's store.
    Store,
}

/// A decision, or a change in the view of other processes. Times are elapsed
/// times, by the clock of the process that creates the event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job was accepted.
    Accepted {
        /// Identifier that its customer chose.
        job: u64,
        /// Name of its queue.
        queue: String,
        /// Number of its tasks.
        tasks: u32,
        /// Expected wait for free resources.
        wait: Duration,
        /// Time left until the end of the objective.
        objective: Duration,
        /// Time that the customer waits for the answer.
        patience: Duration,
        /// Whether the customer has likely submitted it to another entry before.
        resubmitted: bool,
    },
    /// A job was refused; none of its tasks has started or will start.
    Refused {
        /// Identifier that its customer chose; 0 for a request without a job.
        job: u64,
        /// Its queue; `-` if the entry has no rules yet.
        queue: String,
        /// Cause of the refusal.
        reason: Reason,
        /// Expected wait for free resources.
        wait: Duration,
        /// Time for which an answer would still have had value.
        useful_for: Duration,
        /// Time since the job was submitted; zero if it was refused at once.
        age: Duration,
    },
    /// A run was sent to a side.
    Placed {
        /// Its task and attempt.
        run: Run,
        /// Incarnation of the side.
        side: Incarnation,
        /// Why the run was sent to this side.
        way: Way,
        /// Free processor reported by the side, in thousandths of a core.
        room: u32,
        /// Time since the side's last message.
        report_age: Duration,
        /// Time since the job was submitted.
        waited: Duration,
    },
    /// A run ended, or did not start.
    Ended {
        /// Its task and attempt.
        run: Run,
        /// Incarnation of the side.
        side: Incarnation,
        /// Result of the run.
        ending: Ending,
        /// Run time, from its start at the upstream.
        spent: Duration,
        /// Processor that it occupied, in thousandths of a core.
        cpu: u32,
    },
    /// A slow or stalled run is stopped so that it can start on another host.
    Moved {
        /// Its task and attempt.
        run: Run,
        /// Incarnation of the side where it is stopped.
        side: Incarnation,
        /// Time since its start.
        elapsed: Duration,
        /// Its progress, in percent.
        percent: u8,
        /// Time since its progress last rose.
        stalled: Duration,
    },
    /// A job ended, and its customers were answered.
    Answered {
        /// Identifier that its customer chose.
        job: u64,
        /// Name of its queue.
        queue: String,
        /// Its final state.
        state: Phase,
        /// Time from its submission to the answer.
        response_time: Duration,
        /// Time within which the answer was due, for the measured run time.
        objective: Duration,
        /// Sum of each step's longest run time.
        longest_runs: Duration,
        /// Number of runs beyond the first of each task.
        reruns: u32,
    },
    /// A job was given up after a task of it may have started.
    GivenUp {
        /// Identifier that its customer chose.
        job: u64,
        /// Name of its queue.
        queue: String,
        /// Time since it was submitted.
        age: Duration,
        /// Number of its tasks that had not succeeded.
        unfinished: u32,
    },
    /// An admitted job has ended; what was forecast and what happened.
    Settled {
        /// Identifier that its customer chose.
        job: u64,
        /// Name of its queue.
        queue: String,
        /// Forecast and outcome.
        settlement: Settlement,
    },
    /// A refused job has been watched to the end of its use.
    RefusalJudged(Judgement),
    /// Decisions on a queue's jobs since its last such event.
    Decisions {
        /// Name of the queue.
        queue: String,
        /// Numbers of decisions.
        counts: Counts,
    },
    /// A task has crashed the upstreams that started it; its job is given up.
    Culprit {
        /// The task.
        task: Task,
        /// Name of its queue.
        queue: String,
        /// Number of upstreams that crashed with a run of it.
        crashes: u32,
        /// Number of those that it may have crashed.
        suspicions: u32,
    },
    /// A queue's tasks crash upstreams; it is confined to some of the hosts.
    QueueConfined {
        /// Name of the queue.
        queue: String,
        /// Number of these hosts that are known to this entry.
        hosts: u32,
    },
    /// A confined queue may use all hosts again.
    QueueReleased {
        /// Name of the queue.
        queue: String,
    },
    /// All customers of a job have disconnected; its runs are stopped.
    Abandoned {
        /// Identifier that its customer chose.
        job: u64,
        /// Time since it was submitted.
        age: Duration,
        /// Whether a task may have started.
        started: bool,
    },
    /// A weak entry forwarded a job, which the receiver owns from then on.
    JobForwarded {
        /// Identifier that its customer chose.
        job: u64,
        /// Incarnation of the entry that received it.
        peer: Incarnation,
    },
    /// A job that was submitted here is open at another entry, which is told to end its
    /// runs.
    HeldElsewhere {
        /// Identifier that its customer chose.
        job: u64,
        /// Incarnation of the other entry.
        entry: Incarnation,
    },
    /// A job is dropped, since its customer has submitted it again at another entry.
    LetGo {
        /// Identifier that its customer chose.
        job: u64,
        /// Incarnation of the other entry.
        to: Incarnation,
        /// Time since the job was submitted here.
        age: Duration,
        /// Whether a task may have started.
        started: bool,
    },
    /// This entry owns a job that another one forwarded.
    JobTakenOver {
        /// Identifier that its customer chose.
        job: u64,
        /// Incarnation of the entry that forwarded it.
        from: Incarnation,
    },
    /// The owner of a forwarded job is lost; the customer is told that the job's
    /// outcome is unknown.
    ForwardLost {
        /// Identifier that its customer chose.
        job: u64,
        /// Incarnation of the owner.
        peer: Incarnation,
        /// Time since the job was submitted.
        age: Duration,
    },
    /// An entry that forwarded jobs to this one is lost; they are dropped.
    ForwarderLost {
        /// Incarnation of the entry.
        peer: Incarnation,
        /// Number of its jobs.
        jobs: u32,
        /// Time since the last contact with it.
        silent: Duration,
    },
    /// An upstream is ejected: no tasks are placed there for a while.
    Ejected {
        /// Incarnation of its side.
        side: Incarnation,
        /// The run whose report caused it.
        run: Run,
        /// Its run time relative to the mean of all sides, in percent.
        slowness: u32,
    },
    /// A side reports a rate outside of the bounds; the last valid one remains in use.
    RateInvalid {
        /// Name in its settings.
        name: String,
        /// The reported rate, per mille.
        rate: u16,
    },
    /// An ejected upstream is in use again.
    Readmitted {
        /// Incarnation of its side.
        side: Incarnation,
    },
    /// A side is connected and has listed its unfinished runs.
    SideUp {
        /// Name in its settings.
        name: String,
        /// Incarnation, new with each start of the process.
        side: Incarnation,
    },
    /// A side that has connected lists runs of jobs that are not open here; they are
    /// stopped.
    RunsLeft {
        /// Name in its settings.
        name: String,
        /// Incarnation, new with each start of the process.
        side: Incarnation,
        /// Number of these runs.
        runs: u32,
    },
    /// A disconnected side is removed; its runs count as ended.
    SideGone {
        /// Name in its settings.
        name: String,
        /// Incarnation, new with each start of the process.
        side: Incarnation,
        /// Time since its last message.
        silent: Duration,
        /// Number of its unfinished runs.
        runs: u32,
    },
    /// The process was paused; no task starts before it has read what arrived meanwhile.
    Resumed {
        /// Length of the pause.
        lasted: Duration,
    },
    /// Departures of customers are handled late; their jobs go on until then.
    DeparturesLate {
        /// Time that a barrier took.
        lag: Duration,
    },
    /// A side takes this entry's orders only now: the renewal that it needs for them came
    /// late, since departures of customers were handled late.
    RenewalLate {
        /// Name of the side.
        name: String,
        /// The side.
        side: Incarnation,
        /// Time for which it took none, or since it was first connected.
        lag: Duration,
    },
    /// The event loop stays late; new jobs are refused before they are parsed.
    LoopLate {
        /// Time by which its recent work has all been late.
        lateness: Duration,
    },
    /// The event loop keeps up again; no job is refused for its lateness.
    LoopRecovered {
        /// Time for which jobs were refused.
        lasted: Duration,
    },
    /// Readiness fails or returns because of the event loop's lateness.
    Readiness {
        /// Whether readiness checks may succeed.
        ready: bool,
        /// Time by which the loop's recent work has all been late.
        lateness: Duration,
    },
    /// New rules are in force.
    Rules {
        /// Store revision of the rules.
        revision: u64,
        /// Version that the operators gave them.
        version: u64,
        /// Number of queues.
        queues: u32,
        /// Failure domains that are out, separated by commas.
        out: String,
        /// Entry that sent them; `None` if they were read from the store.
        from: Option<Incarnation>,
    },
    /// A side refuses to start a run.
    RunRefused {
        /// Its task and attempt.
        run: Run,
        /// Incarnation of the entry that sent it.
        entry: Incarnation,
        /// Cause of the refusal.
        refusal: Refusal,
        /// Free processor, in thousandths of a core.
        free: u32,
        /// Age of the start order, by the side's clock.
        order_age: Duration,
    },
    /// A start order for a run was sent to the upstream.
    RunOrdered {
        /// Its task and attempt.
        run: Run,
        /// Incarnation of the entry that sent it.
        entry: Incarnation,
        /// End of its lease, in milliseconds of the upstream's clock.
        lease: u64,
        /// Free processor, in thousandths of a core.
        free: u32,
    },
    /// A start order stayed unanswered; the run is revoked.
    RunUnanswered {
        /// Its task and attempt.
        run: Run,
    },
    /// A run is stopped, since its entry has sent no message for too long.
    RunOrphaned {
        /// Its task and attempt.
        run: Run,
        /// Incarnation of the entry that sent it.
        entry: Incarnation,
        /// Time since the entry's last message.
        silent: Duration,
    },
    /// A run ended at this side.
    RunEnded {
        /// Its task and attempt.
        run: Run,
        /// Result of the run.
        ending: Ending,
        /// Why it counts as over.
        evidence: Evidence,
        /// Time since its start order.
        spent: Duration,
    },
    /// A stop order has stayed unanswered and is sent again.
    StopUnanswered {
        /// Its task and attempt.
        run: Run,
        /// Time since the first stop order.
        since: Duration,
    },
    /// A run that this side has not ordered is stopped.
    RunForeign {
        /// Its task and attempt.
        run: Run,
    },
    /// The number of rows in the upstream's lists that cannot be decoded has changed.
    RowsUnreadable {
        /// Those of runs in progress.
        running: u32,
        /// Those of ends.
        ended: u32,
    },
    /// The upstream has restarted.
    UpstreamRestarted {
        /// Its start time, in milliseconds since the Unix epoch.
        started_at: u64,
        /// Its previous start time, likewise.
        previous_start: u64,
        /// Number of runs that it had.
        runs: u32,
    },
    /// An announcement is discarded, since another process has answered meanwhile.
    AnnouncementIgnored {
        /// Start time that it states, in milliseconds since the Unix epoch.
        started_at: u64,
        /// Start time of the process that has answered, likewise.
        present_start: u64,
    },
    /// The upstream's process has crashed with runs.
    UpstreamCrashed {
        /// Number of runs that it may have had.
        runs: u32,
        /// Number of those that may have caused the crash.
        suspects: u32,
        /// Number of those that it had not listed yet.
        unlisted: u32,
        /// Time since its connection broke.
        noticed_after: Duration,
    },
    /// The upstream has not answered for so long that all its leases have
    /// expired.
    LeasesLapsed {
        /// Number of runs that it had.
        runs: u32,
        /// Time since its last answer.
        silent: Duration,
    },
    /// The side's host was suspended.
    Suspended {
        /// For how long.
        lasted: Duration,
    },
    /// The side learns that operators took its failure domain out of service or back.
    DomainOut {
        /// Whether it is out of service now.
        out: bool,
        /// Revision of the store at which it was so.
        revision: u64,
        /// Where the side has learnt it.
        source: Source,
    },
    /// The side starts or stops accepting tasks.
    Accepting {
        /// Whether it accepts tasks now.
        accepting: bool,
        /// Whether the failure domain is known to be in service.
        in_service: bool,
        /// Time since a process asked the store whether it is.
        availability_age: Duration,
        /// Whether the upstream is leaving.
        leaving: bool,
        /// Whether all runs at the upstream are known.
        runs_known: bool,
        /// Time since its last answer.
        silent: Duration,
    },
}

impl Event {
    /// Returns the job that the event is about, if any.
    pub fn job(&self) -> Option<u64> {
        match self {
            Self::Accepted { job, .. }
            | Self::Refused { job, .. }
            | Self::Answered { job, .. }
            | Self::GivenUp { job, .. }
            | Self::Settled { job, .. }
            | Self::RefusalJudged(Judgement { job, .. })
            | Self::Abandoned { job, .. }
            | Self::HeldElsewhere { job, .. }
            | Self::LetGo { job, .. }
            | Self::JobForwarded { job, .. }
            | Self::JobTakenOver { job, .. }
            | Self::ForwardLost { job, .. } => Some(*job),
            Self::Culprit { task, .. } => Some(task.job),
            Self::Placed { run, .. }
            | Self::Ended { run, .. }
            | Self::Moved { run, .. }
            | Self::Ejected { run, .. }
            | Self::RunRefused { run, .. }
            | Self::RunOrdered { run, .. }
            | Self::RunUnanswered { run }
            | Self::RunOrphaned { run, .. }
            | Self::RunEnded { run, .. }
            | Self::StopUnanswered { run, .. }
            | Self::RunForeign { run } => Some(run.task.job),
            Self::RateInvalid { .. }
            | Self::Decisions { .. }
            | Self::ForwarderLost { .. }
            | Self::QueueConfined { .. }
            | Self::QueueReleased { .. }
            | Self::Readmitted { .. }
            | Self::SideUp { .. }
            | Self::RunsLeft { .. }
            | Self::SideGone { .. }
            | Self::Resumed { .. }
            | Self::DeparturesLate { .. }
            | Self::RenewalLate { .. }
            | Self::LoopLate { .. }
            | Self::LoopRecovered { .. }
            | Self::Readiness { .. }
            | Self::Rules { .. }
            | Self::RowsUnreadable { .. }
            | Self::UpstreamRestarted { .. }
            | Self::AnnouncementIgnored { .. }
            | Self::UpstreamCrashed { .. }
            | Self::LeasesLapsed { .. }
            | Self::Suspended { .. }
            | Self::DomainOut { .. }
            | Self::Accepting { .. } => None,
        }
    }

    /// Returns the severity of the event.
    pub fn severity(&self) -> Severity {
        match self {
            Self::Accepted { .. }
            | Self::Placed { .. }
            | Self::RunOrdered { .. }
            | Self::RunRefused {
                refusal: Refusal::Room,
                ..
            }
            | Self::Abandoned { .. }
            | Self::Settled { .. }
            | Self::RefusalJudged(_)
            | Self::Decisions { .. }
            | Self::JobForwarded { .. }
            | Self::JobTakenOver { .. } => Severity::Routine,
            Self::Ended { ending, .. } | Self::RunEnded { ending, .. } => match ending {
                Ending::Done | Ending::Stopped | Ending::NotRun(Refusal::Room) => Severity::Routine,
                Ending::Failed | Ending::Lapsed | Ending::NotRun(_) | Ending::Crashed(_) => {
                    Severity::Notable
                }
            },
            Self::Answered {
                state,
                response_time,
                objective,
                ..
            } => {
                if *state == Phase::Completed && response_time <= objective {
                    Severity::Routine
                } else {
                    Severity::Notable
                }
            }
            _ => Severity::Notable,
        }
    }
}
