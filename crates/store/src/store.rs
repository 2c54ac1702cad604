//! The operations that the dispatcher asks of the platform's store.

use std::future::Future;

/// A key's value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The store's revision at which the value was written; never 0.
    pub revision: u64,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Value,
}

/// All keys with a prefix, as they stood at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The store's revision.
    pub revision: u64,
    /// The keys with their values.
    pub items: Vec<Item>,
}

/// A lease: keys attached to it vanish unless it is renewed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease(pub i64);

/// A key-value service with compare-and-swap, leases and watches.
///
/// Each call counts as one against the service's rate, a waiting watch
/// included. A failed write may have taken effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Why a call failed.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Value>, Self::Error>> + Send;

    /// Reads all keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Self::Error>> + Send;

    /// Writes a key if its value still has `expected` as revision (0: the key
    /// is absent). Returns whether the write was made.
    fn swap(
        &self,
        key: &str,
        expected: u64,
        bytes: &[u8],
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Writes a key that vanishes with a lease.
    fn attach(
        &self,
        key: &str,
        bytes: &[u8],
        lease: Lease,
    ) -> impl Future<Output = Result<(), Self::Error>> + Send;

    /// Makes a lease of `seconds`.
    fn grant(&self, seconds: u32) -> impl Future<Output = Result<Lease, Self::Error>> + Send;

    /// Renews a lease. Returns false if it has lapsed.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Waits until a key with the prefix changes after the store's revision
    /// `after`, or for some seconds. Returns whether one may have changed.
    fn wait(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;
}
