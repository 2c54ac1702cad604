//! Operations of the platform's store that the dispatcher uses.

use std::{future::Future, time::Duration};

/// A key's value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Content, opaque to the store.
    pub bytes: Vec<u8>,
    /// Store revision at which the value was written; at least 1.
    pub revision: u64,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Full key, with the listed prefix.
    pub key: String,
    /// Value at the listing's revision.
    pub value: Value,
}

/// All keys with a prefix, at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Store revision at which the keys were read.
    pub revision: u64,
    /// Keys with their values.
    pub items: Vec<Item>,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed(String),
}

/// The changes of all keys with a prefix between two revisions of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Store revision up to which the changes are complete.
    pub revision: u64,
    /// The changes in their order.
    pub changes: Vec<Change>,
}

impl Listing {
    /// Brings the listing to the revision of `changes`, which must continue it.
    pub fn apply(&mut self, changes: Changes) {
        self.revision = changes.revision;
        for change in changes.changes {
            let key = match &change {
                Change::Written(item) => &item.key,
                Change::Removed(key) => key,
            };
            self.items.retain(|item| item.key != *key);
            if let Change::Written(item) = change {
                self.items.push(item);
            }
        }
    }
}

/// Identifier of a lease. The store deletes the keys attached to a lease when
/// it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease(pub i64);

/// A key-value service with compare-and-swap, leases and watches.
///
/// Each call counts against the service's rate limit, including a waiting
/// watch. A failed write may have taken effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Error of a failed call.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Reads a key; returns `None` if it is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Value>, Self::Error>> + Send;

    /// Reads all keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Self::Error>> + Send;

    /// Writes a key if its value still has the revision `expected`; 0 means that
    /// the key is absent. Returns whether the key was written.
    fn swap(
        &self,
        key: &str,
        expected: u64,
        bytes: &[u8],
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Writes a key and attaches it to a lease.
    fn attach(
        &self,
        key: &str,
        bytes: &[u8],
        lease: Lease,
    ) -> impl Future<Output = Result<(), Self::Error>> + Send;

    /// Creates a lease that expires `seconds` after its creation or last renewal.
    fn grant(&self, seconds: u32) -> impl Future<Output = Result<Lease, Self::Error>> + Send;

    /// Renews a lease; returns false if it has expired.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Waits until a key with the prefix changes after the store revision `after`,
    /// but no longer than some seconds. Returns whether a key may have changed.
    fn wait(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;
}

/// A [`Store`] that returns the changes of its keys themselves.
pub trait History: Store {
    /// Returns the changes of the keys with a prefix after the store revision
    /// `after`, as soon as there is one, or none after `wait`. Returns `None` if
    /// the store no longer has this history: the keys must be listed again.
    fn changes(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Changes>, Self::Error>> + Send;
}
