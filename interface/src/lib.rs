//! What loftcove asks of the platform that it runs on.
//!
//! The gateway and the sidecar are generic over these traits and see nothing
//! else of a platform. [`store::Store`] is its key-value store,
//! [`protocol::Protocol`] translates requests, answers and records, and
//! [`engine::Engine`] is a model engine as its sidecar talks to it. The crate
//! `loftcove-platform` implements all three.

pub mod engine;
pub mod protocol;
pub mod store;
