//! Hands a backend server's answer on to the caller.
//!
//! A short answer is held until its end mark has come, so that its header
//! states the outcome. A stream goes on part by part; its outcome is in a
//! trailer, and, for server-sent events, in a last comment. An answer without
//! its end mark is never passed off as whole: the body ends with an error.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::Full;
use loftcove_clock as boot;
use loftcove_decision::{balancer, entity};
use loftcove_wire as wire;
use tokio_stream::Stream as _;

use crate::entry::refusal::{Outcome, Refusal};
use crate::entry::{call, claim, dispatch, dispatcher};
use crate::{life, process};

/// Longest answer that is held until its end, bytes.
const HOLD_LIMIT: usize = 64 * 1024;
/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What is to be done when an answer ends. Dropped before that, the caller left.
pub struct Completion {
    /// The process.
    pub process: Arc<process::Process>,
    /// The dispatcher, which learns the load that the end mark bears.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// The backend server that answers.
    pub server: entity::Server,
    /// Id of the request.
    pub request: String,
    /// What it is, and where it runs.
    pub subject: dispatch::Subject,
    /// Its place at the dispatcher.
    pub permit: Option<dispatcher::Permit>,
    /// Its claim.
    pub claim: Option<claim::Claim>,
    /// Its share in the requests in flight.
    pub _in_flight: life::InFlight,
}

impl Completion {
    fn end(&mut self, end: balancer::End, outcome: Outcome, reason: &str) {
        if let Some(mut permit) = self.permit.take() {
            permit.end(end);
        }
        if let Some(claim) = self.claim.take() {
            claim.settle(outcome);
        }
        self.process.metrics.count(outcome.as_str(), reason.to_owned());
        self.process
            .history
            .record(&self.request, format!("outcome={} reason={reason}", outcome.as_str()));
    }

    fn answered(&mut self) {
        self.process.ends.clear(self.subject.digest);
        self.end(balancer::End::Answered, Outcome::Answered, "whole");
    }

    fn broken(&mut self, reason: &str) {
        let end = balancer::End::MayHaveRun { answer_begun: true };
        self.end(end, Outcome::Unknown, reason);
    }
}

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The answer broke off.
    #[error("the answer broke off")]
    Broken,
}

