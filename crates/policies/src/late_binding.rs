//! Late binding: tasks stay queued at the entry until a side has a free slot.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::rngs::SmallRng;

/// Places a task only on a side with a free slot by the entry's estimate, on one
/// with the highest free share of its capacity.
///
/// Since the queue is at the entry, a task is bound to a side as late as
/// possible and does not wait behind another job's straggler.
#[derive(Debug)]
pub struct LateBinding;

impl Policy for LateBinding {
    const NAME: &'static str = "late-binding";
    const SUMMARY: &'static str = "queue at the entry; place on the side with most free slots";

    fn choose(fleet: &mut Fleet, pool: Pool, random: &mut SmallRng) -> Option<Key> {
        fleet.least_utilized(pool, random)
    }
}

inventory::submit! { Plugin::of::<LateBinding>() }
