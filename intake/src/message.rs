//! Messages between processes, whose memory is taken from the account of the process before they are
//! read.
//!
//! The prefix of a gRPC message announces its size. A [`Body`] takes the memory of each message when
//! its prefix arrives. If there is none, the rest of the message is not read, and after a bounded time
//! the call fails with the status `RESOURCE_EXHAUSTED`: none of the message has reached a handler. So
//! does a call whose messages or whose end make no progress while others need its memory.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use loftcove_clock as boot;
use tokio::time::Sleep;
use tonic::Status;

use crate::{connections, memory};

/// Maximum size of a message, in bytes: that of the library, which services may lower.
const MAX_MESSAGE: usize = 4 << 20;
/// Maximum size of a decompressed message, as a multiple of its compressed size.
const MAX_RATIO: usize = 1_032;
/// Length of the prefix of a message: whether it is compressed, and its length in four bytes.
const PREFIX: usize = 5;
/// Number of times that a process holds a message until it has been handled: its bytes and what they
/// are decoded to.
const COPIES: usize = 2;
/// Memory of a call before its first message, in bytes: one frame of HTTP/2, which is read before the
/// message is known.
const FRAME_BYTES: usize = 16 * 1024;
/// Maximum time that a message waits for memory. It is about the time after which callers give up.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time within which all of a message must arrive. No call with a large message takes longer.
const ARRIVAL_TIME: Duration = Duration::from_secs(10);
/// Interval between two attempts to take memory, and between two checks whether the call is given up
/// for others.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the messages of one call hold.
#[derive(Debug)]
pub struct Held {
    hold: Mutex<memory::Hold>,
    /// The request on its connection, if this process serves the call.
    request: Mutex<Option<connections::Request>>,
}

impl Held {
    /// Creates what a call holds at first, which is no memory.
    pub fn new(account: &memory::Account, request: Option<connections::Request>) -> Arc<Held> {
        let hold = Mutex::new(account.hold_messages(ARRIVAL_TIME, request.is_none()));
        Arc::new(Held { hold, request: Mutex::new(request) })
    }

    /// Records that the message of a request has arrived. Neither it nor its connection is given up
    /// for others any more.
    fn complete(&self) {
        self.lock().complete();
        let mut request = self.request.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(request) = request.as_mut() {
            request.complete();
        }
    }

    fn lock(&self) -> MutexGuard<'_, memory::Hold> {
        // No update panics halfway.
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Where a stream of messages is.
#[derive(Debug, Default)]
struct Position {
    prefix: [u8; PREFIX],
    /// Bytes of the prefix that have arrived.
    filled: usize,
    /// Bytes of the message that have not arrived.
    left: usize,
}

impl Position {
    /// Returns whether no part of a message has arrived that is not complete.
    fn is_between(&self) -> bool {
        self.filled == 0 && self.left == 0
    }

    /// Advances over bytes that arrived. Returns the memory of the largest message that begins in
    /// them.
    fn advance(&mut self, mut bytes: &[u8]) -> Result<usize, Status> {
        let mut largest = 0;
        while !bytes.is_empty() {
            if self.left > 0 {
                let size = self.left.min(bytes.len());
                self.left -= size;
                bytes = &bytes[size..];
                continue;
            }
            self.prefix[self.filled] = bytes[0];
            self.filled += 1;
            bytes = &bytes[1..];
            if self.filled < PREFIX {
                continue;
            }
            self.filled = 0;
            let [compressed, length @ ..] = self.prefix;
            self.left = u32::from_be_bytes(length) as usize;
            if self.left > MAX_MESSAGE {
                return Err(Status::out_of_range("message too large"));
            }
            let size = match compressed {
                0 => self.left * COPIES,
                _ => self.left + (self.left * MAX_RATIO).min(MAX_MESSAGE),
            };
            largest = largest.max(size);
        }
        Ok(largest)
    }
}

/// What waits for memory.
#[derive(Debug)]
struct Waiting {
    /// Data that arrived, or `None` before any is read.
    frame: Option<Frame<Bytes>>,
    bytes: usize,
    due: boot::Instant,
}

impl Waiting {
    fn new(frame: Option<Frame<Bytes>>, bytes: usize) -> Waiting {
        Waiting { frame, bytes, due: boot::Instant::now() + MAX_WAIT }
    }
}

/// The body of a call, a stream of messages.
#[derive(Debug)]
pub struct Body<B> {
    inner: B,
    held: Arc<Held>,
    /// Whether the memory of a message is kept until the call ends. Otherwise it is given back when
    /// the next one is read.
    keeps: bool,
    position: Position,
    waiting: Option<Waiting>,
    /// Wakes the task while it waits for memory or for the rest of a message.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<B: Default> Default for Body<B> {
    /// Creates a body without a bound.
    fn default() -> Body<B> {
        Body::response(B::default(), Held::new(&memory::Account::default(), None))
    }
}

impl<B> Body<B> {
    /// Creates the body of a request, whose memory is kept until the call has ended.
    pub fn request(inner: B, held: Arc<Held>) -> Body<B> {
        Body::new(inner, held, true)
    }

