//! The loop around a kernel that both processes for leased tasks run.

use super::{BATCH, TICK};
use crate::{
    admin,
    clock::Clock,
    link::{self, Joined},
    mesh::Mesh,
};
use serde_json::Value;
use std::time::Duration;
use tokio::sync::mpsc;
use wire::{Frame, frame::Hello, id::Incarnation, lease};

/// What differs between the processes.
pub(super) trait Process {
    type Event: From<link::Event> + Send + 'static;

    fn mesh(&mut self) -> &mut Mesh<Self::Event>;

    /// Takes an event.
    fn handle(&mut self, now: Duration, event: Self::Event);

    /// Follows up the events that came together.
    fn settle(&mut self, now: Duration);

    /// Returns the time until [`Process::settle`] is due without an event.
    fn due(&self) -> Option<Duration>;

    /// Does what is due with time.
    fn tick(&mut self, now: Duration);

    /// Carries out what the kernel decided.
    fn act(&mut self);

    /// Describes the process's state.
    fn dump(&self, now: Duration) -> Value;

    /// Records a connection to a peer.
    fn join(&mut self, now: Duration, peer: &Hello);

    /// Records that the connection to a peer is lost.
    fn lose(&mut self, peer: &Hello);

    /// Takes a peer's frame.
    fn frame(&mut self, now: Duration, from: Incarnation, frame: lease::Frame);

    /// Returns the peers whose connections have been silent for too long.
    fn silent(&self, now: Duration) -> Vec<Incarnation>;

    /// Takes an event of a connection.
    fn link(&mut self, now: Duration, event: link::Event) {
        match event {
            link::Event::Joined(joined) => self.admit(now, joined),
            link::Event::Frame(number, Frame::Lease(frame)) => {
                if let Some(from) = self.mesh().peer(number) {
                    self.frame(now, from, frame);
                }
            }
            link::Event::Frame(number, _) => {
                log::warn!("event=frame_unexpected connection={number}");
            }
            link::Event::Lost(number) => {
                if let Some(peer) = self.mesh().lost(number) {
                    self.lose(&peer);
                }
            }
        }
    }

    fn admit(&mut self, now: Duration, joined: Joined) {
        let Some(admitted) = self.mesh().admit(joined) else {
            return;
        };
        if admitted.replaces {
            self.lose(&admitted.peer);
        }
        self.join(now, &admitted.peer);
    }

    /// Closes the connections that have been silent for too long.
    fn close_silent(&mut self, now: Duration) {
        for peer in self.silent(now) {
            if let Some(peer) = self.mesh().close(peer, "silent") {
                self.lose(&peer);
            }
        }
    }
}

/// Runs a process until all senders of its events have gone.
pub(super) async fn run<P: Process>(
    mut process: P,
    clock: Clock,
    mut inbox: mpsc::Receiver<P::Event>,
    mut dumps: mpsc::Receiver<admin::Dump>,
) {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(BATCH);
    process.mesh().dial_known();
    loop {
        let due = process.due();
        tokio::select! {
            count = inbox.recv_many(&mut batch, BATCH) => {
                if count == 0 {
                    return;
                }
                let now = clock.now();
                for event in batch.drain(..) {
                    process.handle(now, event);
                }
                process.settle(now);
            }
            Some(reply) = dumps.recv() => {
                // The asker may have gone away.
                let _ = reply.send(process.dump(clock.now()));
            }
            () = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => {
                process.settle(clock.now());
            }
            _ = tick.tick() => process.tick(clock.now()),
        }
        process.act();
    }
}
