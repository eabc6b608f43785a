//! Answers towards clients: a backend server's, buffer, or one of our own.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_decision::balancer;
use loftcove_interface::protocol::Protocol;

use crate::body::Body;

/// Longest answer that is held until it is buffer; a longer one is passed on as
/// it comes.
pub const MAX_BUFFERED: usize = 256 * 1024;
/// When to come back where an attempt may have run and a client that may ask
/// again is not kept waiting for anything.
const IMMEDIATE_RETRY: Duration = Duration::ZERO;

/// An answer to a client.
pub type Response = http::Response<Body>;

/// A backend server's answer, buffer.
#[derive(Debug)]
pub struct Whole {
    /// Its head as it came.
    pub head: http::response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// Why an answer was not read buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It broke off.
    #[error("broken-off")]
    Broken,
    /// It did not end in time.
    #[error("deadline")]
    TimedOut,
}

/// What came of reading an answer.
pub enum Read {
    /// It is whole.
    Whole(Bytes),
    /// It is too long to be held: what has come, and the rest.
    Long(Bytes, Incoming),
}

/// Reads an answer's body, up to [`MAX_BUFFERED`].
///
/// # Errors
///
/// A [`Error`].
pub async fn read(mut body: Incoming, due: boot::Instant) -> Result<Read, Error> {
    let mut buffer = BytesMut::new();
    loop {
        let frame = tokio::time::timeout_at(due.timer(), body.frame()).await;
        match frame.map_err(|_| Error::TimedOut)? {
            None => return Ok(Read::Whole(buffer.freeze())),
            Some(Err(_)) => return Err(Error::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
        }
        if buffer.len() > MAX_BUFFERED {
            return Ok(Read::Long(buffer.freeze(), body));
        }
    }
}

/// A backend server's answer towards the client.
pub fn relay<P: Protocol>(head: &http::response::Parts, body: Body) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = P::relay(head);
    response
}

/// An answer of our own.
pub fn local<P: Protocol>(
    status: http::StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
) -> Response {
    let mut response = http::Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = P::refuse(id, retry_after);
    response
}

/// The final answer of a request that was given up.
pub fn refusal<P: Protocol>(refusal: &balancer::Refusal, id: &str) -> Response {
    match refusal.outcome {
        balancer::Outcome::NotRun => {
            local::<P>(http::StatusCode::SERVICE_UNAVAILABLE, Some(id), Some(refusal.retry_after))
        }
        balancer::Outcome::Unknown => {
            local::<P>(http::StatusCode::BAD_GATEWAY, Some(id), Some(IMMEDIATE_RETRY))
        }
    }
}
