//! Reads a client's request and finds its route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use loftcove_clock as boot;
use loftcove_decision::{poison, route};
use loftcove_intake::{body, memory};
use loftcove_interface::protocol;

use crate::{client, shares};

/// Time limit of a request whose client gives none. The route's limit applies too.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Subtracted from the time limit of the client and the route, so that a response at the deadline
/// still arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Why a request is rejected without an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No configuration has been received yet.
    #[error("no-configuration")]
    NoConfig,
    /// The process is about to stop.
    #[error("stopping")]
    Stopping,
    /// The request has no route, or its key does not permit the route.
    #[error("{0}")]
    Route(#[from] route::Refusal),
    /// A required header is missing.
    #[error("malformed-header")]
    Header,
    /// The body exceeds the size limit.
    #[error("body-too-large")]
    TooLarge,
    /// The body ended early.
    #[error("body-broken-off")]
    Truncated,
    /// There is no memory for the body.
    #[error("memory")]
    Memory,
    /// Backend servers ended under the request.
    #[error("ends-servers")]
    EndsServers,
    /// Backend servers ended under requests with a part of the prompt.
    #[error("prompt-part-ends-servers")]
    PartEndsServers,
    /// The name of the team cannot be sent to backend servers.
    #[error("unsendable-team")]
    UnsendableTeam,
}

impl Refusal {
    /// Returns the response's status and, if a retry can help, the delay before it.
    pub fn answer(self) -> (http::StatusCode, Option<Duration>) {
        /// Time within which a starting gateway receives a configuration.
        const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
        /// Time within which bodies that arrive without progress are given up.
        const MEMORY_RETRY_AFTER: Duration = memory::STALL;
        /// Only a new configuration helps, so clients are asked to wait for as long as they can.
        const TEAM_RETRY_AFTER: Duration = Duration::from_secs(5);
        match self {
            Refusal::UnsendableTeam => {
                (http::StatusCode::SERVICE_UNAVAILABLE, Some(TEAM_RETRY_AFTER))
            }
            Refusal::NoConfig => (http::StatusCode::SERVICE_UNAVAILABLE, Some(CONFIG_RETRY_AFTER)),
            Refusal::Memory => (http::StatusCode::SERVICE_UNAVAILABLE, Some(MEMORY_RETRY_AFTER)),
            // Other gateways serve, so the client may retry at once.
            Refusal::Stopping => (http::StatusCode::SERVICE_UNAVAILABLE, Some(Duration::ZERO)),
            Refusal::Route(route::Refusal::NoRoute) => (http::StatusCode::NOT_FOUND, None),
            Refusal::Route(route::Refusal::UnknownKey) => (http::StatusCode::UNAUTHORIZED, None),
            Refusal::Header | Refusal::Truncated => (http::StatusCode::BAD_REQUEST, None),
            // The request has run, so a response must not claim that it has not. No delay is given,
            // because a retry cannot succeed.
            Refusal::EndsServers => (http::StatusCode::BAD_GATEWAY, None),
            // The request itself may be new, but no retry can succeed, and clients retry a 503.
            Refusal::PartEndsServers => (http::StatusCode::BAD_GATEWAY, None),
            Refusal::TooLarge => (http::StatusCode::PAYLOAD_TOO_LARGE, None),
        }
    }

    /// Returns whether the connection is closed because the rest of the body is of no use.
    pub fn closes(self) -> bool {
        matches!(self, Refusal::TooLarge | Refusal::Truncated | Refusal::Memory)
    }
}

/// Who sent a request and how urgent it is, for the log and the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Name of the team; `-` if the request needs no key.
    pub team: Arc<str>,
    /// Priority of the route; 0 is the most urgent. The priority of the team is not part of it.
    pub urgency: u32,
    /// Class of the team by its share of the requests.
    pub class: shares::Class,
}

