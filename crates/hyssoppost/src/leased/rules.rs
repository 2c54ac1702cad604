//! Follows the operators' rules in the store by periodic listings and a watch.

use crate::meter;
use kernel::millis;
use std::time::{Duration, Instant};
use store::Store;
use tokio::sync::mpsc;
use wire::lease::Rules;

/// Interval between listings, in addition to the watch. It is a quarter of the
/// shortest time in which any deployment requires new rules to take effect.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of the first call after a failure; it doubles with each further
/// failure. Calls sent while the store is unreachable never return, so a short
/// timeout is needed to notice a recovered store soon.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest timeout of a call: many times the response time of a slow store.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Follows the store until the task is aborted.
pub(super) async fn follow<S: Store, E: From<Rules>>(store: S, events: mpsc::Sender<E>) {
    let (changed, change) = mpsc::channel(1);
    tokio::join!(list(&store, &events, change), watch(&store, changed));
}

async fn list<S: Store, E: From<Rules>>(
    store: &S,
    events: &mpsc::Sender<E>,
    mut change: mpsc::Receiver<()>,
) {
    let mut failing = false;
    let mut call_timeout = MIN_CALL_TIMEOUT;
    loop {
        let started = Instant::now();
        let read = tokio::time::timeout(call_timeout, read(store)).await;
        let read = read.unwrap_or_else(|_| Err(format!("no answer in {call_timeout:?}")));
        meter::count_call("rules", &read);
        call_timeout = match read {
            Ok(_) => MAX_CALL_TIMEOUT,
            Err(_) if failing => (call_timeout * 2).min(MAX_CALL_TIMEOUT),
            Err(_) => MIN_CALL_TIMEOUT,
        };
        let pause = match read {
            Ok(rules) => {
                if failing {
                    log::info!("event=store_regained revision={}", rules.revision);
                }
                failing = false;
                if events.send(rules.into()).await.is_err() {
                    return;
                }
                LIST_INTERVAL
            }
            Err(reason) => {
                if !failing {
                    log::warn!("event=store_lost reason=\"{reason}\"");
                }
                failing = true;
                RETRY_INTERVAL
            }
        };
        log::debug!("event=store_listed took_ms={}", millis(started.elapsed()));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = change.recv() => {}
        }
    }
}

async fn read<S: Store>(store: &S) -> Result<Rules, String> {
    let listing = store.list(platform::operator::PREFIX).await;
    let listing = listing.map_err(|error| error.to_string())?;
    platform::operator::decode(&listing).map_err(|error| error.to_string())
}

/// Triggers a listing as soon as a key changes.
async fn watch<S: Store>(store: &S, changed: mpsc::Sender<()>) {
    let mut watched_from = None;
    loop {
        let Some(revision) = watched_from else {
            match store.list(platform::operator::PREFIX).await {
                Ok(listing) => watched_from = Some(listing.revision),
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
            // A change between the reader's last listing and this one would
            // otherwise be missed.
            let _ = changed.try_send(());
            continue;
        };
        let watched = store.wait(platform::operator::PREFIX, revision).await;
        meter::count_call("watch", &watched);
        match watched {
            Ok(true) => {
                // If the channel is full, a listing is already due.
                let _ = changed.try_send(());
                watched_from = None;
            }
            Ok(false) => {}
            Err(error) => {
                log::debug!("event=watch_failed reason=\"{error}\"");
                watched_from = None;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
