//! The entry's dealings with the platform's store: the document in force and
//! the addresses of the entries.
//!
//! Calls a second of one entry: one read of the document and a half of the
//! entries' list, a tenth of a watch, and a third of a renewal.

use crate::meter;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use store::{
    Store,
    publication::{self, Current},
    store::Lease,
};
use tokio::sync::{mpsc, watch};
use wire::frame::{Config, Endpoint};

/// Interval at which the document is confirmed.
const CONFIRM: Duration = Duration::from_secs(1);

/// Interval at which the entries are listed and the own lease is renewed.
const LIST: Duration = Duration::from_secs(2);

/// Life of the lease on the entry's address, in seconds.
const LEASE_SECONDS: u32 = 8;

/// Pause after a failed watch.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Pause before a side without entries looks for some again.
const SEARCH: Duration = Duration::from_secs(1);

/// Change of a mark from which it is written anew, as a share of what the store
/// holds.
const MARK_CHANGE: f64 = 0.2;

/// What entries have learnt of how long customers wait: queues with
/// milliseconds.
pub(crate) type Marks = Vec<(String, u32)>;

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
    Entries(Vec<Endpoint>),
    /// What the entries registered at the start have learnt, this one's earlier
    /// life included.
    Marks(Marks),
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
    #[serde(default)]
    marks: Marks,
}

/// A registration in the store.
struct Registered {
    lease: Lease,
    marks: Marks,
}

/// Follows the store until the task is aborted.
pub(crate) async fn run<S: Store, E: From<Event> + Send + 'static>(
    store: S,
    own: Own,
    events: mpsc::Sender<E>,
) {
    let (changed, change) = mpsc::channel(1);
    // Only entries for leased tasks learn.
    let (_, none) = watch::channel(Marks::new());
    tokio::join!(
        follow_document(&store, &own, &events, change),
        watch_document(&store, &own, changed),
        follow_entries(&store, &own, none, &events),
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

/// Follows the entries registered, and keeps this one among them.
pub(crate) async fn follow_entries<S: Store, E: From<Event>>(
    store: &S,
    own: &Own,
    marks: watch::Receiver<Marks>,
    events: &mpsc::Sender<E>,
) {
    let mut registered: Option<Registered> = None;
    let mut recalled = false;
    let prefix = publication::entries_prefix(&own.environment, &own.region);
    loop {
        if let Ok(registrations) = list(store, &prefix).await {
            if registrations.iter().all(|other| other.name != own.name) {
                // The store may drop the key without ending the lease.
                registered = None;
            }
            let mut told = Vec::new();
            // What is registered below replaces what this entry knew before.
            if !std::mem::replace(&mut recalled, true) {
                told.push(Event::Marks(largest(&registrations)));
            }
            told.push(Event::Entries(known(registrations)));
            for event in told {
                if events.send(event.into()).await.is_err() {
                    return;
                }
            }
        }
        let learnt = marks.borrow().clone();
        registered = keep_registered(store, own, &prefix, registered, learnt).await;
        tokio::time::sleep(LIST).await;
    }
}

/// Tells a side of the entries registered whenever it has been `alone`.
pub(crate) async fn find_entries<S: Store, E: From<Event>>(
    store: S,
    environment: &str,
    region: &str,
    mut alone: watch::Receiver<bool>,
    events: &mpsc::Sender<E>,
) {
    let prefix = publication::entries_prefix(environment, region);
    while alone.wait_for(|alone| *alone).await.is_ok() {
        match list(&store, &prefix).await {
            Ok(registrations) => {
                let event = Event::Entries(known(registrations));
                if events.send(event.into()).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("event=entries_not_found reason=\"{error}\""),
        }
        tokio::time::sleep(SEARCH).await;
    }
}

async fn list<S: Store>(store: &S, prefix: &str) -> Result<Vec<Registration>, S::Error> {
    let listing = store.list(prefix).await;
    meter::count_call("entries", &listing);
    let listing = listing?;
    let registrations = listing
        .items
        .iter()
        .filter_map(|item| serde_json::from_slice(&item.value.bytes).ok());
    Ok(registrations.collect())
}

fn known(registrations: Vec<Registration>) -> Vec<Endpoint> {
    let known = registrations.into_iter().map(|registration| Endpoint {
        name: registration.name,
        address: registration.address,
    });
    known.collect()
}

/// Returns the largest mark of each queue: one learnt amid an outage is low.
fn largest(registrations: &[Registration]) -> Marks {
    let mut marks: BTreeMap<&str, u32> = BTreeMap::new();
    for (queue, mark) in registrations.iter().flat_map(|entry| &entry.marks) {
        let largest = marks.entry(queue).or_default();
        *largest = (*largest).max(*mark);
    }
    marks
        .into_iter()
        .map(|(queue, mark)| (queue.to_owned(), mark))
        .collect()
}

async fn keep_registered<S: Store>(
    store: &S,
    own: &Own,
    prefix: &str,
    registered: Option<Registered>,
    marks: Marks,
) -> Option<Registered> {
    if let Some(registered) = registered {
        let renewed = store.renew(registered.lease).await;
        meter::count_call("renew", &renewed);
        match renewed {
            // An outage says nothing about the lease.
            Ok(true) | Err(_) if !differs(&marks, &registered.marks) => return Some(registered),
            Ok(true) => return write(store, own, prefix, registered.lease, marks).await,
            Ok(false) | Err(_) => {}
        }
    }
    let lease = store.grant(LEASE_SECONDS).await.ok()?;
    write(store, own, prefix, lease, marks).await
}

async fn write<S: Store>(
    store: &S,
    own: &Own,
    prefix: &str,
    lease: Lease,
    marks: Marks,
) -> Option<Registered> {
    let registration = Registration {
        name: own.name.clone(),
        address: own.address.clone(),
        marks,
    };
    let bytes = serde_json::to_vec(&registration).ok()?;
    let key = format!("{prefix}{}", own.name);
    let written = store.attach(&key, &bytes, lease).await;
    meter::count_call("register", &written);
    written.ok()?;
    let marks = registration.marks;
    Some(Registered { lease, marks })
}

/// Returns whether marks have changed so much that they are written anew.
fn differs(learnt: &Marks, written: &Marks) -> bool {
    learnt.iter().any(|(queue, mark)| {
        let before = written.iter().find(|(other, _)| other == queue);
        before.is_none_or(|(_, before)| {
            f64::from(mark.abs_diff(*before)) > f64::from(*before) * MARK_CHANGE
        })
    })
}
