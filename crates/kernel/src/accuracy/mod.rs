//! Accuracy of the admission of jobs: how forecast waits compare with what happened.
//!
//! An admission is wrong if the job was given up, or missed an objective that its
//! forecast would have met. When a refusal is wrong is defined in [`Watch`]. No decision
//! reads this state.

pub mod watch;

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter, Result},
    time::Duration,
};
use watch::{Host, Judgement, Refusal, Watch};

/// Upper bounds of the buckets of forecast errors, in milliseconds. A start later than
/// forecast is positive; the last bucket has no bound.
pub const ERROR_BOUNDS_MS: [i32; 16] = [
    -3_200, -1_600, -800, -400, -200, -100, -50, -20, 20, 50, 100, 200, 400, 800, 1_600, 3_200,
];

/// Error, in milliseconds, up to which a forecast counts as near.
const NEAR_MS: i32 = 100;

/// Most queues with counts. Rules drop queues and add others.
const MAX_QUEUES: usize = 1_024;

/// Shortest interval between two reports of a queue.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest interval between two reports, which bounds the lines logged for many queues.
const MIN_REPORT_GAP: Duration = Duration::from_millis(100);

/// Level at which an admitted job was to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// That of its queue's priority.
    Priority,
    /// Before all priorities, by the floor of shares.
    Promoted,
    /// Behind all priorities: its forecast misses the objective.
    Late,
}

/// All levels, in the order in which [`Tally::levels`] has them.
pub const LEVELS: [Level; 3] = [Level::Priority, Level::Promoted, Level::Late];

impl Display for Level {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        to.write_str(match self {
            Self::Priority => "priority",
            Self::Promoted => "promoted",
            Self::Late => "late",
        })
    }
}

/// What became of an admitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It completed within its objective.
    InTime,
    /// It completed later, or its customers had left by then.
    Missed,
    /// It was given up, whether or not a task had started.
    GivenUp,
    /// It failed, was cancelled, or its customers left before the end of the objective.
    Unjudged,
}

impl Display for Outcome {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        to.write_str(match self {
            Self::InTime => "in_time",
            Self::Missed => "missed",
            Self::GivenUp => "given_up",
            Self::Unjudged => "unjudged",
        })
    }
}

/// An admitted job that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settlement {
    /// Level at its admission.
    pub level: Level,
    /// Forecast of its wait.
    pub forecast: Duration,
    /// Time from its admission to its first start; `None` if no task has started.
    pub waited: Option<Duration>,
    /// What became of it.
    pub outcome: Outcome,
}

impl Settlement {
    /// Returns the wait less its forecast, in milliseconds; `None` without a start.
    pub fn error_ms(&self) -> Option<i32> {
        let ms = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        let error = ms(self.waited?).saturating_sub(ms(self.forecast));
        let bounded = error.clamp(i32::MIN.into(), i32::MAX.into());
        i32::try_from(bounded).ok()
    }
}

/// Settled admissions of a queue at one level.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admissions {
    /// Jobs that completed within their objective.
    pub in_time: u64,
    /// Jobs that missed it.
    pub missed: u64,
    /// Jobs that were given up.
    pub given_up: u64,
    /// Jobs that ended for another reason.
    pub unjudged: u64,
    /// Jobs by the error of their forecast; see [`ERROR_BOUNDS_MS`].
    pub errors: [u64; ERROR_BOUNDS_MS.len() + 1],
}

impl Admissions {
    fn record(&mut self, settlement: &Settlement) {
        let count = match settlement.outcome {
            Outcome::InTime => &mut self.in_time,
            Outcome::Missed => &mut self.missed,
            Outcome::GivenUp => &mut self.given_up,
            Outcome::Unjudged => &mut self.unjudged,
        };
        *count += 1;
        if let Some(error) = settlement.error_ms() {
            self.errors[ERROR_BOUNDS_MS.partition_point(|bound| *bound < error)] += 1;
        }
    }
}

