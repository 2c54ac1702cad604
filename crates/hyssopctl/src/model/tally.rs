//! How the jobs of a day ended, and what that is worth.

use super::day::Day;
use std::time::Duration;

/// Worth of a late answer against one in time.
const LATE: f64 = 0.2;

/// Length of the windows of which the worst is shown.
const WINDOW: Duration = Duration::from_secs(2);

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered at this time.
    Answered(Duration),
    /// Refused as not run at this time.
    Refused(Duration),
    /// No answer while its customer waited, or one that says nothing.
    GivenUp,
}

/// Shares of a day's worth.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Jobs.
    pub jobs: usize,
    /// Answered within the objective.
    pub in_time: f64,
    /// Answered late, and of use.
    pub late: f64,
    /// Answered when of no use any more.
    pub useless: f64,
    /// Refused within a quarter of the objective.
    pub refused_soon: f64,
    /// Refused later.
    pub refused_later: f64,
    /// Given up.
    pub given_up: f64,
    /// Worth earned of that owed.
    pub worth: f64,
    /// Worth earned of that owed in the worst window.
    pub worst: f64,
}

impl Tally {
    /// Counts a day's ends. A job's worth grows with its work.
    pub fn new(day: &Day, ends: &[End]) -> Self {
        let mut tally = Self {
            jobs: ends.len(),
            ..Self::default()
        };
        let windows = day.shape.length.div_duration_f64(WINDOW).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a day has few windows"
        )]
        let mut owed = vec![(0.0, 0.0); windows as usize];
        let (mut earned, mut all) = (0.0, 0.0);
        for (job, end) in day.jobs.iter().zip(ends) {
            let soon = job.at + job.due().saturating_sub(job.at) / 4;
            let (share, part) = match end {
                End::Answered(at) if *at <= job.due() => (1.0, &mut tally.in_time),
                End::Answered(at) if *at <= job.useless() => (LATE, &mut tally.late),
                End::Answered(_) => (0.0, &mut tally.useless),
                End::Refused(at) if *at <= soon => (0.0, &mut tally.refused_soon),
                End::Refused(_) => (0.0, &mut tally.refused_later),
                End::GivenUp => (0.0, &mut tally.given_up),
            };
            *part += job.work;
            all += job.work;
            earned += job.work * share;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a day has few windows"
            )]
            let window = job.at.div_duration_f64(WINDOW) as usize;
            owed[window].0 += job.work * share;
            owed[window].1 += job.work;
        }
        let all = f64::max(all, f64::MIN_POSITIVE);
        for part in [
            &mut tally.in_time,
            &mut tally.late,
            &mut tally.useless,
            &mut tally.refused_soon,
            &mut tally.refused_later,
            &mut tally.given_up,
        ] {
            *part /= all;
        }
        tally.worth = earned / all;
        tally.worst = owed
            .iter()
            .filter(|(_, owed)| *owed > 0.0)
            .map(|(earned, owed)| earned / owed)
            .fold(1.0, f64::min);
        tally
    }
}
