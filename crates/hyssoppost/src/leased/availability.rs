//! Asks the store whether the side's failure domain is in service, while no entry has
//! reported on it recently.

use super::rules::{self, MAX_CALL_TIMEOUT, MIN_CALL_TIMEOUT};
use crate::clock::Clock;
use platform::operator::{EVACUATE, out_of_service};
use std::time::Duration;
use store::store::Store;
use tokio::sync::{mpsc, watch};

/// Longest random delay of a call. All sides of an entry that has lost the store become
/// due at the same time; an entry that has the store again makes the rest of the calls
/// unnecessary.
const MAX_JITTER: Duration = Duration::from_millis(200);

/// Pause after an answer, until the report that it was given is handled.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after the first failed call; it doubles with each further one up to
/// [`MAX_RETRY_INTERVAL`].
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest pause after a failed call. With [`MAX_CALL_TIMEOUT`] it is below the shortest
/// time for which a process must have reached the store before bounds hold for it.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// The outcome of a call to the store.
#[derive(Debug)]
pub(super) enum Update {
    /// The store has answered.
    Read {
        /// When it was asked.
        asked_at: Duration,
        /// Its revision.
        revision: u64,
        /// Whether the failure domain is out of service.
        out: bool,
    },
    /// The store has not answered.
    Failed,
}

/// Asks the store while `due`, until the task is aborted.
pub(super) async fn follow<S: Store, E: From<Update>>(
    store: S,
    domain: String,
    clock: Clock,
    mut due: watch::Receiver<bool>,
    events: mpsc::Sender<E>,
) {
    let mut timeout = MIN_CALL_TIMEOUT;
    let mut retry_interval = MIN_RETRY_INTERVAL;
    while due.wait_for(|due| *due).await.is_ok() {
        tokio::time::sleep(MAX_JITTER.mul_f64(rand::random())).await;
        if !*due.borrow() {
            continue;
        }
        let asked_at = clock.now();
        let (update, pause) = match rules::call("availability", timeout, store.list(EVACUATE)).await
        {
            Ok(listing) => {
                timeout = MIN_CALL_TIMEOUT;
                retry_interval = MIN_RETRY_INTERVAL;
                let update = Update::Read {
                    asked_at,
                    revision: listing.revision,
                    out: out_of_service(&listing).any(|out| out == domain),
                };
                (update, MIN_INTERVAL)
            }
            Err(reason) => {
                log::warn!("event=availability_unknown domain={domain} reason=\"{reason}\"");
                let pause = retry_interval;
                timeout = (timeout * 2).min(MAX_CALL_TIMEOUT);
                retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL);
                (Update::Failed, pause)
            }
        };
        if events.send(update.into()).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}
