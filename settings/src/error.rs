//! Faults of a settings file.

use std::path::PathBuf;

/// A key that must be in the section and is not.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("missing key `{0}`")]
pub struct Missing(pub &'static str);

/// Why a settings file was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A key is unknown, missing, badly formed or out of range.
    #[error("{}:{line}: key `{key}`: {reason}", file.display())]
    Key {
        /// The file.
        file: PathBuf,
        /// Line in the file, from 1.
        line: usize,
        /// The key, or the section where a key is missing.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}
