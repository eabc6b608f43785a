//! Makes attempts for a request until it has a final response.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_decision::{balancer, entity, lifecycle, poison};
use loftcove_dispatch as dispatch;
use loftcove_intake as intake;
use loftcove_interface::protocol::{Answer, NotRun, Protocol, Verdict};
use loftcove_line::field;
use loftcove_response::event::{self, Media};
use loftcove_response::framing::Framing;
use loftcove_response::{continuation, ending};

use crate::answer::{self, Response};
use crate::body::{self, Body};
use crate::request::{Refusal, Request};
use crate::state::{Gateway, Target};
use crate::{client, drain, exchange, message, request, stream, upstream};

/// Handles one request and returns the response to its client.
pub async fn handle<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    exchange: exchange::Exchange,
    request: http::Request<Incoming>,
) -> Result<http::Response<body::Flushed<Body>>, Infallible> {
    let received = boot::Instant::now();
    exchange.begin();
    let (request, mut open) = exchange.progress.receive(request);
    let (head, mut body) = request.into_parts();
    let (version, method) = (head.version, head.method.clone());
    let expects = head.headers.contains_key(http::header::EXPECT);
    let (admission, in_flight) = drain::Lifecycle::admit(&gateway);
    let accepted = match admission {
        drain::Admission::Rejected => {
            let id = P::request(&head).ok().map(|meta| meta.id);
            Err(Refused { refusal: Refusal::Stopping, id, origin: None })
        }
        drain::Admission::Open | drain::Admission::Closing => {
            let mut phases = gateway.lifecycle.phases();
            tokio::select! {
                biased;
                accepted = accept(&gateway, &exchange, head, &mut body, in_flight) => accepted,
                () = phases.wait(lifecycle::Phase::Stopped) => {
                    Err(Refused { refusal: Refusal::Stopping, id: exchange.id(), origin: None })
                }
            }
        }
    };
    open.complete();
    let mut closes = admission != drain::Admission::Open;
    let mut response = match accepted {
        Ok(flow) => flow.run(exchange.progress.clone()).await,
        Err(refused) => {
            let (status, retry_after) = refused.refusal.answer();
            let labels = (refused.id.as_deref(), refused.origin.as_ref());
            gateway.log_refusal(labels, refused.refusal, received);
            if !http_body::Body::is_end_stream(&body) {
                closes |= refused.refusal.closes() || expects;
                // A client that waits for an interim response sends nothing more.
                if !expects {
                    let limits = gateway.routes.load().as_ref().map(|table| table.limits);
                    let limit = limits.map_or(MAX_DISCARDED, |limits| limits.body_bytes);
                    let discarding = exchange.progress.connection().begin();
                    tokio::spawn(async move {
                        intake::body::discard(&mut body, limit).await;
                        drop(discarding);
                    });
                }
            }
            answer::local::<P>(status, refused.id.as_deref(), retry_after)
        }
    };
    if closes {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    exchange.answer();
    Ok(body::flushed(response, (version, &method), &exchange.progress, open))
}

/// Maximum number of bytes of a refused body that are read before a configuration has been received.
const MAX_DISCARDED: usize = 64 * 1024;

/// A request that is rejected without an attempt.
struct Refused {
    refusal: Refusal,
    /// Id of the request, if its head could be parsed.
    id: Option<Arc<str>>,
    /// Team and urgency, if the request has a route.
    origin: Option<request::Origin>,
}

async fn accept<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    exchange: &exchange::Exchange,
    head: http::request::Parts,
    body: &mut client::Body,
    in_flight: drain::InFlight<P>,
) -> Result<Flow<P>, Refused> {
    let malformed = Refused { refusal: Refusal::Header, id: None, origin: None };
    let meta = P::request(&head).map_err(|_| malformed)?;
    let id = meta.id.clone();
    exchange.set_id(&id);
    let unrouted = |refusal| Refused { refusal, id: Some(id.clone()), origin: None };
    let routes = gateway.routes.load_full().ok_or_else(|| unrouted(Refusal::NoConfig))?;
    let grant = routes.find(&meta.host, head.uri.path(), meta.key.as_deref());
    let grant = grant.map_err(|refusal| unrouted(refusal.into()))?;
    let origin = gateway.origin(&grant);
    let refused = |refusal| Refused { refusal, id: Some(id.clone()), origin: Some(origin.clone()) };
    // The team could not be sent to any backend server.
    if grant.team.as_ref().is_some_and(|team| !P::can_send(&team.name)) {
        return Err(refused(Refusal::UnsendableTeam));
    }
    let received = boot::Instant::now();
    let due = request::due(received, &meta, &grant.route);
    let check_stop = || match gateway.lifecycle.allows_until(due) {
        true => Ok(()),
        false => Err(refused(Refusal::Stopping)),
    };
    check_stop()?;
    let (head, body) = ((received, head), (body, &gateway.memory));
    let read = request::read(head, body, meta, (grant, origin.clone()), &routes);
    let request = read.await.map_err(refused)?;
    // If this runs into the deadline, the dispatcher rejects the request.
    let settled = gateway.mirror.ends.wait_until_settled(request.digest);
    let _in_time = tokio::time::timeout_at(request.due.timer(), settled).await;
    // The body may have arrived long after the head.
    check_stop()?;
    if let poison::Standing::Refused(ends) = gateway.mirror.ends.standing(request.digest) {
        log::info!(
            "request ends servers request={id} digest={} ends={ends}",
            request.digest,
            id = field::Text(&id)
        );
        return Err(refused(Refusal::EndsServers));
    }
    let trial = gateway.begins_trial(&request);
    let suspect = gateway.mirror.ends.apart(request.digest);
    let request = Arc::new(Request { suspect, trial, ..request });
    if gateway.has_refused_part(&request) {
        return Err(refused(Refusal::PartEndsServers));
    }
    Ok(Flow { gateway: gateway.clone(), request, in_flight })
}

