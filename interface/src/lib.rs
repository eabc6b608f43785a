//! The interfaces between loftcove and the platform that it runs on.
//!
//! The gateway and the sidecar are generic over these traits and depend on no other part of a
//! platform. [`store::Store`] is the platform's key-value store, [`protocol::Protocol`] translates
//! requests, answers and records, and [`engine::Engine`] is a model engine as its sidecar calls it.
//! The crate `loftcove-platform` implements all three.

pub mod engine;
pub mod protocol;
pub mod store;
