//! The entry's dealings with the platform's store: the document in force and
//! the addresses of the entries.
//!
//! Calls a second of one entry: one read of the document and a half of the
//! entries' list, a tenth of a watch, and a third of a renewal.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use store::{
    Store,
    publication::{self, Current},
    store::Lease,
};
use tokio::sync::mpsc;
use wire::frame::{Config, Known};

/// Interval at which the document is confirmed.
const CONFIRM: Duration = Duration::from_secs(1);

/// Interval at which the entries are listed and the own lease is renewed.
const LIST: Duration = Duration::from_secs(2);

/// Life of the lease on the entry's address, in seconds.
const LEASE_SECONDS: u32 = 8;

/// Pause after a failed watch.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// What the store told.
#[derive(Debug)]
pub(crate) enum Event {
    /// The document in the store.
    Document(Config),
    /// The store holds no document.
    Absent,
    /// The store did not answer.
    Failed,
    /// The entries registered.
    Entries(Vec<Known>),
}

/// The entry's own registration.
#[derive(Debug, Clone)]
pub(crate) struct Own {
    pub(crate) environment: String,
    pub(crate) region: String,
    pub(crate) name: String,
    pub(crate) address: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    name: String,
    address: String,
}

/// Follows the store until the task is aborted.
pub(crate) async fn run<S: Store, E: From<Event> + Send + 'static>(
    store: S,
    own: Own,
    events: mpsc::Sender<E>,
) {
    let (changed, change) = mpsc::channel(1);
    tokio::join!(
        follow_document(&store, &own, &events, change),
        watch_document(&store, &own, changed),
        follow_entries(&store, &own, &events),
    );
}

async fn follow_document<S: Store, E: From<Event>>(
    store: &S,
    own: &Own,
    events: &mpsc::Sender<E>,
    mut change: mpsc::Receiver<()>,
) {
    loop {
        let event = match publication::read(store, &own.environment).await {
            Ok(Some(current)) => Event::Document(config(current)),
            Ok(None) => Event::Absent,
            Err(error) => {
                log::debug!("event=store_read_failed reason=\"{error}\"");
                Event::Failed
            }
        };
        if events.send(event.into()).await.is_err() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(CONFIRM) => {}
            _ = change.recv() => {}
        }
    }
}

fn config(current: Current) -> Config {
    Config {
        revision: current.record.revision,
        change: current.record.change,
        text: current.record.text.into(),
    }
}

/// Wakes the reader as soon as the document changes.
async fn watch_document<S: Store>(store: &S, own: &Own, changed: mpsc::Sender<()>) {
    let key = publication::key(&own.environment);
    let mut version = None;
    loop {
        if version.is_none() {
            version = match store.get(&key).await {
                Ok(value) => Some(value.map_or(0, |value| value.revision)),
                Err(_) => None,
            };
        }
        let Some(after) = version else {
            tokio::time::sleep(WATCH_PAUSE).await;
            continue;
        };
        match store.wait(&key, after).await {
            Ok(true) => {
                version = None;
                // A full channel already holds a wake-up.
                let _ = changed.try_send(());
            }
            Ok(false) => {}
            Err(_) => {
                version = None;
                tokio::time::sleep(WATCH_PAUSE).await;
            }
        }
    }
}

pub(crate) async fn follow_entries<S: Store, E: From<Event>>(
    store: &S,
    own: &Own,
    events: &mpsc::Sender<E>,
) {
    let mut lease = None;
    let prefix = publication::entries_prefix(&own.environment, &own.region);
    loop {
        lease = keep_registered(store, own, &prefix, lease).await;
        if let Ok(listing) = store.list(&prefix).await {
            let entries: Vec<Known> = listing
                .items
                .iter()
                .filter_map(|item| serde_json::from_slice::<Registration>(&item.value.bytes).ok())
                .map(|registration| Known {
                    name: registration.name,
                    address: registration.address,
                })
                .collect();
            if entries.iter().all(|entry| entry.name != own.name) {
                // The store has dropped the key without ending the lease.
                lease = None;
            }
            if events.send(Event::Entries(entries).into()).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(LIST).await;
    }
}

async fn keep_registered<S: Store>(
    store: &S,
    own: &Own,
    prefix: &str,
    lease: Option<Lease>,
) -> Option<Lease> {
    if let Some(lease) = lease {
        match store.renew(lease).await {
            // An outage says nothing about the lease.
            Ok(true) | Err(_) => return Some(lease),
            Ok(false) => {}
        }
    }
    let lease = store.grant(LEASE_SECONDS).await.ok()?;
    let registration = Registration {
        name: own.name.clone(),
        address: own.address.clone(),
    };
    let bytes = serde_json::to_vec(&registration).ok()?;
    let key = format!("{prefix}{}", own.name);
    store.attach(&key, &bytes, lease).await.ok()?;
    Some(lease)
}
