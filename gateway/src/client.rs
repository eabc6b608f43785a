//! Sockets of clients' connections, which are reset if the client takes nothing, or if only the end
//! of the connection would mark the end of a response that broke off. They fail if the head of a
//! request takes too long to arrive.
//!
//! The time in which a client takes nothing runs while bytes wait and the operating system accepts
//! none of them. A backend server that is slow leaves nothing waiting, so it does not count against
//! the client.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_intake::{self as intake, connections};
use loftcove_line::field;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Body of a request, which is still arriving.
pub type Body = intake::body::Body<Incoming>;

/// Maximum number of bytes that wait unsent in the operating system. By default it takes megabytes,
/// and accepts more only after a third of them, which a slow reader may take longer for than the
/// time after which it counts as stalled. With this value, half of it is enough.
const MAX_UNSENT: u32 = 16 * 1024;

/// Time for which bytes of a head that are available are read after its time limit.
const LATE_READS: Duration = Duration::from_millis(50);

/// The client took nothing for too long while bytes waited for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("client-stalled")]
pub struct Stalled;

/// The head of a request did not arrive in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("head-timeout")]
pub struct HeadTimeout;

/// Whether the client of a connection takes the bytes that wait for it.
#[derive(Debug, Default)]
pub struct Progress {
    /// Start of the time in which the connection has accepted nothing.
    blocked: Mutex<Option<boot::Instant>>,
    stalled: AtomicBool,
    /// Whether a response is outstanding whose end only the end of the connection marks.
    unmarked: AtomicBool,
    /// Bytes of the client that carry nothing.
    meter: intake::Meter,
    /// Requests in progress.
    connection: Arc<connections::State>,
}

impl Progress {
    /// Creates the state of a connection whose client's bytes `meter` bounds.
    pub fn new(meter: intake::Meter) -> Progress {
        Progress { meter, ..Progress::default() }
    }

    /// Records the requests in progress in the state of a bounded connection.
    pub fn with_connection(self, connection: Arc<connections::State>) -> Progress {
        Progress { connection, ..self }
    }

    /// Records that the head of a request was received, and returns its body, whose pieces are
    /// recorded as they are read, and the guard of the request.
    pub fn receive(
        &self,
        request: http::Request<Incoming>,
    ) -> (http::Request<Body>, connections::Request) {
        self.meter.record_use();
        let guard = self.connection.begin();
        (request.map(|body| intake::body::Body::new(body, self.meter.clone())), guard)
    }

    /// Returns what the connection does.
    pub fn connection(&self) -> &Arc<connections::State> {
        &self.connection
    }

    fn lock(&self) -> MutexGuard<'_, Option<boot::Instant>> {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        self.blocked.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns how long the client has taken nothing while bytes wait for it.
    pub fn blocked(&self) -> Duration {
        self.lock().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records whether a response is outstanding whose end only the end of the connection marks. If
    /// one is when the connection ends, the connection is reset.
    pub fn set_unmarked(&self, unmarked: bool) {
        self.unmarked.store(unmarked, Ordering::Release);
    }

    /// Returns whether the connection ends with a reset.
    fn resets(&self) -> bool {
        self.stalled() || self.unmarked.load(Ordering::Acquire)
    }

    /// Returns whether the client was disconnected because it took nothing.
    pub fn stalled(&self) -> bool {
        self.stalled.load(Ordering::Acquire)
    }
}

/// A client's socket.
pub struct Socket {
    stream: intake::Socket<TcpStream>,
    limit: Option<Duration>,
    progress: Arc<Progress>,
    /// Timer that runs while the operating system accepts no bytes.
    timer: Option<Pin<Box<tokio::time::Sleep>>>,
    /// Time limit for the head of a request, from its first byte.
    head_limit: Option<Duration>,
    /// Timer of a head that is incomplete.
    head_timer: Option<HeadTimer>,
}

/// Timer of the head of a request.
struct HeadTimer {
    /// Arrival of the head's first byte.
    begun: boot::Instant,
    timer: Pin<Box<tokio::time::Sleep>>,
    /// When the head was first found to be late.
    late: Option<boot::Instant>,
}

impl Socket {
    /// Wraps a connected stream. A client that takes nothing for `limit` is disconnected.
    pub fn new(stream: TcpStream, limit: Duration, progress: Arc<Progress>) -> Socket {
        let mut socket = Socket::without_limit(stream, progress);
        socket.limit = Some(limit);
        socket
    }

    /// Wraps a connected stream. A client that takes nothing stays connected.
    pub fn without_limit(stream: TcpStream, progress: Arc<Progress>) -> Socket {
        if let Err(error) = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT) {
            log::debug!(
                "unsent bytes of client's connection not bounded error={error}",
                error = field::Quoted(&error)
            );
        }
        let stream = intake::Socket::new(stream, progress.meter.clone()).with_receive_buffer();
        Socket { stream, limit: None, progress, timer: None, head_limit: None, head_timer: None }
    }

    /// Disconnects a client whose head takes longer than `limit`, from its first byte.
    pub fn with_head_limit(mut self, limit: Duration) -> Socket {
        self.head_limit = Some(limit);
        self
    }

    /// Observes the result of a read, and fails it if a head is incomplete for too long.
    fn observe_read(
        &mut self,
        context: &mut Context<'_>,
        (bytes, read): (usize, Poll<io::Result<()>>),
    ) -> Poll<io::Result<()>> {
        let Some(limit) = self.head_limit else { return read };
        let connection = &self.progress.connection;
        if bytes > 0 {
            connection.receive();
        }
        let Some(since) = connection.head_since() else {
            self.head_timer = None;
            return read;
        };
        let timer = self.head_timer.take().filter(|timer| timer.begun == since);
        let timer = self.head_timer.insert(timer.unwrap_or_else(|| {
            let timer = Box::pin(tokio::time::sleep_until((since + limit).timer()));
            HeadTimer { begun: since, timer, late: None }
        }));
        // A client may send a byte at a time, so that each read finds some.
        if timer.late.is_none() && timer.timer.as_mut().poll(context).is_pending() {
            return read;
        }
        // After a suspension of the host, what arrived meanwhile is read first.
        let late = *timer.late.get_or_insert_with(boot::Instant::now);
        if bytes > 0 && late.elapsed() <= LATE_READS {
            return read;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, HeadTimeout)))
    }

    /// Observes the result of a write, and fails it if the client has stalled.
    fn observe(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.timer.take().is_some() {
                *self.progress.lock() = None;
            }
            return written;
        }
        let Some(limit) = self.limit else { return Poll::Pending };
        let progress = &self.progress;
        let timer = self.timer.get_or_insert_with(|| {
            *progress.lock() = Some(boot::Instant::now());
            Box::pin(tokio::time::sleep(limit))
        });
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        // A reset discards the unread bytes. A normal close would keep them in the operating
        // system.
        self.progress.stalled.store(true, Ordering::Release);
        Poll::Ready(Err(io::Error::other(Stalled)))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if !self.progress.resets() {
            return;
        }
        let stream = socket2::SockRef::from(self.stream.get_ref());
        if let Err(error) = stream.set_linger(Some(Duration::ZERO)) {
            log::debug!(
                "connection of client not reset error={error}",
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
        let this = self.get_mut();
        let before = buffer.filled().len();
        this.stream.update_receive_buffer();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        this.observe_read(context, (buffer.filled().len() - before, read))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.observe(context, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, parts);
        this.observe(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.progress.resets() {
            // A normal end must not precede the reset.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
