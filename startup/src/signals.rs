//! Signals that are handled from the start of the process.
//!
//! The default action of the signals for a stop and for a reload ends the process. The handlers are
//! therefore installed before anything else, also before the runtime exists. They write to sockets,
//! which keep the signals until they are received.

use std::io::{self, Read as _};
use std::os::unix::net::UnixStream;
use std::time::Duration;

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
        self.stop.set_read_timeout(Some(time))?;
        match self.stop.read(&mut [0]) {
            Ok(count) => Ok(count > 0),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock
                | io::ErrorKind::TimedOut
                | io::ErrorKind::Interrupted => Ok(false),
                _ => Err(error),
            },
        }
    }

    /// Returns a receiver of the signals for the current runtime, including those that have arrived
    /// before.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn receiver(self) -> io::Result<Receiver> {
        let convert = |stream: UnixStream| {
            stream.set_nonblocking(true)?;
            tokio::net::UnixStream::from_std(stream)
        };
        Ok(Receiver { stop: convert(self.stop)?, reload: convert(self.reload)? })
    }
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
