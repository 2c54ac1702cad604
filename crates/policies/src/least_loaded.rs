//! Baseline: the side that last reported the least load.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::rngs::SmallRng;

/// Places each task at once, on the side whose last report shows the least
/// load; the report lags behind.
#[derive(Debug)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    const NAME: &'static str = "least-loaded";
    const SUMMARY: &'static str = "baseline: place at once on the side that reported least load";

    fn choose(fleet: &mut Fleet, pool: Pool, _random: &mut SmallRng) -> Option<Key> {
        let turn = fleet.advance(pool);
        let ready = fleet.ready(pool);
        let load = |key: &Key| {
            fleet
                .get(*key)
                .map(|member| member.reported.running + member.reported.queued)
        };
        let (after, before) = ready.split_at(turn % ready.len().max(1));
        before
            .iter()
            .chain(after)
            .min_by_key(|key| load(key))
            .copied()
    }
}

inventory::submit! { Plugin::of::<LeastLoaded>() }
