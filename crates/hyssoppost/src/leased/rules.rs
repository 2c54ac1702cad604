//! Follows the operators' rules in the store.

use crate::meter;
use kernel::millis;
use std::time::{Duration, Instant};
use store::Store;
use tokio::sync::mpsc;
use wire::lease::Rules;

/// Longest time between two listings, watches notwithstanding: a quarter of
/// the shortest bound on new rules that deployments state.
const CONFIRM: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(50);

/// Time that the first call after a failure may take; doubles with each that
/// fails. Calls that were sent while the store was silent never return, so a
/// store that is back is asked anew soon.
const PATIENCE: Duration = Duration::from_millis(150);

/// Longest time that a call may take: many times a slow store's answer.
const LONGEST: Duration = Duration::from_millis(1_200);

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
    let mut patience = PATIENCE;
    loop {
        let begun = Instant::now();
        let read = tokio::time::timeout(patience, read(store)).await;
        let read = read.unwrap_or_else(|_| Err(format!("no answer in {patience:?}")));
        meter::count_call("rules", &read);
        patience = match read {
            Ok(_) => LONGEST,
            Err(_) if failing => (patience * 2).min(LONGEST),
            Err(_) => PATIENCE,
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
                CONFIRM
            }
            Err(reason) => {
                if !failing {
                    log::warn!("event=store_lost reason=\"{reason}\"");
                }
                failing = true;
                PAUSE
            }
        };
        log::debug!("event=store_listed took_ms={}", millis(begun.elapsed()));
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

/// Wakes the reader as soon as a key changes.
async fn watch<S: Store>(store: &S, changed: mpsc::Sender<()>) {
    let mut after = None;
    loop {
        let Some(revision) = after else {
            match store.list(platform::operator::PREFIX).await {
                Ok(listing) => after = Some(listing.revision),
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
            // What came between the reader's listing and this one is read too.
            let _ = changed.try_send(());
            continue;
        };
        let waited = store.wait(platform::operator::PREFIX, revision).await;
        meter::count_call("watch", &waited);
        match waited {
            Ok(true) => {
                // A full channel already holds a wake-up.
                let _ = changed.try_send(());
                after = None;
            }
            Ok(false) => {}
            Err(error) => {
                log::debug!("event=watch_failed reason=\"{error}\"");
                after = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
