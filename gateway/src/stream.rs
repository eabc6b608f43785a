//! Relays event streams to clients.
//!
//! Only complete events are relayed. If the backend server's connection breaks and the route allows
//! it, another server resumes the stream after the last event within the same response. If no
//! server can resume it, the response to the client is broken off too, so that it does not look
//! complete.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use loftcove_clock as boot;
use loftcove_decision::balancer;
use loftcove_dispatch as dispatch;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;
use loftcove_response::event::{Media, Scanner, Splitter};
use loftcove_response::framing::Framing;
use loftcove_response::{continuation, ending};

use crate::deadline::Deadline;
use crate::flow::Stream;
use crate::queue;
use crate::request::Request;
use crate::state::{Gateway, Target};
use crate::{client, drain, ended};

/// Divisor of the time after which a client that takes nothing is disconnected. A client that took
/// nothing for the resulting time has left the response unread. A backend server waits some seconds
/// before it cuts off an unread response, so a shorter pause does not explain a break.
const UNREAD_DIVISOR: u32 = 4;

/// Number of events that show that the backend server did not end as it began the answer. It may
/// end right after the first one.
const EVENTS_OF_BEGUN_ANSWER: u64 = 2;

/// A response that is being relayed to the client.
pub struct Relay<P> {
    /// Shared state of the gateway.
    pub gateway: Arc<Gateway<P>>,
    /// The client's request.
    pub request: Arc<Request>,
    /// Head that further attempts must match, or `None` if none may continue the response.
    pub base: Option<continuation::Base>,
    /// The dispatcher's permit for the request.
    pub permit: dispatch::Permit<Target>,
    /// Sender of the response's body to the client.
    pub sender: queue::Sender,
    /// Whether the client takes the bytes that wait for it.
    pub progress: Arc<client::Progress>,
    /// End of the last time in which the client held up the relay for long. See
    /// [`Relay::left_unread`].
    pub held_up: Option<boot::Instant>,
    /// Guard that counts the request as in flight.
    pub _in_flight: drain::InFlight<P>,
    /// Pace of the stream as seen by the client.
    pub timing: Timing,
}

/// Arrival times of a stream's events.
#[derive(Debug, Clone, Copy, Default)]
pub struct Timing {
    /// Time from the request to the first event.
    first: Option<Duration>,
    /// Longest pause between two events, including pauses while the stream is being resumed.
    pause: Duration,
    /// Arrival time of the last event.
    last: Option<boot::Instant>,
    events: u64,
}

impl Timing {
    /// Records an event of a request that was received at `received`.
    fn record(&mut self, received: boot::Instant) {
        let now = boot::Instant::now();
        self.first.get_or_insert(now.saturating_duration_since(received));
        let pause = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.pause = self.pause.max(pause);
        self.last = Some(now);
        self.events += 1;
    }
}

impl fmt::Display for Timing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.first.unwrap_or_default().as_millis();
        write!(f, "first_ms={first} pause_ms={}", self.pause.as_millis())
    }
}

/// How one backend server's part of a stream ended.
enum End {
    /// The stream is complete.
    Whole,
    /// The backend server broke off the response.
    Broken,
    /// The backend server resumed the stream with events that the client has received.
    Repeated,
    /// The client disconnected.
    Disconnected,
    /// The request's deadline passed.
    TimedOut,
    /// Others found that servers end under the request, so it is refused.
    Refused,
    /// The stream is to be resumed on another backend server.
    Moved(continuation::Base, Box<dispatch::Move<Target>>),
}

/// Why a stream is resumed.
enum Cause {
    /// The previous attempt ended.
    Ended(balancer::End),
    /// The stream is moved to the backend server of this attempt.
    Moved(Box<dispatch::Attempt<Target>>),
}

