//! Formats events as lines of key=value pairs.

use super::{Event, Evidence, Source};
use crate::{
    accuracy::{Settlement, watch::Judgement},
    millis,
};
use std::fmt;

impl Event {
    fn write_job(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                job,
                queue,
                tasks,
                wait,
                objective,
                patience,
                resubmitted,
            } => write!(
                to,
                "event=accepted job={job:016x} queue={queue} tasks={tasks} wait_ms={} \
                 objective_ms={} patience_ms={} again={}",
                millis(*wait),
                millis(*objective),
                millis(*patience),
                if *resubmitted { "yes" } else { "no" }
            ),
            Self::Refused {
                job,
                queue,
                reason,
                wait,
                useful_for,
                age,
            } => write!(
                to,
                "event=refused job={job:016x} queue={queue} reason={reason} wait_ms={} \
                 useful_ms={} held_ms={} ran=no",
                millis(*wait),
                millis(*useful_for),
                millis(*age)
            ),
            _ => self.write_outcome(to),
        }
    }

    fn write_outcome(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered {
                job,
                queue,
                state,
                response_time,
                objective,
                longest_runs,
                reruns,
            } => write!(
                to,
                "event=answered job={job:016x} queue={queue} state={state} took_ms={} objective_ms={} \
                 ran_ms={} reruns={reruns}",
                millis(*response_time),
                millis(*objective),
                millis(*longest_runs)
            ),
            Self::GivenUp {
                job,
                queue,
                age,
                unfinished,
            } => write!(
                to,
                "event=given_up job={job:016x} queue={queue} held_ms={} tasks_left={unfinished} ran=maybe",
                millis(*age)
            ),
            Self::Abandoned { job, age, started } => write!(
                to,
                "event=abandoned job={job:016x} held_ms={} started={started}",
                millis(*age)
            ),
            Self::HeldElsewhere { job, entry } => {
                write!(to, "event=held_elsewhere job={job:016x} entry={entry}")
            }
            Self::LetGo {
                job,
                to: entry,
                age,
                started,
            } => write!(
                to,
                "event=let_go job={job:016x} entry={entry} held_ms={} started={started}",
                millis(*age)
            ),
            Self::Culprit {
                task,
                queue,
                crashes,
                suspicions,
            } => write!(
                to,
                "event=culprit task={task} job={:016x} queue={queue} crashes={crashes} \
                 suspicions={suspicions}",
                task.job
            ),
            Self::QueueConfined { queue, hosts } => {
                write!(to, "event=queue_confined queue={queue} hosts={hosts}")
            }
            Self::QueueReleased { queue } => write!(to, "event=queue_released queue={queue}"),
            _ => self.write_decision(to),
        }
    }

    fn write_decision(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settled {
                job,
                queue,
                settlement,
            } => {
                let Settlement { level, outcome, .. } = settlement;
                let forecast = millis(settlement.forecast);
                write!(
                    to,
                    "event=settled job={job:016x} queue={queue} level={level} outcome={outcome} \
                     forecast_ms={forecast}"
                )?;
                match settlement.error_ms() {
                    Some(error) => write!(to, " error_ms={error}"),
                    None => Ok(()),
                }
            }
            Self::RefusalJudged(judgement) => {
                let Judgement { job, queue, .. } = judgement;
                write!(to, "event=refusal_judged job={job:016x} queue={queue}")?;
                match judgement.enough_after {
                    Some(after) => write!(to, " wrong=yes enough_ms={}", millis(after)),
                    None => write!(to, " wrong=no"),
                }
            }
            Self::Decisions { queue, counts } => {
                write!(to, "event=decisions queue={queue} {counts}")
            }
            _ => self.write_forwarding(to),
        }
    }

    fn write_forwarding(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::JobForwarded { job, peer } => {
                write!(to, "event=job_forwarded job={job:016x} peer={peer}")
            }
            Self::JobTakenOver { job, from } => {
                write!(to, "event=job_taken_over job={job:016x} from={from}")
            }
            Self::ForwardLost { job, peer, age } => write!(
                to,
                "event=forward_lost job={job:016x} peer={peer} held_ms={} ran=maybe",
                millis(*age)
            ),
            Self::ForwarderLost { peer, jobs, silent } => write!(
                to,
                "event=forwarder_lost peer={peer} jobs={jobs} silent_ms={}",
                millis(*silent)
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
                report_age,
                waited,
            } => write!(
                to,
                "event=placed run={run} side={side} way={way:?} room_mcpu={room} age_ms={} waited_ms={}",
                millis(*report_age),
                millis(*waited)
            ),
            Self::Ended {
                run,
                side,
                ending,
                spent,
                cpu,
            } => write!(
                to,
                "event=ended run={run} side={side} ending={ending} spent_ms={} mcpu={cpu}",
                millis(*spent)
            ),
            Self::Moved {
                run,
                side,
                elapsed,
                percent,
                stalled,
            } => write!(
                to,
                "event=moved run={run} side={side} elapsed_ms={} percent={percent} still_ms={}",
                millis(*elapsed),
                millis(*stalled)
            ),
            Self::Ejected {
                side,
                run,
                slowness,
            } => write!(
                to,
                "event=aside side={side} run={run} slowness_pct={slowness}"
            ),
            Self::RateInvalid { name, rate } => {
                write!(to, "event=rate_invalid name={name} rate={rate}")
            }
            _ => self.write_order(to),
        }
    }

    fn write_order(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RunRefused {
                run,
                entry,
                refusal,
                free,
                order_age,
            } => write!(
                to,
                "event=run_refused run={run} entry={entry} refusal={refusal} free_mcpu={free} age_ms={}",
                millis(*order_age)
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
            Self::RunEnded {
                run,
                ending,
                evidence,
                spent,
            } => write!(
                to,
                "event=run_over run={run} ending={ending} evidence={evidence} spent_ms={}",
                millis(*spent)
            ),
            Self::StopUnanswered { run, since } => write!(
                to,
                "event=stop_unanswered run={run} since_ms={}",
                millis(*since)
            ),
            Self::RunForeign { run } => write!(to, "event=run_foreign run={run}"),
            _ => self.write_view(to),
        }
    }

    fn write_view(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Readmitted { side } => write!(to, "event=back side={side}"),
            Self::SideUp { name, side } => write!(to, "event=side_up name={name} side={side}"),
            Self::RunsLeft { name, side, runs } => {
                write!(to, "event=runs_left name={name} side={side} runs={runs}")
            }
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
            Self::RowsUnreadable { running, ended } => {
                write!(to, "event=rows_unreadable running={running} ended={ended}")
            }
            Self::UpstreamRestarted {
                started_at,
                previous_start,
                runs,
            } => write!(
                to,
                "event=upstream_life born={started_at} before={previous_start} runs={runs}"
            ),
            Self::AnnouncementIgnored {
                started_at,
                present_start,
            } => write!(
                to,
                "event=announcement_ignored born={started_at} present={present_start}"
            ),
            Self::UpstreamCrashed {
                runs,
                suspects,
                unlisted,
                noticed_after,
            } => write!(
                to,
                "event=upstream_crashed runs={runs} suspects={suspects} unlisted={unlisted} noticed_ms={}",
                millis(*noticed_after)
            ),
            Self::LeasesLapsed { runs, silent } => write!(
                to,
                "event=leases_lapsed runs={runs} silent_ms={}",
                millis(*silent)
            ),
            Self::Suspended { lasted } => {
                write!(to, "event=suspended lasted_ms={}", millis(*lasted))
            }
            Self::DomainOut {
                out,
                revision,
                source,
            } => write!(
                to,
                "event=domain_out value={out} revision={revision} source={source}"
            ),
            Self::Accepting {
                accepting,
                in_service,
                availability_age,
                leaving,
                runs_known,
                silent,
            } => write!(
                to,
                "event=accepting value={accepting} leaving={leaving} clean={runs_known} \
                 in_service={in_service} availability_ms={} silent_ms={}",
                millis(*availability_age),
                millis(*silent)
            ),
            _ => self.write_loop(to),
        }
    }

    fn write_loop(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Resumed { lasted } => {
                write!(to, "event=resumed paused_ms={}", millis(*lasted))
            }
            Self::DeparturesLate { lag } => {
                write!(to, "event=departures_late lag_ms={}", millis(*lag))
            }
            Self::RenewalLate { name, side, lag } => {
                write!(
                    to,
                    "event=renewal_late name={name} side={side} lag_ms={}",
                    millis(*lag)
                )
            }
            Self::LoopLate { lateness } => {
                write!(to, "event=loop_late lateness_ms={}", millis(*lateness))
            }
            Self::LoopRecovered { lasted } => {
                write!(to, "event=loop_recovered lasted_ms={}", millis(*lasted))
            }
            Self::Readiness { ready, lateness } => write!(
                to,
                "event=readiness ready={ready} lateness_ms={}",
                millis(*lateness)
            ),
            _ => Ok(()),
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Self::Listed => "listed",
            Self::Refused => "refused",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lease_expired",
            Self::AllLeasesExpired => "all_leases_expired",
            Self::Gone => "gone",
            Self::Restarted => "restarted",
        })
    }
}

impl fmt::Display for Source {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Self::Entry => "entry",
            Self::Store => "store",
        })
    }
}

impl fmt::Display for Event {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_job(to)
    }
}
