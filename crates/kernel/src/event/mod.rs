//! What the dispatcher decides and comes to believe, one event each.
//!
//! Every event names what it is about, the inputs that decided it and their
//! age, and the outcome; its text is one line of key=value pairs. Events about
//! one job carry its identifier, so that the lines of all processes tell its
//! story.

mod text;

use crate::dispatch::{Phase, Reason};
use std::time::Duration;
use wire::{
    id::Incarnation,
    lease::{Ending, Refusal, Run},
};

/// How much an event matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Part of a job's normal course; may be sampled by job.
    Routine,
    /// A failure, or a change of what the process believes.
    Notable,
}

/// How a run found its side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The entry knew of room.
    Room,
    /// The side claimed it.
    Claim,
}

/// One decision or change of belief.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job was taken.
    Accepted {
        /// The job.
        job: u64,
        /// Its queue.
        queue: String,
        /// Its tasks.
        tasks: u32,
        /// Expected wait for room.
        wait: Duration,
        /// Time to the objective.
        objective: Duration,
        /// Time that the customer waits.
        patience: Duration,
        /// Whether the customer has likely handed it in before, elsewhere.
        resubmitted: bool,
    },
    /// A job was refused; it has not run and will not.
    Refused {
        /// The job; 0 for a request without one.
        job: u64,
        /// Its queue; `-` if that is not known yet.
        queue: String,
        /// Why.
        reason: Reason,
        /// Expected wait for room.
        wait: Duration,
        /// Longest time that an answer was of use, from now.
        useful_for: Duration,
        /// Time since the job was taken; zero if it was refused at once.
        age: Duration,
    },
    /// A run was sent to a side.
    Placed {
        /// The run.
        run: Run,
        /// The side.
        side: Incarnation,
        /// How it found it.
        way: Way,
        /// Room reported there, in thousandths of a core.
        room: u32,
        /// Age of that report.
        report_age: Duration,
        /// Time since the job was taken.
        waited: Duration,
    },
    /// A run ended, or did not start.
    Ended {
        /// The run.
        run: Run,
        /// The side.
        side: Incarnation,
        /// How.
        ending: Ending,
        /// Time from its start.
        spent: Duration,
        /// What it occupied, in thousandths of a core.
        cpu: u32,
    },
    /// A slow or hanging run is stopped to run elsewhere.
    Moved {
        /// The run.
        run: Run,
        /// The side that it leaves.
        side: Incarnation,
        /// Time from its start.
        elapsed: Duration,
        /// Its progress, in percent.
        percent: u8,
        /// Time since its progress last rose.
        still: Duration,
    },
    /// A job ended, and its customers were answered.
    Answered {
        /// The job.
        job: u64,
        /// Its queue.
        queue: String,
        /// How it ended.
        state: Phase,
        /// Time since it was taken.
        response_time: Duration,
        /// Time that the objective left, for the run time that it had.
        objective: Duration,
        /// Time that its longest runs took.
        longest_runs: Duration,
        /// Runs beyond the first of each task.
        reruns: u32,
    },
    /// A job was given up after a task of it may have started.
    GivenUp {
        /// The job.
        job: u64,
        /// Its queue.
        queue: String,
        /// Time since it was taken.
        age: Duration,
        /// Tasks that had not succeeded.
        unfinished: u32,
    },
    /// All customers of a job have left; its runs are stopped.
    Abandoned {
        /// The job.
        job: u64,
        /// Time since it was taken.
        age: Duration,
        /// Whether a task may have started.
        started: bool,
    },
    /// An upstream is put aside.
    Ejected {
        /// Its side.
        side: Incarnation,
        /// The run that decided it.
        run: Run,
        /// Its run time against the estimate, in hundredths.
        slowness: u32,
    },
    /// An upstream that was put aside is used again.
    Readmitted {
        /// Its side.
        side: Incarnation,
    },
    /// A side is connected, and what it holds is known.
    SideUp {
        /// Its name.
        name: String,
        /// Its incarnation.
        side: Incarnation,
    },
    /// A side counts as gone, and its runs as over.
    SideGone {
        /// Its name.
        name: String,
        /// Its incarnation.
        side: Incarnation,
        /// Time since it was last heard.
        silent: Duration,
        /// Runs that it had.
        runs: u32,
    },
    /// Rules are in force.
    Rules {
        /// Store revision.
        revision: u64,
        /// The operators' version.
        version: u64,
        /// Queues.
        queues: u32,
        /// Failure domains that take no tasks.
        out: String,
        /// Process that they came from; `None` for the store.
        from: Option<Incarnation>,
    },
    /// A side refuses to start a run.
    RunRefused {
        /// The run.
        run: Run,
        /// The entry that sent it.
        entry: Incarnation,
        /// Why.
        refusal: Refusal,
        /// Room left, in thousandths of a core.
        free: u32,
        /// Age of the order.
        order_age: Duration,
    },
    /// A run was ordered at the upstream.
    RunOrdered {
        /// The run.
        run: Run,
        /// The entry that sent it.
        entry: Incarnation,
        /// End of its lease, on the upstream's clock in milliseconds.
        lease: u64,
        /// Room left, in thousandths of a core.
        free: u32,
    },
    /// The answer to a start order is lost; the run is barred.
    RunUnanswered {
        /// The run.
        run: Run,
    },
    /// A run is stopped, since its entry was silent.
    RunOrphaned {
        /// The run.
        run: Run,
        /// Its entry.
        entry: Incarnation,
        /// Time since the entry was last heard.
        silent: Duration,
    },
    /// A run ended at this side.
    RunEnded {
        /// The run.
        run: Run,
        /// How.
        ending: Ending,
        /// Time from its order.
        spent: Duration,
    },
    /// A run that nobody here ordered is stopped.
    RunForeign {
        /// The run.
        run: Run,
    },
    /// The upstream has started anew.
    UpstreamRestarted {
        /// Its start, in milliseconds since the Unix epoch.
        started_at: u64,
        /// The start known before.
        previous_start: u64,
        /// Runs that it had.
        runs: u32,
    },
    /// The upstream has not answered for so long that all leases are over.
    LeasesLapsed {
        /// Runs that it had.
        runs: u32,
        /// Time since it was last heard.
        silent: Duration,
    },
    /// Whether tasks may start at this side has changed.
    Accepting {
        /// Whether they may.
        accepting: bool,
        /// Whether the upstream leaves.
        leaving: bool,
        /// Whether all its runs are known.
        runs_known: bool,
        /// Time since it was last heard.
        silent: Duration,
    },
}

