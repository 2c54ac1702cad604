//! Stand-ins for the dispatcher's environment, for tests, `hyssopctl demo` and
//! `hyssopctl bench`: upstreams, the key-value store and the network. They are
//! not part of the `hyssoppost` binary.

pub mod host;
pub mod relay;
pub mod server;
pub mod store;
pub mod timer;