impl<P: Protocol> Relay<P> {
    /// Relays the event stream until it ends.
    pub async fn run(mut self, stream: Stream) {
        let mut splitter = Splitter::default();
        let mut stream = Some(stream);
        while let Some(part) = stream.take() {
            let (server, target, status) = (part.server, part.target.clone(), part.head.status);
            match self.forward_events(part, &mut splitter).await {
                End::Whole => return self.answered(status),
                End::Disconnected => return self.disconnected(),
                End::TimedOut => return self.abort("deadline"),
                End::Broken if self.left_unread() => return self.cut_off(),
                End::Broken => {
                    let answer_begun = splitter.last_id().is_some();
                    let classification =
                        self.gateway.classify_break(&self.request, server, &target, answer_begun);
                    let end = classification.await;
                    let Some(base) = self.resumable_base(&splitter) else {
                        if splitter.last_id().is_some_and(|id| !P::can_send(id)) {
                            log::info!(
                                "stream not resumed request={} after=- reason=unsendable-event",
                                field::Text(&self.request.meta.id)
                            );
                        }
                        return self.broken_off(end);
                    };
                    stream = self.resume(base, &mut splitter, Cause::Ended(end)).await;
                }
                End::Repeated => {
                    return self.broken_off(balancer::End::MayHaveRun { answer_begun: true });
                }
                End::Moved(base, moved) => {
                    self.gateway.record_move(&self.request, &moved);
                    let cause = Cause::Moved(Box::new(moved.attempt));
                    stream = self.resume(base, &mut splitter, cause).await;
                }
                End::Refused => {
                    self.gateway.abandon(&self.request, &target);
                    return self.abort("ends-servers");
                }
            }
        }
        self.abort("backend-server-broke-off");
    }

    /// Returns the head that an attempt must match to continue the stream after the output, or `None`
    /// if no attempt may continue it. A server that does not receive the id of the last event repeats
    /// the stream from its start.
    fn resumable_base(&self, splitter: &Splitter) -> Option<continuation::Base> {
        let known = splitter.last_id().is_none_or(|id| P::can_send(id));
        self.base.filter(|_| known && splitter.can_resume())
    }

    /// Relays a response that is not an event stream, as it arrives.
    pub async fn run_long(mut self, stream: Stream, first: Bytes) {
        let (server, target, status) = (stream.server, stream.target.clone(), stream.head.status);
        let mut scanner = Scanner::default();
        if stream.media == Media::Events {
            scanner.push(&first);
        }
        let end = match self.send(first).await {
            Some(end) => end,
            None => self.forward_rest(stream, scanner).await,
        };
        match end {
            End::Whole => self.answered(status),
            End::Disconnected => self.disconnected(),
            End::TimedOut => self.abort("deadline"),
            End::Broken if self.left_unread() => self.cut_off(),
            // Only event streams are moved or resumed.
            End::Broken | End::Repeated | End::Moved(..) => {
                let end = self.gateway.classify_break(&self.request, server, &target, true).await;
                self.broken_off(end);
            }
            End::Refused => {
                self.gateway.abandon(&self.request, &target);
                self.abort("ends-servers");
            }
        }
    }