/// Decisions on a queue's jobs, with what is known of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Settled admissions, in the order of [`LEVELS`].
    pub levels: [Admissions; LEVELS.len()],
    /// Jobs refused for want of room when they arrived.
    pub refused: u64,
    /// Those of them that were watched to the end.
    pub judged: u64,
    /// Those of them whose refusal was wrong.
    pub wrong_refusals: u64,
    reported: Counts,
    reported_at: Duration,
    has_changed: bool,
    last_used: Duration,
}

/// Sums over a queue's levels.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Admitted jobs that have ended.
    pub admitted: u64,
    /// Those of them that missed their objective.
    pub missed: u64,
    /// Those of them that were given up.
    pub given_up: u64,
    /// Those of them whose admission was wrong.
    pub wrong_admissions: u64,
    /// Those of them that started more than 100 ms before the forecast.
    pub earlier: u64,
    /// Those of them that started more than 100 ms after the forecast.
    pub later: u64,
    /// [`Tally::refused`].
    pub refused: u64,
    /// [`Tally::judged`].
    pub judged: u64,
    /// [`Tally::wrong_refusals`].
    pub wrong_refusals: u64,
}

impl Counts {
    /// Returns the difference of two counts of the same queue.
    fn since(&self, earlier: &Self) -> Self {
        Self {
            admitted: self.admitted - earlier.admitted,
            missed: self.missed - earlier.missed,
            given_up: self.given_up - earlier.given_up,
            wrong_admissions: self.wrong_admissions - earlier.wrong_admissions,
            earlier: self.earlier - earlier.earlier,
            later: self.later - earlier.later,
            refused: self.refused - earlier.refused,
            judged: self.judged - earlier.judged,
            wrong_refusals: self.wrong_refusals - earlier.wrong_refusals,
        }
    }
}

impl Display for Counts {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        write!(
            to,
            "admitted={} missed={} given_up={} wrong_admissions={} earlier={} later={} \
             refused={} judged={} wrong_refusals={}",
            self.admitted,
            self.missed,
            self.given_up,
            self.wrong_admissions,
            self.earlier,
            self.later,
            self.refused,
            self.judged,
            self.wrong_refusals
        )
    }
}

impl Tally {
    /// Returns the sums over all levels.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            refused: self.refused,
            judged: self.judged,
            wrong_refusals: self.wrong_refusals,
            ..Counts::default()
        };
        let early_end = ERROR_BOUNDS_MS.partition_point(|bound| *bound <= -NEAR_MS);
        let late_start = ERROR_BOUNDS_MS.partition_point(|bound| *bound <= NEAR_MS);
        for (admissions, level) in self.levels.iter().zip(LEVELS) {
            let Admissions {
                in_time,
                missed,
                given_up,
                unjudged,
                errors,
            } = admissions;
            counts.admitted += in_time + missed + given_up + unjudged;
            counts.missed += missed;
            counts.given_up += given_up;
            counts.wrong_admissions += given_up;
            if level != Level::Late {
                counts.wrong_admissions += missed;
            }
            counts.earlier += errors[..early_end].iter().sum::<u64>();
            counts.later += errors[late_start..].iter().sum::<u64>();
        }
        counts
    }
}

/// An admitted job that has not ended.
#[derive(Debug)]
struct Admission {
    at: Duration,
    level: Level,
    forecast: Duration,
    /// Time by which it must have started.
    deadline: Duration,
    started: Option<Duration>,
}

/// Accuracy of an entry's decisions since its start.
#[derive(Debug, Default)]
pub struct Accuracy {
    open: BTreeMap<u64, Admission>,
    watch: Watch,
    queues: BTreeMap<String, Tally>,
    reported_at: Duration,
}

impl Accuracy {
    /// Records that a job was admitted, which can't start after `deadline`.
    pub fn record_admission(
        &mut self,
        now: Duration,
        job: u64,
        level: Level,
        forecast: Duration,
        deadline: Duration,
    ) {
        let admission = Admission {
            at: now,
            level,
            forecast,
            deadline,
            started: None,
        };
        self.open.insert(job, admission);
    }

