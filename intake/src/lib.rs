//! Bounds the bytes that arrive on a connection without carrying anything.
//!
//! A parser may read for ever without returning the head of a message or a piece of its body, such
//! as from leading zeros of a chunk's size or from interim responses. While bytes are available it
//! also keeps its thread. A [`Socket`] sits below the parser, so that it bounds both, in whatever
//! form the bytes come:
//!
//! - Whoever receives from the parser records on the [`Meter`] what it can use. If more than a
//!   number of bytes arrive in between, the connection fails with [`Excess`].
//! - After [`BURST`] bytes the socket lets other tasks run, even if more bytes are available.

pub mod body;
pub mod count;

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that are read before other tasks run.
pub const BURST: usize = 64 * 1024;

/// Number of parser buffers whose bytes may arrive between two records of the reader: one is
/// filled, one has been passed on and waits for its reader, and one is in the reader's hands.
const BUFFERS: u64 = 3;

/// More bytes arrived than may carry nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes without a head or a piece of a body")]
pub struct Excess(pub u64);

/// A bound for connections to one kind of peer.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    bytes: u64,
    peer: count::Peer,
}

impl Bound {
    /// Creates the bound for connections whose parser buffers up to `buffer` bytes. Connections that
    /// exceed it are counted for `peer`.
    pub const fn new(buffer: usize, peer: count::Peer) -> Bound {
        Bound { bytes: (buffer as u64).saturating_mul(BUFFERS), peer }
    }

    /// Returns the number of bytes that may carry nothing.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Creates the meter of a connection to `peer`, which names it in the log.
    pub fn meter(&self, peer: impl Into<Arc<str>>) -> Meter {
        let state = State {
            bound: *self,
            peer: peer.into(),
            unused: AtomicU64::new(0),
            exceeded: AtomicBool::new(false),
        };
        Meter(Arc::new(state))
    }
}

#[derive(Debug)]
struct State {
    bound: Bound,
    peer: Arc<str>,
    /// Bytes that arrived since the reader last received something.
    unused: AtomicU64,
    exceeded: AtomicBool,
}

/// Counts the bytes of a connection that carry nothing.
#[derive(Debug, Clone)]
pub struct Meter(Arc<State>);

impl Default for Meter {
    /// Creates the meter of a connection without a bound.
    fn default() -> Meter {
        Bound { bytes: u64::MAX, peer: count::Peer::CLIENT }.meter("-")
    }
}

impl Meter {
    /// Records that the reader received the head of a message or a piece of a body.
    pub fn record_use(&self) {
        self.0.unused.store(0, Ordering::Relaxed);
    }

    /// Returns whether the connection has exceeded its bound.
    pub fn exceeded(&self) -> bool {
        self.0.exceeded.load(Ordering::Relaxed)
    }

    /// Records bytes that arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Excess`] if the bound is or was exceeded. That is logged and counted once.
    pub fn record_bytes(&self, bytes: usize) -> Result<(), Excess> {
        let state = &*self.0;
        let bytes = bytes as u64;
        let unused = state.unused.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes);
        if unused <= state.bound.bytes && !self.exceeded() {
            return Ok(());
        }
        if !state.exceeded.swap(true, Ordering::Relaxed) {
            let kind = state.bound.peer;
            count::closed(kind).inc();
            let peer = &state.peer;
            log::warn!(
                "connection closed kind={kind} peer={peer} reason=no-content bytes={unused}"
            );
        }
        Err(Excess(unused))
    }
}

/// A connection whose incoming bytes are bounded.
#[derive(Debug)]
pub struct Socket<S> {
    inner: S,
    meter: Meter,
    /// Bytes read since other tasks could last run.
    burst: usize,
}

impl<S> Socket<S> {
    /// Bounds the incoming bytes of a connection.
    pub fn new(inner: S, meter: Meter) -> Socket<S> {
        Socket { inner, meter, burst: 0 }
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let recorded = self.meter.record_bytes(bytes);
        recorded.map_err(|excess| io::Error::new(io::ErrorKind::InvalidData, excess))
    }

    /// Returns the connection.
    pub fn get_ref(&self) -> &S {
        &self.inner
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.meter.exceeded() {
            return Poll::Ready(this.record(0));
        }
        if this.burst >= BURST {
            this.burst = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.inner).poll_read(context, buffer);
        if read.is_pending() {
            this.burst = 0;
        }
        ready!(read)?;
        let bytes = buffer.filled().len() - before;
        this.burst += bytes;
        Poll::Ready(this.record(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }
}

/// Returns the bytes that a connection exceeded its bound with, if that is why an error occurred.
pub fn excess(error: &(dyn std::error::Error + 'static)) -> Option<Excess> {
    let mut source = Some(error);
    while let Some(cause) = source {
        let inner = cause.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        if let Some(excess) = inner.and_then(|inner| inner.downcast_ref::<Excess>()) {
            return Some(*excess);
        }
        source = cause.source();
    }
    None
}
