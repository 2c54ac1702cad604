//! Reads and publishes the operators' configuration document.
//!
//! Each environment has one key. Its value is the current document with its
//! revision and the identifier of the change that published it. A change is
//! published by compare-and-swap. If the answer is lost, the value is read back:
//! the change identifier shows whether the write took effect, so that no change
//! is published twice.

use crate::{Store, store::Value};
use serde::{Deserialize, Serialize};

/// Value of an environment's key, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision of the document; increases by one with each change.
    pub revision: u64,
    /// Identifier of the change that published the document.
    pub change: String,
    /// Name of the operator who made the change.
    pub author: String,
    /// Time of the change, in seconds since the Unix epoch.
    pub time: u64,
    /// The document, in INI format.
    pub text: String,
}

/// A record as it was read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Current {
    /// The decoded value.
    pub record: Record,
    /// Store revision at which the key was written, for compare-and-swap.
    pub version: u64,
}

/// Errors of reading and publishing. After [`Error::Store`] the change may have
/// been published.
#[derive(Debug, thiserror::Error)]
pub enum Error<E: std::error::Error> {
    /// The store did not answer, and the change could not be confirmed.
    #[error("{0}")]
    Store(E),
    /// Another change was published after the base that this change was planned
    /// on.
    #[error("revision {revision} by {author} (change {change}) was published first; plan again")]
    Conflict {
        /// Revision of the other change; 0 if the document was removed.
        revision: u64,
        /// Author of the other change.
        author: String,
        /// Identifier of the other change.
        change: String,
    },
    /// The value in the store is not a record.
    #[error("the document in the store is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A change to publish.
#[derive(Debug, Clone, Copy)]
pub struct Change<'a> {
    /// Identifier of the change; the same for every attempt to publish it.
    pub id: &'a str,
    /// Name of the operator who makes it.
    pub author: &'a str,
    /// Time of the change, in seconds since the Unix epoch.
    pub time: u64,
    /// The new document, in INI format.
    pub text: &'a str,
}

/// Returns the key of an environment's document.
pub fn key(environment: &str) -> String {
    format!("hyssoppost/{environment}/document")
}

/// Returns the prefix of the keys at which a region's entries register.
pub fn entries_prefix(environment: &str, region: &str) -> String {
    format!("hyssoppost/{environment}/entries/{region}/")
}

/// Reads an environment's document; returns `None` if none was published.
pub async fn read<S: Store>(
    store: &S,
    environment: &str,
) -> Result<Option<Current>, Error<S::Error>> {
    let value = store.get(&key(environment)).await.map_err(Error::Store)?;
    Ok(value.as_ref().map(decode).transpose()?)
}

/// Publishes a change to `base`, the record that it was planned on; `None` if
/// the environment has no document yet. Returns the published record.
pub async fn publish<S: Store>(
    store: &S,
    environment: &str,
    base: Option<&Current>,
    change: Change<'_>,
) -> Result<Record, Error<S::Error>> {
    let record = Record {
        revision: base.map_or(0, |current| current.record.revision) + 1,
        change: change.id.to_owned(),
        author: change.author.to_owned(),
        time: change.time,
        text: change.text.to_owned(),
    };
    let bytes = serde_json::to_vec(&record)?;
    let version = base.map_or(0, |current| current.version);
    let swapped = store.swap(&key(environment), version, &bytes).await;
    if matches!(swapped, Ok(true)) {
        return Ok(record);
    }
    // The write was refused or its answer was lost. The current value shows which.
    let stored = match read(store, environment).await {
        Ok(stored) => stored,
        Err(error) => return Err(swapped.err().map_or(error, Error::Store)),
    };
    resolve(swapped, record, stored)
}

fn resolve<E: std::error::Error>(
    swapped: Result<bool, E>,
    record: Record,
    stored: Option<Current>,
) -> Result<Record, Error<E>> {
    match (swapped, stored) {
        (_, Some(stored)) if stored.record.change == record.change => Ok(record),
        (Err(error), stored)
            if stored.as_ref().map_or(0, |latest| latest.record.revision) < record.revision =>
        {
            Err(Error::Store(error))
        }
        (_, Some(stored)) => Err(Error::Conflict {
            revision: stored.record.revision,
            author: stored.record.author,
            change: stored.record.change,
        }),
        (Err(error), None) => Err(Error::Store(error)),
        (Ok(_), None) => Err(Error::Conflict {
            revision: 0,
            author: "nobody".to_owned(),
            change: "removal".to_owned(),
        }),
    }
}

fn decode(value: &Value) -> Result<Current, serde_json::Error> {
    Ok(Current {
        record: serde_json::from_slice(&value.bytes)?,
        version: value.revision,
    })
}
