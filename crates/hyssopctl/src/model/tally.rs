//! Counts how the jobs of a workload ended, and computes the worth earned.

use super::workload::Workload;
use std::time::Duration;

/// Worth of a late answer relative to one in time.
const LATE_WORTH: f64 = 0.2;

/// Length of the intervals over which the lowest worth is computed.
const WINDOW_LENGTH: Duration = Duration::from_secs(2);

/// How a job ended, with the time from the start of the workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered with the result of every task.
    Answered(Duration),
    /// Refused before any of its tasks ran.
    Refused(Duration),
    /// Not answered while its customer waited, or answered without a result.
    GivenUp,
}

/// Shares of a workload by outcome. Jobs are weighted by their work; shares lie
/// between 0 and 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Number of jobs.
    pub jobs: usize,
    /// Share answered within the objective.
    pub in_time: f64,
    /// Share answered after the objective, but while still useful.
    pub late: f64,
    /// Share answered after [`Job::useful_until`](super::Job::useful_until).
    pub useless: f64,
    /// Share refused within a quarter of the objective.
    pub refused_soon: f64,
    /// Share refused later.
    pub refused_later: f64,
    /// Share given up.
    pub given_up: f64,
    /// Worth earned as a share of the worth if all jobs were answered in time.
    pub worth: f64,
    /// Lowest value of `worth` among the windows by arrival.
    pub worst: f64,
}

impl Tally {
    /// Counts the outcomes of a workload's jobs.
    pub fn new(workload: &Workload, ends: &[End]) -> Self {
        let mut tally = Self {
            jobs: ends.len(),
            ..Self::default()
        };
        let windows = workload
            .parameters
            .length
            .div_duration_f64(WINDOW_LENGTH)
            .ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a workload has few windows"
        )]
        let mut by_window = vec![(0.0, 0.0); windows as usize];
        let (mut earned, mut total) = (0.0, 0.0);
        for (job, end) in workload.jobs.iter().zip(ends) {
            let soon_limit = job.at + job.due().saturating_sub(job.at) / 4;
            let (share, sum) = match end {
                End::Answered(at) if *at <= job.due() => (1.0, &mut tally.in_time),
                End::Answered(at) if *at <= job.useful_until() => (LATE_WORTH, &mut tally.late),
                End::Answered(_) => (0.0, &mut tally.useless),
                End::Refused(at) if *at <= soon_limit => (0.0, &mut tally.refused_soon),
                End::Refused(_) => (0.0, &mut tally.refused_later),
                End::GivenUp => (0.0, &mut tally.given_up),
            };
            *sum += job.work;
            total += job.work;
            earned += job.work * share;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a workload has few windows"
            )]
            let window = job.at.div_duration_f64(WINDOW_LENGTH) as usize;
            by_window[window].0 += job.work * share;
            by_window[window].1 += job.work;
        }
        let total = f64::max(total, f64::MIN_POSITIVE);
        for sum in [
            &mut tally.in_time,
            &mut tally.late,
            &mut tally.useless,
            &mut tally.refused_soon,
            &mut tally.refused_later,
            &mut tally.given_up,
        ] {
            *sum /= total;
        }
        tally.worth = earned / total;
        tally.worst = by_window
            .iter()
            .filter(|(_, possible)| *possible > 0.0)
            .map(|(earned, possible)| earned / possible)
            .fold(1.0, f64::min);
        tally
    }
}
