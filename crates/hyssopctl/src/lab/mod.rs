//! A whole site in one process, over real loopback sockets: entries, sides,
//! host stand-ins, a store stand-in, and relays that imitate the network.

pub mod drive;
pub mod load;
pub mod plan;
pub mod report;
pub mod scenario;
pub mod site;
pub mod table;

pub use plan::Plan;
pub use report::Report;
pub use site::Site;
