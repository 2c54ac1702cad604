//! The entry's view of its sides: connections, free resources, runs, and the
//! health of their upstreams.

use super::lateness::Lateness;
use crate::{
    liveness::Liveness,
    rate::{USUAL_RATE, is_valid},
    timing::{MAX_REPORT_INTERVAL, SUSPECT_AGE},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{Need, Run, Share, Status, Upstream},
};

/// Identifies a side within one entry by its incarnation.
pub type Key = Incarnation;

/// Time without a message after which no task is placed at a side: three
/// heartbeats.
const MAX_SILENCE: Duration = Duration::from_millis(300);

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;

/// Consecutive unanswered start orders after which an upstream is ejected. If
/// every upstream loses one answer in ten, two in a row are no sign of a fault.
const UNANSWERED_TO_EJECT: u32 = 4;

/// Length of an upstream's first ejection; each further one is twice as long,
/// up to [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Weight of one run in the moving average of a side's slowness.
const RUN_WEIGHT: f64 = 0.15;

/// Interval at which the rates of all sides are summed up.
const RATE_REVIEW_INTERVAL: Duration = MAX_REPORT_INTERVAL;

/// State of the connection to a side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// Connected, but the side has not listed its unfinished runs yet.
    Joining,
    /// Connected, and the side's unfinished runs are known.
    Up,
    /// Disconnected from this entry.
    Lost,
}

#[derive(Debug)]
pub(super) struct Side {
    pub(super) name: String,
    pub(super) domain: String,
    pub(super) link: Link,
    pub(super) last_received: Duration,
    pub(super) liveness: Liveness,
    pub(super) upstream: Option<Upstream>,
    pub(super) status: Option<Status>,
    /// Number of runs sent on this connection.
    pub(super) sent_runs: u32,
    /// Runs that the last status report does not cover, with their numbers on
    /// this connection and their needs.
    in_flight: VecDeque<(u32, Need)>,
    /// Reported free resources, less the needs of `in_flight`.
    room: Need,
    pub(super) runs: BTreeSet<Run>,
    /// Last run of a task that may have crashed another upstream, and its start.
    trial: Option<(Duration, Run)>,
    /// Number of the last run end received.
    pub(super) last_end: u64,
    /// Side clock value, in milliseconds, that was last echoed.
    pub(super) echoed: u64,
    /// Side clock values, in milliseconds, as last received before the last barrier was
    /// sent, and before the last that has passed.
    before_sent: u64,
    pub(super) before_passed: u64,
    pub(super) last_echo_at: Duration,
    /// The renewal in the last echo, on the side's clock in milliseconds.
    renewed_at: u64,
    /// Time from which the side refuses orders as stale unless it gets a later renewal.
    orders_until: Duration,
    /// Moving average of run time divided by estimate.
    pub(super) slowness: f64,
    /// Last valid rate that the side has reported, per mille of the usual speed.
    pub(super) rate: u16,
    /// Whether the last report had an invalid rate.
    rate_invalid: bool,
    lateness: Lateness,
    failures: u32,
    unanswered: u32,
    ejection: Option<Ejection>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Duration,
    duration: Duration,
    /// Whether a run is under way that tests if the upstream has recovered.
    probing: bool,
}

