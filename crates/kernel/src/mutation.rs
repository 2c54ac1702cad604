//! Mutants for mutation testing: safety checks that the model check must find
//! missing.
//!
//! A check is removed only with the feature `mutation`, which only tests enable,
//! and only on the thread that calls `seed`. Without the feature every check is
//! compiled in unconditionally.

/// A safety check that can be removed; each variant names the resulting fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A side accepts tasks of a tombstoned job.
    Tombstone,
    /// Tasks are placed on a side before its handover has arrived.
    Handover,
    /// Tasks start in a failure domain that is out.
    DomainOut,
    /// Tasks start without a recent confirmation of the configuration.
    Vouch,
    /// A lower revision replaces a higher one.
    Revert,
    /// A job is answered before all of its tasks are.
    Partial,
    /// Tasks of a lost side are sent to another side.
    Resend,
    /// Runs of an entry that is silent continue.
    Orphan,
    /// Leases are granted and renewed while a run that should have been stopped may go on.
    RenewedStop,
    /// Stop orders that were lost with a connection are not repeated.
    LostStop,
    /// Leases last three times as long as allowed.
    LongLease,
    /// A run's resources are released when its stop is requested, not when it
    /// has ended.
    EarlyRoom,
    /// Reports of ended runs that were lost with a connection are not sent again.
    LostEnd,
    /// A start order without an answer counts as refused.
    Forgotten,
    /// Runs at a silent side count as ended immediately.
    EarlyOver,
    /// A restart of the upstream ends runs that may have reached the new process.
    EarlyLife,
    /// Older rules replace newer ones.
    OldRules,
    /// A resubmitted job starts while its earlier runs may still be running.
    AgainAtOnce,
    /// Resources that are reserved for a step are never released.
    KeptRoom,
    /// The refusal of a repeated start order counts as proof that the run did not
    /// start.
    RepeatTrusted,
    /// A side takes tasks from an entry that it has released.
    ReleasedEntry,
    /// A job starts at an entry while another one holds it.
    TwoHolders,
    /// A forwarded job whose owner is lost is forwarded to another entry at once, so
    /// that both run it.
    ForwardedTwice,
    /// The owner of forwarded jobs keeps them although it has lost the entry that
    /// forwarded them.
    KeptForward,
    /// A forwarded job is taken over however old its frame is.
    StaleForward,
    /// The rate learnt of an upstream is kept over its restart.
    KeptRate,
    /// Crashes of upstreams do not count against the tasks that were there.
    CrashForgotten,
    /// A host's capacity is used however old its report is.
    OldCapacity,
    /// What the store had at an older revision replaces what it had at a newer one.
    OldAvailability,
    /// A side relies on a failure domain being in service however old that knowledge is.
    StaleAvailability,
    /// A side starts runs although it knows that its failure domain is out of service.
    SideDomainOut,
    /// Time in which a host was suspended counts for the leases of its upstream.
    SuspensionCounted,
    /// The first contact with an entry lets its runs go on.
    RenewedByContact,
    /// An entry lets runs go on without knowing whether their customers have left.
    UnreadDeparture,
    /// A forwarder lets its jobs go on without knowing whether their customers have left.
    UnreadForward,
    /// An entry's orders let its other runs go on.
    OrderRenews,
    /// One refused connection counts as the end of an upstream's process.
    RefusedOnce,
    /// A frame that was decided on for one connection is sent on the next one.
    LateFrame,
    /// An entry that resumes starts tasks before it has read what arrived meanwhile.
    PausedCatchUp,
}

#[cfg(feature = "mutation")]
mod switch {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static SEEDED: Cell<Option<Mutant>> = const { Cell::new(None) };
    }

    /// Removes one check on this thread, or restores all with `None`.
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
