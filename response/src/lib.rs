//! Completeness of HTTP responses, without I/O.
//!
//! The HTTP library reports a body that ends before the length or the last chunk that its framing
//! promises. A body with neither a length nor chunks ends with its connection, so an orderly close
//! does not show whether it is complete; see [`framing`]. For event streams, the events do: see
//! [`event`]. [`ending`] combines both. [`continuation`] says which responses another attempt may
//! continue.

pub mod continuation;
pub mod ending;
pub mod event;
pub mod framing;
