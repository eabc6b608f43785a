//! Executes one attempt on the backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use loftcove_decision::{attempt, clock};
use loftcove_response::ending;
use loftcove_response::event::{Media, Scanner};
use loftcove_response::framing::{self, Framing};
use loftcove_wire as wire;
use tokio::sync::mpsc;

use crate::agent::{Agent, poll, server};
use crate::life;

/// Header with the request's id, which model engines echo.
const REQUEST_ID: &str = "x-request-id";
/// Header with the precedence, which model engines schedule by.
const PRIORITY: &str = "x-priority";
/// Number of frames buffered for a slow caller. While the buffer is full, the response is not read
/// further, which may block the backend server.
const FRAME_BUFFER: usize = 32;

/// Frames of one attempt.
pub type Frames = mpsc::Receiver<Result<wire::Frame, tonic::Status>>;

/// Parses the id of an attempt. Returns `None` if the request id is not a UUID.
pub fn parse_id(id: &wire::AttemptId) -> Option<attempt::Id> {
    let request = uuid::Uuid::from_slice(&id.request).ok()?;
    Some(attempt::Id { request, number: id.number, incarnation: id.incarnation })
}

/// Starts an attempt, or rejects it. Returns the frames, which report its result.
///
/// # Errors
///
/// Returns `InvalidArgument` if the message has no valid id.
pub fn start(agent: &Arc<Agent>, message: wire::Attempt) -> Result<Frames, tonic::Status> {
    let wire_id = message.id.clone().unwrap_or_default();
    let id = parse_id(&wire_id).ok_or(tonic::Status::invalid_argument("attempt without an id"))?;
    let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
    let history = &agent.process.history;
    let subject = id.request.to_string();
    match admit(agent, &message, id) {
        Ok((slot, in_flight)) => {
            history.record(&subject, format!("attempt={} choice=run", id.number));
            let guard = Guard { agent: agent.clone(), id, _slot: slot, _in_flight: in_flight };
            let call = Call { agent: agent.clone(), id: wire_id, sender, guard };
            tokio::spawn(call.execute(message));
        }
        Err(reason) => {
            let word = reason.as_str_name();
            history.record(&subject, format!("attempt={} choice=refuse reason={word}", id.number));
            let refused =
                wire::Refused { reason: reason.into(), report: Some(agent.load.report()) };
            let kind = Some(wire::frame::Kind::Refused(refused));
            let frame = wire::Frame { id: Some(wire_id), kind };
            // The channel is empty, so that the send succeeds.
            sender.try_send(Ok(frame)).unwrap_or_default();
        }
    }
    Ok(receiver)
}

/// Acquires a slot and records the start. From then on, the attempt may run.
fn admit(
    agent: &Arc<Agent>,
    message: &wire::Attempt,
    id: attempt::Id,
) -> Result<(poll::Slot, life::InFlight), wire::Refusal> {
    if *message.backend != *agent.settings.backend {
        return Err(wire::Refusal::Backend);
    }
    if !agent.accepts_work() {
        return Err(wire::Refusal::Leaving);
    }
    if message.budget_ms == 0 {
        return Err(wire::Refusal::Deadline);
    }
    let in_flight = agent.process.lifecycle.enter().ok_or(wire::Refusal::Leaving)?;
    let slot = poll::Load::acquire(agent).ok_or(wire::Refusal::Full)?;
    let expiry = clock::Wall::from_millis(message.expiry_ms);
    let now = agent.process.clock.wall();
    let started = lock(agent).start(id, expiry, now);
    started.map_err(|refusal| match refusal {
        attempt::Refusal::Incarnation => wire::Refusal::Incarnation,
        attempt::Refusal::Revoked => wire::Refusal::Revoked,
        attempt::Refusal::Expired => wire::Refusal::Deadline,
        attempt::Refusal::Full => wire::Refusal::Full,
    })?;
    Ok((slot, in_flight))
}

/// Locks the table of attempts.
pub fn lock(agent: &Agent) -> std::sync::MutexGuard<'_, attempt::Table> {
    agent.attempts.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Guard of a running attempt. Dropping it records the end of the attempt.
struct Guard {
    agent: Arc<Agent>,
    id: attempt::Id,
    _slot: poll::Slot,
    _in_flight: life::InFlight,
}

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.agent).end(self.id);
    }
}

/// The call to the backend server that executes an attempt.
struct Call {
    agent: Arc<Agent>,
    id: wire::AttemptId,
    sender: mpsc::Sender<Result<wire::Frame, tonic::Status>>,
    guard: Guard,
}

impl Call {
    async fn execute(self, message: wire::Attempt) {
        self.agent.process.metrics.attempts.inc();
        let budget = Duration::from_millis(u64::from(message.budget_ms));
        let caller = self.sender.clone();
        // Dropping the future closes the connection. The backend server then cancels the request
        // and releases its slot.
        tokio::select! {
            _ = tokio::time::timeout(budget, self.relay(message)) => {}
            _ = caller.closed() => {}
        }
    }

