//! Follows the configuration document and the registered entries in the store,
//! and keeps this entry registered.
//!
//! Calls per second of one entry: 1 read of the document, 0.5 listings of the
//! entries with one renewal of the lease each, and 0.1 watches.

use crate::{meter, settings};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use store::{
    Store,
    publication::{self, Current},
    store::{Item, Lease},
};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use wire::frame::{Config, Endpoint};

/// Longest interval between two reads of the document.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the entries are listed and this entry's lease is renewed.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(2);

/// Time to live of a registration without renewals, in seconds.
const REGISTRATION_TTL_SECONDS: u32 = 8;

/// Pause after a failed watch.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval at which a side without a connected entry lists the entries.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// Longest pause after a failed listing.
const MAX_SEARCH_RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// Least change of a patience floor that updates the registration, relative to
/// the registered floor.
const MIN_FLOOR_CHANGE: f64 = 0.2;

/// Most patience floors of one registration; there are as many queues at most.
const MAX_FLOORS: usize = 4_096;

/// The patience floor of each queue, in milliseconds: the 2 % quantile of the time
/// for which its customers wait.
pub(crate) type Floors = Vec<(String, u32)>;

/// A result of reading the store.
#[derive(Debug)]
pub(crate) enum Event {
    /// The store holds this document.
    Document(Config),
    /// The store holds no document.
    Absent,
    /// The read failed.
    Failed,
    /// The registered entries.
    Entries(Vec<Endpoint>),
    /// The patience floors registered when this process started, with those of
    /// an earlier process of this entry.
    Floors(Floors),
}

/// The entry that this process registers.
#[derive(Debug, Clone)]
pub(crate) struct Instance {
    pub(crate) environment: String,
    pub(crate) region: String,
    pub(crate) name: String,
    pub(crate) address: String,
    /// Processor in thousandths of a core; 0 if it is unknown.
    pub(crate) processor: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    name: String,
    address: String,
    /// Absent in the registrations of builds without it.
    #[serde(default)]
    processor: u32,
    #[serde(default, rename = "marks")]
    floors: Floors,
}

/// This entry's registration in the store.
struct Registered {
    lease: Lease,
    floors: Floors,
}

/// Follows the store until the task is aborted.
pub(crate) async fn run<S: Store, E: From<Event> + Send + 'static>(
    store: S,
    instance: Instance,
    events: mpsc::Sender<E>,
) {
    let (changed, change) = mpsc::channel(1);
    // Only entries for leased tasks have patience floors.
    let (_, no_floors) = watch::channel(Floors::new());
    tokio::join!(
        follow_document(&store, &instance, &events, change),
        watch_document(&store, &instance, changed),
        follow_entries(&store, &instance, no_floors, &events),
    );
}

