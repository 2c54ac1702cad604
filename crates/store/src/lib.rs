//! The platform's key-value service, as the dispatcher sees it.
//!
//! [`Store`] is the small set of operations that the dispatcher needs;
//! [`gateway::Client`] provides them over etcd's published HTTP/JSON gateway.
//! Nothing is written for a job: the store holds the operators' configuration
//! and the addresses of the entries.

pub mod error;
pub mod gateway;
pub mod publication;
pub mod store;

pub use error::Error;
pub use store::{Store, Value};
