//! The sides of an entry, indexed by their free capacity.
//!
//! Sides with the same service and kinds form a pool. Each pool keeps its
//! eligible sides in buckets by the free share of their capacity, so that the
//! cost of a choice does not depend on the number of sides. Ranking by share
//! rather than by number of free slots sends tasks to a side that has just
//! returned, and has few slots in use, also at low load.

mod member;

pub use member::{Link, Member};

use hashbrown::HashMap;
use rand::{RngExt, rngs::SmallRng};
use std::time::Duration;
use wire::frame::{Load, Offer};

/// Consecutive failures after which a side is ejected while failures are rare
/// on all sides: they are then unlikely to be caused by the jobs.
const FAILURES_WHEN_RARE: u16 = 2;

/// Consecutive failures after which a side is ejected otherwise.
const FAILURES_WHEN_COMMON: u16 = 3;

/// Failure rate up to which failures count as rare.
const MAX_RARE_FAILURE_RATE: f64 = 0.04;

/// Weight of one result in the failure rate.
const RESULT_WEIGHT: f64 = 1.0 / 64.0;

/// Identifies a side within one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u32);

/// Identifies a pool within one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pool(usize);

/// Position of a side in its pool's buckets.
#[derive(Debug, Clone, Copy)]
struct Position {
    bucket: usize,
    index: usize,
}

#[derive(Debug, Default)]
struct Index {
    eligible: Vec<Key>,
    buckets: Vec<Vec<Key>>,
    cursor: usize,
}

/// All sides of an entry.
#[derive(Debug, Default)]
pub struct Fleet {
    members: Vec<Option<Member>>,
    free_keys: Vec<Key>,
    by_name: HashMap<String, Key>,
    profiles: HashMap<(String, Vec<String>), Pool>,
    serving: HashMap<String, HashMap<String, Vec<Pool>>>,
    pools: Vec<Index>,
    ejected: Vec<Key>,
    /// Exponentially weighted share of failures among the results of all sides.
    failure_rate: f64,
}

impl Fleet {
    /// Returns the number of sides.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no sides.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Adds a side. Its name is found from then on, also if another side has it.
    ///
    /// # Panics
    ///
    /// Panics with 2^32 sides.
    pub fn insert(&mut self, member: Member) -> Key {
        let key = self.free_keys.pop().unwrap_or_else(|| {
            self.members.push(None);
            Key(u32::try_from(self.members.len() - 1).expect("fewer than 2^32 sides"))
        });
        self.by_name.insert(member.name.clone(), key);
        self.members[key.0 as usize] = Some(member);
        self.reindex(key);
        key
    }

    /// Removes a side.
    pub fn remove(&mut self, key: Key) -> Option<Member> {
        self.deindex(key);
        let member = self.members[key.0 as usize].take()?;
        if self.by_name.get(&member.name) == Some(&key) {
            self.by_name.remove(&member.name);
        }
        self.ejected.retain(|other| *other != key);
        self.free_keys.push(key);
        Some(member)
    }

