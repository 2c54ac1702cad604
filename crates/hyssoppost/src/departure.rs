//! Reports of customers that have left before their answers.

use std::fmt;
use tokio::{
    runtime::Handle,
    sync::mpsc::{self, error::TrySendError},
};

/// Sends a report from a destructor, which can't wait. If the queue is full, a task sends it
/// later, and the log names the `subject`.
pub(crate) fn report<E: Send + 'static>(
    events: &mpsc::Sender<E>,
    departure: E,
    subject: fmt::Arguments<'_>,
) {
    // Fails otherwise only if the process has ended.
    if let Err(TrySendError::Full(departure)) = events.try_send(departure) {
        log::warn!("event=departure_delayed {subject}");
        let events = events.clone();
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move { events.send(departure).await });
        }
    }
}
