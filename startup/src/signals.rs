//! Signals that are handled from the start of the process.
//!
//! The default action of the signals for a stop and for a reload ends the process. The handlers are
//! therefore installed before anything else, also before the runtime exists. They write to sockets,
//! which keep the signals until they are received.

use std::io::{self, Read as _};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use tokio::io::AsyncReadExt as _;

/// Handlers of the signals for a stop (SIGTERM, SIGINT) and for a reload (SIGHUP).
#[derive(Debug)]
pub struct Signals {
    stop: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals { stop: handle(&[SIGTERM, SIGINT])?, reload: handle(&[SIGHUP])? })
    }

    /// Waits for a signal for a stop, at most for `time`. Returns whether there was one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn wait_for_stop(&mut self, time: Duration) -> io::Result<bool> {
        let end = Instant::now() + time;
        self.stop.set_nonblocking(false)?;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            // Zero would mean no limit.
            self.stop.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            match self.stop.read(&mut [0]) {
                Ok(count) => return Ok(count > 0),
                // The signal that interrupted the read may be the one that is waited for.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_timeout(&error) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns a receiver of the signals for the current runtime, including those that have arrived
    /// before.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn receiver(&self) -> io::Result<Receiver> {
        let convert = |stream: &UnixStream| {
            let stream = stream.try_clone()?;
            stream.set_nonblocking(true)?;
            tokio::net::UnixStream::from_std(stream)
        };
        Ok(Receiver { stop: convert(&self.stop)?, reload: convert(&self.reload)? })
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Returns a socket from which one byte can be read for each signal. Signals of the same kind that
/// arrive at nearly the same time may count as one.
fn handle(signals: &[i32]) -> io::Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    for signal in signals {
        pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}

/// Receives signals.
#[derive(Debug)]
pub struct Receiver {
    stop: tokio::net::UnixStream,
    reload: tokio::net::UnixStream,
}

/// A signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The process is to stop.
    Stop,
    /// The process is to reload its settings.
    Reload,
}

impl Receiver {
    /// Waits for the next signal. If it is dropped before, no signal is lost.
    pub async fn next(&mut self) -> Signal {
        let (mut stop, mut reload) = ([0], [0]);
        // A socket that fails must not look like a signal, which would stop the process.
        tokio::select! {
            biased;
            Ok(1) = self.stop.read(&mut stop) => Signal::Stop,
            Ok(1) = self.reload.read(&mut reload) => Signal::Reload,
            else => std::future::pending().await,
        }
    }
}
