//! Sockets of connections to backend servers, which are reset while a response is outstanding.
//!
//! A normal close delivers what was sent before it: the operating system repeats the bytes that the
//! host has not acknowledged, and the backend server may take the end of the stream for a client
//! that still waits. A reset discards what was not delivered, and the server's next read or write
//! fails. Bytes that the host's operating system has received stay readable before that error on
//! Linux.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use loftcove_line::field;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket in the form for the HTTP library.
pub struct Socket(Arc<Shared>);

/// A handle of the socket for the user of the connection. The socket stays open until both are
/// dropped, so that the user decides how it is closed.
pub struct Handle(Arc<Shared>);

struct Shared {
    stream: TcpStream,
    /// Whether a request was sent whose response is not complete.
    outstanding: AtomicBool,
}

impl Drop for Socket {
    /// Closes the connection once the HTTP library has given it up, also if a handle of it is kept
    /// idle. The user decides how it is closed while a response is outstanding.
    fn drop(&mut self) {
        if self.0.outstanding.load(Ordering::Acquire) {
            return;
        }
        if let Err(error) = socket2::SockRef::from(&self.0.stream).shutdown(Shutdown::Both) {
            log::debug!(
                "connection to backend server has ended error={error}",
                error = field::Quoted(&error)
            );
        }
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        if !*self.outstanding.get_mut() {
            return;
        }
        let reset = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        if let Err(error) = reset {
            log::debug!(
                "connection to backend server not reset error={error}",
                error = field::Quoted(&error)
            );
        }
    }
}

/// Splits a connected stream into the socket for the HTTP library and a handle.
pub fn new(stream: TcpStream) -> (Socket, Handle) {
    let shared = Arc::new(Shared { stream, outstanding: AtomicBool::new(false) });
    (Socket(shared.clone()), Handle(shared))
}

impl Handle {
    /// Records whether a response is outstanding. If one is when the socket is closed, the
    /// connection is reset.
    pub fn set_outstanding(&self, outstanding: bool) {
        self.0.outstanding.store(outstanding, Ordering::Release);
    }

    /// Sets the maximum time that sent bytes may stay unacknowledged.
    pub fn set_unacknowledged_timeout(&self, time: Duration) {
        let set = socket2::SockRef::from(&self.0.stream).set_tcp_user_timeout(Some(time));
        if let Err(error) = set {
            // The connection has ended, and the next call on it reports that.
            log::debug!(
                "timeout of connection to backend server not set error={error}",
                error = field::Quoted(&error)
            );
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0.stream;
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl Socket {
    /// Writes as soon as the socket is writable.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A connection that is to be reset must not be ended normally first.
        if self.0.outstanding.load(Ordering::Acquire) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
