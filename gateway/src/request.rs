//! Reads a client's request and finds its route.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_decision::{poison, route};
use loftcove_interface::protocol;

/// Longest time that a request is worked on where neither the client nor the
/// route says.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Taken off the time that the client and the route give, so that a last
/// answer arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Why a request is answered without any attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No configuration is known yet.
    #[error("no-configuration")]
    NoConfig,
    /// The process is about to stop.
    #[error("stopping")]
    Stopping,
    /// It has no route, or may not use it.
    #[error("{0}")]
    Route(#[from] route::Refusal),
    /// A header that must be there is missing.
    #[error("malformed-header")]
    Header,
    /// Its body is larger than the limit.
    #[error("body-too-large")]
    TooLarge,
    /// Its body broke off.
    #[error("body-broken-off")]
    Truncated,
    /// Backend servers ended under it.
    #[error("ends-servers")]
    EndsServers,
}

impl Refusal {
    /// Status and, where coming back helps, when.
    pub fn answer(self) -> (http::StatusCode, Option<Duration>) {
        /// A gateway knows a configuration within this time of its start.
        const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
        match self {
            Refusal::NoConfig => (http::StatusCode::SERVICE_UNAVAILABLE, Some(CONFIG_RETRY_AFTER)),
            // Other gateways serve.
            Refusal::Stopping => (http::StatusCode::SERVICE_UNAVAILABLE, Some(Duration::ZERO)),
            Refusal::Route(route::Refusal::NoRoute) => (http::StatusCode::NOT_FOUND, None),
            Refusal::Route(route::Refusal::UnknownKey) => (http::StatusCode::UNAUTHORIZED, None),
            Refusal::Header | Refusal::Truncated => (http::StatusCode::BAD_REQUEST, None),
            // It has run, so that nothing that says otherwise is true, and there
            // is no time at which its caller should come back.
            Refusal::EndsServers => (http::StatusCode::BAD_GATEWAY, None),
            Refusal::TooLarge => (http::StatusCode::PAYLOAD_TOO_LARGE, None),
        }
    }
}

/// A request that may be sent to a backend server.
pub struct Request {
    /// Its head as it came.
    pub head: http::request::Parts,
    /// Its body, whole.
    pub body: Bytes,
    /// What the head says.
    pub meta: protocol::Request,
    /// Its route and team.
    pub grant: route::Grant,
    /// What it is, whichever try of its caller: path, caller and body.
    pub digest: poison::Digest,
    /// Whether it may have ended a backend server, as far as was known when it came.
    pub suspect: bool,
    /// Service that is to answer it.
    pub service: Arc<str>,
    /// When it came.
    pub received: boot::Instant,
    /// When the final answer is due.
    pub due: boot::Instant,
    /// Version of the configuration that decided.
    pub version: u64,
}

/// Reads a request whole and finds its route.
///
/// # Errors
///
/// A [`Refusal`]; nothing was sent anywhere.
pub async fn read(
    head: http::request::Parts,
    body: Incoming,
    meta: protocol::Request,
    routes: &route::Table,
) -> Result<Request, Refusal> {
    let received = boot::Instant::now();
    let grant = routes.find(&meta.host, head.uri.path(), meta.key.as_deref())?;
    let timeout = meta.patience.unwrap_or(DEFAULT_TIMEOUT).min(grant.route.timeout);
    let due = received + timeout.saturating_sub(DEADLINE_MARGIN);
    let body = tokio::time::timeout_at(due.timer(), collect(body, routes.limits.body_bytes));
    let body = body.await.map_err(|_| Refusal::Truncated)??;
    let service = grant.route.target(rand::random()).clone();
    let digest = digest(&head, &meta, &grant, &body);
    let (suspect, version) = (false, routes.version);
    Ok(Request { head, body, meta, grant, digest, suspect, service, received, due, version })
}

/// What stays the same when a caller asks again: the team stands for the caller,
/// whichever of its keys is used, and all headers may differ.
fn digest(
    head: &http::request::Parts,
    meta: &protocol::Request,
    grant: &route::Grant,
    body: &[u8],
) -> poison::Digest {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let team = grant.team.as_ref().map_or("", |team| &*team.name);
    let parts = [head.method.as_str(), &meta.host, path, team].map(str::as_bytes);
    poison::Digest::of(&[parts[0], parts[1], parts[2], parts[3], body])
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Truncated)?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(Refusal::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
