//! The commands, one file each, and what they share.

pub mod bench;
pub mod check;
pub mod demo;
pub mod domain;
pub mod dump;
pub mod explain;
pub mod losses;
pub mod progress;
pub mod publish;
pub mod publisher;
pub mod simulate;
pub mod slopes;
pub mod status;
pub mod submit;
