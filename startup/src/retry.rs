//! Reads what may be incomplete for a moment when a process starts, such as a file of settings that
//! is being replaced.

use std::io;
use std::time::{Duration, Instant};

use crate::signals;

/// Time between two attempts.
pub const INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an error is no longer taken for a temporary one. Replacing a file takes
/// milliseconds, and seconds on a host that is short of processor time.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Error for which a read was given up.
#[derive(Debug, thiserror::Error)]
pub enum Error<E> {
    /// The last attempt within [`TIMEOUT`] failed.
    #[error(transparent)]
    Read(E),
    /// Signals could not be waited for.
    #[error("cannot wait for a signal: {0}")]
    Signal(#[source] io::Error),
}

/// Calls `read` until it succeeds, every [`INTERVAL`] and at most for [`TIMEOUT`]. Calls `notify`
/// with the first error. A signal for a reload makes the next attempt follow at once.
///
/// Returns `None` if a signal for a stop arrived between two attempts.
///
/// # Errors
///
/// Returns the error of the last attempt, or that of waiting for signals.
pub fn read<T, E>(
    signals: &mut signals::Signals,
    mut read: impl FnMut() -> Result<T, E>,
    notify: impl FnOnce(&E),
) -> Result<Option<T>, Error<E>> {
    let started = Instant::now();
    let mut notify = Some(notify);
    loop {
        let error = match read() {
            Ok(value) => return Ok(Some(value)),
            Err(error) => error,
        };
        if let Some(notify) = notify.take() {
            notify(&error);
        }
        if started.elapsed() >= TIMEOUT {
            return Err(Error::Read(error));
        }
        if signals.wait_for_stop(INTERVAL).map_err(Error::Signal)? {
            return Ok(None);
        }
    }
}
