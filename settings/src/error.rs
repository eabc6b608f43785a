//! Errors in a settings file.

use std::path::PathBuf;

use crate::reference;

/// A required key that is missing in a section.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("missing key `{0}`")]
pub struct Missing(pub &'static str);

/// A value that is not within its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("must be {range}")]
pub struct Range {
    /// Name of the section; empty for the top level.
    pub section: &'static str,
    /// Name of the key.
    pub key: &'static str,
    /// Range of the values that are valid.
    pub range: reference::Range,
}

/// Error for which a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A value is out of range.
    #[error("{}:{line}: key `{}`: {range}", file.display(), range.key)]
    Range {
        /// Path of the file.
        file: PathBuf,
        /// Line in the file, from 1.
        line: usize,
        /// Key and range.
        range: Range,
    },
    /// A key is unknown, missing or malformed, or its value does not fit that of another key.
    #[error("{}:{line}: key `{key}`: {reason}", file.display())]
    Key {
        /// Path of the file.
        file: PathBuf,
        /// Line in the file, from 1.
        line: usize,
        /// Name of the key, or of the section if a whole section is missing.
        key: String,
        /// Description of the error.
        reason: String,
    },
}
