//! Bodies whose pieces are recorded as they reach their reader.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Buf as _;
use http_body::{Frame, SizeHint};

use crate::Meter;

/// A body that arrives on the connection of a meter.
#[derive(Debug, Default)]
pub struct Body<B> {
    inner: B,
    meter: Meter,
}

impl<B> Body<B> {
    /// Records the pieces of a body on a meter.
    pub fn new(inner: B, meter: Meter) -> Body<B> {
        Body { inner, meter }
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
        let frame = ready!(Pin::new(&mut this.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| data.has_remaining())
        {
            this.meter.record_use();
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
