//! Seeded bugs, to show that the model check finds them.
//!
//! Only with the feature `mutation`, which tests alone enable, and only on the
//! thread that asks; otherwise every check is compiled in for good.

/// A check that can be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A tombstoned job's tasks are accepted.
    Tombstone,
    /// Tasks are placed on a side before it has said what it holds.
    Handover,
    /// Tasks start in a failure domain that is out.
    DomainOut,
    /// Tasks start without a vouch for the configuration.
    Vouch,
    /// A lower revision replaces a higher one.
    Revert,
    /// A job is answered before its last task is.
    Partial,
    /// A lost side's tasks are sent again elsewhere.
    Resend,
    /// Runs of a silent entry go on.
    Orphan,
    /// Leases last three times as long as they may.
    LongLease,
    /// Room is given back when a stop is ordered, not when the run has ended.
    EarlyRoom,
    /// Ends that were sent on a lost connection are not sent again.
    LostEnd,
    /// An order without an answer counts as refused.
    Forgotten,
    /// Runs of a silent side count as over at once.
    EarlyOver,
    /// A new life of the upstream ends runs that may have reached it.
    EarlyLife,
    /// Older rules replace newer ones.
    OldRules,
    /// A job that comes again starts while its earlier runs may go on.
    AgainAtOnce,
    /// A step's kept room is never given back.
    KeptRoom,
    /// A repeated order that is refused counts as not carried out.
    RepeatTrusted,
}

#[cfg(feature = "mutation")]
mod switch {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static SEEDED: Cell<Option<Mutant>> = const { Cell::new(None) };
    }

    /// Removes a check on this thread, or restores all.
    pub fn seed(mutant: Option<Mutant>) {
        SEEDED.set(mutant);
    }

    pub(crate) fn is_seeded(mutant: Mutant) -> bool {
        SEEDED.get() == Some(mutant)
    }
}

#[cfg(feature = "mutation")]
pub use switch::seed;

#[cfg(feature = "mutation")]
pub(crate) use switch::is_seeded;

#[cfg(not(feature = "mutation"))]
pub(crate) const fn is_seeded(_mutant: Mutant) -> bool {
    false
}
