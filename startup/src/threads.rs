//! Threads that the operating system may refuse for a while.
//!
//! The library's functions panic if a thread is refused, which ends the process at its start, or a
//! task that it needs while it runs.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use loftcove_line::field;
use tokio::sync::oneshot;

use crate::signals;

/// Longest time for which a process waits for its threads before it fails.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A process that cannot start, because its threads are refused.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the {purpose}: {source}")]
pub struct Error {
    /// What the threads are for.
    pub purpose: &'static str,
    /// Last error of the operating system.
    pub source: io::Error,
}

/// Calls `start`, which creates threads for `purpose`, until it succeeds. Returns `None` if a signal
/// for a stop arrives before that.
///
/// # Errors
///
/// Returns an [`Error`] if `start` fails for 10 s.
pub fn start<T>(
    signals: &mut signals::Signals,
    purpose: &'static str,
    mut start: impl FnMut() -> io::Result<T>,
) -> Result<Option<T>, Error> {
    let started = Instant::now();
    let mut refused = false;
    loop {
        let waited = started.elapsed();
        let source = match start() {
            Ok(value) => {
                if refused {
                    log::info!("started purpose={purpose} waited_ms={}", waited.as_millis());
                }
                return Ok(Some(value));
            }
            Err(error) => error,
        };
        if waited >= TIMEOUT {
            return Err(Error { purpose, source });
        }
        if !refused {
            log::warn!(
                "not started purpose={purpose} error={source} next=retry",
                source = field::Quoted(&source)
            );
            refused = true;
        }
        match signals.wait_for_stop(RETRY_INTERVAL) {
            Ok(false) => {}
            Ok(true) => return Ok(None),
            Err(source) => return Err(Error { purpose, source }),
        }
    }
}

/// Checks that `count` threads can exist at the same time in addition to the present ones, by
/// creating them for a moment.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn check(count: usize) -> io::Result<()> {
    let mut checks = Vec::new();
    let mut result = Ok(());
    for _ in 0..count {
        let (release, wait) = mpsc::channel::<()>();
        // Receiving fails, and the thread ends, when the sender is dropped.
        match thread::Builder::new().spawn(move || wait.recv().unwrap_or_default()) {
            Ok(handle) => checks.push((release, handle)),
            Err(error) => {
                result = Err(error);
                break;
            }
        }
    }
    for (release, handle) in checks {
        drop(release);
        // The thread does nothing that panics.
        handle.join().unwrap_or_default();
    }
    result
}

/// Runs `work`, which takes long, on a thread of its own.
///
/// # Errors
///
/// Returns an error if the thread is refused or `work` panics.
pub async fn run<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> io::Result<T> {
    let (sender, receiver) = oneshot::channel();
    thread::Builder::new().spawn(move || {
        // If nobody waits any more, the result is not needed.
        sender.send(work()).map_err(drop).unwrap_or_default();
    })?;
    receiver.await.map_err(|_| io::Error::other("the thread panicked"))
}
