//! Sends one attempt to an agent, and determines whether it ran if it fails.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::routing::{notice, rate as limits};
use loftcove_decision::{balancer, clock, fleet, poison};
use loftcove_platform::{rate, rest};
use loftcove_wire as wire;
use tonic::Streaming;

use crate::entry::{call, dispatcher};
use crate::{link, process};

/// Timeout of one call that revokes an attempt.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of calls that revoke an attempt.
const REVOKE_ATTEMPTS: u32 = 2;

/// An answer whose head has been received and whose body is still arriving.
pub struct Answer {
    /// Status and headers of the answer.
    pub head: wire::Head,
    /// Remaining frames.
    pub frames: Streaming<wire::Frame>,
    /// Id of the attempt, which every frame must repeat.
    pub id: wire::AttemptId,
}

impl Answer {
    /// Returns the rest that the answer asks for: a time without requests. As in the gateway, only
    /// a failed answer can ask for one. Whether the server leaves is reported by its agent instead.
    pub fn notice(&self) -> notice::Notice {
        let status = u16::try_from(self.head.status).ok();
        let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
        let rest = status.map(|status| rest::read(status, &headers(&self.head)));
        notice::Notice { rest: rest.unwrap_or_default(), leaving: false }
    }

    /// Returns what the answer reports about the backend server's rate limit.
    pub fn limit(&self) -> limits::Notice {
        rate::read(&headers(&self.head))
    }
}

/// Returns the headers of an answer. Malformed headers are omitted, as in the response to the
/// client.
fn headers(head: &wire::Head) -> http::HeaderMap {
    let read = |header: &wire::Header| {
        let name = http::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, http::HeaderValue::from_bytes(&header.value).ok()?))
    };
    head.headers.iter().filter_map(read).collect()
}

/// Result of sending an attempt.
pub enum Response {
    /// The answer has begun.
    Answer(Box<Answer>),
    /// The attempt ended without an answer.
    Failure(Failure),
}

/// The end of an attempt without an answer.
pub struct Failure {
    /// How the attempt ended.
    pub end: balancer::End,
    /// Cause, for the log.
    pub cause: String,
    /// Load of the backend server, if the agent reported it.
    pub report: Option<wire::Report>,
}

impl Response {
    fn failure(end: balancer::End, cause: String) -> Response {
        Response::Failure(Failure { end, cause, report: None })
    }
}

/// An attempt that is about to be sent.
pub struct Attempt<'a> {
    /// Request that the attempt is for.
    pub call: &'a call::Call,
    /// Number of the attempt within the request.
    pub number: u32,
    /// Backend server that it is sent to.
    pub target: &'a dispatcher::Target,
    /// Incarnation of the agent; another run of the agent rejects the attempt.
    pub incarnation: u64,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Time after which the attempt must not start.
    pub expiry: clock::Wall,
}

impl Attempt<'_> {
    fn id(&self) -> wire::AttemptId {
        wire::AttemptId {
            request: self.call.id.as_bytes().to_vec().into(),
            number: self.number,
            incarnation: self.incarnation,
        }
    }

    fn message(&self) -> wire::Attempt {
        let call = self.call;
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| wire::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec().into(),
        };
        wire::Attempt {
            id: Some(self.id()),
            method: call.method.as_str().to_owned(),
            path: call.path.clone(),
            headers: call.headers.iter().map(header).collect(),
            body: call.body.clone(),
            budget_ms: self.remaining.as_millis() as u32,
            precedence: call.class.precedence,
            backend: self.target.backend.to_string(),
            expiry_ms: self.expiry.millis(),
        }
    }
}

