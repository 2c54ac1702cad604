//! The sides that an entry knows, indexed by free capacity.
//!
//! Sides with the same service and kinds form a pool. Each pool keeps its
//! eligible sides in buckets by the free share of their capacity, so that a
//! choice costs the same whatever the number of sides. The share, not the
//! number, lets a side that has just come back prove itself at low load.

mod member;

pub use member::{Link, Member};

use hashbrown::HashMap;
use rand::{RngExt, rngs::SmallRng};
use std::time::Duration;
use wire::frame::{Load, Offer};

/// Consecutive failures after which a side is put aside: fewer while failures
/// are rare everywhere, since then they are hardly the jobs' fault.
const FAILURES_WHEN_RARE: u16 = 2;
const FAILURES_WHEN_COMMON: u16 = 3;

/// Share of failures among recent results up to which they count as rare.
const RARE: f64 = 0.04;

/// Weight of one result in the share of failures.
const RESULT_WEIGHT: f64 = 1.0 / 64.0;

/// Identifies a side within one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u32);

/// Identifies a pool within one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pool(usize);

/// Where a side stands in its pool's buckets.
#[derive(Debug, Clone, Copy)]
struct Position {
    bucket: usize,
    index: usize,
}

#[derive(Debug, Default)]
struct Index {
    ready: Vec<Key>,
    buckets: Vec<Vec<Key>>,
    cursor: usize,
}

/// All sides that an entry knows.
#[derive(Debug, Default)]
pub struct Fleet {
    members: Vec<Option<Member>>,
    vacant: Vec<Key>,
    by_name: HashMap<String, Key>,
    profiles: HashMap<(String, Vec<String>), Pool>,
    serving: HashMap<String, HashMap<String, Vec<Pool>>>,
    pools: Vec<Index>,
    aside: Vec<Key>,
    /// Share of failures among recent results of all sides.
    failing: f64,
}

impl Fleet {
    /// Returns the number of sides.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no side is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Adds a side, in place of an earlier one of the same name.
    ///
    /// # Panics
    ///
    /// With 2^32 sides.
    pub fn insert(&mut self, member: Member) -> Key {
        let key = self.vacant.pop().unwrap_or_else(|| {
            self.members.push(None);
            Key(u32::try_from(self.members.len() - 1).expect("fewer than 2^32 sides"))
        });
        self.by_name.insert(member.name.clone(), key);
        self.members[key.0 as usize] = Some(member);
        self.refresh(key);
        key
    }

