//! Bounds what peers send, and what of it a process holds.
//!
//! [`memory`] is the account of the memory that peers make a process hold, from which [`body`] takes
//! the memory of requests and [`message`] that of messages between processes.
//! [`connections`] bounds the open connections, also those of [`monitor`]. All of them take their
//! descriptors from the account of [`descriptors`].
//! The rest of this page is about the bytes that arrive on a connection without carrying anything.
//!
//! A parser may read for ever without returning the head of a message or a piece of its body, such
//! as from leading zeros of a chunk's size or from interim responses. While bytes are available it
//! also keeps its thread. A [`Socket`] sits below the parser, so that it bounds both, in whatever
//! form the bytes come:
//!
//! - Whoever receives from the parser records on the [`Meter`] what it can use. If more than a
//!   number of bytes arrive in between, the connection fails with [`Excess`].
//! - After [`BURST`] bytes the socket lets other tasks run, even if more bytes are available.
//!
//! The bytes of HTTP/2 that carry nothing include probes of the connection and the windows of a
//! receiver, which are allowed for by time and by the bytes that were sent to it; see
//! [`Bound::with_control_frames`]. [`grpc`] applies the bound to connections between processes.

pub mod body;
pub mod connections;
pub mod count;
pub mod descriptors;
pub mod grpc;
pub mod label;
pub mod list;
pub mod memory;
pub mod message;
pub mod monitor;

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use hyper_util::client::legacy::connect::{Connected, Connection};
use loftcove_clock as boot;
use loftcove_line::field;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Number of bytes that are read before other tasks run.
pub const BURST: usize = 64 * 1024;

/// Number of parser buffers whose bytes may arrive between two records of the reader: one is
/// filled, one has been passed on and waits for its reader, and one is in the reader's hands.
const BUFFERS: u64 = 3;

/// Size that the buffer of the HTTP library's parser does not exceed unless it is set, in bytes.
const MONITOR_BUFFER: usize = 512 * 1024;
/// Bytes a second that probes of a connection may take. A probe and the answer to one have 17 bytes
/// each, and no process of ours sends one more often than each 0.8 s.
const PROBES: u64 = 64;
/// Number of bytes sent for each byte of the receiver's windows that may arrive. The updates of a
/// stream's window and of its connection's have 26 bytes together, for some thousand sent.
const SENT_BYTES: u64 = 64;

/// Size of the receive buffer of a client's connection, in bytes, of which the operating system makes
/// twice as much. What a client sends beyond it is held back.
const RECEIVE_BUFFER: usize = 8 * 1024;
/// The same at most while a body arrives, whose memory has been taken from the account.
const MAX_RECEIVE_BUFFER: usize = 64 * 1024;
/// Memory of the receive buffer of a client's connection in the operating system, in bytes.
pub const RECEIVE_MEMORY: usize = 2 * RECEIVE_BUFFER;

/// Bounds the bytes that arrive on the connections of a listener and are not read. Without it the
/// operating system decides, by the host's memory.
pub fn bound_receive_buffers(listener: &TcpListener) {
    set_receive_buffer(&socket2::SockRef::from(listener), RECEIVE_BUFFER);
}

fn set_receive_buffer(socket: &socket2::SockRef<'_>, bytes: usize) {
    if let Err(error) = socket.set_recv_buffer_size(bytes) {
        log::debug!(
            "receive buffer not bounded bytes={bytes} error={error}",
            error = field::Quoted(&error)
        );
    }
}

/// More bytes arrived than may carry nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes without a head or a piece of a body")]
pub struct Excess(pub u64);

/// A bound for connections to one kind of peer.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    bytes: u64,
    peer: count::Peer,
    control_frames: bool,
}

impl Bound {
    /// Creates the bound for connections whose parser buffers up to `buffer` bytes. Connections that
    /// exceed it are counted for `peer`.
    pub const fn new(buffer: usize, peer: count::Peer) -> Bound {
        let bytes = (buffer as u64).saturating_mul(BUFFERS);
        Bound { bytes, peer, control_frames: false }
    }

    /// Returns the bound for connections to readers of readiness or metrics.
    pub const fn monitor() -> Bound {
        Bound::new(MONITOR_BUFFER, count::Peer::MONITOR).with_control_frames()
    }

    /// Allows for the probes of HTTP/2, by time, and for the windows of a receiver, by the bytes that
    /// are sent to it.
    pub const fn with_control_frames(self) -> Bound {
        Bound { control_frames: true, ..self }
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
            begun: boot::Instant::now(),
            sent: AtomicU64::new(0),
            allowed: AtomicU64::new(0),
            unused: AtomicU64::new(0),
            exceeded: AtomicBool::new(false),
            receive_buffer: AtomicUsize::new(RECEIVE_BUFFER),
        };
        Meter(Arc::new(state))
    }

    /// Applies the bound to a connection.
    pub fn socket(&self, stream: TcpStream) -> Socket<TcpStream> {
        let peer = stream.peer_addr().map_or_else(|_| "?".to_owned(), |peer| peer.to_string());
        Socket::new(stream, self.meter(peer))
    }
}

