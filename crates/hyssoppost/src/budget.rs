//! Bounds on what the connections of a listener hold together.
//!
//! Each connection has a [`Share`] of its listener's [`Pool`], which is charged before
//! memory is used. Where the pool is used up, the connection that has been in its stage
//! for longest is closed first, whatever it sends. One whose request is being served is
//! not closed, unless its client doesn't take earlier answers. Stages end by time limits,
//! too. While new connections wait and none can give way, the open ones are closed after
//! their next answers.

mod limits;

pub use limits::{CONNECTION_BYTES, Cause, Limits, Stage};

use crate::logging::Pacer;
use hashbrown::HashMap;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// Most new connections that wait for room in a pool.
const MAX_QUEUED: usize = 16;

/// Longest time that a new connection waits for room.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which overdue connections are closed.
pub const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two reviews that counts as a pause of the process.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);

/// The pool is used up, and no connection can give way.
#[derive(Debug, thiserror::Error)]
#[error("the listener's connections hold all memory that they may")]
pub struct Full;

/// What the connections of a listener hold together.
#[derive(Debug)]
pub struct Pool {
    listener: &'static str,
    state: Mutex<State>,
    /// Notified when memory or a connection becomes free.
    freed: Notify,
    pacer: Pacer,
}

#[derive(Debug)]
struct State {
    limits: Limits,
    holders: HashMap<u64, Holder>,
    next_number: u64,
    /// New connections without a share yet, and those of them for which none gives way.
    queued: usize,
    stuck: usize,
    bytes: usize,
    /// Connections told to close that are still open, and their memory.
    closing: usize,
    closing_bytes: usize,
    /// Connections closed or refused since the last log line.
    unlogged: u64,
    reviewed_at: Instant,
    was_paused: bool,
}

#[derive(Debug)]
struct Holder {
    stage: Stage,
    since: Instant,
    /// When bytes were last read or written.
    moved: Instant,
    /// Since when the client takes no bytes of an answer that waits for it.
    blocked: Option<Instant>,
    bytes: usize,
    is_closing: bool,
    closed: Arc<Notify>,
}

impl Holder {
    /// Returns since when the connection has waited for its client; `None` if it is the
    /// client that waits.
    fn waits_since(&self) -> Option<Instant> {
        match self.stage {
            Stage::Serving => self.blocked,
            Stage::Idle | Stage::Head | Stage::Body | Stage::Answer => Some(self.since),
        }
    }

    /// Returns why the connection has to be closed by now, if it has.
    fn overdue(&self, now: Instant, limits: &Limits) -> Option<Cause> {
        let stage_time = now - self.since;
        let is_still = now - self.moved > limits.idle_timeout;
        match self.stage {
            Stage::Head if stage_time > limits.header_timeout => Some(Cause::HeaderTime),
            Stage::Body if stage_time > limits.body_timeout => Some(Cause::BodyTime),
            Stage::Idle | Stage::Body | Stage::Answer if is_still => Some(Cause::IdleTime),
            Stage::Serving if is_still && self.blocked.is_some() => Some(Cause::IdleTime),
            Stage::Idle | Stage::Head | Stage::Body | Stage::Serving | Stage::Answer => None,
        }
    }
}

impl State {
    /// Returns whether a connection may hold `bytes` more; a new one if `is_new`. One
    /// that is alone may exceed the bound: its answer would fit at no time.
    fn fits(&self, bytes: usize, is_new: bool) -> bool {
        let connections = self.holders.len() + usize::from(is_new);
        let is_alone = connections == 1;
        connections <= self.limits.connections
            && (self.bytes + bytes <= self.limits.bytes || is_alone)
    }

    /// Closes connections until there is room for `bytes` once they are gone. Returns
    /// false if no other connection than `number` may be closed for that.
    fn make_room(&mut self, listener: &str, number: Option<u64>, bytes: usize) -> bool {
        let new = usize::from(number.is_none());
        loop {
            let connections = self.holders.len() - self.closing + new;
            let held = self.bytes - self.closing_bytes + bytes;
            if connections <= self.limits.connections && held <= self.limits.bytes {
                return true;
            }
            match self.longest_in_stage() {
                Some(other) if number != Some(other) => self.close(listener, other, Cause::Room),
                Some(_) | None => return false,
            }
        }
    }

    fn longest_in_stage(&self) -> Option<u64> {
        let open = self.holders.iter().filter(|(_, holder)| !holder.is_closing);
        let waiting = open.filter_map(|(number, holder)| Some((holder.waits_since()?, *number)));
        waiting.min().map(|(_, number)| number)
    }

