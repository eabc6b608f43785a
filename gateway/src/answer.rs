//! Answers towards clients: a backend server's, whole, or one of our own.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_decision::balancer;
use loftcove_interface::protocol::Protocol;

use crate::body::Body;

/// Longest answer that is held until it is whole; a longer one is passed on as
/// it comes.
pub const HOLD_LIMIT: usize = 256 * 1024;
/// When to come back where an attempt may have run and a client that may ask
/// again is not kept waiting for anything.
const NO_WAIT: Duration = Duration::ZERO;

/// An answer to a client.
pub type Response = http::Response<Body>;

/// A backend server's answer, whole.
#[derive(Debug)]
pub struct Whole {
    /// Its head as it came.
    pub head: http::response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// Why an answer was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It broke off.
    #[error("broken-off")]
    Broken,
    /// It did not end in time.
    #[error("deadline")]
    Late,
}

/// What came of reading an answer.
pub enum Read {
    /// It is whole.
    Whole(Bytes),
    /// It is too long to be held: what has come, and the rest.
    Long(Bytes, Incoming),
}

/// Reads an answer's body, up to [`HOLD_LIMIT`].
///
/// # Errors
///
/// A [`Fault`].
pub async fn read(mut body: Incoming, due: boot::Instant) -> Result<Read, Fault> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout_at(due.timer(), body.frame()).await;
        match frame.map_err(|_| Fault::Late)? {
            None => return Ok(Read::Whole(whole.freeze())),
            Some(Err(_)) => return Err(Fault::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
        }
        if whole.len() > HOLD_LIMIT {
            return Ok(Read::Long(whole.freeze(), body));
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
pub fn own<P: Protocol>(
    status: http::StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
) -> Response {
    let mut response = http::Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = P::own_answer(id, retry_after);
    response
}

/// The final answer of a request that was given up.
pub fn refusal<P: Protocol>(refusal: &balancer::Refusal, id: &str) -> Response {
    match refusal.outcome {
        balancer::Outcome::NotRun => {
            own::<P>(http::StatusCode::SERVICE_UNAVAILABLE, Some(id), Some(refusal.retry_after))
        }
        balancer::Outcome::Unknown => {
            own::<P>(http::StatusCode::BAD_GATEWAY, Some(id), Some(NO_WAIT))
        }
    }
}