impl Side {
    pub(super) fn new(name: &str, domain: &str, now: Duration) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            link: Link::Joining,
            last_received: now,
            liveness: Liveness::new(now),
            upstream: None,
            status: None,
            sent_runs: 0,
            in_flight: VecDeque::new(),
            room: Need::default(),
            runs: BTreeSet::new(),
            trial: None,
            last_end: 0,
            echoed: 0,
            before_sent: 0,
            before_passed: 0,
            last_echo_at: Duration::ZERO,
            renewed_at: 0,
            orders_until: now,
            slowness: 1.0,
            rate: USUAL_RATE,
            rate_invalid: false,
            lateness: Lateness::default(),
            failures: 0,
            unanswered: 0,
            ejection: None,
        }
    }

    /// Returns the reported free resources, less the needs of runs sent since.
    pub(super) fn room(&self) -> Need {
        self.room
    }

    /// Returns the host's total resources; zero while they are unknown.
    pub(super) fn capacity(&self) -> Need {
        let upstream = self.upstream.as_ref();
        upstream.map_or_else(Need::default, |declared| declared.capacity)
    }

    /// Returns the host's processors and the free part, each counted at its rate.
    pub(super) fn processors(&self) -> Share {
        let at_rate = |cpu: u32| u64::from(cpu) * u64::from(self.rate) / u64::from(USUAL_RATE);
        Share {
            total: at_rate(self.capacity().cpu),
            free: at_rate(self.room().cpu),
        }
    }

    /// Records a run of a task that may have crashed another upstream.
    pub(super) fn record_trial(&mut self, now: Duration, run: Run) {
        self.trial = Some((now, run));
    }

    /// Returns whether a run of such a task is under way here that would be a suspect
    /// of a crash.
    pub(super) fn has_trial(&self, now: Duration) -> bool {
        self.trial.is_some_and(|(started, run)| {
            now.saturating_sub(started) <= SUSPECT_AGE && self.runs.contains(&run)
        })
    }

    /// Returns this entry's share of [`Side::processors`].
    pub(super) fn share(&self) -> Share {
        let entries = u64::from(self.status.map_or(1, |status| status.entries.max(1)));
        let all = self.processors();
        Share {
            total: all.total / entries,
            free: all.free / entries,
        }
    }

    /// Returns the rate as a multiple of the usual speed.
    pub(super) fn speed(&self) -> f64 {
        f64::from(self.rate) / f64::from(USUAL_RATE)
    }

    /// Records the side's upstream. What was learnt of an earlier process is
    /// discarded.
    pub(super) fn set_upstream(&mut self, upstream: Option<Upstream>) {
        let id = |upstream: &Option<Upstream>| upstream.as_ref().map(|known| known.id.clone());
        if upstream.is_some() && id(&upstream) != id(&self.upstream) {
            self.rate = USUAL_RATE;
            self.lateness = Lateness::default();
        }
        self.upstream = upstream;
    }

    /// Takes the rate of a report. Returns false for the first of several reports
    /// with an invalid one; the last valid one remains.
    pub(super) fn set_rate(&mut self, rate: u16) -> bool {
        let was_invalid = self.rate_invalid;
        self.rate_invalid = !is_valid(rate);
        if !self.rate_invalid {
            self.rate = rate;
        }
        was_invalid || !self.rate_invalid
    }

    /// Returns whether the side is connected, accepts tasks and has reported
    /// within [`MAX_SILENCE`].
    pub(super) fn is_available(&self, now: Duration) -> bool {
        let accepting = self.status.is_some_and(|status| status.accepting);
        self.link == Link::Up && accepting && now.saturating_sub(self.last_received) <= MAX_SILENCE
    }

    /// Returns whether the side is available and its upstream not ejected.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        self.is_available(now) && !self.is_ejected(now)
    }

    /// Returns whether the side takes orders, as far as they depend on the renewals that
    /// it has got.
    pub(super) fn takes_orders(&self, now: Duration) -> bool {
        now < self.orders_until
    }

    /// Returns whether an echo is due before its interval is over: it has the first renewal
    /// for the side's process. Later ones keep the interval, in which an entry that resumes
    /// hears of jobs that others hold.
    pub(super) fn needs_renewal(&self) -> bool {
        self.renewed_at == 0 && self.before_passed > 0
    }

    /// Records that a renewal is sent, by which the side takes orders until
    /// `orphan_timeout` later on its own clock. If it took none before, returns for how
    /// long.
    pub(super) fn record_renewal(
        &mut self,
        now: Duration,
        renewed_at: u64,
        orphan_timeout: Duration,
    ) -> Option<Duration> {
        let lag = now.checked_sub(self.orders_until);
        let clock = self.status.map_or(0, |status| status.clock);
        let age = Duration::from_millis(clock.saturating_sub(renewed_at));
        let until = (self.last_received + orphan_timeout).saturating_sub(age);
        self.renewed_at = renewed_at;
        self.orders_until = self.orders_until.max(until);
        lag.filter(|_| self.takes_orders(now))
    }

    /// Returns whether the upstream serves a service and has a label, if given.
    pub(super) fn serves(&self, service: &str, label: Option<&str>) -> bool {
        let Some(host) = &self.upstream else {
            return false;
        };
        let tagged = |label| host.labels.iter().any(|own| own == label);
        host.service == service && label.is_none_or(tagged)
    }

    /// Returns whether the upstream is ejected and no probe run is due.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejection
            .is_some_and(|ejection| ejection.probing || now < ejection.until)
    }

    pub(super) fn report(&mut self, now: Duration, status: Status) {
        self.last_received = now;
        while self
            .in_flight
            .front()
            .is_some_and(|(number, _)| *number <= status.received)
        {
            self.in_flight.pop_front();
        }
        self.status = Some(status);
        self.room = self
            .in_flight
            .iter()
            .fold(status.free, |room, (_, need)| room.minus(*need));
    }

    /// Records that a run was sent. The side's reports already deduct the needs
    /// of a run that it `claimed`.
    pub(super) fn record_start(&mut self, need: Need, claimed: bool) {
        self.sent_runs += 1;
        if !claimed {
            self.in_flight.push_back((self.sent_runs, need));
            self.room = self.room.minus(need);
        }
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = true;
        }
    }

    pub(super) fn reconnect(&mut self, now: Duration) {
        self.link = Link::Joining;
        self.last_received = now;
        self.liveness = Liveness::new(now);
        self.sent_runs = 0;
        self.in_flight.clear();
        self.status = None;
        self.room = Need::default();
        self.echoed = 0;
    }

    /// Records a successful run whose run time was `ratio` times its estimate;
    /// returns whether the upstream was ejected before.
    pub(super) fn record_success(&mut self, ratio: f64) -> bool {
        self.failures = 0;
        self.unanswered = 0;
        let readmitted = self.ejection.take().is_some();
        self.slowness += (ratio - self.slowness) * RUN_WEIGHT;
        readmitted
    }

    /// Records a failure that the upstream may have caused; returns whether the
    /// upstream is newly ejected.
    pub(super) fn record_failure(&mut self, now: Duration, allowed: bool) -> bool {
        self.failures += 1;
        let over_limit = self.failures >= FAILURES_TO_EJECT || self.ejection.is_some();
        over_limit && self.eject(now, allowed)
    }

    /// Records an unanswered start order; returns whether the upstream is newly
    /// ejected.
    pub(super) fn record_unanswered(&mut self, now: Duration, allowed: bool) -> bool {
        self.unanswered += 1;
        let over_limit = self.unanswered >= UNANSWERED_TO_EJECT || self.ejection.is_some();
        over_limit && self.eject(now, allowed)
    }

    pub(super) fn eject(&mut self, now: Duration, allowed: bool) -> bool {
        if !allowed && self.ejection.is_none() {
            return false;
        }
        let still_ejected = self
            .ejection
            .is_some_and(|ejection| now < ejection.until && !ejection.probing);
        if still_ejected {
            return false;
        }
        let duration = self.ejection.map_or(MIN_EJECTION, |ejection| {
            (ejection.duration * 2).min(MAX_EJECTION)
        });
        self.ejection = Some(Ejection {
            until: now + duration,
            duration,
            probing: false,
        });
        true
    }

    /// Records that a probe run ended without a result.
    pub(super) fn cancel_probe(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = false;
        }
    }
}

