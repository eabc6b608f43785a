//! Settings of the daemon, the tool, the gateway and the sidecar.
//!
//! The macro `section!` declares each section: the key, type, default and documentation of each
//! setting. The structure, its parsing from TOML and the reference in `docs/OPERATIONS.md` are
//! generated from this declaration. [`file::Daemon::read`], [`file::Tool::read`],
//! [`gateway::Gateway::read`] and [`gateway::Sidecar::read`] read and check a file. Each
//! [`error::Error`] names the file, the line and the key.

#[macro_use]
mod section;
mod value;

pub mod error;
pub mod file;
pub mod gateway;
pub mod reference;
pub mod seeds;
