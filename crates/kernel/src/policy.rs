//! Placement policies, as plug-ins that register themselves at link time.
//!
//! A plug-in implements [`Policy`] and submits a [`Plugin`] to the registry:
//!
//! ```text
//! inventory::submit! { Plugin::of::<MyPolicy>() }
//! ```

use crate::fleet::{Fleet, Key, Pool};
use rand::rngs::SmallRng;

/// Chooses a side for each task.
pub trait Policy {
    /// Name that selects the policy in the settings.
    const NAME: &'static str;

    /// One-line description for operators.
    const SUMMARY: &'static str;

    /// Chooses a side from `pool`, or `None` to keep the task queued.
    fn choose(fleet: &mut Fleet, pool: Pool, random: &mut SmallRng) -> Option<Key>;
}

/// Signature of [`Policy::choose`].
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
    /// Creates the registration of a policy.
    pub const fn of<P: Policy>() -> Self {
        Self {
            name: P::NAME,
            summary: P::SUMMARY,
            choose: P::choose,
        }
    }

    /// Returns the registered policy of this name.
    pub fn find(name: &str) -> Option<&'static Self> {
        Self::all().find(|plugin| plugin.name == name)
    }

    /// Returns every registered policy, in no particular order.
    pub fn all() -> impl Iterator<Item = &'static Self> {
        inventory::iter::<Self>.into_iter()
    }
}

inventory::collect!(Plugin);
