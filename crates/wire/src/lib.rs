//! Messages between the processes of the dispatcher.
//!
//! The crate contains data types and codecs only, and does no I/O. Every
//! connection starts with [`frame::Hello`] and [`frame::Proof`] in both
//! directions; all other frames follow only after a valid proof.

pub mod code;
pub mod codec;
pub mod endpoint;
pub mod frame;
pub mod id;
pub mod lease;
pub mod payload;
pub mod proof;

pub use code::Code;
pub use frame::Frame;
pub use payload::Payload;
