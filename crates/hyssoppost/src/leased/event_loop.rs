//! The event loop that drives a kernel; both processes for leased tasks run it.

use super::TICK_INTERVAL;
use crate::{
    admin,
    clock::{self, Clock},
    link::{self, Joined},
    mesh::Mesh,
};
use kernel::{
    liveness::SilenceCheck,
    pressure::{MAX_CALLS_BEHIND_FRAMES, MAX_TURN_CALLS, MAX_TURN_EVENTS},
};
use serde_json::Value;
use std::time::Duration;
use tokio::sync::mpsc;
use wire::{Frame, frame::Hello, id::Incarnation, lease};

/// Shortest time that counts as a suspension of the host. Two clocks that are read one
/// after the other may differ by what passes between.
const MIN_SUSPENSION: Duration = Duration::from_millis(1);

/// A process that the event loop drives.
pub(super) trait Process {
    type Event: From<link::Event> + Send + 'static;

    fn mesh(&mut self) -> &mut Mesh<Self::Event>;

    /// Passes an event to the kernel.
    fn handle(&mut self, now: Duration, event: Self::Event);

    /// Records that the host has been suspended for so long; called before what has
    /// arrived since is handled.
    fn record_suspension(&mut self, _lasted: Duration) {}

    /// Updates the kernel after a batch of events.
    fn settle(&mut self, now: Duration);

    /// Returns the delay after which [`Process::settle`] must run even if no
    /// event arrives; `None` if it need not.
    fn settle_delay(&self) -> Option<Duration>;

    /// Runs the periodic work; called every [`TICK_INTERVAL`].
    fn tick(&mut self, now: Duration);

    /// Logs the kernel's events and executes its actions.
    fn execute_actions(&mut self);

    /// Returns the process's state as JSON.
    fn dump(&self, now: Duration) -> Value;

    /// Handles a new connection to a peer.
    fn add_peer(&mut self, now: Duration, peer: &Hello);

    /// Handles the loss of the connection to a peer.
    fn remove_peer(&mut self, peer: &Hello);

    /// Handles a frame from a peer.
    fn frame(&mut self, now: Duration, from: Incarnation, frame: lease::Frame);

    /// Records that bytes have arrived from a peer.
    fn record_bytes(&mut self, now: Duration, from: Incarnation);

    /// Returns the peers whose connections are silent.
    fn silent(&self, now: Duration) -> Vec<Incarnation>;

    /// Handles an event of a connection.
    fn handle_link(&mut self, now: Duration, event: link::Event) {
        match event {
            link::Event::Joined(joined) => self.admit(now, joined),
            link::Event::Frame(number, Frame::Lease(frame)) => {
                if let Some(from) = self.mesh().receive(number) {
                    self.frame(now, from, frame);
                }
            }
            link::Event::Frame(number, _) => {
                log::warn!("event=frame_unexpected connection={number}");
            }
            link::Event::Lost(number) => {
                if let Some(peer) = self.mesh().remove_connection(number) {
                    self.remove_peer(&peer);
                }
            }
        }
    }

    fn admit(&mut self, now: Duration, joined: Joined) {
        let Some(admitted) = self.mesh().admit(joined) else {
            return;
        };
        if admitted.replaces {
            self.remove_peer(&admitted.peer);
        }
        self.add_peer(now, &admitted.peer);
    }

    /// Closes the connections of the silent peers if the `check` is due.
    fn close_silent(&mut self, now: Duration, check: &mut SilenceCheck) {
        for from in self.mesh().take_active() {
            self.record_bytes(now, from);
        }
        if !check.is_due(now) {
            return;
        }
        for incarnation in self.silent(now) {
            if let Some(peer) = self.mesh().close(incarnation, "silent") {
                self.remove_peer(&peer);
            }
        }
    }
}

/// Runs a process until all senders of its events are dropped.
///
/// A turn handles frames and completions, then the periodic work if it is due,
/// then some of the `calls`. Renewals, acknowledgements and results thus never wait
/// for more new work than [`MAX_TURN_CALLS`], and the periodic work sees what has
/// arrived while the process was paused.
pub(super) async fn run<P: Process>(
    mut process: P,
    clock: Clock,
    mut event_queue: mpsc::Receiver<P::Event>,
    mut calls: mpsc::Receiver<P::Event>,
    mut dump_queue: mpsc::Receiver<admin::Dump>,
) {
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut check = SilenceCheck::default();
    let mut batch = Vec::with_capacity(MAX_TURN_EVENTS);
    let mut suspended = clock::suspended();
    process.mesh().update_dialers();
    loop {
        let settle_delay = process.settle_delay();
        let mut tick_due = false;
        let mut first_call = None;
        tokio::select! {
            biased;
            _ = tick.tick() => tick_due = true,
            Some(reply) = dump_queue.recv() => {
                // The send fails if the requester has disconnected.
                let _ = reply.send(process.dump(clock.now()));
            }
            event = event_queue.recv() => match event {
                Some(event) => batch.push(event),
                None => return,
            },
            Some(call) = calls.recv() => first_call = Some(call),
            () = tokio::time::sleep(settle_delay.unwrap_or_default()), if settle_delay.is_some() => {}
        }
        let mut is_full = fill(&mut batch, &mut event_queue, MAX_TURN_EVENTS);
        let lasted = clock::suspended().saturating_sub(suspended);
        if lasted >= MIN_SUSPENSION {
            suspended += lasted;
            process.record_suspension(lasted);
        }
        let now = clock.now();
        for event in batch.drain(..) {
            process.handle(now, event);
        }
        if tick_due {
            let now = clock.now();
            process.close_silent(now, &mut check);
            process.tick(now);
        }
        batch.extend(first_call);
        let most_calls = if event_queue.is_empty() {
            MAX_TURN_CALLS
        } else {
            MAX_CALLS_BEHIND_FRAMES
        };
        is_full |= fill(&mut batch, &mut calls, most_calls);
        let now = clock.now();
        for call in batch.drain(..) {
            process.handle(now, call);
        }
        process.settle(now);
        process.execute_actions();
        if is_full {
            // Other tasks, such as those that refuse jobs, share the thread.
            tokio::task::yield_now().await;
        }
    }
}

/// Moves queued events to the batch, up to `limit` in all; returns whether the
/// limit was reached.
fn fill<E>(batch: &mut Vec<E>, queue: &mut mpsc::Receiver<E>, limit: usize) -> bool {
    while batch.len() < limit {
        let Ok(event) = queue.try_recv() else {
            return false;
        };
        batch.push(event);
    }
    true
}