/// A request that may be sent to a backend server.
pub struct Request {
    /// Unchanged head of the request.
    pub head: http::request::Parts,
    /// Complete body.
    pub body: Bytes,
    /// What the protocol reads from the head.
    pub meta: protocol::Request,
    /// Route and team of the request.
    pub grant: route::Grant,
    /// Team, urgency and class of the team.
    pub origin: Origin,
    /// Digest of path, team and body, which is the same for all retries of the request.
    pub digest: poison::Digest,
    /// Digests of the first shared parts of the prompt. They differ between services.
    pub parts: Vec<poison::Digest>,
    /// Whether the request is sent although a part is refused, to find out whether an answer begins.
    pub trial: bool,
    /// Whether the request may have ended a backend server, as far as was known when it was
    /// received.
    pub suspect: bool,
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Time at which the request was received.
    pub received: boot::Instant,
    /// Deadline of the final response.
    pub due: boot::Instant,
    /// Version of the configuration that the route is from.
    pub version: u64,
}

/// Maximum number of parts of a prompt that are logged.
const MAX_LOGGED_PARTS: usize = 8;
/// Maximum number of characters of a part's id that are logged.
const MAX_LOGGED_ID: usize = 32;

impl Request {
    /// Returns the ids of the first shared parts of the prompt for the log.
    pub fn part_ids(&self) -> String {
        let ids = self.meta.parts.iter().take(MAX_LOGGED_PARTS);
        let ids: Vec<String> = ids.map(|id| printable(id)).collect();
        if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
    }

    /// Returns the parts for which the request is refused if servers ended under them.
    pub fn refusable_parts(&self) -> &[poison::Digest] {
        if self.trial { &[] } else { &self.parts }
    }

    /// Returns the id of a part for the log.
    pub fn part_id(&self, digest: poison::Digest) -> String {
        let mut parts = self.meta.parts.iter().zip(&self.parts);
        let found = parts.find(|(_, other)| **other == digest);
        found.map_or_else(|| "-".to_owned(), |(id, _)| printable(id))
    }
}

/// Returns an id that a client chose without characters that would look like other fields of a log
/// line.
fn printable(id: &str) -> String {
    let char = |char: char| if char.is_ascii_alphanumeric() { char } else { '_' };
    id.chars().take(MAX_LOGGED_ID).map(char).collect()
}

/// Returns the deadline of the response to a request on this route that was received at `received`.
pub fn due(
    received: boot::Instant,
    meta: &protocol::Request,
    route: &route::Route,
) -> boot::Instant {
    let timeout = meta.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    received + timeout.saturating_sub(DEADLINE_MARGIN)
}

/// Reads a complete request whose route has been found, and whose head was received at `received`.
///
/// # Errors
///
/// Returns a [`Refusal`] if the request is rejected. Nothing has been sent to a backend server.
pub async fn read(
    (received, head): (boot::Instant, http::request::Parts),
    (body, account): (&mut client::Body, &memory::Account),
    meta: protocol::Request,
    (grant, origin): (route::Grant, Origin),
    routes: &route::Table,
) -> Result<Request, Refusal> {
    let due = due(received, &meta, &grant.route);
    let left = due.saturating_duration_since(received);
    // Attempts and the request share the bytes.
    let limit = body::Limit { bytes: routes.limits.body_bytes, time: left, copies: 1 };
    let body = body::collect(body, account, limit);
    let body = tokio::time::timeout_at(due.timer(), body).await;
    let body = body.map_err(|_| Refusal::Truncated)?.map_err(|error| match error {
        body::Error::TooLarge => Refusal::TooLarge,
        body::Error::Truncated => Refusal::Truncated,
        body::Error::Full(_) => Refusal::Memory,
    })?;
    let service = grant.route.target(rand::random()).clone();
    let digest = digest(&head, &meta, &grant, &body);
    let parts = part_digests(&service, &meta);
    let (suspect, trial, version) = (false, false, routes.version);
    Ok(Request {
        head,
        body,
        meta,
        grant,
        origin,
        digest,
        parts,
        trial,
        suspect,
        service,
        received,
        due,
        version,
    })
}

/// Returns the digest of what stays the same when a client retries. The team stands for the client,
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

/// Maximum number of parts of a prompt that are distinguished.
const MAX_PARTS: usize = 32;

fn part_digests(service: &str, meta: &protocol::Request) -> Vec<poison::Digest> {
    let digest = |id: &Arc<str>| poison::Digest::of(&[service.as_bytes(), id.as_bytes()]);
    meta.parts.iter().take(MAX_PARTS).map(digest).collect()
}
