//! gRPC messages and services between loftcove's own processes.
//!
//! They are declared in `proto/loftcove.proto`. The module [`generated`] is written by the program
//! in `generate/` and committed, so that a build needs no compiler for `.proto` files. The daemon
//! serves and calls these services. The tool calls [`peer_client`](generated::peer_client) for
//! status and explanations. The decision crate does not depend on these types: the daemon converts
//! them to the types of the decision crate.

/// Code generated from `proto/loftcove.proto`.
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
pub mod generated;

pub use generated::*;

/// Name of the metadata entry that contains the deployment's key.
pub const KEY_ENTRY: &str = "loftcove-key";

/// Maximum size of a message between processes, in bytes. The largest messages are a bundle of the
/// platform's maximum value size, and a request body with its headers.
pub const MAX_MESSAGE: usize = 2 * 1024 * 1024;
