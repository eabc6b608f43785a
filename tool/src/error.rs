//! Every way in which a command can fail.

use std::path::PathBuf;
use std::sync::Arc;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is not right.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// No such command.
    #[error("no command `{0}`; see --help")]
    Command(String),
    /// No logs were named.
    #[error("no logs; explain-day [--svg FILE] LOG...")]
    Logs,
    /// A day's picture could not be made.
    #[error(transparent)]
    Picture(#[from] loftcove_day::plot::Error),
    /// The settings are not right.
    #[error(transparent)]
    Settings(#[from] loftcove_settings::error::Error),
    /// A file could not be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The bundle or a signature is not right.
    #[error("bundle: {0}")]
    Bundle(#[from] loftcove_bundle::error::Error),
    /// The bundle is for another deployment.
    #[error("the bundle is for the deployment {0}")]
    Deployment(Arc<str>),
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] loftcove_platform::error::Error),
    /// The fate of a write is not known.
    #[error("it is not known whether the write took effect: {0}; look with `bundle status`")]
    Unsettled(loftcove_platform::error::Error),
    /// There is no such proposal.
    #[error("no proposal {0}")]
    NoProposal(String),
    /// The proposal lacks an approval.
    #[error("proposal {0} is not approved")]
    NotApproved(String),
    /// The proposal was approved before.
    #[error("proposal {digest} was approved by `{operator}` before")]
    Approved {
        /// Digest of its text.
        digest: String,
        /// Who approved it.
        operator: Arc<str>,
    },
    /// Another operator was faster.
    #[error(
        "conflict: `{operator}` put generation {generation} in force meanwhile; look and try again"
    )]
    Conflict {
        /// The operator who won.
        operator: Arc<str>,
        /// The generation that won.
        generation: u64,
    },
    /// A proposal was changed meanwhile.
    #[error("conflict: the proposal was changed meanwhile; look and try again")]
    ProposalConflict,
    /// Nothing is in force.
    #[error("no bundle is in force")]
    NothingInForce,
    /// There is no bundle before the present one.
    #[error("there is no generation before {0} to go back to")]
    NoPast(u64),
    /// What the platform holds cannot be read.
    #[error("{key} in the platform cannot be read: {source}")]
    Stored {
        /// Key in the platform.
        key: String,
        /// What the parser found.
        source: serde_json::Error,
    },
    /// A value could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// No process knows the request.
    #[error("no process that answers knows request {0}")]
    NotKnown(String),
    /// The deployment's key has characters that no header may have.
    #[error("the deployment's key must be printable ASCII")]
    Key,
}