    fn close(&mut self, listener: &str, number: u64, cause: Cause) {
        let Some(holder) = self.holders.get_mut(&number) else {
            return;
        };
        if holder.is_closing {
            return;
        }
        holder.is_closing = true;
        self.closing += 1;
        self.closing_bytes += holder.bytes;
        holder.closed.notify_one();
        // Clients often leave connections open that they have no more use for.
        let is_ordinary = holder.stage == Stage::Idle && cause == Cause::IdleTime;
        self.unlogged += u64::from(!is_ordinary);
        count(
            "hyssoppost_connections_closed_total",
            listener,
            cause.name(),
        );
    }

    /// Returns whether the process was paused before this review. What clients have sent
    /// meanwhile is not read yet, so no time limit applies until the next review.
    fn record_review(&mut self, now: Instant) -> bool {
        let gap = now - std::mem::replace(&mut self.reviewed_at, now);
        self.was_paused = gap >= MIN_PAUSE && !self.was_paused;
        self.was_paused
    }

    /// Changes a connection's memory by what `change` makes of it.
    fn set_bytes(&mut self, number: u64, change: impl FnOnce(usize) -> usize) {
        let Some(holder) = self.holders.get_mut(&number) else {
            return;
        };
        let before = holder.bytes;
        holder.bytes = change(before);
        self.bytes = self.bytes - before + holder.bytes;
        if holder.is_closing {
            self.closing_bytes = self.closing_bytes - before + holder.bytes;
        }
    }
}

fn count(metric: &'static str, listener: &str, cause: &'static str) {
    metrics::counter!(metric, "listener" => listener.to_owned(), "cause" => cause).increment(1);
}

impl Pool {
    /// Makes the pool of a listener, whose name logs and metrics carry.
    pub fn new(listener: &'static str, limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            listener,
            state: Mutex::new(State {
                limits,
                holders: HashMap::new(),
                next_number: 0,
                queued: 0,
                stuck: 0,
                bytes: 0,
                closing: 0,
                closing_bytes: 0,
                unlogged: 0,
                reviewed_at: Instant::now(),
                was_paused: false,
            }),
            freed: Notify::new(),
            pacer: Pacer::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.lock().limits
    }

    /// Replaces the limits, also for the open connections.
    pub fn set_limits(&self, limits: Limits) {
        self.lock().limits = limits;
    }

    /// Returns whether any connection is open.
    pub fn is_empty(&self) -> bool {
        self.lock().holders.is_empty()
    }

    /// Takes a new connection's share if there is room.
    pub fn admit(self: &Arc<Self>) -> Option<Share> {
        let mut state = self.lock();
        let has_room = state.queued == 0 && state.fits(CONNECTION_BYTES, true);
        has_room.then(|| self.insert(&mut state))
    }

    /// Adds a connection, for which there is room.
    fn insert(self: &Arc<Self>, state: &mut State) -> Share {
        let closed = Arc::new(Notify::new());
        let now = Instant::now();
        let holder = Holder {
            stage: Stage::Idle,
            since: now,
            moved: now,
            blocked: None,
            bytes: CONNECTION_BYTES,
            is_closing: false,
            closed: closed.clone(),
        };
        state.bytes += CONNECTION_BYTES;
        state.next_number += 1;
        state.holders.insert(state.next_number, holder);
        Share {
            pool: self.clone(),
            number: state.next_number,
            closed,
        }
    }

    /// Takes a place among the new connections that wait for room. `None` if too many do
    /// and no connection gives way.
    pub async fn queue(self: &Arc<Self>) -> Option<Place> {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            {
                let mut state = self.lock();
                if state.queued < MAX_QUEUED {
                    state.queued += 1;
                    return Some(Place {
                        pool: self.clone(),
                        is_stuck: false,
                    });
                }
                if state.stuck > 0 {
                    return None;
                }
            }
            freed.await;
        }
    }

    /// Charges `bytes` to the open connection `number`, or to a new one, once there is room.
    /// `take` is called with the state as soon as there is. `on_full` decides whether to wait
    /// if no connection can give way.
    async fn charge<T>(
        &self,
        number: Option<u64>,
        bytes: usize,
        take: impl Fn(&mut State) -> T,
        mut on_full: impl FnMut(&mut State) -> Result<(), Full>,
    ) -> Result<T, Full> {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            // From here on no notification is missed.
            freed.as_mut().enable();
            {
                let mut state = self.lock();
                if state.fits(bytes, number.is_none()) {
                    return Ok(take(&mut state));
                }
                if !state.make_room(self.listener, number, bytes) {
                    on_full(&mut state)?;
                }
            }
            freed.await;
        }
    }

    /// Closes the connection that has been in its stage for longest, to free a
    /// descriptor.
    pub fn shed(&self) {
        let mut state = self.lock();
        if let Some(number) = state.longest_in_stage() {
            state.close(self.listener, number, Cause::Room);
        }
    }

    /// Counts a connection or a body that was refused.
    pub fn record_refusal(&self, cause: &'static str) {
        self.lock().unlogged += 1;
        count("hyssoppost_requests_refused_total", self.listener, cause);
    }

    /// Closes the connections whose stages take too long, and reports what was closed.
    /// To be called every [`REVIEW_INTERVAL`].
    pub fn review(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let limits = state.limits;
        let overdue: Vec<(u64, Cause)> = if state.record_review(now) {
            Vec::new()
        } else {
            let holders = state.holders.iter();
            holders
                .filter_map(|(number, holder)| Some((*number, holder.overdue(now, &limits)?)))
                .collect()
        };
        for (number, cause) in overdue {
            state.close(self.listener, number, cause);
        }
        let (connections, bytes) = (state.holders.len(), state.bytes);
        let is_due = state.unlogged > 0 && self.pacer.is_due();
        let unlogged = if is_due {
            std::mem::take(&mut state.unlogged)
        } else {
            0
        };
        drop(state);
        let labels = [("listener", self.listener)];
        metrics::gauge!("hyssoppost_connections", &labels).set(crate::meter::count(connections));
        metrics::gauge!("hyssoppost_connection_bytes", &labels).set(crate::meter::count(bytes));
        if unlogged > 0 {
            log::warn!(
                "event=clients_shed listener={} count={unlogged} connections={connections} bytes={bytes}",
                self.listener
            );
        }
    }
}

