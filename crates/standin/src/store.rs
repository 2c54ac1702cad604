//! In-memory key-value service with a part of etcd's HTTP/JSON gateway.
//! Outages, lost answers, delays and a rate limit can be injected.

use crate::server;
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures::stream;
use poem::{
    Body, EndpointExt, Error, Response, Route, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Faults to inject.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails without effect.
    pub outage: bool,
    /// Number of next writes that take effect but are answered with an error.
    pub lost_answers: u32,
    /// Time added to every call.
    pub delay: Duration,
    /// Largest number of calls per second; 0 for no limit.
    pub rate: u32,
}

/// Number of calls since the start, failed ones included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads and watches.
    pub reads: u64,
    /// Writes, transactions, lease grants and lease renewals.
    pub writes: u64,
}

#[derive(Debug, Clone)]
struct Pair {
    value: String,
    created: u64,
    modified: u64,
    lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    pairs: BTreeMap<Vec<u8>, Pair>,
    leases: BTreeMap<i64, Lease>,
    faults: Faults,
    calls: Calls,
    window_start: Option<Instant>,
    window_calls: u32,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// A running store; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Store {
    server: server::Handle,
    shared: Arc<Shared>,
}

impl Store {
    /// Serves an empty store on a free loopback port. Fails if the port can't be
    /// bound.
    pub async fn bind() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State::default()),
            changed: watch::Sender::new(0),
        });
        let app = Route::new()
            .at("/v3/kv/range", post(range))
            .at("/v3/kv/put", post(put))
            .at("/v3/kv/txn", post(txn))
            .at("/v3/lease/grant", post(grant))
            .at("/v3/lease/keepalive", post(keep_alive))
            .at("/v3/watch", post(watch_key))
            .data(shared.clone());
        let server = server::bind(app).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults to inject.
    pub fn inject(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Sets the time added to every call; other faults stay as they are.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay = delay;
    }

    /// Starts or ends an outage; other faults stay as they are.
    pub fn set_outage(&self, outage: bool) {
        let mut state = self.shared.lock();
        state.faults.outage = outage;
        // The notification ends waiting watches when an outage starts.
        self.shared.publish(&state);
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Writes a key without a compare, as the restore of a backup with an old
    /// value does.
    pub fn restore(&self, key: &str, value: &[u8]) {
        let mut state = self.shared.lock();
        state.write(key.as_bytes().to_vec(), STANDARD.encode(value), 0);
        self.shared.publish(&state);
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, state: &State) {
        self.changed.send_replace(state.revision);
    }

    /// Counts a call and applies the faults that precede its execution.
    async fn admit(&self, write: bool) -> poem::Result<()> {
        let delay = self.lock().count(write)?;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }

    /// Fails the answer to an executed write if a lost answer is to be injected.
    fn lose_answer(&self) -> poem::Result<()> {
        let mut state = self.lock();
        if state.faults.lost_answers == 0 {
            return Ok(());
        }
        state.faults.lost_answers -= 1;
        Err(unavailable("answer lost"))
    }
}

impl State {
    fn count(&mut self, write: bool) -> poem::Result<Duration> {
        if write {
            self.calls.writes += 1;
        } else {
            self.calls.reads += 1;
        }
        if self.faults.outage {
            return Err(unavailable("outage"));
        }
        self.expire();
        self.limit()?;
        Ok(self.faults.delay)
    }

    fn limit(&mut self) -> poem::Result<()> {
        let now = Instant::now();
        let in_window = self
            .window_start
            .is_some_and(|start| now.duration_since(start) < Duration::from_secs(1));
        if !in_window {
            self.window_start = Some(now);
            self.window_calls = 0;
        }
        self.window_calls += 1;
        if self.faults.rate > 0 && self.window_calls > self.faults.rate {
            return Err(unavailable("rate limit"));
        }
        Ok(())
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires > now);
        let leases = &self.leases;
        self.pairs
            .retain(|_, pair| pair.lease == 0 || leases.contains_key(&pair.lease));
    }

    fn write(&mut self, key: Vec<u8>, value: String, lease: i64) {
        self.revision += 1;
        let created = self
            .pairs
            .get(&key)
            .map_or(self.revision, |pair| pair.created);
        let pair = Pair {
            value,
            created,
            modified: self.revision,
            lease,
        };
        self.pairs.insert(key, pair);
    }

    fn evaluate(&self, compare: &Value) -> poem::Result<bool> {
        let pair = self.pairs.get(&bytes(compare, "key")?);
        let (actual, field) = match compare["target"].as_str() {
            Some("CREATE") => (pair.map_or(0, |pair| pair.created), "create_revision"),
            Some("MOD") => (pair.map_or(0, |pair| pair.modified), "mod_revision"),
            _ => return Err(malformed("target")),
        };
        Ok(actual == integer(compare, field)?)
    }

    fn put(&mut self, request: &Value) -> poem::Result<()> {
        let key = bytes(request, "key")?;
        let value = request["value"].as_str().unwrap_or_default().to_owned();
        let lease = request["lease"].as_str().map_or(Ok(0), str::parse);
        let lease = lease.map_err(|_| malformed("lease"))?;
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(malformed("lease not found"));
        }
        self.write(key, value, lease);
        Ok(())
    }
}

