//! Error responses that the entry host itself sends to clients, and their types.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use loftcove_decision::{balancer, home};
use loftcove_intake::memory;
use serde::Serialize;

use crate::entry::call;

/// Why a client does not get a backend server's answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The process accepts no requests, because it is starting or draining.
    #[error("this entry host is not serving")]
    NotServing,
    /// The bearer token is missing, or belongs to no team.
    #[error("the bearer token is missing or belongs to no team")]
    Token,
    /// There is no model with this name.
    #[error("no model `{0}`")]
    Model(String),
    /// There is no service with this name.
    #[error("no service `{0}`")]
    Service(String),
    /// There is no request class with this name.
    #[error("no request class `{0}`")]
    Class(String),
    /// The path is not served.
    #[error("no such path")]
    Path,
    /// The path does not support the method.
    #[error("the path does not take this method")]
    Method,
    /// The body is not a chat request in JSON.
    #[error("the body is not a chat request: {0}")]
    Json(String),
    /// The body exceeds the size limit, in bytes.
    #[error("the body is over {0} bytes")]
    TooLarge(usize),
    /// The body ended before it was complete.
    #[error("the body did not come whole")]
    Truncated,
    /// There is no memory for the body.
    #[error("no memory for the body")]
    Memory,
    /// The headers exceed the size limit, in bytes.
    #[error("the headers are over {0} bytes")]
    Headers(usize),
    /// The value of a header cannot be parsed.
    #[error("the header {0} cannot be read")]
    Header(&'static str),
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The idempotency key is not a UUIDv7.
    #[error(transparent)]
    Key(#[from] home::key::Error),
    /// The home did not grant the idempotency key.
    #[error("idempotency key: {0:?}")]
    Claim(home::keeper::Standing),
    /// The home of the idempotency key could not be reached.
    #[error("the home of the idempotency key was not reached")]
    Home,
    /// The balancer rejected the request.
    #[error("given up: {}", .0.reason)]
    Balancer(balancer::Refusal),
    /// Backend servers ended under earlier attempts at the request.
    #[error("backend servers end under this request")]
    EndsServers,
    /// An attempt may have run, and its answer is not complete.
    #[error("the answer was lost; the request may have run")]
    Lost,
}

/// Whether a request ran, as reported to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran, and its answer was complete.
    Answered,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Delay before a retry for which there is no better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a retry while another request under the same key is running.
const RETRY_AFTER_CLAIMED: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct Body<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    r#type: &'a str,
    message: String,
    outcome: &'a str,
    request_id: &'a str,
}

impl Refusal {
    /// Returns the HTTP status, and the type of the error in the body.
    fn status_and_type(&self) -> (StatusCode, &'static str) {
        match self {
            Refusal::NotServing => (StatusCode::SERVICE_UNAVAILABLE, "not-serving"),
            Refusal::Token => (StatusCode::UNAUTHORIZED, "unknown-team"),
            Refusal::Model(_) => (StatusCode::NOT_FOUND, "unknown-model"),
            Refusal::Service(_) => (StatusCode::NOT_FOUND, "unknown-service"),
            Refusal::Class(_) => (StatusCode::BAD_REQUEST, "unknown-class"),
            Refusal::Path => (StatusCode::NOT_FOUND, "unknown-path"),
            Refusal::Method => (StatusCode::METHOD_NOT_ALLOWED, "method"),
            Refusal::Json(_) => (StatusCode::BAD_REQUEST, "malformed-body"),
            Refusal::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            Refusal::Truncated => (StatusCode::BAD_REQUEST, "body-truncated"),
            Refusal::Memory => (StatusCode::SERVICE_UNAVAILABLE, "no-memory"),
            Refusal::Headers(_) => {
                (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "headers-too-large")
            }
            Refusal::Header(_) => (StatusCode::BAD_REQUEST, "malformed-header"),
            Refusal::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
            Refusal::Key(_) => (StatusCode::BAD_REQUEST, "malformed-key"),
            Refusal::Claim(standing) => claim_status(*standing),
            Refusal::Home => (StatusCode::SERVICE_UNAVAILABLE, "home-unreachable"),
            Refusal::Balancer(refusal) => balancer_status(refusal),
            Refusal::Lost => (StatusCode::BAD_GATEWAY, "answer-lost"),
            Refusal::EndsServers => (StatusCode::BAD_GATEWAY, "ends-servers"),
        }
    }

