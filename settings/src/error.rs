//! Errors in a settings file.

use std::path::PathBuf;

/// A required key that is missing in a section.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("missing key `{0}`")]
pub struct Missing(pub &'static str);

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
    /// A key is unknown, missing, malformed or out of range.
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
