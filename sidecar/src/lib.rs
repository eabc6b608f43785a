//! The sidecar: stands beside a model engine and changes its group's expert map.

use std::path::Path;
use std::sync::Arc;

use loftcove_interface::engine::Engine;
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_settings::gateway as settings;

/// Why the sidecar could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    Signal(std::io::Error),
}

/// Runs a sidecar until it is told to stop.
///
/// # Errors
///
/// An [`Error`] of an address or of the signals.
pub async fn run<P: Protocol, S: Store, E: Engine>(
    _file: &Path,
    _settings: settings::Sidecar,
    _store: S,
    engine: E,
) -> Result<(), Error> {
    let engine = Arc::new(engine);
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(Error::Signal)?;
    log::info!("started report={:?}", engine.report().await);
    terminate.recv().await;
    Ok(())
}