    /// Returns the outcome to report to the client.
    pub fn outcome(&self) -> Outcome {
        use home::keeper::Standing;
        match self {
            Refusal::Lost | Refusal::EndsServers => Outcome::Unknown,
            Refusal::Balancer(refusal) if refusal.outcome == balancer::Outcome::Unknown => {
                Outcome::Unknown
            }
            // An earlier request under the key has run and was answered.
            Refusal::Claim(Standing::Ran) => Outcome::Answered,
            Refusal::Claim(Standing::Claimed | Standing::Unknown) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the delay before a retry, or `None` if the response suggests none.
    fn retry_after(&self) -> Option<Duration> {
        use home::keeper::Standing;
        match self {
            Refusal::Balancer(refusal) => Some(refusal.retry_after),
            Refusal::NotServing | Refusal::Home | Refusal::Lost => Some(RETRY_AFTER),
            // Bodies without progress are given up within this time.
            Refusal::Memory => Some(memory::STALL),
            Refusal::Claim(Standing::NotHome | Standing::Full) => Some(RETRY_AFTER),
            Refusal::Claim(Standing::Claimed) => Some(RETRY_AFTER_CLAIMED),
            _ => None,
        }
    }

    /// Returns whether a part of the request's body may be unread.
    fn may_leave_body_unread(&self) -> bool {
        let body_read = matches!(
            self,
            Refusal::Balancer(_)
                | Refusal::Claim(_)
                | Refusal::Home
                | Refusal::Lost
                | Refusal::EndsServers
        );
        !body_read
    }

    /// Returns the complete response.
    pub fn response(&self, request_id: &str) -> http::Response<Full<Bytes>> {
        let (status, kind) = self.status_and_type();
        let outcome = self.outcome().as_str();
        let error = Error { r#type: kind, message: self.to_string(), outcome, request_id };
        let json = serde_json::to_vec(&Body { error }).unwrap_or_default();
        let mut response = http::Response::new(Full::from(json));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        headers.insert(call::OUTCOME_HEADER, http::HeaderValue::from_static(outcome));
        if let Ok(id) = http::HeaderValue::from_str(request_id) {
            headers.insert(call::REQUEST_ID_HEADER, id);
        }
        if self.may_leave_body_unread() {
            // The connection is closed with the remaining body unread. Without this header, the
            // client could send its next request on the same connection.
            let close = http::HeaderValue::from_static("close");
            headers.insert(http::header::CONNECTION, close);
        }
        if let Some(after) = self.retry_after() {
            let seconds = after.as_secs_f64().ceil() as u64;
            headers.insert(http::header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

/// Returns the status and the type for a key that was not granted.
fn claim_status(standing: home::keeper::Standing) -> (StatusCode, &'static str) {
    use home::keeper::Standing;
    match standing {
        Standing::Ran => (StatusCode::CONFLICT, "already-answered"),
        Standing::Claimed => (StatusCode::CONFLICT, "in-progress"),
        Standing::Unknown | Standing::Granted => (StatusCode::CONFLICT, "key-unknown"),
        Standing::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, "key-reused"),
        Standing::Future => (StatusCode::BAD_REQUEST, "key-from-future"),
        Standing::NotHome => (StatusCode::SERVICE_UNAVAILABLE, "home-unconfirmed"),
        Standing::Full => (StatusCode::SERVICE_UNAVAILABLE, "keys-full"),
    }
}

/// Returns the status and the type for a request that the balancer rejected.
fn balancer_status(refusal: &balancer::Refusal) -> (StatusCode, &'static str) {
    use loftcove_decision::admission;
    match refusal.reason {
        balancer::Reason::Admission(admission::Refusal::TeamLimit) => {
            (StatusCode::TOO_MANY_REQUESTS, "team-limit")
        }
        balancer::Reason::Admission(admission::Refusal::QueueFull) => {
            (StatusCode::SERVICE_UNAVAILABLE, "overloaded")
        }
        balancer::Reason::Admission(admission::Refusal::Deadline) => {
            (StatusCode::GATEWAY_TIMEOUT, "deadline")
        }
        balancer::Reason::NoBackend => (StatusCode::SERVICE_UNAVAILABLE, "no-backend"),
        balancer::Reason::Broken | balancer::Reason::Stalled | balancer::Reason::Unreached => {
            (StatusCode::SERVICE_UNAVAILABLE, "group-down")
        }
        // Requests of this interface have no time by which the answer should begin.
        balancer::Reason::Shortage => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        balancer::Reason::Attempts => (StatusCode::BAD_GATEWAY, "attempts"),
        balancer::Reason::ServerEnded => (StatusCode::BAD_GATEWAY, "server-ended"),
        balancer::Reason::Resting(_) => (StatusCode::SERVICE_UNAVAILABLE, "servers-rest"),
        balancer::Reason::Limited(_) => (StatusCode::SERVICE_UNAVAILABLE, "rate-limit"),
        balancer::Reason::Budget => (StatusCode::SERVICE_UNAVAILABLE, "retry-budget"),
    }
}