async fn follow_document<S: Store, E: From<Event>>(
    store: &S,
    instance: &Instance,
    events: &mpsc::Sender<E>,
    mut change: mpsc::Receiver<()>,
) {
    loop {
        let event = match publication::read(store, &instance.environment).await {
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
            () = tokio::time::sleep(READ_INTERVAL) => {}
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

/// Triggers a read as soon as the document changes.
async fn watch_document<S: Store>(store: &S, instance: &Instance, changed: mpsc::Sender<()>) {
    let key = publication::key(&instance.environment);
    let mut version = None;
    loop {
        if version.is_none() {
            version = match store.get(&key).await {
                Ok(value) => Some(value.map_or(0, |value| value.revision)),
                Err(_) => None,
            };
        }
        let Some(seen_version) = version else {
            tokio::time::sleep(WATCH_RETRY_INTERVAL).await;
            continue;
        };
        match store.wait(&key, seen_version).await {
            Ok(true) => {
                version = None;
                // If the channel is full, a read is already due.
                let _ = changed.try_send(());
            }
            Ok(false) => {}
            Err(_) => {
                version = None;
                tokio::time::sleep(WATCH_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reports the registered entries and keeps this one registered.
pub(crate) async fn follow_entries<S: Store, E: From<Event>>(
    store: &S,
    instance: &Instance,
    floors: watch::Receiver<Floors>,
    events: &mpsc::Sender<E>,
) {
    let mut registered: Option<Registered> = None;
    let mut reported = Reported::default();
    let mut floors_reported = false;
    let prefix = publication::entries_prefix(&instance.environment, &instance.region);
    loop {
        if let Ok(Listed { registrations, .. }) = list(store, &prefix, &mut reported).await {
            if registrations
                .iter()
                .all(|other| other.name != instance.name)
            {
                // The store may lose the key without ending the lease.
                registered = None;
            }
            let mut updates = Vec::new();
            // The registration below overwrites the floors of this entry's
            // earlier process.
            if !std::mem::replace(&mut floors_reported, true) {
                updates.push(Event::Floors(max_floors(&registrations)));
            }
            updates.push(Event::Entries(addresses(registrations)));
            for event in updates {
                if events.send(event.into()).await.is_err() {
                    return;
                }
            }
        }
        let latest = floors.borrow().clone();
        registered = keep_registered(store, instance, &prefix, registered, latest).await;
        tokio::time::sleep(REGISTRATION_INTERVAL).await;
    }
}

/// Reports the registered entries to a side while it is `isolated`, which means
/// connected to no entry: at once, and again as soon as one registers.
pub(crate) async fn find_entries<S: Store, E: From<Event>>(
    store: S,
    environment: &str,
    region: &str,
    mut isolated: watch::Receiver<bool>,
    events: &mpsc::Sender<E>,
) {
    let prefix = publication::entries_prefix(environment, region);
    let mut reported = Reported::default();
    let mut retry_interval = MIN_SEARCH_INTERVAL;
    while isolated.wait_for(|isolated| *isolated).await.is_ok() {
        let listed_at = Instant::now();
        let watched = match list(&store, &prefix, &mut reported).await {
            Ok(listed) => {
                let event = Event::Entries(addresses(listed.registrations));
                if events.send(event.into()).await.is_err() {
                    return;
                }
                await_change(&store, &prefix, listed.revision, &mut isolated).await
            }
            Err(error) => {
                log::warn!("event=entries_not_found reason=\"{error}\"");
                Err(error)
            }
        };
        retry_interval = match watched {
            Ok(()) => MIN_SEARCH_INTERVAL,
            Err(_) => (retry_interval * 2).min(MAX_SEARCH_RETRY_INTERVAL),
        };
        tokio::time::sleep_until(listed_at + retry_interval).await;
    }
}

/// Waits until a registration changes after `revision`, or the side is connected.
async fn await_change<S: Store>(
    store: &S,
    prefix: &str,
    revision: u64,
    isolated: &mut watch::Receiver<bool>,
) -> Result<(), S::Error> {
    tokio::select! {
        watched = store.wait(prefix, revision) => {
            meter::count_call("entries_watch", &watched);
            watched.map(|_| ())
        }
        // The sender is dropped with the process, which ends the search too.
        _ = isolated.wait_for(|isolated| !*isolated) => Ok(()),
    }
}

/// The registrations at one revision of the store.
struct Listed {
    revision: u64,
    registrations: Vec<Registration>,
}

/// The malformed registrations of the last listing, with what is wrong with each.
type Reported = BTreeMap<String, String>;

/// Lists the registrations. Those that are malformed name no entry; each is logged
/// once and after every change.
async fn list<S: Store>(
    store: &S,
    prefix: &str,
    reported: &mut Reported,
) -> Result<Listed, S::Error> {
    let listing = store.list(prefix).await;
    meter::count_call("entries", &listing);
    let listing = listing?;
    let mut registrations = Vec::with_capacity(listing.items.len());
    let mut malformed = Reported::new();
    for item in &listing.items {
        match decode(item, prefix) {
            Ok(registration) => registrations.push(registration),
            Err(reason) => {
                if reported.get(&item.key) != Some(&reason) {
                    log::warn!(
                        "event=registration_invalid key={:?} reason=\"{reason}\"",
                        item.key
                    );
                }
                malformed.insert(item.key.clone(), reason);
            }
        }
    }
    *reported = malformed;
    Ok(Listed {
        revision: listing.revision,
        registrations,
    })
}

/// Decodes a registration. A processor out of range counts as unknown, and floors of
/// more queues than there are count as none: this entry registers what it learns here.
fn decode(item: &Item, prefix: &str) -> Result<Registration, String> {
    let registration = serde_json::from_slice(&item.value.bytes);
    let mut registration: Registration = registration.map_err(|error| error.to_string())?;
    if item.key.strip_prefix(prefix) != Some(&registration.name) {
        return Err("the key is another entry's".to_owned());
    }
    let address: Result<SocketAddr, _> = registration.address.parse();
    if !address.is_ok_and(|address| address.port() > 0) {
        return Err("the address is not IP:port".to_owned());
    }
    if registration.processor > settings::MAX_PROCESSOR {
        registration.processor = 0;
    }
    if registration.floors.len() > MAX_FLOORS {
        registration.floors.clear();
    }
    Ok(registration)
}

fn addresses(registrations: Vec<Registration>) -> Vec<Endpoint> {
    let addresses = registrations.into_iter().map(|registration| Endpoint {
        name: registration.name,
        address: registration.address,
        processor: registration.processor,
    });
    addresses.collect()
}

/// Returns the largest floor of each queue; floors learnt during an outage are
/// too low.
fn max_floors(registrations: &[Registration]) -> Floors {
    let mut floors: BTreeMap<&str, u32> = BTreeMap::new();
    for (queue, floor) in registrations.iter().flat_map(|entry| &entry.floors) {
        let max_floor = floors.entry(queue).or_default();
        *max_floor = (*max_floor).max(*floor);
    }
    floors
        .into_iter()
        .map(|(queue, floor)| (queue.to_owned(), floor))
        .collect()
}

async fn keep_registered<S: Store>(
    store: &S,
    instance: &Instance,
    prefix: &str,
    registered: Option<Registered>,
    floors: Floors,
) -> Option<Registered> {
    if let Some(registered) = registered {
        let renewed = store.renew(registered.lease).await;
        meter::count_call("renew", &renewed);
        match renewed {
            // A failed call does not mean that the lease has expired.
            Ok(true) | Err(_) if !differ(&floors, &registered.floors) => return Some(registered),
            Ok(true) => return register(store, instance, prefix, registered.lease, floors).await,
            Ok(false) | Err(_) => {}
        }
    }
    let lease = store.grant(REGISTRATION_TTL_SECONDS).await.ok()?;
    register(store, instance, prefix, lease, floors).await
}

async fn register<S: Store>(
    store: &S,
    instance: &Instance,
    prefix: &str,
    lease: Lease,
    floors: Floors,
) -> Option<Registered> {
    let registration = Registration {
        name: instance.name.clone(),
        address: instance.address.clone(),
        processor: instance.processor,
        floors,
    };
    let bytes = serde_json::to_vec(&registration).ok()?;
    let key = format!("{prefix}{}", instance.name);
    let written = store.attach(&key, &bytes, lease).await;
    meter::count_call("register", &written);
    written.ok()?;
    let floors = registration.floors;
    Some(Registered { lease, floors })
}

/// Returns whether floors differ so much that they must be registered again.
fn differ(latest: &Floors, written: &Floors) -> bool {
    latest.iter().any(|(queue, floor)| {
        let registered_floor = written.iter().find(|(other, _)| other == queue);
        registered_floor.is_none_or(|(_, registered_floor)| {
            f64::from(floor.abs_diff(*registered_floor))
                > f64::from(*registered_floor) * MIN_FLOOR_CHANGE
        })
    })
}
