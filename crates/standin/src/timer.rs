//! Timer with a precision of some tens of microseconds.
//!
//! tokio's timers round up to a millisecond, which is as long as the delays
//! between failure domains that the stand-ins simulate.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

struct Alarm {
    due: Instant,
    wake: oneshot::Sender<()>,
}

/// Handle of a thread that wakes waiting tasks.
#[derive(Debug, Clone)]
pub struct Timer(Sender<Alarm>);

impl std::fmt::Debug for Alarm {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Alarm({:?})", self.due)
    }
}

impl Timer {
    /// Starts the thread; it ends when all clones are dropped.
    pub fn spawn() -> Self {
        let (sender, receiver) = channel();
        std::thread::spawn(move || run(&receiver));
        Self(sender)
    }

    /// Waits until `due`.
    pub async fn until(&self, due: Instant) {
        if due <= Instant::now() {
            return;
        }
        let (wake, waiter) = oneshot::channel();
        if self.0.send(Alarm { due, wake }).is_ok() {
            // The thread runs as long as any clone of the sender exists.
            let _ = waiter.await;
        }
    }

    /// Waits for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        self.until(Instant::now() + duration).await;
    }
}

fn run(requests: &Receiver<Alarm>) {
    let mut pending: BTreeMap<(Instant, Reverse<u64>), oneshot::Sender<()>> = BTreeMap::new();
    let mut sequence = 0;
    loop {
        let next = pending.first_key_value().map(|((due, _), _)| *due);
        let received = match next {
            Some(due) => requests.recv_timeout(due.saturating_duration_since(Instant::now())),
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(alarm) => {
                sequence += 1;
                pending.insert((alarm.due, Reverse(sequence)), alarm.wake);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while let Some(entry) = pending.first_entry() {
            if entry.key().0 > now {
                break;
            }
            // The waiter may have been dropped.
            let _ = entry.remove().send(());
        }
    }
}
