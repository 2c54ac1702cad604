//! Stand-in for the platform's key-value store: items, lists, watches, transactions
//! and leases, as PROTOCOL.md describes them. It answers everybody at once.

use crate::{
    http::{self, Request, Response},
    json::{Value, quote},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, the key, and the item; `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// End and length of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// A running store.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves a store on an address.
    pub fn serve(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        let served = store.clone();
        http::serve(address, move |request| served.answer(request))?;
        let expired = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expired.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
        }
        self.0.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.get(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut state = self.0.0.lock().unwrap();
                state.end_lease(id.unwrap_or_default());
                self.0.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, request: &Request) -> Response {
        let state = self.0.0.lock().unwrap();
        let key = request.parameter("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let row = row(&key, item);
                let row = row.trim_end_matches('}');
                (200, format!("{row},\"as_of\":{}}}", state.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let state = self.0.0.lock().unwrap();
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let rows: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| row(key, item))
            .collect();
        let rows = rows.join(",");
        let as_of = state.revision;
        (
            200,
            format!("{{\"items\":[{rows}],\"has_more\":false,\"as_of\":{as_of}}}"),
        )
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or_default();
        let wait: u64 = number("wait_ms").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => row(key, item),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows = rows.join(",");
                let as_of = state.revision;
                return (200, format!("{{\"events\":[{rows}],\"as_of\":{as_of}}}"));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = Value::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.0.0.lock().unwrap();
        let holds = body.list("precondition").iter().all(|row| {
            let key = row.text("key").unwrap_or_default();
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            row.number("revision") == Some(revision)
        });
        if !holds {
            return (412, "{\"items\":[]}".to_owned());
        }
        let written = body.list("set_keys");
        for row in written {
            let key = row.text("key").unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            let lease = row.number("lease_id").unwrap_or_default();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.revision += 1;
        for row in written {
            let key = row.text("key").unwrap_or_default();
            let value = row.text("value").unwrap_or_default().to_owned();
            state.write(key, value, row.number("lease_id").unwrap_or_default());
        }
        for key in body.list("remove") {
            if let Value::Text(key) = key {
                state.remove(key);
            }
        }
        self.0.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, request: &Request) -> Response {
        let body = Value::parse(&request.body);
        let ttl = body.and_then(|body| body.number("ttl_ms"));
        let ttl = ttl.unwrap_or(1_000).clamp(1_000, 600_000);
        let length = Duration::from_millis(ttl);
        let mut state = self.0.0.lock().unwrap();
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, (Instant::now() + length, length));
        (200, format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, path: &str) -> Response {
        let id: u64 = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse().ok())
            .unwrap_or_default();
        let mut state = self.0.0.lock().unwrap();
        let Some((end, length)) = state.leases.get_mut(&id) else {
            return (404, "{}".to_owned());
        };
        *end = Instant::now() + *length;
        (200, format!("{{\"ttl_ms\":{}}}", length.as_millis()))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = |(_, item): &(&String, &Item)| item.lease == id;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(attached)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*chunk.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            if at <= chunk.len() {
                let digit = bits >> (18 - 6 * at) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
