//! The commands, a file each.

pub mod bench;
pub mod check;
pub mod demo;
pub mod submit;