    /// Removes a side.
    pub fn remove(&mut self, key: Key) -> Option<Member> {
        self.withdraw(key);
        let member = self.members[key.0 as usize].take()?;
        if self.by_name.get(&member.name) == Some(&key) {
            self.by_name.remove(&member.name);
        }
        self.aside.retain(|other| *other != key);
        self.vacant.push(key);
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
        self.members.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key(u32::try_from(index).ok()?);
            slot.as_ref().map(|member| (key, member))
        })
    }

    /// Changes a side and moves it to the bucket that it then belongs to.
    pub fn update<R>(&mut self, key: Key, change: impl FnOnce(&mut Member) -> R) -> Option<R> {
        let member = self.members.get_mut(key.0 as usize)?.as_mut()?;
        let result = change(member);
        self.refresh(key);
        Some(result)
    }

    /// Takes a new offer into account.
    pub fn offer(&mut self, key: Key, offer: &Offer) {
        self.withdraw(key);
        let pool = self.pool_of(offer);
        self.update(key, |member| {
            member.offer = offer.clone();
            member.pool = Some(pool);
        });
    }

    /// Records a load report that covers all entries.
    pub fn report(&mut self, key: Key, load: Load) {
        self.update(key, |member| {
            member.reported = load;
            member.other_tasks = (load.running + load.queued).saturating_sub(member.own_tasks);
        });
    }

    /// Records that a task succeeded.
    pub fn succeeded(&mut self, key: Key) {
        self.failing -= self.failing * RESULT_WEIGHT;
        self.update(key, |member| {
            member.succeeded();
        });
    }

    /// Lifts a side's ramp to its slots.
    pub fn warm(&mut self, key: Key) {
        self.update(key, Member::warm);
    }

    /// Records that a task failed; returns true if the side is put aside now.
    ///
    /// At least half of a pool stays in use, since a fault that hits more is
    /// not the fault of single sides.
    pub fn failed(&mut self, key: Key, now: Duration) -> bool {
        let may = self.may_set_aside(key);
        let enough = if self.failing <= RARE {
            FAILURES_WHEN_RARE
        } else {
            FAILURES_WHEN_COMMON
        };
        self.failing += (1.0 - self.failing) * RESULT_WEIGHT;
        let newly = self.update(key, |member| member.failed(now, enough, may));
        if newly == Some(true) {
            self.aside.push(key);
        }
        newly == Some(true)
    }

    /// Gives sides whose time aside is over one slot to prove themselves.
    pub fn probe(&mut self, now: Duration) {
        let due: Vec<Key> = self.aside.clone();
        for key in due {
            let ended = self.update(key, |member| member.probe(now));
            if ended != Some(false) {
                self.aside.retain(|other| *other != key);
            }
        }
    }

    /// Marks a side lost or connected.
    pub fn set_link(&mut self, key: Key, link: Link) {
        self.update(key, |member| {
            if member.link != Link::Up && link == Link::Up {
                member.reset_ramp();
            }
            member.link = link;
        });
    }

    /// Applies the document's rules to every side.
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

    /// Returns the pools whose sides answer the request kind.
    pub fn serving(&self, service: &str, kind: &str) -> &[Pool] {
        self.serving
            .get(service)
            .and_then(|kinds| kinds.get(kind))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns whether any side that answers the request kind is there, even
    /// if it takes no task at this moment.
    pub fn is_served(&self, service: &str, kind: &str) -> bool {
        let pools = self.serving(service, kind);
        let ready = pools.iter().any(|pool| !self.ready(*pool).is_empty());
        ready
            || self
                .iter()
                .any(|(_, member)| member.is_present() && member.serves(service, kind))
    }

    /// Returns the number of pools ever seen.
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Returns the eligible sides of a pool.
    pub fn ready(&self, pool: Pool) -> &[Key] {
        &self.pools[pool.0].ready
    }

    /// Returns and advances the pool's round-robin cursor.
    pub fn advance(&mut self, pool: Pool) -> usize {
        let index = &mut self.pools[pool.0];
        index.cursor = index.cursor.wrapping_add(1);
        index.cursor
    }

    /// Returns a random side among those with the greatest free share of their
    /// capacity, or `None` if no side has any.
    pub fn freest(&self, pool: Pool, random: &mut SmallRng) -> Option<Key> {
        let buckets = &self.pools[pool.0].buckets;
        let bucket = buckets.iter().skip(1).rev().find(|keys| !keys.is_empty())?;
        Some(bucket[random.random_range(0..bucket.len())])
    }

    fn may_set_aside(&self, key: Key) -> bool {
        let Some(pool) = self.get(key).and_then(|member| member.pool) else {
            return false;
        };
        let aside = self
            .aside
            .iter()
            .filter(|other| {
                self.get(**other)
                    .is_some_and(|side| side.pool == Some(pool))
            })
            .count();
        aside < self.pools[pool.0].ready.len()
    }

    fn pool_of(&mut self, offer: &Offer) -> Pool {
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

    fn refresh(&mut self, key: Key) {
        let Some(member) = self.get(key) else { return };
        let (Some(pool), true) = (member.pool, member.is_eligible()) else {
            self.withdraw(key);
            return;
        };
        let bucket = member.level();
        if member.bucket_at.is_some_and(|at| at.bucket == bucket) {
            return;
        }
        self.leave_bucket(key, pool);
        self.enter_bucket(key, pool, bucket);
        self.enter_ready(key, pool);
    }

    fn withdraw(&mut self, key: Key) {
        let Some(pool) = self.get(key).and_then(|member| member.pool) else {
            return;
        };
        self.leave_bucket(key, pool);
        self.leave_ready(key, pool);
    }

    fn enter_bucket(&mut self, key: Key, pool: Pool, bucket: usize) {
        let buckets = &mut self.pools[pool.0].buckets;
        if buckets.len() <= bucket {
            buckets.resize_with(bucket + 1, Vec::new);
        }
        buckets[bucket].push(key);
        let index = buckets[bucket].len() - 1;
        if let Some(member) = self.slot(key) {
            member.bucket_at = Some(Position { bucket, index });
        }
    }

    fn leave_bucket(&mut self, key: Key, pool: Pool) {
        let Some(at) = self.slot(key).and_then(|member| member.bucket_at.take()) else {
            return;
        };
        let keys = &mut self.pools[pool.0].buckets[at.bucket];
        keys.swap_remove(at.index);
        let moved = keys.get(at.index).copied();
        if let Some(member) = moved.and_then(|moved| self.slot(moved)) {
            member.bucket_at = Some(at);
        }
    }

    fn enter_ready(&mut self, key: Key, pool: Pool) {
        let ready = &mut self.pools[pool.0].ready;
        let index = ready.len();
        let Some(member) = self.members[key.0 as usize].as_mut() else {
            return;
        };
        if member.ready_at.is_none() {
            ready.push(key);
            member.ready_at = Some(index);
        }
    }

    fn leave_ready(&mut self, key: Key, pool: Pool) {
        let Some(index) = self.slot(key).and_then(|member| member.ready_at.take()) else {
            return;
        };
        let ready = &mut self.pools[pool.0].ready;
        ready.swap_remove(index);
        let moved = ready.get(index).copied();
        if let Some(member) = moved.and_then(|moved| self.slot(moved)) {
            member.ready_at = Some(index);
        }
    }

    fn slot(&mut self, key: Key) -> Option<&mut Member> {
        self.members.get_mut(key.0 as usize)?.as_mut()
    }
}