/// A request in progress.
struct Flow<P> {
    gateway: Arc<Gateway<P>>,
    request: Arc<Request>,
    in_flight: drain::InFlight<P>,
}

/// Result of an attempt.
pub(crate) enum Outcome {
    /// A complete response for the client. The attempt is over.
    Whole(answer::Whole),
    /// The head of an event stream's response.
    Stream(Box<Stream>),
    /// A response that is too long to be buffered: its head and remaining body, and its first part.
    Long(Box<Stream>, bytes::Bytes),
    /// The connection broke before the response was complete.
    Broken(String),
    /// The host did not acknowledge the request in time.
    Unacknowledged(String),
    /// The attempt failed, and the balancer decides what follows. An error response from the
    /// backend server itself is included, for the client in case no further attempt is made.
    Failed(balancer::End, Option<answer::Whole>, String),
}

/// A response whose head has been received and whose body is still arriving.
pub struct Stream {
    /// Head of the response.
    pub head: http::response::Parts,
    /// Framing of the body.
    pub framing: Framing,
    /// What the body is.
    pub media: Media,
    /// Remaining body.
    pub body: upstream::Body,
    /// What the protocol reads from the head.
    pub answer: Answer,
    /// Connection that the response arrives on.
    pub connection: upstream::Connection,
    /// Backend server that sends the response.
    pub target: Target,
    /// The dispatcher's identifier of the same server.
    pub server: entity::Server,
}

