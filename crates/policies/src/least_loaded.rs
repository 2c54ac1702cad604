//! Baseline: the side with the lowest reported load.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::rngs::SmallRng;

/// Places each task immediately, on the eligible side whose last report shows
/// the lowest load. Tasks sent since that report are not counted.
#[derive(Debug)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    const NAME: &'static str = "least-loaded";
    const SUMMARY: &'static str = "baseline: place at once on the side that reported least load";

    fn choose(fleet: &mut Fleet, pool: Pool, _random: &mut SmallRng) -> Option<Key> {
        let cursor = fleet.advance_cursor(pool);
        let eligible = fleet.eligible(pool);
        let load = |key: &Key| {
            fleet
                .get(*key)
                .map(|member| member.reported.running + member.reported.queued)
        };
        let (after, before) = eligible.split_at(cursor % eligible.len().max(1));
        before
            .iter()
            .chain(after)
            .min_by_key(|key| load(key))
            .copied()
    }
}

inventory::submit! { Plugin::of::<LeastLoaded>() }
