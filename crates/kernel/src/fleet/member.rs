//! The entry's view of one side.

use super::{Pool, Position};
use std::time::Duration;
use wire::{
    frame::{Load, Offer},
    id::Incarnation,
};

/// Resolution of the free share of a side's capacity.
const FREE_SHARE_LEVELS: usize = 64;

/// Duration of a side's first ejection; each further one takes twice as long.
const MIN_EJECTION: Duration = Duration::from_secs(4);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Slots in use at first after a side has connected or been allowed again.
const RAMP_START: u16 = 2;

/// State of the connection to a side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Connected; its handover has not arrived yet.
    Joining,
    /// Connected, and its handover has arrived.
    Up,
    /// Lost at this time; may still reconnect.
    Lost(Duration),
}

/// A side and its state at this entry.
#[derive(Debug)]
pub struct Member {
    /// Name, unique in the environment.
    pub name: String,
    /// Incarnation of the last connection.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: String,
    /// Rack, as the side reports it; may be empty.
    pub rack: String,
    /// Service, request kinds and slots of its upstream; empty before the first
    /// offer.
    pub offer: Offer,
    /// State of the connection.
    pub link: Link,
    /// Time at which the last frame was received from it.
    pub last_received: Duration,
    /// Its clock at its last heartbeat on this connection, in milliseconds since
    /// the Unix epoch; 0 before the first.
    pub clock: u64,
    /// Load from all entries at its last report.
    pub reported: Load,
    /// Tasks of other entries, estimated from the last report.
    pub other_tasks: u16,
    /// Tasks that this entry has placed there and that have not ended.
    pub own_tasks: u16,
    /// Whether the document in force allows tasks there.
    pub allowed: bool,
    /// Whether the side or its upstream takes no more tasks.
    pub leaving: bool,
    /// Whether the side would start a task: as in its last heartbeat, or false
    /// after a later refusal.
    pub ready: bool,
    /// Consecutive failures.
    pub failures: u16,
    /// End of the ejection, if the side is ejected.
    pub ejected_until: Option<Duration>,
    next_ejection: Duration,
    ramp: u16,
    pub(super) pool: Option<Pool>,
    pub(super) eligible_index: Option<usize>,
    pub(super) position: Option<Position>,
}

impl Link {
    /// Returns whether frames can be sent.
    pub fn is_connected(self) -> bool {
        matches!(self, Self::Joining | Self::Up)
    }
}

impl Member {
    /// Creates the state of a side that has just connected.
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
            next_ejection: MIN_EJECTION,
            ramp: RAMP_START,
            pool: None,
            eligible_index: None,
            position: None,
        }
    }

    /// Returns whether tasks may be placed there now.
    pub fn is_eligible(&self) -> bool {
        self.link == Link::Up && self.is_present() && self.ready && self.ejected_until.is_none()
    }

    /// Returns whether the side is connected, allowed and not leaving, even if no
    /// task may be placed there at the moment.
    pub fn is_present(&self) -> bool {
        self.link.is_connected() && self.allowed && !self.leaving && self.offer.slots > 0
    }

    /// Returns whether the side's upstream serves the request kind.
    pub fn serves(&self, service: &str, kind: &str) -> bool {
        self.offer.service == service && self.offer.kinds.iter().any(|other| other == kind)
    }

    /// Returns the number of free slots within the ramp.
    pub fn free(&self) -> u16 {
        self.capacity()
            .saturating_sub(self.other_tasks + self.own_tasks)
    }

    fn capacity(&self) -> u16 {
        self.offer.slots.min(self.ramp)
    }

    /// Returns the free share of the capacity, in parts of [`FREE_SHARE_LEVELS`], rounded up.
    pub(super) fn level(&self) -> usize {
        let free = usize::from(self.free()) * FREE_SHARE_LEVELS;
        free.div_ceil(usize::from(self.capacity()).max(1))
    }

    pub(super) fn reset_ramp(&mut self) {
        self.ramp = RAMP_START;
    }

    /// Records a success, which raises the ramp by one slot.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.next_ejection = MIN_EJECTION;
        self.ramp = self.ramp.saturating_add(1);
    }

    /// Records a failure; returns true if the side is ejected now. That takes
    /// `threshold` consecutive failures, or one after an earlier ejection
    /// without a success since.
    pub(super) fn failed(&mut self, now: Duration, threshold: u16, may_eject: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_suspect = self.failures >= threshold || self.next_ejection > MIN_EJECTION;
        if !is_suspect || !may_eject || self.ejected_until.is_some() {
            return false;
        }
        self.ejected_until = Some(now + self.next_ejection);
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
        true
    }

    /// Ends an ejection whose time has passed and makes one slot available.
    /// Returns whether the side is not ejected.
    pub(super) fn end_ejection(&mut self, now: Duration) -> bool {
        let over = self.ejected_until.is_none_or(|until| until <= now);
        if over {
            self.ejected_until = None;
            self.ramp = 1;
        }
        over
    }

    /// Raises the ramp to all of the side's slots.
    pub(super) fn skip_ramp(&mut self) {
        self.ramp = self.ramp.max(self.offer.slots);
    }
}
