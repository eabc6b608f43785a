//! Responses to clients: complete ones from a backend server, or local ones of the gateway.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use loftcove_clock as boot;
use loftcove_decision::balancer;
use loftcove_intake::{body, memory};
use loftcove_interface::protocol::Protocol;
use loftcove_response::{ending, framing};

use crate::body::Body;
use crate::deadline::Deadline;
use crate::{ended, upstream};

/// Maximum size of a response that is buffered until it is complete. A longer one is relayed as it
/// arrives.
pub const MAX_BUFFERED: usize = 256 * 1024;
/// Retry delay where an attempt may have run. A client that may retry has nothing to wait for.
const IMMEDIATE_RETRY: Duration = Duration::ZERO;

/// A response to a client.
pub type Response = http::Response<Body>;

/// A complete response of a backend server.
#[derive(Debug)]
pub struct Whole {
    /// Unchanged head of the response.
    pub head: http::response::Parts,
    /// Body of the response.
    pub body: Bytes,
}

/// Result of reading a response.
pub enum Read {
    /// A body that ended in order.
    Ended(Bytes),
    /// A body that is too long to be buffered: the bytes received so far, and the remainder.
    Long(Bytes, upstream::Body),
}

/// Reads a response's body, up to [`MAX_BUFFERED`] and to what `account` has memory for.
///
/// # Errors
///
/// Returns an [`ending::Error`] if the connection breaks or the deadline passes.
pub async fn read(
    mut body: upstream::Body,
    due: boot::Instant,
    account: &memory::Account,
) -> Result<Read, ending::Error> {
    let mut buffer = Vec::new();
    let mut hold = account.hold_nothing();
    let mut held = true;
    let mut deadline = Deadline::new(due);
    loop {
        let frame = deadline.wait(body.frame()).await;
        match frame.map_err(|_| ending::Error::TimedOut)? {
            None => return Ok(Read::Ended(body::with_hold(buffer, hold))),
            Some(Err(error)) => return Err(ended::break_of(&error)),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let size = buffer.len() + data.len();
                if size > hold.bytes() {
                    held = hold.try_grow(size.next_power_of_two());
                    let capacity = hold.bytes().max(size);
                    buffer.reserve_exact(capacity - buffer.len());
                }
                buffer.extend_from_slice(&data);
            }
        }
        if buffer.len() > MAX_BUFFERED || !held {
            return Ok(Read::Long(body::with_hold(buffer, hold), body));
        }
    }
}

/// Returns a backend server's response to a request with this method in the form for the client.
/// The connection to the client frames the body.
pub fn relay<P: Protocol>(
    method: &http::Method,
    head: &http::response::Parts,
    body: Body,
) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = P::relay(head);
    framing::remove_fields(method, response.headers_mut());
    response
}

/// Returns a local response without a body.
pub fn local<P: Protocol>(
    status: http::StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
) -> Response {
    let mut response = http::Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = P::own_answer(id, retry_after);
    response
}

/// Returns the final response of a request that the balancer rejected.
pub fn refusal<P: Protocol>(refusal: &balancer::Refusal, id: &str) -> Response {
    match refusal.outcome {
        balancer::Outcome::NotRun => {
            local::<P>(http::StatusCode::SERVICE_UNAVAILABLE, Some(id), Some(refusal.retry_after))
        }
        balancer::Outcome::Unknown => unknown::<P>(id),
    }
}

/// Returns the final response of a request that may have run and has no complete response.
pub fn unknown<P: Protocol>(id: &str) -> Response {
    local::<P>(http::StatusCode::BAD_GATEWAY, Some(id), Some(IMMEDIATE_RETRY))
}
