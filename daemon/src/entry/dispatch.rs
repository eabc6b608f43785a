//! One attempt: sent to an agent, with its fate told apart when it fails.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::routing::{notice, rate as limits};
use loftcove_decision::{balancer, clock, fleet, poison};
use loftcove_platform::{rate, rest};
use loftcove_wire as wire;
use tonic::Streaming;

use crate::entry::{call, dispatcher};
use crate::{link, process};

/// Longest wait for an agent's word on what became of an attempt.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the agent is asked.
const REVOKE_TRIES: u32 = 2;

/// An attempt whose answer has begun.
pub struct Begun {
    /// Status and headers.
    pub head: wire::Head,
    /// The rest.
    pub frames: Streaming<wire::Frame>,
    /// The attempt, which every frame must echo.
    pub id: wire::AttemptId,
}

impl Begun {
    /// What the backend server says of its own near future: as on the users'
    /// machines, failures may ask for rest. That it leaves its agent tells.
    pub fn notice(&self) -> notice::Notice {
        let status = u16::try_from(self.head.status).ok();
        let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
        let rest = status.map(|status| rest::read(status, &headers(&self.head)));
        notice::Notice { rest: rest.unwrap_or_default(), leaving: false }
    }

    /// What it says of its rate limit.
    pub fn limit(&self) -> limits::Notice {
        rate::read(&headers(&self.head))
    }
}

/// The headers of an answer; one that is not well formed is left out, as in the
/// answer to the caller.
fn headers(head: &wire::Head) -> http::HeaderMap {
    let read = |header: &wire::Header| {
        let name = http::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, http::HeaderValue::from_bytes(&header.value).ok()?))
    };
    head.headers.iter().filter_map(read).collect()
}

/// What an attempt came to.
pub enum Sent {
    /// Its answer has begun.
    Begun(Box<Begun>),
    /// It ended without one.
    Ended(Ended),
}

/// The end of an attempt whose answer has not begun.
pub struct Ended {
    /// How it ended.
    pub end: balancer::End,
    /// Why, for the log.
    pub cause: String,
    /// Load of the backend server, if the agent told it.
    pub report: Option<wire::Report>,
}

impl Sent {
    fn ended(end: balancer::End, cause: String) -> Sent {
        Sent::Ended(Ended { end, cause, report: None })
    }
}

/// An attempt about to be sent.
pub struct Attempt<'a> {
    /// What is asked.
    pub call: &'a call::Call,
    /// Number of the attempt.
    pub number: u32,
    /// Where it goes.
    pub target: &'a dispatcher::Target,
    /// The run of the agent that it is meant for.
    pub incarnation: u64,
    /// Time that is left.
    pub left: Duration,
    /// When it may not start any more.
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
            budget_ms: self.left.as_millis() as u32,
            precedence: call.class.precedence,
            backend: self.target.backend.to_string(),
            expiry_ms: self.expiry.millis(),
        }
    }
}

/// Sends the attempt and waits for its first frame.
pub async fn send(process: &process::Process, attempt: &Attempt<'_>) -> Sent {
    process.metrics.attempts.inc();
    let mut agent = process.links.get(attempt.target.address).agent.clone();
    let first = async {
        let mut frames = agent.dispatch(attempt.message()).await?.into_inner();
        let frame = frames.message().await?;
        Ok::<_, tonic::Status>((frame, frames))
    };
    let (frame, frames) = match tokio::time::timeout(attempt.left, first).await {
        Ok(Ok((Some(frame), frames))) => (frame, frames),
        Ok(Ok((None, _))) => return settle(process, attempt, "stream ended").await,
        Ok(Err(status)) if link::never_sent(&status) => {
            return Sent::ended(balancer::End::NeverRan, "not connected".to_owned());
        }
        Ok(Err(status)) => return settle(process, attempt, status.message()).await,
        Err(_) => return settle(process, attempt, "deadline").await,
    };
    if frame.id.as_ref() != Some(&attempt.id()) {
        process.metrics.dropped_frames.inc();
        return settle(process, attempt, "frame of another attempt").await;
    }
    match frame.kind {
        Some(wire::frame::Kind::Head(head)) => {
            Sent::Begun(Box::new(Begun { head, frames, id: attempt.id() }))
        }
        Some(wire::frame::Kind::Refused(refused)) => refusal(refused),
        Some(wire::frame::Kind::Broken(broken)) => {
            let subject = Subject::new(attempt.call, attempt.target.host.clone());
            let end = subject.ended(process, &attempt.id(), &broken, false);
            Sent::ended(end, broken.reason)
        }
        _ => settle(process, attempt, "answer without a head").await,
    }
}

/// A request, and the host of the backend server that runs it.
pub struct Subject {
    /// What it is, whichever try of its caller.
    pub digest: poison::Digest,
    /// Whether it was the only suspect that this process had sent there.
    pub alone: bool,
    /// Id of the host.
    pub host: Arc<str>,
}

impl Subject {
    /// A request on the backend server of that host.
    pub fn new(call: &call::Call, host: Arc<str>) -> Subject {
        Subject { digest: call.digest(), alone: call.suspect, host }
    }

    /// How an attempt ended that broke off. A backend server that ended is
    /// counted for the request.
    pub fn ended(
        &self,
        process: &process::Process,
        id: &wire::AttemptId,
        broken: &wire::Broken,
        answer_begun: bool,
    ) -> balancer::End {
        let Some(number) = broken.server_end else {
            return balancer::End::MayHaveRun { answer_begun };
        };
        // Each run of the agent counts from its own start.
        let run = fleet::Run { id: self.host.clone(), born: Some(id.incarnation + number) };
        process.ends.record_end(&run, self.digest, self.alone);
        balancer::End::ServerEnded
    }
}

fn refusal(refused: wire::Refused) -> Sent {
    let end = match refused.reason() {
        wire::Refusal::Full => balancer::End::Full,
        _ => balancer::End::NeverRan,
    };
    let cause = refused.reason().as_str_name().to_lowercase();
    Sent::Ended(Ended { end, cause, report: refused.report })
}

/// Asks the agent what became of the attempt, and forbids it to start.
async fn settle(process: &process::Process, attempt: &Attempt<'_>, cause: &str) -> Sent {
    let mut phase = wire::Phase::Unknown;
    for _ in 0..REVOKE_TRIES {
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
    Sent::ended(end, format!("{cause}; {}", phase.as_str_name().to_lowercase()))
}
