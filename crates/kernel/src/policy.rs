//! The choice of a side for a task, as plug-ins that register themselves.
//!
//! A plug-in implements [`Policy`] and submits [`Plugin::of`] to the registry:
//!
//! ```text
//! inventory::submit! { Plugin::of::<MyPolicy>() }
//! ```

use crate::fleet::{Fleet, Key, Pool};
use rand::rngs::SmallRng;

/// Chooses where a task goes.
pub trait Policy {
    /// Name by which settings select the policy.
    const NAME: &'static str;

    /// One line for the operators.
    const SUMMARY: &'static str;

    /// Chooses a side from `pool`, or `None` to keep the task queued.
    fn choose(fleet: &mut Fleet, pool: Pool, random: &mut SmallRng) -> Option<Key>;
}

/// The signature of [`Policy::choose`].
pub type Choose = fn(&mut Fleet, Pool, &mut SmallRng) -> Option<Key>;

/// A registered policy.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// See [`Policy::NAME`].
    pub name: &'static str,
    /// See [`Policy::SUMMARY`].
    pub summary: &'static str,
    /// See [`Policy::choose`].
    pub choose: Choose,
}

impl Plugin {
    /// Makes the registration of a policy.
    pub const fn of<P: Policy>() -> Self {
        Self {
            name: P::NAME,
            summary: P::SUMMARY,
            choose: P::choose,
        }
    }

    /// Finds a registered policy.
    pub fn find(name: &str) -> Option<&'static Self> {
        Self::all().find(|plugin| plugin.name == name)
    }

    /// Returns every registered policy, in no particular order.
    pub fn all() -> impl Iterator<Item = &'static Self> {
        inventory::iter::<Self>.into_iter()
    }
}

inventory::collect!(Plugin);
