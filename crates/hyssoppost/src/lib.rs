//! The dispatcher's two processes: the entry, which accepts jobs and places
//! their tasks, and the side, which starts them at the upstream beside it.

pub mod admin;
pub mod budget;
pub mod clock;
mod departure;
pub mod entry;
pub mod error;
pub mod http;
pub mod leased;
pub mod link;
pub mod logging;
mod mesh;
mod meter;
pub mod reload;
pub mod settings;
pub mod side;
pub mod usage;

pub use error::Error;
