//! One side as an entry knows it.

use super::{Pool, Position};
use std::time::Duration;
use wire::{
    frame::{Load, Offer},
    id::Incarnation,
};

/// Steps in which the free share of a side's capacity is told apart.
const LEVELS: usize = 64;

/// First and longest time for which a side is put aside.
const ASIDE_FIRST: Duration = Duration::from_secs(4);
const ASIDE_LONGEST: Duration = Duration::from_mins(1);

/// Slots that a side gets at first after joining or returning.
const RAMP_START: u16 = 2;

/// Whether a side is connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Connected; has not said yet what it holds.
    Joining,
    /// Connected, and what it holds is known.
    Up,
    /// Lost at the given time; may still reconnect.
    Lost(Duration),
}

/// A side.
#[derive(Debug)]
pub struct Member {
    /// The side's name.
    pub name: String,
    /// The side's incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    pub rack: String,
    /// What it offers.
    pub offer: Offer,
    /// Connection state.
    pub link: Link,
    /// When anything was last heard from it.
    pub last_received: Duration,
    /// Its clock at its last heartbeat, in milliseconds.
    pub clock: u64,
    /// Load at the last report, over all entries.
    pub reported: Load,
    /// Tasks of other entries at the last report.
    pub other_tasks: u16,
    /// Own tasks there now.
    pub own_tasks: u16,
    /// False while the document forbids work there.
    pub allowed: bool,
    /// True while it or its upstream is leaving.
    pub leaving: bool,
    /// False from a refusal until the side says that it would start a task.
    pub ready: bool,
    /// Failures without a success between them.
    pub failures: u16,
    /// End of the time for which it is put aside.
    pub ejected_until: Option<Duration>,
    aside_for: Duration,
    ramp: u16,
    pub(super) pool: Option<Pool>,
    pub(super) ready_at: Option<usize>,
    pub(super) bucket_at: Option<Position>,
}

impl Link {
    /// Returns whether frames can be sent.
    pub fn is_connected(self) -> bool {
        matches!(self, Self::Joining | Self::Up)
    }
}

impl Member {
    /// Describes a side that has just joined.
    pub fn new(name: &str, incarnation: Incarnation, domain: &str, rack: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
            domain: domain.to_owned(),
            rack: rack.to_owned(),
            offer: Offer {
                service: String::new(),
                kinds: Vec::new(),
                slots: 0,
            },
            link: Link::Joining,
            last_received: Duration::ZERO,
            clock: 0,
            reported: Load::default(),
            other_tasks: 0,
            own_tasks: 0,
            allowed: false,
            leaving: false,
            ready: false,
            failures: 0,
            ejected_until: None,
            aside_for: ASIDE_FIRST,
            ramp: RAMP_START,
            pool: None,
            ready_at: None,
            bucket_at: None,
        }
    }

    /// Returns whether new tasks may be sent.
    pub fn is_eligible(&self) -> bool {
        self.link == Link::Up && self.is_present() && self.ready && self.ejected_until.is_none()
    }

    /// Returns whether the side is connected and may get tasks, now or soon.
    pub fn is_present(&self) -> bool {
        self.link.is_connected() && self.allowed && !self.leaving && self.offer.slots > 0
    }

    /// Returns whether the side's upstream answers the request kind.
    pub fn serves(&self, service: &str, kind: &str) -> bool {
        self.offer.service == service && self.offer.kinds.iter().any(|other| other == kind)
    }

    /// Returns how many more tasks the side should take now.
    pub fn free(&self) -> u16 {
        self.capacity()
            .saturating_sub(self.other_tasks + self.own_tasks)
    }

    fn capacity(&self) -> u16 {
        self.offer.slots.min(self.ramp)
    }

    /// Returns the free share of the capacity, in [`LEVELS`], rounded up.
    pub(super) fn level(&self) -> usize {
        let free = usize::from(self.free()) * LEVELS;
        free.div_ceil(usize::from(self.capacity()).max(1))
    }

    pub(super) fn reset_ramp(&mut self) {
        self.ramp = RAMP_START;
    }

    /// Records a success: one more slot, up to all.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.aside_for = ASIDE_FIRST;
        self.ramp = self.ramp.saturating_add(1);
    }

    /// Records a failure; returns true if the side is put aside now, which
    /// takes `enough` failures in a row, or one after a time aside.
    pub(super) fn failed(&mut self, now: Duration, enough: u16, may: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let suspect = self.failures >= enough || self.aside_for > ASIDE_FIRST;
        if !suspect || !may || self.ejected_until.is_some() {
            return false;
        }
        self.ejected_until = Some(now + self.aside_for);
        self.aside_for = (self.aside_for * 2).min(ASIDE_LONGEST);
        true
    }

    /// Ends a time aside that is over, with one slot; returns whether the side
    /// is in use again.
    pub(super) fn probe(&mut self, now: Duration) -> bool {
        let over = self.ejected_until.is_none_or(|until| until <= now);
        if over {
            self.ejected_until = None;
            self.ramp = 1;
        }
        over
    }

    /// Gives the side all of its slots at once.
    pub(super) fn warm(&mut self) {
        self.ramp = self.ramp.max(self.offer.slots);
    }
}
