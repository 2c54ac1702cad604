//! Baseline: the eligible sides in turn.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::rngs::SmallRng;

/// Places each task at once, on the next side in turn.
#[derive(Debug)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    const NAME: &'static str = "round-robin";
    const SUMMARY: &'static str = "baseline: place at once on the next side in turn";

    fn choose(fleet: &mut Fleet, pool: Pool, _random: &mut SmallRng) -> Option<Key> {
        let turn = fleet.advance(pool);
        let ready = fleet.ready(pool);
        if ready.is_empty() {
            return None;
        }
        Some(ready[turn % ready.len()])
    }
}

inventory::submit! { Plugin::of::<RoundRobin>() }
