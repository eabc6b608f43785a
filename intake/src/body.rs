//! Bodies whose pieces are recorded as they reach their reader, and whose memory is taken from the
//! account of the process.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt as _;

use crate::{Meter, memory};

/// Memory that is taken first for a body of unknown size, in bytes.
const FIRST: usize = 4 * 1024;
/// Maximum time that a body waits for memory. Clients give up an attempt of which nothing is read
/// for a second, or for a third of their time.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Part of the time of a request that its body may wait for memory, as a divisor.
const WAIT_PART: u32 = 6;
/// Maximum size of the rest of a refused body that is discarded, as a multiple of the size limit. A
/// body that is refused for its size is longer than the limit.
const DISCARD_FACTOR: usize = 8;
/// Time for which the rest of a refused body is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// A body that arrives on the connection of a meter.
#[derive(Debug, Default)]
pub struct Body<B> {
    inner: B,
    meter: Meter,
    /// Bytes of the body that arrived, once it is read.
    received: Option<usize>,
    /// Whether the body is discarded, so that no memory is held for it.
    discarded: bool,
}

impl<B> Drop for Body<B> {
    fn drop(&mut self) {
        if self.received.is_some() {
            self.meter.set_body(0);
        }
    }
}

impl<B> Body<B> {
    /// Records the pieces of a body on a meter.
    pub fn new(inner: B, meter: Meter) -> Body<B> {
        Body { inner, meter, received: None, discarded: false }
    }
}

impl<B: http_body::Body> Body<B> {
    /// Sets the receive buffer of the connection to what is held for the body.
    fn resize_buffer(&self) {
        let left = usize::try_from(self.inner.size_hint().lower()).unwrap_or(usize::MAX);
        let bytes = self.received.unwrap_or(0).max(left);
        self.meter.set_body(if self.discarded { 0 } else { bytes });
    }
}

impl<B: http_body::Body + Unpin> http_body::Body for Body<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        if this.received.is_none() {
            // Whoever reads it has taken the memory of its length.
            this.received = Some(0);
            this.resize_buffer();
        }
        let frame = ready!(Pin::new(&mut this.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| data.has_remaining())
        {
            this.meter.record_use();
            let received = this.received.unwrap_or(0) + frame.data_ref().map_or(0, Buf::remaining);
            this.received = Some(received);
            this.resize_buffer();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Why a body was not collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body exceeds the size limit.
    #[error("body too large")]
    TooLarge,
    /// The body ended early.
    #[error("body broken off")]
    Truncated,
    /// There is no memory for the body, or it made no progress while others needed its memory.
    #[error(transparent)]
    Full(#[from] memory::Full),
}

/// What a body may be.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Maximum size, in bytes.
    pub bytes: usize,
    /// Time within which all of the body must arrive.
    pub time: Duration,
    /// Number of times that the process holds the body until it has been sent on.
    pub copies: usize,
}

/// A complete body and the memory that it holds.
struct Whole {
    bytes: Vec<u8>,
    _hold: memory::Hold,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Attaches memory to bytes, which give it back when the last copy of them is dropped.
pub fn with_hold(bytes: Vec<u8>, hold: memory::Hold) -> Bytes {
    Bytes::from_owner(Whole { bytes, _hold: hold })
}

/// Collects a body. Its memory is taken from `account`, and given back when the last copy of the
/// bytes is dropped. The caller ends the time limit.
///
/// # Errors
///
/// Returns an [`Error`] if there is no such body. A length over the limit is refused before anything
/// is read.
pub async fn collect<B>(
    body: &mut B,
    account: &memory::Account,
    limit: Limit,
) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let hint = body.size_hint();
    if hint.lower() > limit.bytes as u64 {
        return Err(Error::TooLarge);
    }
    // The limit fits in memory, so that a length below it does too.
    let length = hint.exact().map(|length| length as usize);
    let wait = MAX_WAIT.min(limit.time / WAIT_PART);
    let mut capacity = length.unwrap_or(FIRST);
    let demand = memory::Demand { bytes: capacity * limit.copies, time: limit.time, wait };
    let mut hold = account.hold_body(demand).await?;
    let mut bytes = Vec::with_capacity(capacity);
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.given_up() => return Err(memory::Full.into()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| Error::Truncated)?.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > limit.bytes {
            return Err(Error::TooLarge);
        }
        if size > capacity {
            capacity = size.next_power_of_two().min(limit.bytes);
            hold.grow(capacity * limit.copies, wait).await?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        hold.record(data.len());
        bytes.extend_from_slice(&data);
    }
    hold.complete();
    Ok(with_hold(bytes, hold))
}

/// Reads the rest of a refused body, up to a multiple of the size limit `limit` and for a bounded
/// time, so that its client can read the response. A connection that is closed with unread bytes can
/// lose what was sent on it.
pub async fn discard<B>(body: &mut Body<B>, limit: usize)
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    body.discarded = true;
    let discarded = async {
        let mut left = limit.saturating_mul(DISCARD_FACTOR);
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            if size > left {
                return;
            }
            left -= size;
        }
    };
    tokio::time::timeout(DISCARD_TIME, discarded).await.unwrap_or_default();
}