    /// Creates the body of a response, of which one message is held at a time.
    pub fn response(inner: B, held: Arc<Held>) -> Body<B> {
        Body::new(inner, held, false)
    }

    fn new(inner: B, held: Arc<Held>, keeps: bool) -> Body<B> {
        let waiting = Some(Waiting::new(None, FRAME_BYTES));
        Body { inner, held, keeps, position: Position::default(), waiting, timer: None }
    }

    /// Returns whether data has arrived that waits for memory.
    fn has_data(&self) -> bool {
        self.waiting.as_ref().is_some_and(|waiting| waiting.frame.is_some())
    }

    /// Wakes the task after the interval.
    fn poll_timer(&mut self, context: &mut Context<'_>) {
        let timer = || Box::pin(tokio::time::sleep(POLL_INTERVAL));
        let timer = self.timer.get_or_insert_with(timer);
        while timer.as_mut().poll(context).is_ready() {
            timer.as_mut().reset(tokio::time::Instant::now() + POLL_INTERVAL);
        }
    }

    /// Waits until there is memory for what waits for it, and returns its data.
    fn poll_memory(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Frame<Bytes>>, Status>> {
        let Some(waiting) = self.waiting.take() else { return Poll::Ready(Ok(None)) };
        let mut hold = self.held.lock();
        if hold.try_grow(waiting.bytes) {
            let data = waiting.frame.as_ref().and_then(Frame::data_ref);
            hold.record(data.map_or(0, Bytes::len) * COPIES);
            if !self.keeps && self.position.is_between() {
                hold.pause();
            }
            return Poll::Ready(Ok(waiting.frame));
        }
        if hold.is_given_up() || boot::Instant::now() >= waiting.due {
            hold.refuse();
            return Poll::Ready(Err(full()));
        }
        hold.make_room(waiting.bytes);
        drop(hold);
        self.waiting = Some(waiting);
        self.poll_timer(context);
        Poll::Pending
    }
}

fn full() -> Status {
    Status::resource_exhausted("no memory for the message")
}

impl<B> http_body::Body for Body<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    Status: From<B::Error>,
{
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let this = self.get_mut();
        if let Some(frame) = ready!(this.poll_memory(context))? {
            return Poll::Ready(Some(Ok(frame)));
        }
        let between = this.position.is_between();
        if !this.keeps && between {
            this.held.lock().shrink(FRAME_BYTES);
        }
        let Poll::Ready(frame) = Pin::new(&mut this.inner).poll_frame(context) else {
            // A handler is called when its request has ended, which may be long after its message.
            if this.keeps || !between {
                if this.held.lock().is_given_up() {
                    return Poll::Ready(Some(Err(full())));
                }
                this.poll_timer(context);
            }
            return Poll::Pending;
        };
        let frame = match frame.transpose().map_err(Status::from)? {
            Some(frame) if frame.is_data() => frame,
            // The end, or the trailers, which nothing follows.
            end => {
                if this.keeps {
                    this.held.complete();
                }
                return Poll::Ready(end.map(Ok));
            }
        };
        let bytes = this.position.advance(frame.data_ref().map_or(&[], |data| data))?;
        this.waiting = Some(Waiting::new(Some(frame), bytes));
        this.poll_memory(context).map(|polled| polled.transpose())
    }

    fn is_end_stream(&self) -> bool {
        !self.has_data() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.has_data() { SizeHint::default() } else { self.inner.size_hint() }
    }
}

/// The body of a response of this process, which keeps what its call holds.
#[derive(Debug)]
pub struct Reply<B> {
    inner: Pin<Box<B>>,
    _held: Arc<Held>,
}

impl<B> Reply<B> {
    /// Keeps what a call holds until its response has been sent.
    pub fn new(inner: B, held: Arc<Held>) -> Reply<B> {
        Reply { inner: Box::pin(inner), _held: held }
    }
}

impl<B: http_body::Body> http_body::Body for Reply<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.inner.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