#[handler]
async fn range(
    Json(request): Json<Value>,
    shared: Data<&Arc<Shared>>,
) -> poem::Result<Json<Value>> {
    shared.admit(false).await?;
    let start = bytes(&request, "key")?;
    let end = match request["range_end"] {
        Value::Null => None,
        _ => Some(bytes(&request, "range_end")?),
    };
    let state = shared.lock();
    let pairs = state.pairs.iter().filter(|(key, _)| match &end {
        Some(end) => **key >= start && *key < end,
        None => **key == start,
    });
    let found: Vec<Value> = pairs
        .map(|(key, pair)| {
            json!({
                "key": STANDARD.encode(key),
                "value": pair.value,
                "create_revision": pair.created.to_string(),
                "mod_revision": pair.modified.to_string(),
            })
        })
        .collect();
    Ok(Json(json!({
        "header": { "revision": state.revision.to_string() },
        "count": found.len().to_string(),
        "kvs": found,
    })))
}

#[handler]
async fn put(Json(request): Json<Value>, shared: Data<&Arc<Shared>>) -> poem::Result<Json<Value>> {
    shared.admit(true).await?;
    {
        let mut state = shared.lock();
        state.put(&request)?;
        shared.publish(&state);
    }
    shared.lose_answer()?;
    Ok(Json(json!({})))
}

#[handler]
async fn txn(Json(request): Json<Value>, shared: Data<&Arc<Shared>>) -> poem::Result<Json<Value>> {
    shared.admit(true).await?;
    let empty = Vec::new();
    let succeeded = {
        let mut state = shared.lock();
        let mut succeeded = true;
        for compare in request["compare"].as_array().unwrap_or(&empty) {
            succeeded &= state.evaluate(compare)?;
        }
        let branch = if succeeded { "success" } else { "failure" };
        for operation in request[branch].as_array().unwrap_or(&empty) {
            state.put(&operation["request_put"])?;
        }
        shared.publish(&state);
        succeeded
    };
    shared.lose_answer()?;
    Ok(Json(json!({ "succeeded": succeeded })))
}

#[handler]
async fn grant(
    Json(request): Json<Value>,
    shared: Data<&Arc<Shared>>,
) -> poem::Result<Json<Value>> {
    shared.admit(true).await?;
    let ttl = integer(&request, "TTL")?;
    let mut state = shared.lock();
    let id = state.leases.last_key_value().map_or(1, |(id, _)| id + 1);
    let ttl = Duration::from_secs(ttl);
    let expires = Instant::now() + ttl;
    state.leases.insert(id, Lease { ttl, expires });
    Ok(Json(
        json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }),
    ))
}

#[handler]
async fn keep_alive(
    Json(request): Json<Value>,
    shared: Data<&Arc<Shared>>,
) -> poem::Result<Json<Value>> {
    shared.admit(true).await?;
    let id = i64::try_from(integer(&request, "ID")?).map_err(|_| malformed("ID"))?;
    let mut state = shared.lock();
    let ttl = state.leases.get_mut(&id).map_or(0, |lease| {
        lease.expires = Instant::now() + lease.ttl;
        lease.ttl.as_secs()
    });
    Ok(Json(
        json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }),
    ))
}

#[handler]
async fn watch_key(
    Json(request): Json<Value>,
    shared: Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    shared.admit(false).await?;
    let create = &request["create_request"];
    let key = bytes(create, "key")?;
    let end = bytes(create, "range_end")?;
    let start = integer(create, "start_revision")?;
    let shared = Arc::clone(&shared);
    let created = Bytes::from_static(b"{\"result\":{\"created\":true}}\n");
    let events = stream::unfold(Some(shared), move |shared| {
        next_event(shared, key.clone()..end.clone(), start)
    });
    let lines = stream::iter([created]);
    let body = Body::from_bytes_stream(futures::StreamExt::map(
        futures::StreamExt::chain(lines, events),
        Ok::<_, io::Error>,
    ));
    Ok(Response::builder().body(body))
}

/// Waits for the next change of a key in the range. The stream ends after one
/// event.
async fn next_event(
    shared: Option<Arc<Shared>>,
    keys: Range<Vec<u8>>,
    start: u64,
) -> Option<(Bytes, Option<Arc<Shared>>)> {
    let shared = shared?;
    let mut changes = shared.changed.subscribe();
    loop {
        let modified = {
            let state = shared.lock();
            let in_outage = state.faults.outage;
            let pairs = state.pairs.range(keys.clone());
            let latest = pairs.max_by_key(|(_, pair)| pair.modified);
            let found = latest.map_or((keys.start.clone(), 0), |(key, pair)| {
                (key.clone(), pair.modified)
            });
            (!in_outage).then_some(found)
        };
        let (key, modified) = modified?;
        if modified >= start {
            let event = json!({ "result": { "events": [{ "kv": {
                "key": STANDARD.encode(&key),
                "mod_revision": modified.to_string(),
            } }] } });
            return Some((Bytes::from(format!("{event}\n")), None));
        }
        changes.changed().await.ok()?;
    }
}

fn bytes(value: &Value, field: &'static str) -> poem::Result<Vec<u8>> {
    let text = value[field].as_str().ok_or_else(|| malformed(field))?;
    STANDARD.decode(text).map_err(|_| malformed(field))
}

fn integer(value: &Value, field: &'static str) -> poem::Result<u64> {
    match &value[field] {
        Value::String(text) => text.parse().map_err(|_| malformed(field)),
        Value::Number(number) => number.as_u64().ok_or_else(|| malformed(field)),
        _ => Err(malformed(field)),
    }
}

fn malformed(field: &'static str) -> Error {
    Error::from_string(format!("malformed {field}"), StatusCode::BAD_REQUEST)
}

fn unavailable(cause: &'static str) -> Error {
    Error::from_string(cause, StatusCode::SERVICE_UNAVAILABLE)
}
