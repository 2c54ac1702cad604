//! Placement policies. Linking this crate registers all of them.

mod late_binding;
mod least_loaded;
mod random;
mod round_robin;

pub use late_binding::LateBinding;
pub use least_loaded::LeastLoaded;
pub use random::Random;
pub use round_robin::RoundRobin;

/// Name of the policy used unless the settings name another.
pub const DEFAULT: &str = "late-binding";
