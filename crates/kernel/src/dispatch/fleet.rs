//! The sides that the entry knows, and what it believes of their upstreams.

use crate::guard::MAX_REPORT_INTERVAL;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use wire::{
    id::Incarnation,
    lease::{Need, Run, Status, Upstream},
};

/// Identifies a side within one entry.
pub type Key = Incarnation;

/// Silence after which nothing is placed at a side: three heartbeats.
const QUIET: Duration = Duration::from_millis(300);

/// Failures in a row after which an upstream is put aside.
const FAILURES: u32 = 2;

/// Orders in a row without an answer after which an upstream is put aside:
/// where one in ten is lost everywhere, two in a row say nothing.
const UNANSWERED: u32 = 4;

/// First and longest time aside; doubles from one to the other.
const ASIDE_FIRST: Duration = Duration::from_secs(1);
const ASIDE_LONGEST: Duration = Duration::from_secs(2);

/// Weight of one run in the learnt slowness of a side.
const RUN_WEIGHT: f64 = 0.15;

/// Slowness against the mean from which an upstream is put aside.
const TOO_SLOW: f64 = 2.5;

/// State of the connection to a side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// Connected; what it holds is not yet known.
    Joining,
    /// Connected.
    Up,
    /// Lost.
    Lost,
}

#[derive(Debug)]
pub(super) struct Side {
    pub(super) name: String,
    pub(super) domain: String,
    pub(super) link: Link,
    pub(super) heard: Duration,
    pub(super) upstream: Option<Upstream>,
    pub(super) status: Option<Status>,
    /// Runs sent on this connection.
    pub(super) sent: u32,
    /// Starts that no status covers yet.
    flight: VecDeque<(u32, Need)>,
    pub(super) runs: BTreeSet<Run>,
    /// Ends up to this number were taken.
    pub(super) ended: u64,
    /// The side's clock that was last echoed.
    pub(super) echoed: u64,
    pub(super) echo_at: Duration,
    /// Run time against the estimate, over recent runs.
    pub(super) slowness: f64,
    failures: u32,
    unanswered: u32,
    ejected: Option<Ejection>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Duration,
    pause: Duration,
    /// Whether one run is under way to see whether the upstream is well again.
    probing: bool,
}

impl Side {
    pub(super) fn new(name: &str, domain: &str, now: Duration) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            link: Link::Joining,
            heard: now,
            upstream: None,
            status: None,
            sent: 0,
            flight: VecDeque::new(),
            runs: BTreeSet::new(),
            ended: 0,
            echoed: 0,
            echo_at: Duration::ZERO,
            slowness: 1.0,
            failures: 0,
            unanswered: 0,
            ejected: None,
        }
    }

    /// Returns the room that is left after what was sent.
    pub(super) fn room(&self) -> Need {
        let Some(status) = &self.status else {
            return Need::default();
        };
        self.flight
            .iter()
            .fold(status.free, |room, (_, need)| room.minus(*need))
    }

    /// Returns all that the host has.
    pub(super) fn capacity(&self) -> Need {
        let upstream = self.upstream.as_ref();
        upstream.map_or_else(Need::default, |known| known.capacity)
    }

    /// Returns whether tasks may be placed here.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        let accepting = self.status.is_some_and(|status| status.accepting);
        self.link == Link::Up && accepting && now.saturating_sub(self.heard) <= QUIET
    }

    /// Returns whether the upstream is put aside, and no probe is due.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected
            .is_some_and(|ejected| ejected.probing || now < ejected.until)
    }

    pub(super) fn report(&mut self, now: Duration, status: Status) {
        self.heard = now;
        while self
            .flight
            .front()
            .is_some_and(|(number, _)| *number <= status.received)
        {
            self.flight.pop_front();
        }
        self.status = Some(status);
    }

    /// Records that a run was sent; the side's reports count the room of one
    /// that it claimed already.
    pub(super) fn launch(&mut self, need: Need, claimed: bool) {
        self.sent += 1;
        if !claimed {
            self.flight.push_back((self.sent, need));
        }
        if let Some(ejected) = &mut self.ejected {
            ejected.probing = true;
        }
    }

    pub(super) fn reconnect(&mut self, now: Duration) {
        self.link = Link::Joining;
        self.heard = now;
        self.sent = 0;
        self.flight.clear();
        self.status = None;
        self.echoed = 0;
    }

    /// Records a success; returns whether the upstream was put aside before.
    pub(super) fn succeeded(&mut self, ratio: f64) -> bool {
        self.failures = 0;
        self.unanswered = 0;
        let readmitted = self.ejected.take().is_some();
        self.slowness += (ratio - self.slowness) * RUN_WEIGHT;
        readmitted
    }

    /// Records a failure that may be the upstream's; returns whether it is put
    /// aside now.
    pub(super) fn failed(&mut self, now: Duration, may: bool) -> bool {
        self.failures += 1;
        let enough = self.failures >= FAILURES || self.ejected.is_some();
        enough && self.eject(now, may)
    }

    /// Records an order without an answer; returns whether the upstream is put
    /// aside now.
    pub(super) fn unanswered(&mut self, now: Duration, may: bool) -> bool {
        self.unanswered += 1;
        let enough = self.unanswered >= UNANSWERED || self.ejected.is_some();
        enough && self.eject(now, may)
    }

    pub(super) fn eject(&mut self, now: Duration, may: bool) -> bool {
        if !may && self.ejected.is_none() {
            return false;
        }
        let waits = self
            .ejected
            .is_some_and(|ejected| now < ejected.until && !ejected.probing);
        if waits {
            return false;
        }
        let pause = self.ejected.map_or(ASIDE_FIRST, |ejected| {
            (ejected.pause * 2).min(ASIDE_LONGEST)
        });
        self.ejected = Some(Ejection {
            until: now + pause,
            pause,
            probing: false,
        });
        true
    }

    /// Records that a probe has ended without telling anything.
    pub(super) fn probe_void(&mut self) {
        if let Some(ejected) = &mut self.ejected {
            ejected.probing = false;
        }
    }
}

