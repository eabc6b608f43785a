//! Planned stops. The first signal starts the drain, and the second ends the process immediately.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::lifecycle;
use loftcove_startup::signals;

use crate::process;

/// Waits for a signal to stop. The settings are only read when the process starts, so that a signal
/// to reload them has no effect.
pub async fn wait_for_stop(signals: &mut signals::Receiver) {
    while signals.next().await == signals::Signal::Reload {
        log::info!("reload ignored reason=settings-are-read-at-start next=keep");
    }
}

/// Waits for a stop signal, calls `begin` at the start of the drain, and returns when the process
/// may exit.
pub async fn wait<F: Future<Output = ()>>(
    process: &Arc<process::Process>,
    mut signals: signals::Receiver,
    begin: impl FnOnce() -> F,
) {
    wait_for_stop(&mut signals).await;
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
        () = wait_for_stop(&mut signals) => {
            log::warn!("second signal in_flight={}", process.lifecycle.in_flight());
            process.lifecycle.handle(lifecycle::Event::Expired);
        }
    }
    // The last bytes of completed responses, and of the final ones, may not have been sent yet.
    tokio::time::sleep(FLUSH_DELAY).await;
}

/// Time for sending the last bytes of responses before the process exits.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
