//! Errors of the commands.

use std::path::PathBuf;
use std::sync::Arc;

/// Reason for which a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// The command does not exist.
    #[error("unknown command `{0}`; see --help")]
    Command(String),
    /// The command line has no log files.
    #[error("no log files given; usage: explain-day [--svg FILE] LOG...")]
    NoLogs,
    /// The plot of a day could not be drawn or written.
    #[error(transparent)]
    Plot(#[from] loftcove_day::plot::Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] loftcove_settings::error::Error),
    /// A file could not be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The bundle or a signature is invalid.
    #[error("bundle: {0}")]
    Bundle(#[from] loftcove_bundle::error::Error),
    /// The bundle is for another deployment.
    #[error("the bundle is for deployment {0}")]
    Deployment(Arc<str>),
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] loftcove_platform::error::Error),
    /// It is unknown whether a write took effect.
    #[error("outcome of the write is unknown: {0}; check with `bundle status`")]
    UnknownOutcome(loftcove_platform::error::Error),
    /// The proposal does not exist.
    #[error("proposal {0} not found")]
    NoProposal(String),
    /// The proposal has no approval.
    #[error("proposal {0} is not approved")]
    NotApproved(String),
    /// The proposal already has an approval.
    #[error("proposal {digest} is already approved by `{operator}`")]
    AlreadyApproved {
        /// Digest of the proposal's text.
        digest: String,
        /// Operator who approved it.
        operator: Arc<str>,
    },
    /// Another operator put a bundle in force first.
    #[error(
        "conflict: `{operator}` put generation {generation} in force first; check and try again"
    )]
    Conflict {
        /// Operator of the generation in force.
        operator: Arc<str>,
        /// Generation in force.
        generation: u64,
    },
    /// The proposal was changed concurrently.
    #[error("conflict: the proposal was changed concurrently; check and try again")]
    ProposalConflict,
    /// No bundle is in force.
    #[error("no bundle is in force")]
    NothingInForce,
    /// The history has no generation before the one in force.
    #[error("no generation before {0} to restore")]
    NoPreviousGeneration(u64),
    /// A record of the platform is not valid JSON of its type.
    #[error("invalid record {key:?} in the platform: {source}")]
    InvalidRecord {
        /// Key of the record.
        key: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A value could not be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// No process has decisions about the request.
    #[error("no reachable process has decisions about request {0}")]
    UnknownRequest(String),
    /// The deployment's key has characters that are not allowed in a header.
    #[error("the deployment's key must be printable ASCII")]
    InvalidKey,
}