/// A part of an attempt's answer.
enum Part {
    Data(Bytes),
    End,
    Broken(&'static str),
}

/// Reads a frame; one that does not echo the attempt is dropped and counted.
fn part(
    completion: &Completion,
    id: &wire::AttemptId,
    frame: Result<Option<wire::Frame>, tonic::Status>,
) -> Option<Part> {
    let frame = match frame {
        Ok(Some(frame)) => frame,
        Ok(None) => return Some(Part::Broken("no-end-mark")),
        Err(_) => return Some(Part::Broken("agent-lost")),
    };
    if frame.id.as_ref() != Some(id) {
        completion.process.metrics.dropped_frames.inc();
        return None;
    }
    match frame.kind {
        Some(wire::frame::Kind::Data(data)) => Some(Part::Data(data)),
        Some(wire::frame::Kind::End(end)) => {
            if let Some(report) = end.report {
                completion.dispatcher.report(completion.server, &report);
            }
            Some(Part::End)
        }
        Some(wire::frame::Kind::Broken(broken)) => {
            completion.subject.record_end(&completion.process, id, &broken, true);
            Some(Part::Broken("server-broke-off"))
        }
        _ => Some(Part::Broken("out-of-order")),
    }
}

/// Builds the caller's answer.
pub async fn respond(
    mut answer: dispatch::Answer,
    mut completion: Completion,
    due: boot::Instant,
) -> http::Response<Body> {
    let mut response = http::Response::new(());
    *response.status_mut() = http::StatusCode::from_u16(answer.head.status as u16)
        .unwrap_or(http::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in &answer.head.headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(id) = http::HeaderValue::from_str(&completion.request) {
        headers.insert(call::REQUEST_ID_HEADER, id);
    }
    let kind = headers.get(http::header::CONTENT_TYPE);
    let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(EVENT_STREAM));
    let mut held = VecDeque::new();
    if !events {
        match hold(&mut answer, &completion, &mut held, due).await {
            Held::Whole => {
                completion.answered();
                let outcome = http::HeaderValue::from_static(Outcome::Answered.as_str());
                response.headers_mut().insert(call::OUTCOME_HEADER, outcome);
                return response.map(|()| Body::whole(concat(held).into()));
            }
            Held::Broken(reason) => {
                completion.broken(reason);
                return Refusal::Lost.response(&completion.request).map(Body::whole);
            }
            Held::Long => {}
        }
    }
    let trailer = http::HeaderValue::from_static(call::OUTCOME_HEADER);
    response.headers_mut().insert(http::header::TRAILER, trailer);
    let sleep = Box::pin(tokio::time::sleep_until(due.timer()));
    let stream = Stream { answer, completion, events, held, deadline: sleep, state: State::Open };
    response.map(|()| Body { inner: Inner::Stream(Box::new(stream)) })
}

/// What came of holding an answer.
enum Held {
    Whole,
    Long,
    Broken(&'static str),
}

async fn hold(
    answer: &mut dispatch::Answer,
    completion: &Completion,
    held: &mut VecDeque<Bytes>,
    due: boot::Instant,
) -> Held {
    let mut size = 0;
    while size <= HOLD_LIMIT {
        let next = tokio::time::timeout_at(due.timer(), answer.frames.message()).await;
        let Ok(frame) = next else { return Held::Broken("deadline") };
        match part(completion, &answer.id, frame) {
            Some(Part::Data(data)) => {
                size += data.len();
                held.push_back(data);
            }
            Some(Part::End) => return Held::Whole,
            Some(Part::Broken(reason)) => return Held::Broken(reason),
            None => {}
        }
    }
    Held::Long
}

fn concat(parts: VecDeque<Bytes>) -> Vec<u8> {
    parts.iter().flat_map(|part| part.iter().copied()).collect()
}

/// Body of an answer to a caller.
pub struct Body {
    inner: Inner,
}

enum Inner {
    Whole(Full<Bytes>),
    Stream(Box<Stream>),
}

impl Body {
    /// A body that is there.
    pub fn whole(body: Full<Bytes>) -> Body {
        Body { inner: Inner::Whole(body) }
    }
}

/// An answer on its way.
struct Stream {
    answer: dispatch::Answer,
    completion: Completion,
    events: bool,
    held: VecDeque<Bytes>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    state: State,
}

/// How far a stream has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// The last comment was sent; the trailers follow.
    Trailers,
    /// The error follows.
    Error,
    Done,
}

impl Stream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        loop {
            match self.state {
                State::Done => return Poll::Ready(None),
                State::Trailers => {
                    self.state = State::Done;
                    return Poll::Ready(Some(Ok(trailers(Outcome::Answered))));
                }
                State::Error => {
                    self.state = State::Done;
                    return Poll::Ready(Some(Err(Error::Broken)));
                }
                State::Open => {}
            }
            if let Some(data) = self.held.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            if self.deadline.as_mut().poll(context).is_ready() {
                return Poll::Ready(self.break_off("deadline"));
            }
            let frame = match Pin::new(&mut self.answer.frames).poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame.transpose(),
            };
            match part(&self.completion, &self.answer.id, frame) {
                Some(Part::Data(data)) => return Poll::Ready(Some(Ok(Frame::data(data)))),
                Some(Part::End) => {
                    self.completion.answered();
                    self.state = State::Trailers;
                    if self.events {
                        return Poll::Ready(Some(Ok(Frame::data(last_comment()))));
                    }
                }
                Some(Part::Broken(reason)) => return Poll::Ready(self.break_off(reason)),
                None => {}
            }
        }
    }

    /// Tells an event stream's reader that the answer is not whole, then ends
    /// the body with an error.
    fn break_off(&mut self, reason: &'static str) -> Option<Result<Frame<Bytes>, Error>> {
        self.completion.broken(reason);
        if !self.events {
            self.state = State::Done;
            return Some(Err(Error::Broken));
        }
        self.state = State::Error;
        let error = serde_json::json!({
            "error": {
                "type": "answer-lost",
                "message": Refusal::Lost.to_string(),
                "outcome": Outcome::Unknown.as_str(),
                "request_id": self.completion.request,
            }
        });
        Some(Ok(Frame::data(format!("event: error\ndata: {error}\n\n").into())))
    }
}

/// A comment, which readers of server-sent events pass over.
fn last_comment() -> Bytes {
    format!(": {} {}\n\n", call::OUTCOME_HEADER, Outcome::Answered.as_str()).into()
}

fn trailers(outcome: Outcome) -> Frame<Bytes> {
    let mut trailers = http::HeaderMap::new();
    trailers.insert(call::OUTCOME_HEADER, http::HeaderValue::from_static(outcome.as_str()));
    Frame::trailers(trailers)
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut self.inner {
            Inner::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Inner::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.inner {
            Inner::Whole(body) => body.is_end_stream(),
            Inner::Stream(stream) => stream.state == State::Done,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match &self.inner {
            Inner::Whole(body) => body.size_hint(),
            Inner::Stream(_) => http_body::SizeHint::default(),
        }
    }
}
