//! The messages between loftcove's own processes.
//!
//! `proto/loftcove.proto` declares them; [`generated`] is what the generator
//! in `generate/` made of it and is committed, so that a build needs no
//! compiler of message files. The daemon serves and calls these, the tool
//! calls [`peer_client`](generated::peer_client) for status and explanations.
//! Decision logic never sees them: the daemon translates at its edge.

/// Code made from `proto/loftcove.proto`.
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
pub mod generated;

pub use generated::*;

/// Name of the metadata entry that bears the deployment's key.
pub const KEY_ENTRY: &str = "loftcove-key";

/// Largest message between processes, bytes: a bundle of the platform's
/// largest value, or a request body with its headers.
pub const MAX_MESSAGE: usize = 2 * 1024 * 1024;
