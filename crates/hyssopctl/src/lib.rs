//! The operators' and customers' tool.

pub mod client;
pub mod cmd;
pub mod error;
pub mod lab;
pub mod losses;
pub mod model;
pub mod status;
pub mod story;
pub mod util;

pub use error::Error;
