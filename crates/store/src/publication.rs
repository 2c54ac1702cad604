//! The operators' document as it stands in the store, and how it is changed.
//!
//! One key for each environment holds the document in force with its revision
//! and the identifier of the change that made it. A change is made by
//! compare-and-swap. If the answer is lost, the value is read back: the change
//! identifier tells whether the write took effect, so it is never made twice.

use crate::{Store, store::Value};
use serde::{Deserialize, Serialize};

/// The value in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision of the document; rises by one with each change.
    pub revision: u64,
    /// Identifies the change.
    pub change: String,
    /// Who made the change.
    pub author: String,
    /// When, in seconds since the Unix epoch.
    pub time: u64,
    /// The document, in INI.
    pub text: String,
}

/// A record with the store's version of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Current {
    /// The record.
    pub record: Record,
    /// The store's revision of the key, for compare-and-swap.
    pub version: u64,
}

/// A change was not made, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum Error<E: std::error::Error> {
    /// The store did not answer; nothing is known to have changed.
    #[error("{0}")]
    Store(E),
    /// Another change came first.
    #[error("revision {revision} by {author} (change {change}) came first; plan again")]
    Conflict {
        /// Its revision.
        revision: u64,
        /// Its author.
        author: String,
        /// Its identifier.
        change: String,
    },
    /// The value in the store is not a record.
    #[error("the store holds no readable document: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// What is to be published.
#[derive(Debug, Clone, Copy)]
pub struct Change<'a> {
    /// Identifies the change; the same for every try.
    pub id: &'a str,
    /// Who makes it.
    pub author: &'a str,
    /// When, in seconds since the Unix epoch.
    pub time: u64,
    /// The new document.
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

/// Reads an environment's document.
pub async fn read<S: Store>(
    store: &S,
    environment: &str,
) -> Result<Option<Current>, Error<S::Error>> {
    let value = store.get(&key(environment)).await.map_err(Error::Store)?;
    Ok(value.as_ref().map(decode).transpose()?)
}

/// Publishes a change on top of `base`, the record that was planned against.
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
    let written = store.swap(&key(environment), version, &bytes).await;
    if matches!(written, Ok(true)) {
        return Ok(record);
    }
    // Refused, or the answer was lost: what stands there now decides.
    let standing = match read(store, environment).await {
        Ok(standing) => standing,
        Err(error) => return Err(written.err().map_or(error, Error::Store)),
    };
    settle(written, record, standing)
}

fn settle<E: std::error::Error>(
    written: Result<bool, E>,
    record: Record,
    standing: Option<Current>,
) -> Result<Record, Error<E>> {
    match (written, standing) {
        (_, Some(standing)) if standing.record.change == record.change => Ok(record),
        (Err(error), standing)
            if standing.as_ref().map_or(0, |at| at.record.revision) < record.revision =>
        {
            Err(Error::Store(error))
        }
        (_, Some(standing)) => Err(Error::Conflict {
            revision: standing.record.revision,
            author: standing.record.author,
            change: standing.record.change,
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