impl<P: Protocol> Flow<P> {
    async fn run(self, progress: Arc<client::Progress>) -> Response {
        let request = self.request.clone();
        let arrived = boot::Instant::now();
        let mut permit = self.gateway.dispatcher.arrive(&arrival(&request));
        self.gateway.metrics.dispatch.observe(arrived.elapsed().as_secs_f64());
        let mut failure: Option<answer::Whole> = None;
        let gateway = self.gateway.clone();
        // While the request waits or is being sent, others may find that it ends servers.
        let refused = gateway.mirror.ends.wait_until_refused(request.digest);
        tokio::pin!(refused);
        // A request that was already sent goes on: it may show that its parts are sound.
        let part_refused = gateway.mirror.ends.wait_until_part_refused(request.refusable_parts());
        tokio::pin!(part_refused);
        let mut phases = gateway.lifecycle.phases();
        let stopped = phases.wait(lifecycle::Phase::Stopped);
        tokio::pin!(stopped);
        loop {
            if gateway.has_refused_part(&request) {
                return self.reject_as(Refusal::PartEndsServers);
            }
            let next = tokio::select! {
                biased;
                _ = &mut refused => return self.reject_as(Refusal::EndsServers),
                found = &mut part_refused => {
                    gateway.log_refused_part(&request, found);
                    return self.reject_as(Refusal::PartEndsServers);
                }
                next = tokio::time::timeout_at(request.due.timer(), permit.next()) => next,
                () = &mut stopped => return self.stopped(permit.may_have_run(), failure),
            };
            let next = match next {
                Ok(Some(next)) => next,
                // The balancer itself rejects a request at its deadline, so this is only reached if
                // this timer fires before the balancer's does.
                Ok(None) | Err(_) => return self.timed_out(),
            };
            let mut attempt = match next {
                dispatch::Next::Send(attempt) => attempt,
                dispatch::Next::Move(moved) => moved.attempt,
                dispatch::Next::Refuse(refusal) => return self.refuse(&refusal, failure),
            };
            let sent = tokio::select! {
                biased;
                _ = &mut refused => {
                    gateway.abandon(&request, &attempt.target);
                    return self.reject_as(Refusal::EndsServers);
                }
                sent = gateway.send_movable(&request, &mut attempt, None, &mut permit) => sent,
                () = &mut stopped => return self.stopped(true, failure),
            };
            match sent {
                Outcome::Whole(whole) => {
                    permit.end(balancer::End::Answered);
                    return self.answered(whole);
                }
                Outcome::Stream(stream) => {
                    permit.begin(request.received.elapsed());
                    return self.relay_stream(*stream, permit, progress);
                }
                Outcome::Long(stream, first) => {
                    return self.relay_long(*stream, first, permit, progress);
                }
                Outcome::Broken(cause) => {
                    self.gateway.log_failure(&request, &attempt, &cause);
                    let (server, target) = (attempt.server, &attempt.target);
                    permit.end(self.gateway.classify_break(&request, server, target, false).await);
                }
                Outcome::Unacknowledged(cause) => {
                    self.gateway.log_failure(&request, &attempt, &cause);
                    permit
                        .end(self.gateway.classify_unacknowledged(&request, &attempt, false).await);
                }
                Outcome::Failed(end, answer, cause) => {
                    self.gateway.log_failure(&request, &attempt, &cause);
                    failure = answer.or(failure);
                    permit.end(end);
                }
            }
        }
    }

    fn answered(self, whole: answer::Whole) -> Response {
        self.gateway.clear_suspicion(&self.request, whole.head.status);
        self.done("answered", whole.head.status.as_str());
        answer::relay::<P>(&self.request.head.method, &whole.head, Body::whole(whole.body))
    }

    /// Returns the final response of a rejected request. An error response from a backend server
    /// takes precedence over a local one.
    fn refuse(self, refusal: &balancer::Refusal, failure: Option<answer::Whole>) -> Response {
        if let Some(whole) = failure {
            return self.answered(whole);
        }
        let outcome = match refusal.outcome {
            balancer::Outcome::NotRun => "not-run",
            balancer::Outcome::Unknown => "unknown",
        };
        let reason = refusal.reason.to_string();
        match &refusal.capacity {
            Some(capacity) => {
                self.gateway.done(&self.request, outcome, &reason, &format_args!(" {capacity}"));
            }
            None => self.done(outcome, &reason),
        }
        answer::refusal::<P>(refusal, &self.request.meta.id)
    }

    /// Rejects the request without a further attempt. Dropping its permit and its connection cancels
    /// it on the server that may be running it.
    fn reject_as(self, refusal: Refusal) -> Response {
        self.done("refused", &refusal.to_string());
        let (status, retry_after) = refusal.answer();
        answer::local::<P>(status, Some(&*self.request.meta.id), retry_after)
    }

