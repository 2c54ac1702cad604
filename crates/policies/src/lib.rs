//! Placement policies. Linking the crate registers them all.

mod late_binding;
mod least_loaded;
mod random;
mod round_robin;

pub use late_binding::LateBinding;
pub use least_loaded::LeastLoaded;
pub use random::Random;
pub use round_robin::RoundRobin;

/// Name of the policy that is used unless settings name another.
pub const DEFAULT: &str = "late-binding";
