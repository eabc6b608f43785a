//! A whole deployment of real processes on loopback, for the end-to-end tests
//! and the demo.
//!
//! [`process`] runs one program, [`cluster`] a deployment of them with the
//! stand-ins and the fault-injecting proxy between any two, [`caller`] asks
//! as a caller would; [`system`] is a deployment on the users'
//! machines, [`client`] sends [`request`]s to it, and [`visits`] checks what reached its servers. Nothing waits for a fixed time: [`until`] waits for a
//! condition. [`failure`] keeps the logs of a run that failed.

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

/// Longest wait for any condition: far above what it takes, so that a slow
/// machine does not change the verdict.
pub const MAX_WAIT: Duration = Duration::from_secs(90);

/// Waits until the condition holds.
///
/// # Panics
///
/// If it does not hold in the end; `what` says what was waited for.
pub async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let mut holds = || {
        let condition = condition();
        async { if condition.await { Ok(()) } else { Err(String::new()) } }
    };
    until_ok(what, &mut holds).await;
}

/// Waits until nothing is lacking any more.
///
/// # Panics
///
/// If something still is in the end; says what was waited for and what is lacking.
pub async fn until_ok<F: Future<Output = Result<(), String>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) {
    let mut lacking = String::new();
    let held = async {
        while let Err(lack) = check().await {
            lacking = lack;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ended = tokio::time::timeout(MAX_WAIT, held).await;
    assert!(ended.is_ok(), "waited in vain until {what}; lacking: {lacking}");
}