    /// Returns the final response of a request whose response has not begun when the process is
    /// about to exit. Dropping its connection cancels it on the server that may be running it.
    fn stopped(self, may_have_run: bool, failure: Option<answer::Whole>) -> Response {
        if let Some(whole) = failure {
            return self.answered(whole);
        }
        if !may_have_run {
            return self.reject_as(Refusal::Stopping);
        }
        self.done("unknown", &Refusal::Stopping.to_string());
        answer::unknown::<P>(&self.request.meta.id)
    }

    fn timed_out(self) -> Response {
        self.done("unknown", "deadline");
        let id = &*self.request.meta.id;
        answer::local::<P>(http::StatusCode::GATEWAY_TIMEOUT, Some(id), None)
    }

    fn relay_stream(
        self,
        stream: Stream,
        permit: dispatch::Permit<Target>,
        progress: Arc<client::Progress>,
    ) -> Response {
        let base = self.request.continuation_base(&stream);
        // Another run of the request has another length.
        let length = http_body::Body::size_hint(&stream.body).exact().filter(|_| base.is_none());
        let (relay, mut response) = self.relay((&stream.head, length), base, permit, progress);
        if base.is_some() {
            continuation::remove_promises(response.headers_mut());
        }
        tokio::spawn(relay.run(stream));
        response
    }

    fn relay_long(
        self,
        stream: Stream,
        first: bytes::Bytes,
        permit: dispatch::Permit<Target>,
        progress: Arc<client::Progress>,
    ) -> Response {
        let left = http_body::Body::size_hint(&stream.body).exact();
        let length = left.map(|left| left + first.len() as u64);
        let (relay, response) = self.relay((&stream.head, length), None, permit, progress);
        tokio::spawn(relay.run_long(stream, first));
        response
    }

    fn relay(
        self,
        (head, length): (&http::response::Parts, Option<u64>),
        base: Option<continuation::Base>,
        permit: dispatch::Permit<Target>,
        progress: Arc<client::Progress>,
    ) -> (stream::Relay<P>, Response) {
        let (sender, receiver) = self.gateway.buffers.open();
        let body = Body::Stream { receiver, left: length };
        let response = answer::relay::<P>(&self.request.head.method, head, body);
        let relay = stream::Relay {
            gateway: self.gateway,
            request: self.request,
            base,
            permit,
            sender,
            progress,
            held_up: None,
            _in_flight: self.in_flight,
            timing: stream::Timing::default(),
        };
        (relay, response)
    }

    fn done(&self, outcome: &'static str, reason: &str) {
        self.gateway.done(&self.request, outcome, reason, &"");
    }
}

impl Request {
    /// Returns the head that further attempts must match to continue the stream, or `None` if none
    /// may continue it.
    fn continuation_base(&self, stream: &Stream) -> Option<continuation::Base> {
        let base = continuation::Base::new(&stream.head, stream.framing, stream.media);
        base.filter(|_| self.grant.route.kind.resumable())
    }
}

fn arrival(request: &Request) -> dispatch::Arrival {
    let route = &request.grant.route;
    let team = request.grant.team.as_ref().map(|team| team.name.clone());
    dispatch::Arrival {
        pool: request.service.clone(),
        team: team.unwrap_or_default(),
        precedence: request.grant.precedence(),
        repeatable: route.kind.repeatable(),
        resumable: route.kind.resumable(),
        max_attempts: route.max_attempts,
        due: request.due,
        begin_by: request.received + route.objective,
        suspect: request.suspect.then_some(request.digest),
    }
}

impl<P: Protocol> Gateway<P> {
    /// Clears the suspicion against a request whose response is complete: it did not end its
    /// server. An error status proves nothing, because the server may have failed before it did
    /// what the request asked for.
    pub(crate) fn clear_suspicion(&self, request: &Request, status: http::StatusCode) {
        if status.is_success() {
            self.mirror.ends.clear(request.digest);
            self.mirror.ends.clear_parts(&request.parts);
        }
    }

    /// Logs why an attempt failed.
    pub(crate) fn log_failure(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        cause: &str,
    ) {
        log::info!(
            "attempt failed request={} digest={} attempt={} server={} cause={cause} ms={}",
            field::Text(&request.meta.id),
            request.digest,
            attempt.number,
            field::Text(&attempt.target.run.id),
            request.received.elapsed().as_millis(),
            cause = field::Quoted(&cause)
        );
    }

