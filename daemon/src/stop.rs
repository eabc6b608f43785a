//! Planned stops. The first signal starts the drain, and the second ends the process immediately.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::lifecycle;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{Error, process};

/// Receivers of the signals that request a stop.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if a handler cannot be installed.
    pub fn new() -> Result<Signals, Error> {
        let terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
        Ok(Signals { terminate, interrupt })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a stop signal, calls `begin` at the start of the drain, and returns when the process
/// may exit.
pub async fn wait<F: Future<Output = ()>>(
    process: &Arc<process::Process>,
    mut signals: Signals,
    begin: impl FnOnce() -> F,
) {
    signals.next().await;
    let drain = process.settings.drain();
    log::info!("drain in_flight={} limit_ms={}", process.lifecycle.in_flight(), drain.as_millis());
    process.lifecycle.drain(boot::Instant::now() + drain);
    let finished = async {
        begin().await;
        process.lifecycle.wait_until_stopped().await;
    };
    tokio::select! {
        _ = finished => {}
        _ = tokio::time::sleep(drain) => {
            process.lifecycle.handle(lifecycle::Event::Expired);
            log::warn!("drain expired in_flight={}", process.lifecycle.in_flight());
        }
        _ = signals.next() => {
            log::warn!("second signal in_flight={}", process.lifecycle.in_flight());
            process.lifecycle.handle(lifecycle::Event::Expired);
        }
    }
    // The last bytes of completed responses, and of the final ones, may not have been sent yet.
    tokio::time::sleep(FLUSH_DELAY).await;
}

/// Time for sending the last bytes of responses before the process exits.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
