//! A whole site in one process, over real loopback sockets: entries, sides,
//! simulated hosts, a simulated store, and relays that simulate the network.

pub mod load;
pub mod plan;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod site;
pub mod table;

pub use plan::Plan;
pub use report::Report;
pub use site::Site;
