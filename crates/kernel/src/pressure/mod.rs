//! Measures whether an entry's event loop keeps up, and decides what to give up
//! when it does not. No I/O; times are passed in.
//!
//! The loop is late by what all of its recent work has waited: the minimum over a
//! few ticks, as in `CoDel` (Nichols and Jacobson, 2012). A queue that empties
//! between two bursts does not count, nor does one pause of the process, however
//! long. The bounds follow from what customers need.

mod gate;
mod limit;
mod readiness;

pub use gate::{Credit, Gate, Lane, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Refused, Unread};

use crate::event::Event;
use limit::Limit;
use readiness::Readiness;
use std::time::Duration;

/// Most frames and completions that the event loop handles in one turn.
pub const MAX_TURN_EVENTS: usize = 128;

/// Most customers' calls that the event loop handles in one turn, after the
/// frames: a frame that arrives meanwhile waits for these at most. No more than
/// these are parsed ahead; other requests wait unread.
pub const MAX_TURN_CALLS: usize = 16;

/// The same while more frames wait than one turn handles. Some calls are handled
/// even then, since their answer may be a refusal.
pub const MAX_CALLS_BEHIND_FRAMES: usize = 2;

/// Consecutive ticks over which the loop must be late. A pause of the process
/// makes one tick late and the work that arrived meanwhile, which may take until
/// the next tick.
const TICKS: usize = 3;

/// Lateness from which fewer routine events are logged: the fixed part of
/// customers' objectives.
pub const SAMPLING_LATENESS: Duration = Duration::from_millis(60);

/// Lateness from which echoes and heartbeats are less frequent. A processor quota
/// per tenth of a second makes a loop late by up to that without being exceeded.
pub const THINNING_LATENESS: Duration = Duration::from_millis(100);

/// Lateness from which jobs are refused unread and, after a while, readiness
/// fails. A job passes the loop three times: on arrival, for a claim and for the
/// end of a run. At this lateness a run of 900 ms, the longest usual one, still
/// ends within the 1,500 ms that customers wait at most.
pub const REFUSAL_LATENESS: Duration = Duration::from_millis(200);

/// Lateness below which refused work is let in again and readiness may return.
pub const RECOVERED_LATENESS: Duration = Duration::from_millis(50);

/// Factor on the number of jobs of which one has its routine events logged.
pub const SAMPLING_FACTOR: u64 = 8;

/// Waits shorter than this count as none: the loop handles at least one batch in
/// an interval of its ticks.
pub const UNNOTICED_WAIT: Duration = Duration::from_millis(20);

/// What an entry gives up while its loop is late, from the first to the last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Measures {
    /// Log routine events of one job in [`SAMPLING_FACTOR`] times as many.
    pub sample_logs: bool,
    /// Send echoes and heartbeats less often.
    pub thin_frames: bool,
    /// Refuse new jobs before their bodies are parsed.
    pub refuse: bool,
}

/// Lateness of one entry's event loop, and the measures against it.
#[derive(Debug)]
pub struct Pressure {
    /// Interval at which the loop's tick is due.
    interval: Duration,
    last_tick: Option<Duration>,
    /// When the process last went on after a pause; what arrived before does not
    /// show how the loop keeps up.
    resumed_at: Duration,
    /// Shortest wait of the calls handled since the last tick.
    least_wait: Option<Duration>,
    /// Number of these calls.
    calls: u32,
    /// Lateness of the last ticks and of the calls before each.
    recent: [Duration; TICKS],
    lateness: Duration,
    limit: Limit,
    readiness: Readiness,
    events: Vec<Event>,
}

impl Pressure {
    /// Makes the state of a loop whose tick is due every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            last_tick: None,
            resumed_at: Duration::ZERO,
            least_wait: None,
            calls: 0,
            recent: [Duration::ZERO; TICKS],
            lateness: Duration::ZERO,
            limit: Limit::default(),
            readiness: Readiness::default(),
            events: Vec::new(),
        }
    }

    /// Records that the loop handles a customer's call that has waited since
    /// `arrived`.
    pub fn record_call(&mut self, now: Duration, arrived: Duration) {
        self.calls += 1;
        if arrived < self.resumed_at {
            return;
        }
        let waited = now.saturating_sub(arrived);
        let least = self.least_wait.get_or_insert(waited);
        *least = waited.min(*least);
    }

    /// Records a tick of the loop, and adds to the credit by which jobs are
    /// admitted while the loop is late.
    pub fn tick(&mut self, now: Duration, credit: &Credit) {
        let last_tick = self.last_tick.replace(now);
        let passed = last_tick.map_or(Duration::ZERO, |last_tick| now.saturating_sub(last_tick));
        let tick_late = passed.saturating_sub(self.interval);
        let on_time = |late: &Duration| *late < RECOVERED_LATENESS;
        if tick_late >= REFUSAL_LATENESS && self.recent.iter().all(on_time) {
            self.resumed_at = now;
        }
        let call_late = self.least_wait.take().unwrap_or_default();
        self.recent.rotate_left(1);
        self.recent[TICKS - 1] = tick_late.max(call_late);
        self.lateness = self.recent.into_iter().min().unwrap_or_default();
        let calls = std::mem::take(&mut self.calls);
        let limit = &mut self.limit;
        if let Some(event) = limit.update(now, passed, self.lateness, calls, credit) {
            self.events.push(event);
        }
        if let Some(event) = self.readiness.update(now, self.lateness) {
            self.events.push(event);
        }
    }

    /// Returns the time by which the loop's recent work has all been late.
    pub fn lateness(&self) -> Duration {
        self.lateness
    }

    /// Returns the measures to take.
    pub fn measures(&self) -> Measures {
        Measures {
            sample_logs: self.lateness >= SAMPLING_LATENESS,
            thin_frames: self.lateness >= THINNING_LATENESS,
            refuse: self.limit.rate().is_some(),
        }
    }

    /// Returns the number of new jobs a second that are admitted; `None` while
    /// there is no limit.
    pub fn rate_limit(&self) -> Option<f64> {
        self.limit.rate()
    }

    /// Returns whether readiness checks may succeed.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Takes the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}
