//! Passes barriers along the way on which customers' departures are noticed.
//!
//! A barrier is written to one end of a socket pair. The other end becomes readable after
//! all connections whose customers have left before, its task runs after the tasks that
//! read them, and its event is queued behind their departures.

use super::event::Event;
use std::{
    io::{self, Write},
    os::unix::net::UnixStream,
};
use tokio::{io::AsyncReadExt, sync::mpsc};

/// The writing end.
#[derive(Debug)]
pub(super) struct Barrier(UnixStream);

impl Barrier {
    /// Opens the pair and reports barriers to `events` until that is closed.
    pub(super) fn open(events: mpsc::Sender<Event>) -> io::Result<Self> {
        let (sender, receiver) = UnixStream::pair()?;
        sender.set_nonblocking(true)?;
        receiver.set_nonblocking(true)?;
        let receiver = tokio::net::UnixStream::from_std(receiver)?;
        tokio::spawn(report(receiver, events));
        Ok(Self(sender))
    }

    pub(super) fn send(&self, number: u64) {
        if let Err(error) = (&self.0).write_all(&number.to_le_bytes()) {
            log::error!("event=barrier_not_sent reason=\"{error}\"");
        }
    }
}

async fn report(mut receiver: tokio::net::UnixStream, events: mpsc::Sender<Event>) {
    let mut number = [0; size_of::<u64>()];
    while receiver.read_exact(&mut number).await.is_ok() {
        // Connections that became readable at the same time may be read after this one.
        tokio::task::yield_now().await;
        let barrier = Event::Barrier(u64::from_le_bytes(number));
        if events.send(barrier).await.is_err() {
            return;
        }
    }
}
