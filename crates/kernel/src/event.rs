//! What the dispatcher decides and comes to believe, one event each.
//!
//! Every event names what it is about, the inputs that decided it and their
//! age, and the outcome; its text is one line of key=value pairs. Events about
//! one job carry its identifier, so that the lines of all processes tell its
//! story.

use crate::{dispatch::Progressed, dispatch::Reason, millis};
use std::{fmt, time::Duration};
use wire::{
    id::Incarnation,
    lease::{Ending, Refusal, Run},
};

/// How much an event matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// Part of a job's normal course; may be sampled by job.
    Ordinary,
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
    },
    /// A job was refused; it has not run and will not.
    Refused {
        /// The job; 0 for a request without one.
        job: u64,
        /// Why.
        reason: Reason,
        /// Expected wait for room.
        wait: Duration,
        /// Longest time that an answer was of use, from now.
        useful: Duration,
        /// Time since the job was taken; zero if it was refused at once.
        held: Duration,
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
        age: Duration,
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
        state: Progressed,
        /// Time since it was taken.
        took: Duration,
        /// Its objective.
        objective: Duration,
        /// Runs beyond the first of each task.
        reruns: u32,
    },
    /// A job was given up after a task of it may have started.
    GivenUp {
        /// The job.
        job: u64,
        /// Time since it was taken.
        held: Duration,
        /// Tasks that had not succeeded.
        left: u32,
    },
    /// All customers of a job have left; its runs are stopped.
    Abandoned {
        /// The job.
        job: u64,
        /// Time since it was taken.
        held: Duration,
        /// Whether a task may have started.
        started: bool,
    },
    /// An upstream is put aside.
    Aside {
        /// Its side.
        side: Incarnation,
        /// The run that decided it.
        run: Run,
        /// Its run time against the estimate, in hundredths.
        slowness: u32,
    },
    /// An upstream that was put aside is used again.
    Back {
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
        age: Duration,
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
    RunOver {
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
    Life {
        /// Its start, in milliseconds since the Unix epoch.
        born: u64,
        /// The start known before.
        before: u64,
        /// Runs that it had.
        runs: u32,
    },
    /// The upstream has not answered for so long that all leases are over.
    Lapsed {
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
        clean: bool,
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
            | Self::Aside { run, .. }
            | Self::RunRefused { run, .. }
            | Self::RunOrdered { run, .. }
            | Self::RunUnanswered { run }
            | Self::RunOrphaned { run, .. }
            | Self::RunOver { run, .. }
            | Self::RunForeign { run } => Some(run.task.job),
            Self::Back { .. }
            | Self::SideUp { .. }
            | Self::SideGone { .. }
            | Self::Rules { .. }
            | Self::Life { .. }
            | Self::Lapsed { .. }
            | Self::Accepting { .. } => None,
        }
    }

    /// Returns how much the event matters.
    pub fn weight(&self) -> Weight {
        match self {
            Self::Accepted { .. }
            | Self::Placed { .. }
            | Self::RunOrdered { .. }
            | Self::RunRefused {
                refusal: Refusal::Room,
                ..
            }
            | Self::Abandoned { .. } => Weight::Ordinary,
            Self::Ended { ending, .. } | Self::RunOver { ending, .. } => match ending {
                Ending::Done | Ending::Stopped | Ending::NotRun(Refusal::Room) => Weight::Ordinary,
                Ending::Failed | Ending::Lapsed | Ending::NotRun(_) => Weight::Notable,
            },
            Self::Answered {
                state,
                took,
                objective,
                ..
            } => {
                if *state == Progressed::Completed && took <= objective {
                    Weight::Ordinary
                } else {
                    Weight::Notable
                }
            }
            _ => Weight::Notable,
        }
    }

    fn write_job(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                job,
                queue,
                tasks,
                wait,
                objective,
            } => write!(
                to,
                "event=accepted job={job:016x} queue={queue} tasks={tasks} wait_ms={} objective_ms={}",
                millis(*wait),
                millis(*objective)
            ),
            Self::Refused {
                job,
                reason,
                wait,
                useful,
                held,
            } => write!(
                to,
                "event=refused job={job:016x} reason={reason} wait_ms={} useful_ms={} held_ms={} ran=no",
                millis(*wait),
                millis(*useful),
                millis(*held)
            ),
            Self::Answered {
                job,
                queue,
                state,
                took,
                objective,
                reruns,
            } => write!(
                to,
                "event=answered job={job:016x} queue={queue} state={state} took_ms={} objective_ms={} reruns={reruns}",
                millis(*took),
                millis(*objective)
            ),
            Self::GivenUp { job, held, left } => write!(
                to,
                "event=given_up job={job:016x} held_ms={} tasks_left={left} ran=maybe",
                millis(*held)
            ),
            Self::Abandoned { job, held, started } => write!(
                to,
                "event=abandoned job={job:016x} held_ms={} started={started}",
                millis(*held)
            ),
            _ => self.write_run(to),
        }
    }

    fn write_run(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Placed {
                run,
                side,
                way,
                room,
                age,
                waited,
            } => write!(
                to,
                "event=placed run={run} side={side} way={way:?} room_mcpu={room} age_ms={} waited_ms={}",
                millis(*age),
                millis(*waited)
            ),
            Self::Ended {
                run,
                side,
                ending,
                spent,
            } => write!(
                to,
                "event=ended run={run} side={side} ending={ending} spent_ms={}",
                millis(*spent)
            ),
            Self::Moved {
                run,
                side,
                elapsed,
                percent,
                still,
            } => write!(
                to,
                "event=moved run={run} side={side} elapsed_ms={} percent={percent} still_ms={}",
                millis(*elapsed),
                millis(*still)
            ),
            Self::Aside {
                side,
                run,
                slowness,
            } => write!(
                to,
                "event=aside side={side} run={run} slowness_pct={slowness}"
            ),
            Self::RunRefused {
                run,
                entry,
                refusal,
                free,
                age,
            } => write!(
                to,
                "event=run_refused run={run} entry={entry} refusal={refusal:?} free_mcpu={free} age_ms={}",
                millis(*age)
            ),
            Self::RunOrdered {
                run,
                entry,
                lease,
                free,
            } => write!(
                to,
                "event=run_ordered run={run} entry={entry} lease_until={lease} free_mcpu={free}"
            ),
            Self::RunUnanswered { run } => write!(to, "event=run_unanswered run={run}"),
            Self::RunOrphaned { run, entry, silent } => write!(
                to,
                "event=run_orphaned run={run} entry={entry} silent_ms={}",
                millis(*silent)
            ),
            Self::RunOver { run, ending, spent } => write!(
                to,
                "event=run_over run={run} ending={ending} spent_ms={}",
                millis(*spent)
            ),
            Self::RunForeign { run } => write!(to, "event=run_foreign run={run}"),
            _ => self.write_belief(to),
        }
    }

    fn write_belief(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Back { side } => write!(to, "event=back side={side}"),
            Self::SideUp { name, side } => write!(to, "event=side_up name={name} side={side}"),
            Self::SideGone {
                name,
                side,
                silent,
                runs,
            } => write!(
                to,
                "event=side_gone name={name} side={side} silent_ms={} runs={runs}",
                millis(*silent)
            ),
            Self::Rules {
                revision,
                version,
                queues,
                out,
                from,
            } => {
                let from = from.map_or_else(|| "store".to_owned(), |from| from.to_string());
                write!(
                    to,
                    "event=rules revision={revision} version={version} queues={queues} out=\"{out}\" from={from}"
                )
            }
            Self::Life { born, before, runs } => write!(
                to,
                "event=upstream_life born={born} before={before} runs={runs}"
            ),
            Self::Lapsed { runs, silent } => write!(
                to,
                "event=leases_lapsed runs={runs} silent_ms={}",
                millis(*silent)
            ),
            Self::Accepting {
                accepting,
                leaving,
                clean,
                silent,
            } => write!(
                to,
                "event=accepting value={accepting} leaving={leaving} clean={clean} silent_ms={}",
                millis(*silent)
            ),
            _ => Ok(()),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_job(to)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Self::NoRules => "no_rules",
            Self::Leaving => "leaving",
            Self::Overload => "overload",
            Self::NoUpstream => "no_upstream",
        })
    }
}

impl fmt::Display for Progressed {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}
