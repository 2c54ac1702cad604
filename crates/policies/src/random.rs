//! Baseline: any eligible side.

use kernel::{
    fleet::{Fleet, Key, Pool},
    policy::{Plugin, Policy},
};
use rand::{RngExt, rngs::SmallRng};

/// Places each task at once, on a side drawn at random.
#[derive(Debug)]
pub struct Random;

impl Policy for Random {
    const NAME: &'static str = "random";
    const SUMMARY: &'static str = "baseline: place at once on a side drawn at random";

    fn choose(fleet: &mut Fleet, pool: Pool, random: &mut SmallRng) -> Option<Key> {
        let ready = fleet.ready(pool);
        if ready.is_empty() {
            return None;
        }
        Some(ready[random.random_range(0..ready.len())])
    }
}

inventory::submit! { Plugin::of::<Random>() }