/// Changes of an upstream's ejection through a successful run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Transition {
    /// The upstream is ejected because it is too slow.
    pub(super) ejected: bool,
    /// The upstream was ejected and is in use again.
    pub(super) readmitted: bool,
}

/// All sides that are or were connected, until their runs have expired.
#[derive(Debug, Default)]
pub struct Fleet {
    sides: BTreeMap<Key, Side>,
    /// Moving average of run time divided by estimate, over all sides; 0 before
    /// the first run.
    pub(super) mean_slowness: f64,
    /// Moving average of the run time over all sides, in milliseconds.
    pub(super) mean_run_ms: f64,
    /// Processor of this entry, in thousandths of a core; 0 if it is unknown.
    processor: u32,
    speeds: BTreeMap<String, Speeds>,
    speeds_reviewed_at: Duration,
}

/// Speeds of a service's hosts, as multiples of the usual.
#[derive(Debug, Clone, Copy)]
pub(super) struct Speeds {
    /// Mean of the available hosts, weighted by their processors.
    pub(super) mean: f64,
    /// Highest.
    pub(super) fastest: f64,
    /// Whether all are equal, so that speed decides nothing.
    pub(super) uniform: bool,
}

impl Default for Speeds {
    fn default() -> Self {
        Self {
            mean: 1.0,
            fastest: 1.0,
            uniform: true,
        }
    }
}

