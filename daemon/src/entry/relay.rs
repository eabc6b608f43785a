//! Relays a backend server's answer to the client.
//!
//! A short answer is buffered until its end mark arrives, so that a response header can state the
//! outcome. A longer answer or an event stream is relayed as it arrives. Its outcome is stated in a
//! trailer, and for server-sent events also in a final comment. If the end mark is missing, the
//! response does not look complete: a streamed body ends with an error, and a buffered answer is
//! replaced by an error response. Of an event stream, only complete events are relayed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::Full;
use loftcove_clock as boot;
use loftcove_decision::{balancer, entity};
use loftcove_gateway::deadline::Deadline;
use loftcove_response::event::{Media, Position, Splitter};
use loftcove_response::{continuation, framing};
use loftcove_wire as wire;
use tokio_stream::Stream as _;

use crate::entry::refusal::{Outcome, Refusal};
use crate::entry::{call, claim, dispatch, dispatcher};
use crate::{life, process};

/// Maximum size of an answer that is buffered until it is complete, in bytes. A longer one is
/// relayed as it arrives.
const MAX_BUFFERED: usize = 64 * 1024;

/// What to release and record when an answer ends. If it is dropped earlier, the client has
/// disconnected.
pub struct Completion {
    /// Shared state of the process.
    pub process: Arc<process::Process>,
    /// Dispatcher, which receives the load report in the end mark.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// Backend server that answers.
    pub server: entity::Server,
    /// Id of the request.
    pub request: String,
    /// Identity of the request, and the backend server that runs it.
    pub subject: dispatch::Subject,
    /// The dispatcher's permit for the request, until the answer ends.
    pub permit: Option<dispatcher::Permit>,
    /// Claim of the request's idempotency key, until the answer ends.
    pub claim: Option<claim::Claim>,
    /// Guard that counts the request as in flight.
    pub _in_flight: life::InFlight,
}

impl Completion {
    /// Reports the end to the dispatcher and to the key's home, and records the outcome.
    fn record_end(&mut self, end: balancer::End, outcome: Outcome, reason: &str) {
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

    /// Records that the answer is complete, and so that the request has ended no server.
    fn record_answer(&mut self) {
        self.process.ends.clear(self.subject.digest);
        self.record_end(balancer::End::Answered, Outcome::Answered, "whole");
    }

    /// Records that the answer broke off for `reason`.
    fn record_break(&mut self, reason: &str) {
        let end = balancer::End::MayHaveRun { answer_begun: true };
        self.record_end(end, Outcome::Unknown, reason);
    }
}

/// Why the body of a response ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The answer broke off before its end mark.
    #[error("the answer broke off")]
    Broken,
}

