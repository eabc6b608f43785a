//! Settings of the daemon and the tool, declared once.
//!
//! Each section is declared with [`section!`]: key, type, default and
//! documentation stand in one place, and the structure, its reading from
//! TOML, and the reference in `docs/OPERATIONS.md` all come from it. A file is
//! read and checked by [`file::Daemon::read`] or [`file::Tool::read`]; every
//! fault is one [`error::Error`] that names file, line and key.

#[macro_use]
mod section;

pub mod error;
pub mod file;
pub mod gateway;
pub mod reference;
