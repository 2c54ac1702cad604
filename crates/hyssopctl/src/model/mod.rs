//! Simulates leased tasks on a site in virtual time: compares the product's own
//! kernels with simple policies on the same jobs and hosts.
//!
//! The policies decide the order of the queue, the refusals and the placement;
//! the hosts behave the same under all of them. The baselines and the oracle see
//! all hosts without delay, which is impossible for a real dispatcher, and the
//! oracle also knows the run time of each job.

pub mod central;
pub mod hosts;
pub mod product;
pub mod tally;
pub mod workload;

use central::Order;
pub use tally::{End, Tally};
pub use workload::{Job, Parameters, Workload};

/// A policy that the model compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// One queue in the order of arrival; a job is refused only when its customer
    /// stops waiting.
    Fifo,
    /// One queue by priority, then by objective; jobs whose answer would be
    /// useless are refused.
    Urgent,
    /// The product's entries and sides, connected by a simulated network.
    Product,
    /// One queue with known run times: jobs that will be late wait behind all
    /// others and are refused as soon as their answer would be useless.
    Oracle,
}

/// All policies in the order of the table.
pub const POLICIES: [Policy; 4] = [
    Policy::Fifo,
    Policy::Urgent,
    Policy::Product,
    Policy::Oracle,
];

impl Policy {
    /// Returns the name shown in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Urgent => "urgent",
            Self::Product => "hyssoppost",
            Self::Oracle => "oracle",
        }
    }

    /// Simulates a workload under the policy and counts how its jobs ended.
    pub fn simulate(self, workload: &Workload) -> Tally {
        let ends = match self {
            Self::Product => product::simulate(workload),
            Self::Fifo => central::simulate(workload, Order::Fifo),
            Self::Urgent => central::simulate(workload, Order::Urgent),
            Self::Oracle => central::simulate(workload, Order::Oracle),
        };
        Tally::new(workload, &ends)
    }
}
