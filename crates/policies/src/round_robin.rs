//! Baseline: round robin over the eligible sides.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::rngs::SmallRng;

/// Places each task immediately, on the next eligible side.
#[derive(Debug)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    const NAME: &'static str = "round-robin";
    const SUMMARY: &'static str = "baseline: place at once on the next side in turn";

    fn choose(fleet: &mut Fleet, pool: Pool, _random: &mut SmallRng) -> Option<Key> {
        let cursor = fleet.advance_cursor(pool);
        let eligible = fleet.eligible(pool);
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[cursor % eligible.len()])
    }
}

inventory::submit! { Plugin::of::<RoundRobin>() }