    /// Relays the remaining body, whose events `scanner` finds if it has any.
    async fn forward_rest(&mut self, mut stream: Stream, mut scanner: Scanner) -> End {
        let mut received = boot::Instant::now();
        let mut deadline = Deadline::new(self.request.due);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return End::Disconnected,
                frame = deadline.wait(stream.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => {
                    let late = Err(ending::Error::TimedOut);
                    self.record_ending(&stream.target, stream.framing, late);
                    return End::TimedOut;
                }
                Ok(None) => {
                    let marks = (stream.framing, stream.media);
                    let ending = self.gateway.check_ending(
                        &stream.target,
                        marks,
                        scanner.position(),
                        received,
                    );
                    let ending = ending.await;
                    self.record_ending(&stream.target, stream.framing, ending);
                    if ending.is_err() {
                        return End::Broken;
                    }
                    stream.connection.complete();
                    return End::Whole;
                }
                Ok(Some(Err(error))) => {
                    let broken = Err(ended::break_of(&error));
                    self.record_ending(&stream.target, stream.framing, broken);
                    return End::Broken;
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            received = boot::Instant::now();
            if stream.media == Media::Events {
                scanner.push(&data);
            }
            if let Some(end) = self.send(data).await {
                return end;
            }
        }
    }

    /// Relays one backend server's part of the event stream.
    async fn forward_events(&mut self, stream: Stream, splitter: &mut Splitter) -> End {
        let Stream { framing, media, mut body, answer, connection, target, .. } = stream;
        // The time until the first event does not count as a pause.
        let mut last: Option<boot::Instant> = None;
        let mut received = boot::Instant::now();
        let mut deadline = Deadline::new(self.request.due);
        let gateway = self.gateway.clone();
        let refused = gateway.mirror.ends.wait_until_refused(self.request.digest);
        tokio::pin!(refused);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return End::Disconnected,
                _ = &mut refused => return End::Refused,
                frame = deadline.wait(body.frame()) => frame,
                Some(dispatch::Next::Move(moved)) = self.permit.next() => {
                    if let Some(base) = self.resumable_base(splitter) {
                        return End::Moved(base, Box::new(moved));
                    }
                    self.permit.decline_move();
                    continue;
                }
            };
            let data = match frame {
                Err(_) => {
                    self.record_ending(&target, framing, Err(ending::Error::TimedOut));
                    return End::TimedOut;
                }
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    self.record_ending(&target, framing, Err(ended::break_of(&error)));
                    return End::Broken;
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            received = boot::Instant::now();
            if let Some(events) = splitter.push(&data) {
                self.observe(last.map_or(Duration::ZERO, |last: boot::Instant| last.elapsed()));
                last = Some(boot::Instant::now());
                if let Some(end) = self.send(events).await {
                    return end;
                }
            }
            if splitter.has_repeated() {
                self.record_ending(&target, framing, Err(ending::Error::Repeated));
                return End::Repeated;
            }
        }
        let position = splitter.position();
        let marks = (framing, media);
        let ending = gateway.check_ending(&target, marks, position, received).await;
        self.record_ending(&target, framing, ending);
        if ending.is_err() {
            return End::Broken;
        }
        if let Some(rest) = splitter.finish()
            && let Some(end) = self.send(rest).await
        {
            return end;
        }
        connection.complete();
        if !answer.close && framing != Framing::Close {
            self.gateway.upstream.put(&target, connection, answer.keep_alive);
        }
        End::Whole
    }

    /// Counts and logs how a backend server's part of the response ended.
    fn record_ending(&self, target: &Target, framing: Framing, ending: Result<(), ending::Error>) {
        self.gateway.record_ending(&self.request, target, framing, ending);
    }

    /// Logs and counts the stream's outcome.
    fn done(&self, outcome: &'static str, reason: &str) {
        self.gateway.done(&self.request, outcome, reason, &format_args!(" {}", self.timing));
    }

    /// Records an event, and reports the pause before it to the dispatcher.
    fn observe(&mut self, pause: Duration) {
        self.timing.record(self.request.received);
        if self.timing.events == EVENTS_OF_BEGUN_ANSWER {
            self.gateway.mirror.ends.clear_parts(&self.request.parts);
        }
        let wanted = self.request.grant.route.pause;
        if let Some(wanted) = wanted.filter(|wanted| !wanted.is_zero()) {
            self.permit.event(pause, wanted);
        }
    }

    /// Sends bytes to the client. Returns how the stream ended if they cannot be sent.
    async fn send(&mut self, bytes: Bytes) -> Option<End> {
        let Err(bytes) = self.sender.try_send(bytes) else { return None };
        let begun = boot::Instant::now();
        let sent = tokio::time::timeout_at(self.request.due.timer(), self.sender.send(bytes));
        let sent = sent.await;
        if begun.elapsed() >= self.stall_limit() / UNREAD_DIVISOR {
            self.held_up = Some(boot::Instant::now());
        }
        match sent {
            Ok(Ok(())) => None,
            Ok(Err(queue::Closed)) => Some(End::Disconnected),
            Err(_) => Some(End::TimedOut),
        }
    }