/// A new connection's place in the queue for a share.
#[derive(Debug)]
pub struct Place {
    pool: Arc<Pool>,
    is_stuck: bool,
}

impl Place {
    /// Waits for a share, for a moment if no connection can give way.
    pub async fn wait(mut self) -> Result<Share, Full> {
        let pool = self.pool.clone();
        let insert = |state: &mut State| pool.insert(state);
        let wait = |state: &mut State| {
            state.stuck += usize::from(!std::mem::replace(&mut self.is_stuck, true));
            Ok(())
        };
        let admitted = pool.charge(None, CONNECTION_BYTES, insert, wait);
        timeout(QUEUE_TIMEOUT, admitted).await.unwrap_or(Err(Full))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        state.queued -= 1;
        state.stuck -= usize::from(self.is_stuck);
        drop(state);
        self.pool.freed.notify_waiters();
    }
}

/// A connection's share of a pool, returned when it is dropped.
#[derive(Debug)]
pub struct Share {
    pool: Arc<Pool>,
    number: u64,
    closed: Arc<Notify>,
}

impl Share {
    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.pool.limits()
    }

    /// Returns what the connection is doing.
    pub fn stage(&self) -> Stage {
        let state = self.pool.lock();
        let holder = state.holders.get(&self.number);
        holder.map_or(Stage::Idle, |holder| holder.stage)
    }

    /// Begins a stage.
    pub fn enter(&self, stage: Stage) {
        if let Some(holder) = self.pool.lock().holders.get_mut(&self.number) {
            holder.stage = stage;
            holder.since = Instant::now();
            holder.moved = holder.since;
        }
    }

    /// Records that bytes were read.
    pub fn record_read(&self) {
        if let Some(holder) = self.pool.lock().holders.get_mut(&self.number) {
            holder.moved = Instant::now();
        }
    }

    /// Records an attempt to write; the client takes no bytes if it is `blocked`.
    pub fn record_write(&self, blocked: bool) {
        if let Some(holder) = self.pool.lock().holders.get_mut(&self.number) {
            if !blocked {
                holder.moved = Instant::now();
                holder.blocked = None;
            } else if holder.blocked.is_none() {
                holder.blocked = Some(Instant::now());
            }
        }
    }

    /// Charges memory before it is used. Waits while connections that give way are
    /// closed.
    pub async fn grow(&self, bytes: usize) -> Result<(), Full> {
        let take = |state: &mut State| state.set_bytes(self.number, |held| held + bytes);
        let on_full = |_: &mut State| Err(Full);
        self.pool
            .charge(Some(self.number), bytes, take, on_full)
            .await
    }

    /// Returns what was charged for a request that has been answered.
    pub fn release(&self) {
        let mut state = self.pool.lock();
        state.set_bytes(self.number, |_| CONNECTION_BYTES);
        drop(state);
        self.pool.freed.notify_waiters();
    }

    /// Returns whether the connection should be closed after its next answer, since new
    /// ones find no room.
    pub fn is_wanted(&self) -> bool {
        self.pool.lock().stuck > 0
    }

    /// Closes the connection.
    pub fn close(&self, cause: Cause) {
        let mut state = self.pool.lock();
        state.close(self.pool.listener, self.number, cause);
    }

    /// Counts a body that was refused.
    pub fn record_refusal(&self, cause: &'static str) {
        self.pool.record_refusal(cause);
    }

    /// Resolves when the connection must be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(holder) = state.holders.remove(&self.number) {
            state.bytes -= holder.bytes;
            if holder.is_closing {
                state.closing -= 1;
                state.closing_bytes -= holder.bytes;
            }
        }
        drop(state);
        self.pool.freed.notify_waiters();
    }
}
