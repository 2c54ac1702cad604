//! Command-line tool for operators and customers.

pub mod client;
pub mod cmd;
pub mod error;
pub mod lab;
pub mod losses;
pub mod model;
pub mod status;
pub mod trace;
pub mod util;

pub use error::Error;
