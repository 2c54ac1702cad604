//! Refusal of jobs in the customers' interface, without the event loop, while the
//! loop stays late.

use super::telemetry::Recorder;
use hashbrown::HashSet;
use kernel::{
    dispatch::Reason,
    event::Event,
    pressure::{Credit, Gate, UNNOTICED_WAIT, Unread},
};
use std::{
    collections::VecDeque,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::watch;

/// Time after which a job is looked up in the kernel again, to forget it if the
/// kernel has.
const REVIEW_INTERVAL: Duration = Duration::from_mins(2);

/// What the customers' interface and the event loop share.
#[derive(Debug)]
pub(super) struct Admission {
    gate: watch::Sender<Gate>,
    pub(super) credit: Credit,
    known: Mutex<Known>,
    recorder: Mutex<Recorder>,
    refused: AtomicU64,
}

/// Jobs that the kernel may know. Their resubmissions get the job's state, never a
/// refusal, which would state that the job has not run.
#[derive(Debug, Default)]
struct Known {
    jobs: HashSet<u64>,
    reviews: VecDeque<(Duration, u64)>,
}

impl Admission {
    pub(super) fn new(recorder: Recorder) -> Self {
        Self {
            gate: watch::Sender::new(Gate::default()),
            credit: Credit::default(),
            known: Mutex::default(),
            recorder: Mutex::new(recorder),
            refused: AtomicU64::new(0),
        }
    }

    /// Replaces the gate if it differs.
    pub(super) fn set_gate(&self, gate: Gate) {
        self.gate.send_if_modified(|current| {
            let changed = *current != gate;
            *current = gate;
            changed
        });
    }

    /// Returns the number of jobs refused unread since the start.
    pub(super) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Records a job before the kernel gets it.
    pub(super) fn record_job(&self, now: Duration, job: u64) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.jobs.insert(job) {
            known.reviews.push_back((now + REVIEW_INTERVAL, job));
        }
    }

    /// Forgets a job that the kernel has refused.
    pub(super) fn forget_job(&self, job: u64) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.jobs.remove(&job);
    }

    /// Forgets the jobs that the kernel no longer knows.
    pub(super) fn review_jobs(&self, now: Duration, is_known: impl Fn(u64) -> bool) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((_, job)) = known.reviews.pop_front_if(|(due, _)| *due <= now) {
            if !known.jobs.contains(&job) {
                continue;
            }
            if is_known(job) {
                known.reviews.push_back((now + REVIEW_INTERVAL, job));
            } else {
                known.jobs.remove(&job);
            }
        }
    }

    /// Returns whether the kernel may know a job.
    pub(super) fn is_known(&self, job: u64) -> bool {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.jobs.contains(&job)
    }

    /// Returns the pause after which to submit a job again, if it is refused after
    /// it has waited for `waited`.
    pub(super) fn refusal(
        &self,
        job: u64,
        request: &Unread<'_>,
        waited: Duration,
    ) -> Option<Duration> {
        let refused = {
            let gate = self.gate.borrow();
            if !gate.is_closed() || self.is_known(job) {
                return None;
            }
            gate.refusal(request, waited, &self.credit, rand::random())?
        };
        self.refused.fetch_add(1, Ordering::Relaxed);
        let event = Event::Refused {
            job,
            queue: refused.queue,
            reason: Reason::EntryLate,
            wait: refused.wait,
            useful_for: request.patience,
            age: notable_wait(waited),
        };
        let mut recorder = self.recorder.lock().unwrap_or_else(PoisonError::into_inner);
        recorder.observe(&event);
        Some(refused.retry_after)
    }

    /// Returns a receiver of the changes of the gate.
    pub(super) fn watch_gate(&self) -> watch::Receiver<Gate> {
        self.gate.subscribe()
    }
}

/// Returns a wait within the process, or zero if it is too short to matter.
pub(super) fn notable_wait(wait: Duration) -> Duration {
    if wait < UNNOTICED_WAIT {
        Duration::ZERO
    } else {
        wait
    }
}
