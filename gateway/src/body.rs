//! Bodies of responses to clients.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Buf as _, Bytes};
use http_body::Frame;
use http_body_util::Full;
use loftcove_intake::connections;
use loftcove_response::framing::Framing;

use crate::{client, queue};

/// The response ended early, and the client must not take it to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// Body of a response.
pub enum Body {
    /// The complete body.
    Whole(Full<Bytes>),
    /// A body that is received in parts.
    Stream {
        /// Receiver of the parts.
        receiver: queue::Receiver,
        /// Number of bytes that are still to be received, if it is known.
        left: Option<u64>,
    },
}

impl Body {
    /// Creates a body from all of its bytes.
    pub fn whole(bytes: Bytes) -> Body {
        Body::Whole(Full::new(bytes))
    }
}

/// A body whose error is deferred until the connection has been asked to write. An error ends the
/// connection and drops everything that is not written yet, which can include the response's head.
pub struct Flushed<B: http_body::Body> {
    body: B,
    error: Option<B::Error>,
    /// Connection to reset unless the body ends.
    connection: Option<Arc<client::Progress>>,
    /// Request that the body answers.
    _request: Option<connections::Request>,
}

impl<B: http_body::Body> Flushed<B> {
    /// Wraps a body to defer its error.
    pub fn new(body: B) -> Flushed<B> {
        Flushed { body, error: None, connection: None, _request: None }
    }

    /// Resets the connection unless the body ends.
    fn reset_unless_ended(mut self, connection: Arc<client::Progress>) -> Flushed<B> {
        connection.set_unmarked(true);
        self.connection = Some(connection);
        self
    }
}

/// Returns a response whose body is [`Flushed`], for the client of `connection` whose request had
/// this version and method. The request is in progress until the body is dropped.
///
/// The connection is reset unless the body ends, if only its close marks the end of the body. A
/// client would take an orderly close for that end.
pub fn flushed<B: http_body::Body>(
    response: http::Response<B>,
    (version, method): (http::Version, &http::Method),
    connection: &Arc<client::Progress>,
    request: connections::Request,
) -> http::Response<Flushed<B>> {
    let (head, body) = response.into_parts();
    // HTTP/1.0 has no chunks.
    let unmarked = version < http::Version::HTTP_11
        && body.size_hint().exact().is_none()
        && Framing::of(method, &head) == Ok(Framing::Close);
    let body = Flushed { _request: Some(request), ..Flushed::new(body) };
    let body = if unmarked { body.reset_unless_ended(connection.clone()) } else { body };
    http::Response::from_parts(head, body)
}

impl<B> http_body::Body for Flushed<B>
where
    B: http_body::Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        if let Some(error) = this.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match std::task::ready!(Pin::new(&mut this.body).poll_frame(context)) {
            Some(Err(error)) => {
                this.error = Some(error);
                // The connection writes before it polls again.
                context.waker().wake_by_ref();
                Poll::Pending
            }
            frame => {
                let ended = match &frame {
                    Some(Ok(frame)) => frame.is_trailers(),
                    Some(Err(_)) => false,
                    None => true,
                };
                if let Some(connection) = this.connection.as_ref().filter(|_| ended) {
                    connection.set_unmarked(false);
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

impl http_body::Body for Body {
    type Data = queue::Part;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<queue::Part>, Broken>>> {
        match self.get_mut() {
            Body::Whole(full) => {
                let frame = Pin::new(full).poll_frame(context);
                frame.map(|frame| {
                    frame.map(|result| match result {
                        Ok(frame) => Ok(frame.map_data(queue::Part::from)),
                        Err(never) => match never {},
                    })
                })
            }
            Body::Stream { receiver, left } => {
                let part = std::task::ready!(receiver.poll_recv(context));
                if let (Some(left), Some(Ok(part))) = (left, &part) {
                    *left = left.saturating_sub(part.remaining() as u64);
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Stream { left, .. } => {
                left.map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
            }
        }
    }
}
