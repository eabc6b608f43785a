//! Deployments of real processes on loopback, for the end-to-end tests and the demo.
//!
//! - [`process`] runs one program.
//! - [`cluster`] runs entry hosts and agents with stand-ins for all other programs, and with the
//!   fault-injecting proxy between any two processes. [`caller`] sends requests to them.
//! - [`system`] runs gateways and sidecars with their stand-ins. [`client`] sends [`request`]s to
//!   them, and [`visits`] checks the requests that reached the backend servers.
//! - [`failure`] saves the logs of a failed run.
//!
//! Tests wait for a condition with [`until`] instead of a fixed time.

pub mod caller;
pub mod client;
pub mod cluster;
pub mod failure;
pub mod process;
pub mod request;
pub mod system;
pub mod visits;

use std::future::Future;
use std::time::Duration;

/// Maximum wait for a condition. It is far longer than any condition takes, so that a slow
/// machine does not fail a test.
pub const MAX_WAIT: Duration = Duration::from_secs(90);

/// Waits until a condition holds.
///
/// # Panics
///
/// If the condition does not hold within [`MAX_WAIT`]. The message contains `what`, a description
/// of the condition.
pub async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let mut holds = || {
        let condition = condition();
        async { if condition.await { Ok(()) } else { Err(String::new()) } }
    };
    until_ok(what, &mut holds).await;
}

/// Waits until a check succeeds.
///
/// # Panics
///
/// If the check still fails after [`MAX_WAIT`]. The message contains `what`, a description of the
/// condition, and the last error.
pub async fn until_ok<F: Future<Output = Result<(), String>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) {
    let mut last_error = String::new();
    let held = async {
        while let Err(error) = check().await {
            last_error = error;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ended = tokio::time::timeout(MAX_WAIT, held).await;
    assert!(ended.is_ok(), "timed out waiting until {what}; last error: {last_error}");
}