impl Event {
    /// Returns the job that the event is about, if it is about one.
    pub fn job(&self) -> Option<u64> {
        match self {
            Self::Accepted { job, .. }
            | Self::Refused { job, .. }
            | Self::Answered { job, .. }
            | Self::GivenUp { job, .. }
            | Self::Abandoned { job, .. } => Some(*job),
            Self::Placed { run, .. }
            | Self::Ended { run, .. }
            | Self::Moved { run, .. }
            | Self::Ejected { run, .. }
            | Self::RunRefused { run, .. }
            | Self::RunOrdered { run, .. }
            | Self::RunUnanswered { run }
            | Self::RunOrphaned { run, .. }
            | Self::RunEnded { run, .. }
            | Self::RunForeign { run } => Some(run.task.job),
            Self::Readmitted { .. }
            | Self::SideUp { .. }
            | Self::SideGone { .. }
            | Self::Rules { .. }
            | Self::UpstreamRestarted { .. }
            | Self::LeasesLapsed { .. }
            | Self::Accepting { .. } => None,
        }
    }

    /// Returns how much the event matters.
    pub fn severity(&self) -> Severity {
        match self {
            Self::Accepted { .. }
            | Self::Placed { .. }
            | Self::RunOrdered { .. }
            | Self::RunRefused {
                refusal: Refusal::Room,
                ..
            }
            | Self::Abandoned { .. } => Severity::Routine,
            Self::Ended { ending, .. } | Self::RunEnded { ending, .. } => match ending {
                Ending::Done | Ending::Stopped | Ending::NotRun(Refusal::Room) => Severity::Routine,
                Ending::Failed | Ending::Lapsed | Ending::NotRun(_) => Severity::Notable,
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
