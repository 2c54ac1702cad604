//! A site of leased tasks in virtual time: the product's own kernels, and
//! simple policies beside them, under the same jobs.
//!
//! Hosts run what they are given at their own speed; what differs between the
//! policies is who waits, who is refused and where work goes. The baselines and
//! the oracle know all hosts at once and without delay, which no real
//! dispatcher does; the oracle knows each job's run time as well.

pub mod central;
pub mod day;
pub mod hosts;
pub mod product;
pub mod tally;

use central::Order;
pub use day::{Day, Job, Shape};
pub use tally::{End, Tally};

/// A policy that the model compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// One queue in the order of arrival; nobody is refused.
    Fifo,
    /// One queue by priority, then by objective; what is of no use any more is
    /// dropped.
    Urgent,
    /// The product: its entries and sides with a network between them.
    Product,
    /// One queue that knows every run time: what would be late waits behind all
    /// others, and is refused as soon as it is of no use.
    Oracle,
}

/// All policies, in the order of the table.
pub const POLICIES: [Policy; 4] = [
    Policy::Fifo,
    Policy::Urgent,
    Policy::Product,
    Policy::Oracle,
];

impl Policy {
    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Urgent => "urgent",
            Self::Product => "hyssoppost",
            Self::Oracle => "oracle",
        }
    }

    /// Plays a day and counts how its jobs ended.
    pub fn play(self, day: &Day) -> Tally {
        let ends = match self {
            Self::Product => product::play(day),
            Self::Fifo => central::play(day, Order::Fifo),
            Self::Urgent => central::play(day, Order::Urgent),
            Self::Oracle => central::play(day, Order::Oracle),
        };
        Tally::new(day, &ends)
    }
}
