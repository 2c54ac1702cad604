//! Small stand-ins for what surrounds the dispatcher, for tests, `hyssopctl
//! demo` and `hyssopctl bench`. They are not part of the `hyssoppost` binary.

pub mod host;
pub mod relay;
pub mod server;
pub mod store;
pub mod timer;