/// The end of a run, as far as it says something about the host's speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timed {
    pub(super) job: u64,
    /// Run time divided by estimate.
    pub(super) ratio: f64,
    /// Run time, in milliseconds.
    pub(super) spent: u32,
    /// Whether the run was late; `None` if that is not the host's doing.
    pub(super) late: Option<bool>,
}

impl Fleet {
    pub(super) fn get(&self, key: Key) -> Option<&Side> {
        self.sides.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: Key) -> Option<&mut Side> {
        self.sides.get_mut(&key)
    }

    pub(super) fn insert(&mut self, key: Key, side: Side) {
        self.sides.insert(key, side);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Side> {
        self.sides.remove(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Key, &Side)> {
        self.sides.iter().map(|(key, side)| (*key, side))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Side)> {
        self.sides.iter_mut().map(|(key, side)| (*key, side))
    }

    /// Returns whether this upstream may be ejected: at least half of a
    /// service's available upstreams stay in use, since a fault that affects
    /// more of them has another cause.
    pub(super) fn may_eject(&self, now: Duration, key: Key) -> bool {
        let Some(service) = self.service(key) else {
            return false;
        };
        let same = self
            .sides
            .iter()
            .filter(|(_, side)| side.is_available(now))
            .filter(|(key, _)| self.service(**key) == Some(service));
        let (mut all, mut ejected) = (0, 0);
        for (_, side) in same {
            all += 1;
            ejected += usize::from(side.ejection.is_some());
        }
        (ejected + 1) * 2 <= all
    }

    pub(super) fn service(&self, key: Key) -> Option<&str> {
        let upstream = self.get(key)?.upstream.as_ref()?;
        Some(&upstream.service)
    }

    /// Updates the averages with a successful run.
    pub(super) fn record_run(&mut self, now: Duration, key: Key, run: Timed) -> Transition {
        let speed = self.get(key).map_or(1.0, Side::speed);
        let (ratio, spent) = (run.ratio, run.spent);
        if self.mean_slowness == 0.0 {
            self.mean_slowness = ratio * speed;
            self.mean_run_ms = spent.into();
        }
        self.mean_run_ms += (f64::from(spent) - self.mean_run_ms) * RUN_WEIGHT / 4.0;
        self.mean_slowness += (ratio * speed - self.mean_slowness) * RUN_WEIGHT / 4.0;
        let Some(side) = self.get_mut(key) else {
            return Transition::default();
        };
        let readmitted = side.record_success(ratio);
        let ejected = self.record_lateness(now, key, run.job, run.late);
        Transition {
            ejected,
            readmitted: readmitted && !ejected,
        }
    }

    /// Records whether a run was late; returns whether the upstream is newly ejected
    /// for its slowness.
    pub(super) fn record_lateness(
        &mut self,
        now: Duration,
        key: Key,
        job: u64,
        late: Option<bool>,
    ) -> bool {
        let (Some(late), Some(side)) = (late, self.get_mut(key)) else {
            return false;
        };
        side.lateness.record(job, late);
        if !late || !side.lateness.is_slow() {
            return false;
        }
        let allowed = self.may_eject(now, key);
        self.get_mut(key)
            .is_some_and(|side| side.eject(now, allowed))
    }

    /// Returns [`Lateness::is_suspect`] of an upstream.
    pub(super) fn is_suspect(&self, key: Key) -> bool {
        let side = self.get(key);
        side.is_some_and(|side| side.lateness.is_suspect())
    }

    /// Sums up the rates of all sides, if that is due.
    pub(super) fn review_speeds(&mut self, now: Duration) {
        if now.saturating_sub(self.speeds_reviewed_at) < RATE_REVIEW_INTERVAL {
            return;
        }
        self.speeds_reviewed_at = now;
        // By service: processors, processors at their rates, lowest and highest rate.
        let mut sums: BTreeMap<&str, (f64, f64, u16, u16)> = BTreeMap::new();
        for side in self.sides.values().filter(|side| side.is_available(now)) {
            let Some(upstream) = &side.upstream else {
                continue;
            };
            let cpu = f64::from(upstream.capacity.cpu);
            let rate = side.rate;
            let sum = sums
                .entry(&upstream.service)
                .or_insert((0.0, 0.0, rate, rate));
            sum.0 += cpu;
            sum.1 += cpu * side.speed();
            sum.2 = sum.2.min(rate);
            sum.3 = sum.3.max(rate);
        }
        let speeds = sums
            .into_iter()
            .map(|(service, (cpu, at_rate, least, most))| {
                let speeds = Speeds {
                    mean: if cpu > 0.0 { at_rate / cpu } else { 1.0 },
                    fastest: f64::from(most) / f64::from(USUAL_RATE),
                    uniform: least == most,
                };
                (service.to_owned(), speeds)
            });
        self.speeds = speeds.collect();
    }

    /// Returns the speeds of a service's hosts.
    pub(super) fn speeds(&self, service: &str) -> Speeds {
        self.speeds.get(service).copied().unwrap_or_default()
    }
}

/// Longest interval between two echoes: a third of the shortest time without
/// messages after which a side stops an entry's runs.
const MAX_ECHO_INTERVAL: Duration = Duration::from_millis(200);

/// Number of sides above which the echo interval grows, so that the number of
/// echoes per second stays constant.
const SIDES_AT_FULL_RATE: u32 = 100;

/// Share of the silence after which a connection is replaced that less frequent
/// echoes and the lateness of the loop may take together, in percent.
const THIN_ECHO_PERCENT: u32 = 90;

/// Processor time that an entry spends on one report, in microseconds.
const REPORT_COST_US: u32 = 20;

/// Part of an entry's processor that reports may take: one in this many.
const REPORT_PROCESSOR_PART: u32 = 4;

impl Fleet {
    /// Sets this entry's processor, in thousandths of a core.
    pub(super) fn set_processor(&mut self, processor: u32) {
        self.processor = processor;
    }

    /// Returns the shortest interval between two reports of the same side that this
    /// entry can keep up with, in milliseconds; 0 if its processor is unknown.
    pub(super) fn report_interval_ms(&self) -> u16 {
        let sides = u32::try_from(self.sides.len()).unwrap_or(u32::MAX);
        let spent_us = sides.saturating_mul(REPORT_COST_US * REPORT_PROCESSOR_PART);
        // The processor in thousandths of a core is what it does in a millisecond,
        // in microseconds.
        let interval_ms = spent_us.checked_div(self.processor).unwrap_or_default();
        u16::try_from(interval_ms).unwrap_or(u16::MAX)
    }

    /// Returns the interval between two echoes to the same side while the loop is
    /// late by `lateness`. It is never shorter than usual.
    pub(super) fn thin_echo_interval(&self, max_silence: Duration, lateness: Duration) -> Duration {
        let left = (max_silence * THIN_ECHO_PERCENT / 100).saturating_sub(lateness);
        left.min(MAX_ECHO_INTERVAL).max(self.echo_interval())
    }

    /// Records that a barrier is sent. Returns false if no side has reported since the
    /// last one.
    pub(super) fn send_barrier(&mut self) -> bool {
        let mut has_changed = false;
        for side in self.sides.values_mut() {
            let clock = side.status.map_or(0, |status| status.clock);
            has_changed |= std::mem::replace(&mut side.before_sent, clock) != clock;
        }
        has_changed
    }

    /// Records that the barrier that was sent last has passed.
    pub(super) fn pass_barrier(&mut self) {
        for side in self.sides.values_mut() {
            side.before_passed = side.before_passed.max(side.before_sent);
        }
    }

    /// Makes the echoes to all sides due, also to those that have not reported since.
    pub(super) fn expedite_echoes(&mut self) {
        for side in self.sides.values_mut() {
            side.last_echo_at = Duration::ZERO;
            side.echoed = 0;
        }
    }

    /// Returns the interval between two echoes to the same side.
    pub(super) fn echo_interval(&self) -> Duration {
        let sides = u32::try_from(self.sides.len()).unwrap_or(u32::MAX);
        let interval = MAX_REPORT_INTERVAL * 4 / 5;
        let scaled = interval.saturating_mul(sides.max(SIDES_AT_FULL_RATE)) / SIDES_AT_FULL_RATE;
        scaled.min(MAX_ECHO_INTERVAL)
    }
}