    /// Sends an attempt and waits for its response, or for the head of a stream.
    pub(crate) async fn send(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        resume_after: Option<Arc<str>>,
    ) -> Outcome {
        let left = request.due.saturating_duration_since(boot::Instant::now());
        // The timers of the request are late if the host was suspended.
        if left.is_zero() {
            return Outcome::Failed(
                balancer::End::NeverRan,
                None,
                "overdue before sent".to_owned(),
            );
        }
        let message = match message::new::<P>(request, &attempt.target, left, resume_after) {
            Ok(message) => message,
            Err(error) => return Outcome::Failed(balancer::End::NeverRan, None, error.to_string()),
        };
        log::info!(
            "attempt request={} digest={} number={} server={} reason={} score={:.2} \
             open={} passed_over={} config={} left_ms={}",
            field::Text(&request.meta.id),
            request.digest,
            attempt.number,
            field::Text(&attempt.target.run.id),
            attempt.reason,
            attempt.score,
            attempt.open,
            field::Text(&join(&attempt.passed_over)),
            request.version,
            left.as_millis()
        );
        self.metrics.attempts.inc();
        let fresh = !request.grant.route.kind.repeatable();
        let wanted = || {
            self.dispatcher.still_accepts(attempt.server, attempt.at)
                && self.mirror.ends.refused_part(request.refusable_parts()).is_none()
        };
        let reply = self.upstream.send(&attempt.target, message, fresh, left, wanted);
        let reply = match tokio::time::timeout_at(request.due.timer(), reply).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(upstream::Error::NotSent(cause))) => {
                return Outcome::Failed(balancer::End::Unreachable, None, cause);
            }
            Ok(Err(upstream::Error::NoAnswer(cause))) => return Outcome::Broken(cause),
            Ok(Err(error @ upstream::Error::Unacknowledged(_))) => {
                return Outcome::Unacknowledged(error.to_string());
            }
            Ok(Err(error @ upstream::Error::Withheld)) => {
                return Outcome::Failed(balancer::End::Withheld, None, error.to_string());
            }
            Err(_) => return may_have_run("deadline".to_owned()),
        };
        self.read(request, attempt, reply).await
    }

    async fn read(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        reply: upstream::Reply,
    ) -> Outcome {
        let (head, body) = reply.response.into_parts();
        let framing = match Framing::of(&request.head.method, &head) {
            Ok(framing) => framing,
            Err(error) => {
                self.metrics.invalid_heads.inc();
                return may_have_run(format!("invalid head, status {}: {error}", head.status));
            }
        };
        let answer = P::answer(&head, &request.meta.id);
        if let Some(load) = answer.load {
            self.dispatcher.report(attempt.server, load);
        }
        self.apply_notice(request, attempt, head.status, &answer.notice);
        self.apply_limit(request, attempt, head.status, answer.rate);
        if matches!(answer.verdict, Verdict::NotRun(_)) {
            reply.connection.complete();
        }
        match answer.verdict {
            Verdict::Answered => {}
            Verdict::Unusable(cause) => return may_have_run(cause.to_string()),
            Verdict::NotRun(NotRun::GroupDown) => {
                return Outcome::Failed(balancer::End::GroupDown, None, "group down".to_owned());
            }
            Verdict::NotRun(NotRun::OtherInstance) => {
                self.dispatcher.unlist(attempt.server);
                return Outcome::Failed(balancer::End::NeverRan, None, "other instance".to_owned());
            }
            Verdict::NotRun(NotRun::Rejected) => {
                let cause = format!("rejected with status {}", head.status);
                return Outcome::Failed(balancer::End::NeverRan, None, cause);
            }
            Verdict::NotRun(NotRun::Unavailable | NotRun::Throttled) => {
                let cause = format!("no room, status {}", head.status);
                return Outcome::Failed(balancer::End::Full, None, cause);
            }
        }
        let (target, server) = (attempt.target.clone(), attempt.server);
        let streams = request.grant.route.kind.streaming() && head.status.is_success();
        // Only on streaming routes are events expected without being declared.
        let media = match Media::of(&head.headers) {
            Media::Unknown if !streams => Media::Other,
            media => media,
        };
        if streams && media != Media::Other {
            let connection = reply.connection;
            return Outcome::Stream(Box::new(Stream {
                head,
                framing,
                media,
                body,
                answer,
                connection,
                target,
                server,
            }));
        }
        let begun = boot::Instant::now();
        let read = match answer::read(body, request.due, &self.memory).await {
            Ok(answer::Read::Ended(body)) => {
                let position = match media {
                    Media::Events => event::position(&body),
                    Media::Other | Media::Unknown => event::Position::Between,
                };
                let marks = (framing, media);
                let ending = self.check_ending(&target, marks, position, begun).await;
                ending.map(|()| answer::Read::Ended(body))
            }
            read => read,
        };
        match &read {
            Ok(answer::Read::Ended(_)) => self.record_ending(request, &target, framing, Ok(())),
            Ok(answer::Read::Long(..)) => {}
            Err(error) => self.record_ending(request, &target, framing, Err(*error)),
        }
        match read {
            Ok(answer::Read::Ended(body)) => {
                reply.connection.complete();
                if !answer.close && framing != Framing::Close {
                    self.upstream.put(&target, reply.connection, answer.keep_alive);
                }
                let whole = answer::Whole { head, body };
                // Another backend server may succeed.
                if whole.head.status.is_server_error() && request.grant.route.kind.repeatable() {
                    let cause = format!("status {}", whole.head.status);
                    return Outcome::Failed(MAY_HAVE_RUN, Some(whole), cause);
                }
                Outcome::Whole(whole)
            }
            Ok(answer::Read::Long(first, body)) => {
                let connection = reply.connection;
                Outcome::Long(
                    Box::new(Stream {
                        head,
                        framing,
                        media,
                        body,
                        answer,
                        connection,
                        target,
                        server,
                    }),
                    first,
                )
            }
            Err(error @ ending::Error::TimedOut) => may_have_run(error.to_string()),
            Err(error) => Outcome::Broken(error.to_string()),
        }
    }

    /// Sends an attempt that resumes a stream with the head `base` after the event with the given
    /// id. If the stream is moved meanwhile, `attempt` is the last one.
    pub(crate) async fn resume(
        &self,
        request: &Arc<Request>,
        attempt: &mut dispatch::Attempt<Target>,
        (base, after): (continuation::Base, Option<Arc<str>>),
        permit: &mut dispatch::Permit<Target>,
    ) -> Result<Stream, (balancer::End, String)> {
        match self.send_movable(request, attempt, after.clone(), permit).await {
            Outcome::Stream(stream) => {
                match base.check(&stream.head, stream.framing, stream.media) {
                    Ok(()) => Ok(*stream),
                    Err(contradiction) => Err((MAY_HAVE_RUN, contradiction.to_string())),
                }
            }
            Outcome::Whole(whole) => Err((MAY_HAVE_RUN, format!("status {}", whole.head.status))),
            Outcome::Long(stream, _) => {
                Err((MAY_HAVE_RUN, format!("status {}", stream.head.status)))
            }
            Outcome::Broken(cause) => {
                let (server, target) = (attempt.server, &attempt.target);
                Err((self.classify_break(request, server, target, after.is_some()).await, cause))
            }
            Outcome::Unacknowledged(cause) => {
                Err((self.classify_unacknowledged(request, attempt, after.is_some()).await, cause))
            }
            Outcome::Failed(end, _, cause) => Err((end, cause)),
        }
    }
}

/// Joins ids with commas.
fn join(ids: &[Arc<str>]) -> String {
    if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
}

/// End of an attempt that may have run, and of whose response the client has received nothing.
const MAY_HAVE_RUN: balancer::End = balancer::End::MayHaveRun { answer_begun: false };

fn may_have_run(cause: String) -> Outcome {
    Outcome::Failed(MAY_HAVE_RUN, None, cause)
}
