//! Client for etcd's HTTP/JSON gateway (API version 3).
//!
//! Follows the etcd documentation, "Why gRPC gateway", with paths under `/v3`.
//! Keys and values are encoded in base64, 64-bit numbers as decimal strings.

use crate::{
    Error, Store, Value,
    store::{Item, Lease, Listing},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use futures::StreamExt;
use serde::Deserialize;
use serde_json::{Value as Json, json};
use std::time::Duration;

/// Time after which a call fails as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of one store; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    http: reqwest::Client,
}

#[derive(Debug, Deserialize)]
struct Range {
    header: Header,
    #[serde(default)]
    kvs: Vec<Pair>,
}

#[derive(Debug, Deserialize)]
struct Header {
    revision: String,
}

#[derive(Debug, Deserialize)]
struct Pair {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Debug, Deserialize)]
struct Txn {
    #[serde(default)]
    succeeded: bool,
}

#[derive(Debug, Deserialize)]
struct Granted {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Debug, Deserialize)]
struct Renewal {
    result: Renewed,
}

#[derive(Debug, Deserialize)]
struct Renewed {
    #[serde(rename = "TTL", default)]
    ttl: Option<String>,
}

impl Client {
    /// Makes a client for the store at `address` (`IP:port`). Connections are
    /// opened by the first calls. Fails if the HTTP client can't be built.
    pub fn open(address: &str) -> Result<Self, Error> {
        Ok(Self {
            base: format!("http://{address}/v3"),
            http: reqwest::Client::builder().no_proxy().build()?,
        })
    }

    async fn call<T: for<'de> Deserialize<'de>>(&self, path: &str, body: Json) -> Result<T, Error> {
        let response = self
            .http
            .post(format!("{}{path}", self.base))
            .timeout(CALL_TIMEOUT)
            .json(&body)
            .send()
            .await?
            .error_for_status()?;
        Ok(response.json().await?)
    }

    async fn range(&self, body: Json) -> Result<Listing, Error> {
        let range: Range = self.call("/kv/range", body).await?;
        let items = range.kvs.into_iter().map(Pair::decode);
        Ok(Listing {
            revision: parse_u64(&range.header.revision)?,
            items: items.collect::<Result<_, _>>()?,
        })
    }
}

impl Pair {
    fn decode(self) -> Result<Item, Error> {
        let key = String::from_utf8(decode(&self.key)?)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let value = Value {
            bytes: decode(&self.value)?,
            revision: parse_u64(&self.mod_revision)?,
        };
        Ok(Item { key, value })
    }
}

impl Store for Client {
    type Error = Error;

    async fn get(&self, key: &str) -> Result<Option<Value>, Error> {
        let listing = self.range(json!({ "key": encode(key) })).await?;
        Ok(listing.items.into_iter().next().map(|item| item.value))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.range(json!({ "key": encode(prefix), "range_end": range_end(prefix) }))
            .await
    }

    async fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<bool, Error> {
        let compare = if expected == 0 {
            json!({ "key": encode(key), "target": "CREATE", "create_revision": "0" })
        } else {
            json!({ "key": encode(key), "target": "MOD", "mod_revision": expected.to_string() })
        };
        let put = json!({ "key": encode(key), "value": STANDARD.encode(bytes) });
        let body = json!({ "compare": [compare], "success": [{ "request_put": put }] });
        let txn: Txn = self.call("/kv/txn", body).await?;
        Ok(txn.succeeded)
    }

    async fn attach(&self, key: &str, bytes: &[u8], lease: Lease) -> Result<(), Error> {
        let body = json!({
            "key": encode(key),
            "value": STANDARD.encode(bytes),
            "lease": lease.0.to_string(),
        });
        let _: Json = self.call("/kv/put", body).await?;
        Ok(())
    }

    async fn grant(&self, seconds: u32) -> Result<Lease, Error> {
        let body = json!({ "TTL": seconds.to_string() });
        let granted: Granted = self.call("/lease/grant", body).await?;
        let id = granted.id.parse();
        id.map(Lease)
            .map_err(|_| Error::Malformed(format!("invalid lease identifier {:?}", granted.id)))
    }

    async fn renew(&self, lease: Lease) -> Result<bool, Error> {
        let body = json!({ "ID": lease.0.to_string() });
        let renewal: Renewal = self.call("/lease/keepalive", body).await?;
        Ok(renewal.result.ttl.is_some_and(|ttl| ttl != "0"))
    }

    async fn wait(&self, prefix: &str, after: u64) -> Result<bool, Error> {
        let create = json!({
            "key": encode(prefix),
            "range_end": range_end(prefix),
            "start_revision": (after + 1).to_string(),
        });
        let response = self
            .http
            .post(format!("{}/watch", self.base))
            .json(&json!({ "create_request": create }))
            .send()
            .await?
            .error_for_status()?;
        let mut chunks = response.bytes_stream();
        let changed = async {
            while let Some(chunk) = chunks.next().await {
                if String::from_utf8_lossy(&chunk?).contains("\"events\"") {
                    return Ok(true);
                }
            }
            Ok(false)
        };
        tokio::time::timeout(WATCH_TIMEOUT, changed)
            .await
            .unwrap_or(Ok(false))
    }
}

/// Returns the encoded end of the key range with the prefix: the prefix with its
/// last byte incremented. The prefix must not end with the byte 255.
fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    STANDARD.encode(end)
}

fn encode(key: &str) -> String {
    STANDARD.encode(key)
}

fn decode(text: &str) -> Result<Vec<u8>, Error> {
    STANDARD
        .decode(text)
        .map_err(|error| Error::Malformed(error.to_string()))
}

fn parse_u64(text: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| Error::Malformed(format!("invalid number {text:?}")))
}