#[derive(Debug)]
struct State {
    bound: Bound,
    peer: Arc<str>,
    begun: boot::Instant,
    /// Bytes sent to the peer.
    sent: AtomicU64,
    /// Bytes of control frames that were allowed for so far.
    allowed: AtomicU64,
    /// Bytes that arrived since the reader last received something.
    unused: AtomicU64,
    exceeded: AtomicBool,
    /// Size of the receive buffer that a body wants, which has taken its memory from the account.
    receive_buffer: AtomicUsize,
}

impl State {
    /// Returns the bytes of control frames that may have arrived since the last call.
    fn allow_control_frames(&self) -> u64 {
        if !self.bound.control_frames {
            return 0;
        }
        let ms = u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        let sent = self.sent.load(Ordering::Relaxed);
        let allowed = ms.saturating_mul(PROBES) / 1_000 + sent / SENT_BYTES;
        allowed.saturating_sub(self.allowed.fetch_max(allowed, Ordering::Relaxed))
    }
}

/// Counts the bytes of a connection that carry nothing.
#[derive(Debug, Clone)]
pub struct Meter(Arc<State>);

impl Default for Meter {
    /// Creates the meter of a connection without a bound.
    fn default() -> Meter {
        Bound { bytes: u64::MAX, peer: count::Peer::CLIENT, control_frames: false }.meter("-")
    }
}

impl Meter {
    /// Records that the reader received the head of a message or a piece of a body.
    pub fn record_use(&self) {
        self.0.unused.store(0, Ordering::Relaxed);
    }

    /// Sets the receive buffer for a body of which the process holds `bytes`.
    fn set_body(&self, bytes: usize) {
        // The operating system doubles it.
        let size = (bytes / 2).clamp(RECEIVE_BUFFER, MAX_RECEIVE_BUFFER);
        self.0.receive_buffer.store(size, Ordering::Relaxed);
    }

    /// Returns whether the connection has exceeded its bound.
    pub fn exceeded(&self) -> bool {
        self.0.exceeded.load(Ordering::Relaxed)
    }

    /// Records bytes that were sent to the peer.
    fn record_sent(&self, bytes: usize) {
        self.0.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records bytes that arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Excess`] if the bound is or was exceeded. That is logged and counted once.
    pub fn record_bytes(&self, bytes: usize) -> Result<(), Excess> {
        let state = &*self.0;
        let allowed = state.allow_control_frames();
        let add = |unused: u64| Some(unused.saturating_sub(allowed).saturating_add(bytes as u64));
        let before = state.unused.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        let unused = before.ok().and_then(add).unwrap_or(u64::MAX);
        if unused <= state.bound.bytes && !self.exceeded() {
            return Ok(());
        }
        if !state.exceeded.swap(true, Ordering::Relaxed) {
            let kind = state.bound.peer;
            count::closed(kind).inc();
            let peer = &state.peer;
            log::warn!(
                "connection closed kind={kind} peer={peer} reason=no-content bytes={unused}",
                peer = field::Text(peer)
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
    /// Size of the receive buffer, if it is bounded.
    receive_buffer: Option<usize>,
}

impl<S> Socket<S> {
    /// Bounds the incoming bytes of a connection.
    pub fn new(inner: S, meter: Meter) -> Socket<S> {
        Socket { inner, meter, burst: 0, receive_buffer: None }
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let recorded = self.meter.record_bytes(bytes);
        recorded.map_err(|excess| io::Error::new(io::ErrorKind::InvalidData, excess))
    }

    /// Returns the meter of the connection.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns the connection.
    pub fn get_ref(&self) -> &S {
        &self.inner
    }
}

impl Socket<TcpStream> {
    /// Bounds the receive buffer of an accepted connection. See [`bound_receive_buffers`].
    pub fn with_receive_buffer(mut self) -> Socket<TcpStream> {
        self.receive_buffer = Some(RECEIVE_BUFFER);
        self
    }

    /// Sets the receive buffer to what the bodies on the connection want.
    pub fn update_receive_buffer(&mut self) {
        let wanted = self.meter.0.receive_buffer.load(Ordering::Relaxed);
        if self.receive_buffer.is_some_and(|size| size != wanted) {
            self.receive_buffer = Some(wanted);
            set_receive_buffer(&socket2::SockRef::from(&self.inner), wanted);
        }
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
        let this = self.get_mut();
        let written = ready!(Pin::new(&mut this.inner).poll_write(context, bytes))?;
        this.meter.record_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = ready!(Pin::new(&mut this.inner).poll_write_vectored(context, parts))?;
        this.meter.record_sent(written);
        Poll::Ready(Ok(written))
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

impl Connection for Socket<TcpStream> {
    /// Adds the meter to the extensions of responses.
    fn connected(&self) -> Connected {
        Connected::new().extra(self.meter.clone())
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
