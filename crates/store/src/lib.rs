//! Access to the platform's key-value service.
//!
//! [`Store`] has the few operations that the dispatcher needs;
//! [`gateway::Client`] implements them with etcd's HTTP/JSON gateway. The store
//! holds the operators' configuration and the addresses of the entries; jobs
//! write nothing to it.

pub mod error;
pub mod gateway;
pub mod publication;
pub mod store;

pub use error::Error;
pub use store::{History, Store, Value};
