//! Names and addresses of entries, which frames of all kinds contain.

use serde::{Deserialize, Serialize};

/// The name and address of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The entry's name, unique in its environment.
    pub name: String,
    /// Address at which the entry accepts connections, `IP:port`.
    pub address: String,
    /// Processor available to the entry, in thousandths of a core; 0 if it is
    /// unknown.
    pub processor: u32,
}