    /// Time after which a client that takes nothing is disconnected.
    fn stall_limit(&self) -> Duration {
        Duration::from_millis(self.gateway.settings.serving.client_stall_ms)
    }

    /// Returns whether the client has lately left the response unread for long. A backend server
    /// may then have cut off the response for that reason. The relay notices this late, when it
    /// reads again.
    fn left_unread(&self) -> bool {
        let limit = self.stall_limit();
        let held_up = self.held_up.is_some_and(|held_up| held_up.elapsed() < limit);
        held_up || self.progress.blocked() >= limit / UNREAD_DIVISOR
    }

    /// Ends the relay of a complete response with this status.
    fn answered(mut self, status: http::StatusCode) {
        self.permit.end(balancer::End::Answered);
        self.gateway.clear_suspicion(&self.request, status);
        self.done("answered", "whole");
        self.sender.finish();
    }

    /// Ends the relay of a response that the backend server cut off while it was left unread. The
    /// server is not counted as failing.
    fn cut_off(mut self) {
        self.permit.end(balancer::End::Abandoned);
        self.abort("cut-off-unread");
    }

    /// Ends the relay of a response that the backend server broke off and no other one can
    /// continue. `end` is how the attempt ended.
    fn broken_off(mut self, end: balancer::End) {
        let server_ended = end == balancer::End::ServerEnded;
        self.permit.end(balancer::End::BrokenOff { server_ended });
        self.abort("backend-server-broke-off");
    }

    /// Ends the relay of a response whose client has disconnected or was disconnected.
    fn disconnected(mut self) {
        self.permit.end(balancer::End::Abandoned);
        let stalled = self.progress.stalled();
        self.done("client-left", if stalled { "client-stalled" } else { "client-left" });
    }

    /// Resumes the stream after the last event on another backend server.
    async fn resume(
        &mut self,
        base: continuation::Base,
        splitter: &mut Splitter,
        cause: Cause,
    ) -> Option<Stream> {
        splitter.discard();
        let after = splitter.last_id().cloned();
        let mut cause = cause;
        let gateway = self.gateway.clone();
        let refused = gateway.mirror.ends.wait_until_refused(self.request.digest);
        tokio::pin!(refused);
        loop {
            let mut attempt = match cause {
                Cause::Moved(attempt) => *attempt,
                Cause::Ended(end) => {
                    self.permit.end(end);
                    if gateway.has_refused_part(&self.request) {
                        return None;
                    }
                    let next = tokio::select! {
                        () = self.sender.closed() => return None,
                        _ = &mut refused => return None,
                        next = self.permit.next() => next?,
                    };
                    match next {
                        dispatch::Next::Send(attempt) => attempt,
                        dispatch::Next::Move(moved) => moved.attempt,
                        dispatch::Next::Refuse(refusal) => {
                            log::info!(
                                "stream not resumed request={} after={} reason={}",
                                field::Text(&self.request.meta.id),
                                field::Text(after.as_deref().unwrap_or("-")),
                                refusal.reason
                            );
                            return None;
                        }
                    }
                }
            };
            let sent = tokio::select! {
                () = self.sender.closed() => return None,
                _ = &mut refused => {
                    self.gateway.abandon(&self.request, &attempt.target);
                    return None;
                }
                sent = gateway.resume(
                    &self.request,
                    &mut attempt,
                    (base, after.clone()),
                    &mut self.permit,
                ) => sent,
            };
            match sent {
                Ok(stream) => {
                    self.gateway.metrics.resumed.inc();
                    return Some(stream);
                }
                Err((end, failure)) => {
                    self.gateway.log_failure(&self.request, &attempt, &failure);
                    cause = Cause::Ended(end);
                }
            }
        }
    }

    /// Breaks off the response, so that the client does not take it to be complete.
    fn abort(self, reason: &'static str) {
        self.done("broken-off", reason);
        self.sender.fail();
    }
}