/// What a run that succeeded has changed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Learnt {
    /// The upstream is put aside as too slow.
    pub(super) ejected: bool,
    /// The upstream was put aside and is used again.
    pub(super) readmitted: bool,
}

/// All sides that the entry knows.
#[derive(Debug, Default)]
pub struct Fleet {
    sides: BTreeMap<Key, Side>,
    /// Run time against the estimate, over recent runs of all sides.
    pub(super) mean: f64,
    /// Run time, over recent runs of all sides, in milliseconds.
    pub(super) run_ms: f64,
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

    /// Returns whether another upstream may be put aside: at least half of a
    /// service's stay in use, since a fault that hits more is not theirs.
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
            ejected += usize::from(side.ejected.is_some());
        }
        (ejected + 1) * 2 <= all
    }

    pub(super) fn service(&self, key: Key) -> Option<&str> {
        let upstream = self.get(key)?.upstream.as_ref()?;
        Some(&upstream.service)
    }

    /// Learns from a run that succeeded.
    pub(super) fn learn(&mut self, now: Duration, key: Key, ratio: f64, spent: u32) -> Learnt {
        if self.mean == 0.0 {
            self.mean = ratio;
            self.run_ms = spent.into();
        }
        self.run_ms += (f64::from(spent) - self.run_ms) * RUN_WEIGHT / 4.0;
        self.mean += (ratio - self.mean) * RUN_WEIGHT / 4.0;
        let mean = self.mean;
        let may = self.may_eject(now, key);
        let Some(side) = self.get_mut(key) else {
            return Learnt::default();
        };
        let readmitted = side.succeeded(ratio);
        let ejected = side.slowness > mean * TOO_SLOW && side.eject(now, may);
        Learnt {
            ejected,
            readmitted: readmitted && !ejected,
        }
    }
}

/// Longest time between two echoes: a third of the shortest time after which a
/// side stops the runs of an entry that it has not heard.
const ECHO_LONGEST: Duration = Duration::from_millis(200);

/// Sides beyond which echoes become rarer, so that their number a second stays.
const ECHO_SIDES: u32 = 100;

impl Fleet {
    /// Returns the interval at which sides are echoed.
    pub(super) fn echo_interval(&self) -> Duration {
        let sides = u32::try_from(self.sides.len()).unwrap_or(u32::MAX);
        let interval = MAX_REPORT_INTERVAL * 4 / 5;
        let rarer = interval.saturating_mul(sides.max(ECHO_SIDES)) / ECHO_SIDES;
        rarer.min(ECHO_LONGEST)
    }
}
