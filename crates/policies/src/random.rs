//! Baseline: a random eligible side.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::{RngExt, rngs::SmallRng};

/// Places each task immediately, on a random eligible side.
#[derive(Debug)]
pub struct Random;

impl Policy for Random {
    const NAME: &'static str = "random";
    const SUMMARY: &'static str = "baseline: place at once on a side drawn at random";

    fn choose(fleet: &mut Fleet, pool: Pool, random: &mut SmallRng) -> Option<Key> {
        let eligible = fleet.eligible(pool);
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[random.random_range(0..eligible.len())])
    }
}

inventory::submit! { Plugin::of::<Random>() }