    /// Records that the first run of a job was ordered. Where it was refused, a later
    /// order replaces it.
    pub fn record_start(&mut self, now: Duration, job: u64) {
        if let Some(admission) = self.open.get_mut(&job) {
            admission.started = Some(now);
        }
    }

    /// Records the end of a job. `has_run` states whether the last order was taken. An
    /// unknown job, or one that ends before its admission, changes nothing.
    pub fn settle(
        &mut self,
        now: Duration,
        job: u64,
        queue: &str,
        has_run: bool,
        outcome: Outcome,
    ) -> Option<Settlement> {
        let admission = self.open.remove(&job)?;
        if now < admission.at {
            return None;
        }
        let is_plausible = |at: &Duration| (admission.at..=admission.deadline).contains(at);
        let started = admission.started.filter(|_| has_run).filter(is_plausible);
        let settlement = Settlement {
            level: admission.level,
            forecast: admission.forecast,
            waited: started.map(|at| at.saturating_sub(admission.at)),
            outcome,
        };
        let tally = self.tally(now, queue);
        tally.levels[settlement.level as usize].record(&settlement);
        Some(settlement)
    }

    /// Records that a job was refused for want of room when it arrived.
    pub fn record_refusal(&mut self, now: Duration, queue: &str, refusal: Refusal) {
        self.tally(now, queue).refused += 1;
        self.watch.insert(now, queue, refusal);
    }

    /// Returns whether [`Accuracy::judge`] should be called with the hosts.
    pub fn is_due(&self, now: Duration) -> bool {
        self.watch.is_due(now)
    }

    /// Judges refusals by the usable hosts as last reported.
    pub fn judge(&mut self, now: Duration, hosts: &[Host]) -> Vec<Judgement> {
        let judgements = self.watch.advance(now, hosts);
        for judgement in &judgements {
            let tally = self.tally(now, &judgement.queue);
            tally.judged += 1;
            tally.wrong_refusals += u64::from(judgement.is_wrong());
        }
        judgements
    }

    /// Returns the changes of the queue whose report is the most overdue, if any.
    pub fn take_report(&mut self, now: Duration) -> Option<(String, Counts)> {
        // After a report in the future, as seen by a clock that was set back, one is due.
        let is_past =
            |at: Duration, interval| now.checked_sub(at).is_none_or(|age| age >= interval);
        if !is_past(self.reported_at, MIN_REPORT_GAP) {
            return None;
        }
        let (queue, tally) = self
            .queues
            .iter_mut()
            .filter(|(_, tally)| tally.has_changed && is_past(tally.reported_at, REPORT_INTERVAL))
            .min_by_key(|(_, tally)| tally.reported_at)?;
        self.reported_at = now;
        let counts = tally.counts();
        let changes = counts.since(&tally.reported);
        tally.reported = counts;
        tally.reported_at = now;
        tally.has_changed = false;
        Some((queue.clone(), changes))
    }

    /// Returns the decisions by queue.
    pub fn queues(&self) -> impl Iterator<Item = (&str, &Tally)> {
        self.queues
            .iter()
            .map(|(queue, tally)| (queue.as_str(), tally))
    }

    /// Returns a queue's counts. The queue that was unused for longest makes room for a
    /// new one.
    fn tally(&mut self, now: Duration, queue: &str) -> &mut Tally {
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= MAX_QUEUES {
                let oldest = self.queues.iter().min_by_key(|(_, tally)| tally.last_used);
                let oldest = oldest.map(|(queue, _)| queue.clone()).unwrap_or_default();
                self.queues.remove(&oldest);
            }
            let tally = Tally {
                reported_at: now,
                ..Tally::default()
            };
            self.queues.insert(queue.to_owned(), tally);
        }
        let tally = self.queues.entry(queue.to_owned()).or_default();
        tally.has_changed = true;
        tally.last_used = now;
        tally
    }
}
