//! Keeps tasks queued at the entry until a side has a free slot.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::rngs::SmallRng;

/// Places a task only where a slot is believed free, on a side with the most.
///
/// The queue stays at the entry, so a task is bound to a side as late as
/// possible and never waits behind another job's straggler.
#[derive(Debug)]
pub struct LateBinding;

impl Policy for LateBinding {
    const NAME: &'static str = "late-binding";
    const SUMMARY: &'static str = "queue at the entry; place on the side with most free slots";

    fn choose(fleet: &mut Fleet, pool: Pool, random: &mut SmallRng) -> Option<Key> {
        fleet.freest(pool, random)
    }
}

inventory::submit! { Plugin::of::<LateBinding>() }
