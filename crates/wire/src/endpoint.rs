//! Names and addresses of entries, which frames of all kinds contain.

use serde::{Deserialize, Serialize};

/// The name and address of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The entry's name, unique in its environment.
    pub name: String,
    /// Address at which the entry accepts connections, `IP:port`.
    pub address: String,
}