/// A part of an attempt's answer.
enum Part {
    Data(Bytes),
    End,
    Broken(&'static str),
}

/// Reads a frame. A frame that does not repeat the attempt's id is dropped and counted.
fn read_part(
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

/// Builds the response to the client, whose request had this method.
pub async fn respond(
    mut answer: dispatch::Answer,
    mut completion: Completion,
    (method, due): (&http::Method, boot::Instant),
) -> http::Response<Body> {
    let mut response = http::Response::new(());
    let status = u16::try_from(answer.head.status).ok();
    let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in &answer.head.headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    // The agent's stream marks the end of the body.
    framing::remove_fields(method, headers);
    if let Ok(id) = http::HeaderValue::from_str(&completion.request) {
        headers.insert(call::REQUEST_ID_HEADER, id);
    }
    let events = (Media::of(headers) == Media::Events).then(Splitter::default);
    let mut buffered = VecDeque::new();
    if events.is_some() {
        // The outcome follows the events.
        continuation::remove_promises(response.headers_mut());
    } else {
        match buffer(&mut answer, &completion, &mut buffered, due).await {
            Buffered::Whole => {
                completion.record_answer();
                let outcome = http::HeaderValue::from_static(Outcome::Answered.as_str());
                response.headers_mut().insert(call::OUTCOME_HEADER, outcome);
                return response.map(|()| Body::whole(concat(buffered).into()));
            }
            Buffered::Broken(reason) => {
                completion.record_break(reason);
                return Refusal::Lost.response(&completion.request).map(Body::whole);
            }
            Buffered::Long => {}
        }
    }
    let trailer = http::HeaderValue::from_static(call::OUTCOME_HEADER);
    response.headers_mut().insert(http::header::TRAILER, trailer);
    let sleep = Box::pin(tokio::time::sleep_until(due.timer()));
    let stream =
        Stream { answer, completion, events, buffered, deadline: sleep, state: State::Open };
    response.map(|()| Body { inner: Inner::Stream(Box::new(stream)) })
}

/// Result of buffering an answer.
enum Buffered {
    /// The answer is complete.
    Whole,
    /// The answer is longer than [`MAX_BUFFERED`].
    Long,
    /// The answer broke off, for this reason.
    Broken(&'static str),
}

/// Buffers the answer until it ends or is longer than [`MAX_BUFFERED`].
async fn buffer(
    answer: &mut dispatch::Answer,
    completion: &Completion,
    buffered: &mut VecDeque<Bytes>,
    due: boot::Instant,
) -> Buffered {
    let mut size = 0;
    let mut deadline = Deadline::new(due);
    let stopped = completion.process.lifecycle.wait_until_stopped();
    tokio::pin!(stopped);
    while size <= MAX_BUFFERED {
        let next = tokio::select! {
            biased;
            next = deadline.wait(answer.frames.message()) => next,
            () = &mut stopped => return Buffered::Broken("stopping"),
        };
        let Ok(frame) = next else { return Buffered::Broken("deadline") };
        match read_part(completion, &answer.id, frame) {
            Some(Part::Data(data)) => {
                size += data.len();
                buffered.push_back(data);
            }
            Some(Part::End) => return Buffered::Whole,
            Some(Part::Broken(reason)) => return Buffered::Broken(reason),
            None => {}
        }
    }
    Buffered::Long
}

fn concat(parts: VecDeque<Bytes>) -> Vec<u8> {
    parts.iter().flat_map(|part| part.iter().copied()).collect()
}

/// Body of a response to a client.
pub struct Body {
    inner: Inner,
}

enum Inner {
    Whole(Full<Bytes>),
    Stream(Box<Stream>),
}

impl Body {
    /// Returns a body that is completely known.
    pub fn whole(body: Full<Bytes>) -> Body {
        Body { inner: Inner::Whole(body) }
    }
}

/// An answer that is relayed as it arrives.
struct Stream {
    answer: dispatch::Answer,
    completion: Completion,
    /// Finds the complete events, if the answer is an event stream.
    events: Option<Splitter>,
    buffered: VecDeque<Bytes>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    state: State,
}

/// State of a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Parts of the answer follow.
    Open,
    /// The answer is complete, and a final comment was sent if needed; the trailers follow.
    Trailers,
    /// The error event was sent; the error that ends the body follows.
    Error,
    /// Nothing follows.
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
            if let Some(data) = self.buffered.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            if self.deadline.as_mut().poll(context).is_ready() {
                return Poll::Ready(self.break_off("deadline"));
            }
            let frame = match Pin::new(&mut self.answer.frames).poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame.transpose(),
            };
            match read_part(&self.completion, &self.answer.id, frame) {
                Some(Part::Data(data)) => {
                    let data = match &mut self.events {
                        Some(events) => events.push(&data),
                        None => Some(data),
                    };
                    if let Some(data) = data {
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                Some(Part::End) => match &self.events {
                    // An agent of an earlier version does not check this.
                    Some(events) if events.position() == Position::Inside => {
                        return Poll::Ready(self.break_off("inside-event"));
                    }
                    events => {
                        let comment = events.as_ref().map(|_| outcome_comment());
                        self.completion.record_answer();
                        self.state = State::Trailers;
                        if let Some(comment) = comment {
                            return Poll::Ready(Some(Ok(Frame::data(comment))));
                        }
                    }
                },
                Some(Part::Broken(reason)) => return Poll::Ready(self.break_off(reason)),
                None => {}
            }
        }
    }

    /// Ends the body with an error. In an event stream an error event precedes it, so that the
    /// reader knows that the answer is not complete, unless it would continue another event.
    fn break_off(&mut self, reason: &'static str) -> Option<Result<Frame<Bytes>, Error>> {
        self.completion.record_break(reason);
        if !self.events.as_ref().is_some_and(Splitter::is_between) {
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

/// Returns a comment with the outcome. Readers of server-sent events ignore comments.
fn outcome_comment() -> Bytes {
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