/// Sends the attempt, and waits for its first frame or the deadline.
pub async fn send(process: &process::Process, attempt: &Attempt<'_>) -> Response {
    process.metrics.attempts.inc();
    let mut agent = process.links.get(attempt.target.address).agent.clone();
    let first = async {
        let mut frames = agent.dispatch(attempt.message()).await?.into_inner();
        let frame = frames.message().await?;
        Ok::<_, tonic::Status>((frame, frames))
    };
    let (frame, frames) = match tokio::time::timeout(attempt.remaining, first).await {
        Ok(Ok((Some(frame), frames))) => (frame, frames),
        Ok(Ok((None, _))) => return revoke(process, attempt, "stream ended").await,
        Ok(Err(status)) if link::never_sent(&status) => {
            return Response::failure(balancer::End::NeverRan, "not connected".to_owned());
        }
        Ok(Err(status)) => return revoke(process, attempt, status.message()).await,
        Err(_) => return revoke(process, attempt, "deadline").await,
    };
    if frame.id.as_ref() != Some(&attempt.id()) {
        process.metrics.dropped_frames.inc();
        return revoke(process, attempt, "frame of another attempt").await;
    }
    match frame.kind {
        Some(wire::frame::Kind::Head(head)) => {
            Response::Answer(Box::new(Answer { head, frames, id: attempt.id() }))
        }
        Some(wire::frame::Kind::Refused(refused)) => rejected(refused),
        Some(wire::frame::Kind::Broken(broken)) => {
            let subject = Subject::new(attempt.call, attempt.target.host.clone());
            let end = subject.record_end(process, &attempt.id(), &broken, false);
            Response::failure(end, broken.reason)
        }
        _ => revoke(process, attempt, "answer without a head").await,
    }
}

/// A request on a backend server, to which the end of the server may be attributed.
pub struct Subject {
    /// Identity of the request, which is the same for all retries by its client.
    pub digest: poison::Digest,
    /// Whether the request was the only suspect that this process had sent to the server.
    pub alone: bool,
    /// Id of the backend server's host.
    pub host: Arc<str>,
}

impl Subject {
    /// Creates the subject for a request on the backend server of `host`.
    pub fn new(call: &call::Call, host: Arc<str>) -> Subject {
        Subject { digest: call.digest(), alone: call.suspect, host }
    }

    /// Returns how a broken-off attempt ended. If the backend server has ended, the end is recorded
    /// against the request.
    pub fn record_end(
        &self,
        process: &process::Process,
        id: &wire::AttemptId,
        broken: &wire::Broken,
        answer_begun: bool,
    ) -> balancer::End {
        let Some(number) = broken.server_end else {
            return balancer::End::MayHaveRun { answer_begun };
        };
        // Each run of the agent numbers its server's ends from its own start, so the sum of the
        // incarnation and the number identifies the server's run.
        let run = fleet::Run { id: self.host.clone(), born: Some(id.incarnation + number) };
        process.ends.record_end(&run, self.digest, self.alone);
        balancer::End::ServerEnded
    }
}

/// Returns the result of an attempt that the agent rejected.
fn rejected(refused: wire::Refused) -> Response {
    let end = match refused.reason() {
        wire::Refusal::Full => balancer::End::Full,
        _ => balancer::End::NeverRan,
    };
    let cause = refused.reason().as_str_name().to_lowercase();
    Response::Failure(Failure { end, cause, report: refused.report })
}

/// Revokes the attempt, so that it cannot start any more, and returns whether it ran.
async fn revoke(process: &process::Process, attempt: &Attempt<'_>, cause: &str) -> Response {
    let mut phase = wire::Phase::Unknown;
    for _ in 0..REVOKE_ATTEMPTS {
        let mut agent = process.links.get(attempt.target.address).agent.clone();
        let revocation =
            wire::Revocation { id: Some(attempt.id()), expiry_ms: attempt.expiry.millis() };
        let answer = tokio::time::timeout(REVOKE_TIMEOUT, agent.revoke(revocation)).await;
        if let Ok(Ok(fate)) = answer {
            phase = fate.into_inner().phase();
            break;
        }
    }
    let end = match phase {
        wire::Phase::Never => balancer::End::NeverRan,
        _ => balancer::End::MayHaveRun { answer_begun: false },
    };
    Response::failure(end, format!("{cause}; {}", phase.as_str_name().to_lowercase()))
}