    /// Returns the side of this name.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.by_name.get(name).copied()
    }

    /// Returns a side.
    pub fn get(&self, key: Key) -> Option<&Member> {
        self.members.get(key.0 as usize)?.as_ref()
    }

    /// Returns all sides.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Member)> {
        self.members
            .iter()
            .enumerate()
            .filter_map(|(index, stored)| {
                let key = Key(u32::try_from(index).ok()?);
                stored.as_ref().map(|member| (key, member))
            })
    }

    /// Changes a side and updates its place in the index. Returns the result of
    /// `change`, or `None` if there is no such side.
    pub fn update<R>(&mut self, key: Key, change: impl FnOnce(&mut Member) -> R) -> Option<R> {
        let member = self.members.get_mut(key.0 as usize)?.as_mut()?;
        let result = change(member);
        self.reindex(key);
        Some(result)
    }

    /// Records a side's new offer.
    pub fn offer(&mut self, key: Key, offer: &Offer) {
        self.deindex(key);
        let pool = self.pool_for(offer);
        self.update(key, |member| {
            member.offer = offer.clone();
            member.pool = Some(pool);
        });
    }

    /// Records a side's report of its load from all entries.
    pub fn report(&mut self, key: Key, load: Load) {
        self.update(key, |member| {
            member.reported = load;
            member.other_tasks = (load.running + load.queued).saturating_sub(member.own_tasks);
        });
    }

    /// Records that a task has succeeded.
    pub fn succeeded(&mut self, key: Key) {
        self.failure_rate -= self.failure_rate * RESULT_WEIGHT;
        self.update(key, |member| {
            member.succeeded();
        });
    }

    /// Makes all slots of a side available at once.
    pub fn skip_ramp(&mut self, key: Key) {
        self.update(key, Member::skip_ramp);
    }

    /// Records that a task has failed; returns true if the side is ejected now.
    ///
    /// At least half of a pool stays in use: if more sides fail, the cause is
    /// not in single sides.
    pub fn failed(&mut self, key: Key, now: Duration) -> bool {
        let ejectable = self.may_eject(key);
        let threshold = if self.failure_rate <= MAX_RARE_FAILURE_RATE {
            FAILURES_WHEN_RARE
        } else {
            FAILURES_WHEN_COMMON
        };
        self.failure_rate += (1.0 - self.failure_rate) * RESULT_WEIGHT;
        let ejected_now = self.update(key, |member| member.failed(now, threshold, ejectable));
        if ejected_now == Some(true) {
            self.ejected.push(key);
        }
        ejected_now == Some(true)
    }

    /// Ends ejections whose time has passed; each such side gets one slot.
    pub fn end_ejections(&mut self, now: Duration) {
        let due: Vec<Key> = self.ejected.clone();
        for key in due {
            let ended = self.update(key, |member| member.end_ejection(now));
            if ended != Some(false) {
                self.ejected.retain(|other| *other != key);
            }
        }
    }

    /// Sets the state of a side's connection.
    pub fn set_link(&mut self, key: Key, link: Link) {
        self.update(key, |member| {
            if member.link != Link::Up && link == Link::Up {
                member.reset_ramp();
            }
            member.link = link;
        });
    }

    /// Sets [`Member::allowed`] of every side as `rule` returns it.
    pub fn allow(&mut self, rule: impl Fn(&Member) -> bool) {
        let keys: Vec<Key> = self.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.update(key, |member| {
                let allowed = rule(member);
                if allowed && !member.allowed {
                    member.reset_ramp();
                }
                member.allowed = allowed;
            });
        }
    }

    /// Returns the pools whose sides serve the request kind.
    pub fn pools_for(&self, service: &str, kind: &str) -> &[Pool] {
        self.serving
            .get(service)
            .and_then(|kinds| kinds.get(kind))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns whether any side that serves the request kind is eligible, or
    /// present without being eligible at the moment.
    pub fn is_served(&self, service: &str, kind: &str) -> bool {
        let pools = self.pools_for(service, kind);
        let eligible = pools.iter().any(|pool| !self.eligible(*pool).is_empty());
        eligible
            || self
                .iter()
                .any(|(_, member)| member.is_present() && member.serves(service, kind))
    }

    /// Returns the number of pools that have ever existed.
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Returns the eligible sides of a pool.
    pub fn eligible(&self, pool: Pool) -> &[Key] {
        &self.pools[pool.0].eligible
    }

    /// Advances the pool's round-robin cursor and returns its new value, which
    /// is not bounded by the size of the pool.
    pub fn advance_cursor(&mut self, pool: Pool) -> usize {
        let index = &mut self.pools[pool.0];
        index.cursor = index.cursor.wrapping_add(1);
        index.cursor
    }

    /// Returns a random side among those with the highest free share of their
    /// capacity, or `None` if no side has a free slot.
    pub fn least_utilized(&self, pool: Pool, random: &mut SmallRng) -> Option<Key> {
        let buckets = &self.pools[pool.0].buckets;
        let bucket = buckets.iter().skip(1).rev().find(|keys| !keys.is_empty())?;
        Some(bucket[random.random_range(0..bucket.len())])
    }

    fn may_eject(&self, key: Key) -> bool {
        let Some(pool) = self.get(key).and_then(|member| member.pool) else {
            return false;
        };
        let ejected = self
            .ejected
            .iter()
            .filter(|other| {
                self.get(**other)
                    .is_some_and(|side| side.pool == Some(pool))
            })
            .count();
        ejected < self.pools[pool.0].eligible.len()
    }

    fn pool_for(&mut self, offer: &Offer) -> Pool {
        let mut kinds = offer.kinds.clone();
        kinds.sort();
        let profile = (offer.service.clone(), kinds);
        if let Some(pool) = self.profiles.get(&profile) {
            return *pool;
        }
        let pool = Pool(self.pools.len());
        self.pools.push(Index::default());
        let serving = self.serving.entry(profile.0.clone()).or_default();
        for kind in &profile.1 {
            serving.entry(kind.clone()).or_default().push(pool);
        }
        self.profiles.insert(profile, pool);
        pool
    }

    fn reindex(&mut self, key: Key) {
        let Some(member) = self.get(key) else { return };
        let (Some(pool), true) = (member.pool, member.is_eligible()) else {
            self.deindex(key);
            return;
        };
        let bucket = member.level();
        if member.position.is_some_and(|at| at.bucket == bucket) {
            return;
        }
        self.remove_from_bucket(key, pool);
        self.add_to_bucket(key, pool, bucket);
        self.add_eligible(key, pool);
    }

    fn deindex(&mut self, key: Key) {
        let Some(pool) = self.get(key).and_then(|member| member.pool) else {
            return;
        };
        self.remove_from_bucket(key, pool);
        self.remove_eligible(key, pool);
    }

    fn add_to_bucket(&mut self, key: Key, pool: Pool, bucket: usize) {
        let buckets = &mut self.pools[pool.0].buckets;
        if buckets.len() <= bucket {
            buckets.resize_with(bucket + 1, Vec::new);
        }
        buckets[bucket].push(key);
        let index = buckets[bucket].len() - 1;
        if let Some(member) = self.member_mut(key) {
            member.position = Some(Position { bucket, index });
        }
    }

    fn remove_from_bucket(&mut self, key: Key, pool: Pool) {
        let Some(at) = self
            .member_mut(key)
            .and_then(|member| member.position.take())
        else {
            return;
        };
        let keys = &mut self.pools[pool.0].buckets[at.bucket];
        keys.swap_remove(at.index);
        let moved = keys.get(at.index).copied();
        if let Some(member) = moved.and_then(|moved| self.member_mut(moved)) {
            member.position = Some(at);
        }
    }

    fn add_eligible(&mut self, key: Key, pool: Pool) {
        let eligible = &mut self.pools[pool.0].eligible;
        let index = eligible.len();
        let Some(member) = self.members[key.0 as usize].as_mut() else {
            return;
        };
        if member.eligible_index.is_none() {
            eligible.push(key);
            member.eligible_index = Some(index);
        }
    }

    fn remove_eligible(&mut self, key: Key, pool: Pool) {
        let Some(index) = self
            .member_mut(key)
            .and_then(|member| member.eligible_index.take())
        else {
            return;
        };
        let eligible = &mut self.pools[pool.0].eligible;
        eligible.swap_remove(index);
        let moved = eligible.get(index).copied();
        if let Some(member) = moved.and_then(|moved| self.member_mut(moved)) {
            member.eligible_index = Some(index);
        }
    }

    fn member_mut(&mut self, key: Key) -> Option<&mut Member> {
        self.members.get_mut(key.0 as usize)?.as_mut()
    }
}