    async fn relay(&self, message: wire::Attempt) {
        let Some(request) = self.request(message) else {
            lock(&self.agent).withdraw(self.guard.id);
            self.send_refusal(wire::Refusal::Backend).await;
            return;
        };
        let method = request.method().clone();
        match self.agent.server.send(request).await {
            Ok(response) => self.relay_response(method, response).await,
            Err(server::Error::Connect) => {
                lock(&self.agent).withdraw(self.guard.id);
                self.send_refusal(wire::Refusal::Unreachable).await;
            }
            Err(error) => {
                let server_end = self.agent.server.detect_end_twice(server::BREAK_RECHECK).await;
                self.send_broken(&error.to_string(), server_end).await;
            }
        }
    }

    fn request(&self, message: wire::Attempt) -> Option<http::Request<Full<Bytes>>> {
        let id = uuid::Uuid::from_slice(&self.id.request).ok()?;
        let mut request = http::Request::new(Full::new(message.body));
        *request.method_mut() = http::Method::from_bytes(message.method.as_bytes()).ok()?;
        *request.uri_mut() = self.agent.server.uri(&message.path)?;
        let headers = request.headers_mut();
        for header in message.headers {
            let name = http::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            headers.append(name, http::HeaderValue::from_bytes(&header.value).ok()?);
        }
        headers.insert(REQUEST_ID, http::HeaderValue::from_str(&id.to_string()).ok()?);
        headers.insert(PRIORITY, message.precedence.into());
        Some(request)
    }

    async fn relay_response(&self, method: http::Method, response: http::Response<server::Body>) {
        if !self.matches_request(&response) {
            self.send_broken("the backend server answered another request", None).await;
            return;
        }
        let (mut head, mut body) = response.into_parts();
        let framing = match Framing::of(&method, &head) {
            Ok(framing) => framing,
            Err(error) => {
                self.send_broken(&format!("invalid head: {error}"), None).await;
                return;
            }
        };
        framing::remove_fields(&method, &mut head.headers);
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| wire::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec().into(),
        };
        let kept = head.headers.iter().filter(|(name, _)| !is_hop_by_hop(name));
        let frame = wire::Head {
            status: u32::from(head.status.as_u16()),
            headers: kept.map(header).collect(),
        };
        self.send(wire::frame::Kind::Head(frame)).await;
        let mut events = (Media::of(&head.headers) == Media::Events).then(Scanner::default);
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) if !data.is_empty() => {
                    if let Some(events) = &mut events {
                        events.push(&data);
                    }
                    self.send(wire::frame::Kind::Data(data)).await;
                }
                Ok(_) => {}
                Err(error) => {
                    let server_end =
                        self.agent.server.detect_end_twice(server::BREAK_RECHECK).await;
                    self.send_broken(&error.to_string(), server_end).await;
                    return;
                }
            }
        }
        if let Err((error, server_end)) = self.check_ending(framing, events).await {
            self.send_broken(&error.to_string(), server_end).await;
            return;
        }
        let end = wire::End { report: Some(self.agent.load.report()) };
        self.send(wire::frame::Kind::End(end)).await;
    }

    /// Returns why a response whose body ended in order is not complete, and the end of the backend
    /// server if it has ended. `events` is given for an event stream.
    async fn check_ending(
        &self,
        framing: Framing,
        events: Option<Scanner>,
    ) -> Result<(), (ending::Error, Option<u64>)> {
        let ended = match events {
            Some(events) => ending::check(framing, Media::Events, events.position()),
            None => Ok(()),
        };
        if ended.is_ok() && framing != Framing::Close {
            return Ok(());
        }
        // The connections of a process that ends are closed in order.
        let server_end = self.agent.server.detect_end_twice(server::ENDING_RECHECK).await;
        match (ended, server_end) {
            (Err(error), _) => Err((error, server_end)),
            (Ok(()), Some(_)) => Err((ending::Error::ServerEnded, server_end)),
            (Ok(()), None) => Ok(()),
        }
    }

    /// Returns whether the response belongs to this request. A backend server need not echo the
    /// request's id, but must not echo another one.
    fn matches_request(&self, response: &http::Response<server::Body>) -> bool {
        let Some(echo) = response.headers().get(REQUEST_ID) else { return true };
        let own = uuid::Uuid::from_slice(&self.id.request).map(|id| id.to_string());
        own.is_ok_and(|own| echo.as_bytes() == own.as_bytes())
    }

    async fn send_refusal(&self, reason: wire::Refusal) {
        let refused =
            wire::Refused { reason: reason.into(), report: Some(self.agent.load.report()) };
        self.send(wire::frame::Kind::Refused(refused)).await;
    }

    async fn send_broken(&self, reason: &str, server_end: Option<u64>) {
        let broken = wire::Broken { reason: reason.to_owned(), server_end };
        self.send(wire::frame::Kind::Broken(broken)).await;
    }

    async fn send(&self, kind: wire::frame::Kind) {
        let frame = wire::Frame { id: Some(self.id.clone()), kind: Some(kind) };
        // A disconnected caller closes the channel, and `execute` then cancels the call.
        self.sender.send(Ok(frame)).await.unwrap_or_default();
    }
}

/// Returns whether a header applies to one connection only.
fn is_hop_by_hop(name: &http::HeaderName) -> bool {
    const HOP_BY_HOP: [&str; 5] =
        ["connection", "keep-alive", "te", "transfer-encoding", "upgrade"];
    HOP_BY_HOP.contains(&name.as_str())
}
