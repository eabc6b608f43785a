//! Takes a request from attempt to attempt until it has its final answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_decision::{balancer, entity, poison, route};
use loftcove_dispatch as dispatch;
use loftcove_interface::protocol::{Answer, Forward, NotRun, Protocol, Verdict};

use crate::answer::{self, Response};
use crate::body::{self, Body};
use crate::request::{Refusal, Request};
use crate::state::{Gateway, Target};
use crate::{drain, exchange, request, stream, upstream};

/// Precedences that backend servers tell apart.
const PRIORITIES: u32 = 9;

/// Answers one request.
pub async fn handle<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    exchange: exchange::Exchange,
    request: http::Request<Incoming>,
) -> Result<http::Response<body::Flushed<Body>>, Infallible> {
    let came = boot::Instant::now();
    exchange.begin();
    let (head, body) = request.into_parts();
    let (entry, flight) = drain::Life::enter(&gateway);
    let begun = match entry {
        drain::Entry::Shut => Err((Refusal::Stopping, P::request(&head).ok().map(|meta| meta.id))),
        drain::Entry::Open | drain::Entry::Closing => {
            begin(&gateway, &exchange, head, body, flight).await
        }
    };
    let mut response = match begun {
        Ok(flow) => flow.run().await,
        Err((refusal, id)) => {
            let (status, retry_after) = refusal.answer();
            let id = id.as_deref();
            log::info!("refused request={} reason={refusal} status={status}", id.unwrap_or("-"));
            gateway.metrics.ended("refused", came.elapsed());
            answer::own::<P>(status, id, retry_after)
        }
    };
    if entry != drain::Entry::Open {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    exchange.answer();
    Ok(response.map(body::Flushed::new))
}

type Refused = (Refusal, Option<Arc<str>>);

async fn begin<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    exchange: &exchange::Exchange,
    head: http::request::Parts,
    body: Incoming,
    flight: drain::InFlight<P>,
) -> Result<Flow<P>, Refused> {
    let meta = P::request(&head).map_err(|_| (Refusal::Header, None))?;
    let id = meta.id.clone();
    exchange.name(&id);
    let refused = |refusal| (refusal, Some(id.clone()));
    let routes = gateway.routes.load_full().ok_or_else(|| refused(Refusal::NoConfig))?;
    let request = request::read(head, body, meta, &routes).await.map_err(refused)?;
    // A request that is overdue by then is answered by the dispatcher.
    let settled = gateway.mirror.ends.wait_until_settled(request.digest);
    let _in_time = tokio::time::timeout_at(request.due.timer(), settled).await;
    if let poison::Standing::Refused(ends) = gateway.mirror.ends.standing(request.digest) {
        log::info!("request ends servers request={id} digest={} ends={ends}", request.digest);
        return Err(refused(Refusal::EndsServers));
    }
    let suspect = gateway.mirror.ends.apart(request.digest);
    let request = Arc::new(Request { suspect, ..request });
    Ok(Flow { gateway: gateway.clone(), request, flight })
}

/// A request on its way.
struct Flow<P> {
    gateway: Arc<Gateway<P>>,
    request: Arc<Request>,
    flight: drain::InFlight<P>,
}

/// What an attempt came to.
enum Sent {
    /// An answer to hand on; the attempt is over.
    Whole(answer::Whole),
    /// The head of a stream's answer.
    Stream(Box<Begun>),
    /// An answer that is too long to be held: its beginning, and the rest.
    Long(Box<Begun>, bytes::Bytes),
    /// The connection broke before the answer was whole.
    Broken(String),
    /// It failed; the balancer says what follows. A failure that a backend
    /// server answered itself is kept, in case nothing follows.
    Failed(balancer::End, Option<answer::Whole>, String),
}

/// A stream's answer whose head has come.
pub struct Begun {
    /// Its head.
    pub head: http::response::Parts,
    /// Its events.
    pub body: Incoming,
    /// What the head says.
    pub answer: Answer,
    /// The connection that it comes over.
    pub connection: upstream::Connection,
    /// Where it comes from.
    pub target: Target,
    /// The same, as the dispatcher names it.
    pub server: entity::Server,
}

impl<P: Protocol> Flow<P> {
    async fn run(self) -> Response {
        let request = self.request.clone();
        let mut permit = self.gateway.dispatcher.arrive(&arrival(&request));
        let mut kept: Option<answer::Whole> = None;
        let gateway = self.gateway.clone();
        // Others may find out what it does while it waits or is being sent.
        let refused = gateway.mirror.ends.wait_until_refused(request.digest);
        tokio::pin!(refused);
        loop {
            let next = tokio::select! {
                biased;
                _ = &mut refused => return self.ends_servers(),
                next = tokio::time::timeout_at(request.due.timer(), permit.next()) => next,
            };
            let next = match next {
                Ok(Some(next)) => next,
                // The balancer gives up a request at its deadline itself, so
                // this is only reached where the two clocks cross.
                Ok(None) | Err(_) => return self.late(),
            };
            let attempt = match next {
                dispatch::Next::Send(attempt) => attempt,
                dispatch::Next::Refuse(refusal) => return self.refuse(&refusal, kept),
            };
            let sent = tokio::select! {
                biased;
                _ = &mut refused => {
                    gateway.abandon(&request, &attempt.target);
                    return self.ends_servers();
                }
                sent = self.gateway.send(&request, &attempt, None) => sent,
            };
            match sent {
                Sent::Whole(whole) => {
                    permit.end(balancer::End::Answered);
                    return self.answered(whole);
                }
                Sent::Stream(begun) => {
                    permit.begin(request.came.elapsed());
                    return self.stream(*begun, permit);
                }
                Sent::Long(begun, first) => return self.long(*begun, first, permit),
                Sent::Broken(cause) => {
                    self.gateway.note(&request, &attempt, &cause);
                    let (server, target) = (attempt.server, &attempt.target);
                    permit.end(self.gateway.broke(&request, server, target, false).await);
                }
                Sent::Failed(end, answer, cause) => {
                    self.gateway.note(&request, &attempt, &cause);
                    kept = answer.or(kept);
                    permit.end(end);
                }
            }
        }
    }

    fn answered(self, whole: answer::Whole) -> Response {
        self.gateway.came_to_its_end(&self.request, whole.head.status);
        self.done("answered", whole.head.status.as_str());
        answer::relay::<P>(&whole.head, Body::whole(whole.body))
    }

    /// The final answer of a request that is given up: a failure that a
    /// backend server answered goes before one of our own.
    fn refuse(self, refusal: &balancer::Refusal, kept: Option<answer::Whole>) -> Response {
        if let Some(whole) = kept {
            return self.answered(whole);
        }
        let outcome = match refusal.outcome {
            balancer::Outcome::NotRun => "not-run",
            balancer::Outcome::Unknown => "unknown",
        };
        self.done(outcome, &refusal.reason.to_string());
        answer::refusal::<P>(refusal, &self.request.meta.id)
    }

    /// Given up since backend servers ended under it. Dropping its permit and its
    /// connection takes it off the one that may be running it.
    fn ends_servers(self) -> Response {
        let refusal = Refusal::EndsServers;
        self.done("refused", &refusal.to_string());
        let (status, retry_after) = refusal.answer();
        answer::own::<P>(status, Some(&*self.request.meta.id), retry_after)
    }

    fn late(self) -> Response {
        self.done("unknown", "deadline");
        let id = &*self.request.meta.id;
        answer::own::<P>(http::StatusCode::GATEWAY_TIMEOUT, Some(id), None)
    }

    fn stream(self, begun: Begun, permit: dispatch::Permit<Target>) -> Response {
        let (relay, response) = self.relay(&begun.head, permit);
        tokio::spawn(relay.run(begun));
        response
    }

    fn long(self, begun: Begun, first: bytes::Bytes, permit: dispatch::Permit<Target>) -> Response {
        let (relay, response) = self.relay(&begun.head, permit);
        tokio::spawn(relay.copy(begun, first));
        response
    }

    fn relay(
        self,
        head: &http::response::Parts,
        permit: dispatch::Permit<Target>,
    ) -> (stream::Relay<P>, Response) {
        let (sender, receiver) = tokio::sync::mpsc::channel(stream::QUEUE);
        let response = answer::relay::<P>(head, Body::Stream(receiver));
        let relay = stream::Relay {
            gateway: self.gateway,
            request: self.request,
            permit,
            sender,
            _flight: self.flight,
            timing: stream::Timing::default(),
        };
        (relay, response)
    }

    fn done(&self, outcome: &'static str, reason: &str) {
        self.gateway.done(&self.request, outcome, &reason);
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
        resumable: route.kind == route::Kind::Streaming { resumable: true },
        max_attempts: route.max_attempts,
        due: request.due,
        begin_by: request.came + route.objective,
        suspect: request.suspect.then_some(request.digest),
    }
}

impl<P: Protocol> Gateway<P> {
    /// Logs and counts a request's outcome.
    pub(crate) fn done(
        &self,
        request: &Request,
        outcome: &'static str,
        reason: &dyn std::fmt::Display,
    ) {
        let time = request.came.elapsed();
        self.metrics.ended(outcome, time);
        log::info!(
            "outcome request={} outcome={outcome} reason={reason} ms={}",
            request.meta.id,
            time.as_millis()
        );
    }

    /// An answer came to its end: the request ended no server, unless the server
    /// failed before it did what was asked.
    pub(crate) fn came_to_its_end(&self, request: &Request, status: http::StatusCode) {
        if status.is_success() {
            self.mirror.ends.clear(request.digest);
        }
    }

    /// Logs why an attempt failed.
    pub(crate) fn note(&self, request: &Request, attempt: &dispatch::Attempt<Target>, cause: &str) {
        log::info!(
            "attempt failed request={} digest={} attempt={} server={} cause=\"{cause}\" ms={}",
            request.meta.id,
            request.digest,
            attempt.number,
            attempt.target.run.id,
            request.came.elapsed().as_millis()
        );
    }

    /// Sends an attempt and waits for its answer, or for the head of a stream.
    async fn send(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        resume_after: Option<Arc<str>>,
    ) -> Sent {
        let left = request.due.saturating_duration_since(boot::Instant::now());
        // The timers of the request are late if the host was suspended.
        if left.is_zero() {
            return Sent::Failed(balancer::End::NeverRan, None, "overdue before sent".to_owned());
        }
        log::info!(
            "attempt request={} digest={} number={} server={} reason={} score={:.2} open={} passed_over={} config={} left_ms={}",
            request.meta.id,
            request.digest,
            attempt.number,
            attempt.target.run.id,
            attempt.reason,
            attempt.score,
            attempt.open,
            names(&attempt.passed_over),
            request.version,
            left.as_millis()
        );
        self.metrics.attempts.inc();
        let message = message::<P>(request, &attempt.target, left, resume_after);
        let fresh = !request.grant.route.kind.repeatable();
        let wanted = || self.dispatcher.still_accepts(attempt.server, attempt.at);
        let reply = self.upstream.send(&attempt.target, message, fresh, wanted);
        let reply = match tokio::time::timeout_at(request.due.timer(), reply).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(upstream::Error::NotSent(cause))) => {
                return Sent::Failed(balancer::End::Unreachable, None, cause);
            }
            Ok(Err(upstream::Error::NoAnswer(cause))) => return Sent::Broken(cause),
            Ok(Err(error @ upstream::Error::Withheld)) => {
                return Sent::Failed(balancer::End::Withheld, None, error.to_string());
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
    ) -> Sent {
        let (head, body) = reply.response.into_parts();
        let answer = P::answer(&head, &request.meta.id);
        if let Some(load) = answer.load {
            self.dispatcher.report(attempt.server, load);
        }
        self.take_notice(request, attempt, head.status, &answer.notice);
        self.take_limit(request, attempt, head.status, answer.rate);
        match answer.verdict {
            Verdict::Answered => {}
            Verdict::Foreign => return may_have_run("answer of another request".to_owned()),
            Verdict::NotRun(NotRun::GroupDown) => {
                return Sent::Failed(balancer::End::GroupDown, None, "group down".to_owned());
            }
            Verdict::NotRun(NotRun::OtherInstance) => {
                self.dispatcher.unlist(attempt.server);
                return Sent::Failed(balancer::End::NeverRan, None, "other instance".to_owned());
            }
            Verdict::NotRun(NotRun::Rejected) => {
                let cause = format!("rejected with status {}", head.status);
                return Sent::Failed(balancer::End::NeverRan, None, cause);
            }
            Verdict::NotRun(NotRun::Unavailable | NotRun::Throttled) => {
                let cause = format!("no room, status {}", head.status);
                return Sent::Failed(balancer::End::Full, None, cause);
            }
        }
        let (target, server) = (attempt.target.clone(), attempt.server);
        if request.grant.route.kind.streaming() && head.status.is_success() {
            let connection = reply.connection;
            return Sent::Stream(Box::new(Begun {
                head,
                body,
                answer,
                connection,
                target,
                server,
            }));
        }
        match answer::read(body, request.due).await {
            Ok(answer::Read::Whole(body)) => {
                if !answer.close {
                    self.upstream.put(&target, reply.connection, answer.keep_alive);
                }
                let whole = answer::Whole { head, body };
                // Another backend server may do better.
                if whole.head.status.is_server_error() && request.grant.route.kind.repeatable() {
                    let cause = format!("status {}", whole.head.status);
                    return Sent::Failed(FAILED, Some(whole), cause);
                }
                Sent::Whole(whole)
            }
            Ok(answer::Read::Long(first, body)) => {
                let connection = reply.connection;
                Sent::Long(
                    Box::new(Begun { head, body, answer, connection, target, server }),
                    first,
                )
            }
            Err(fault @ answer::Fault::Broken) => Sent::Broken(fault.to_string()),
            Err(fault @ answer::Fault::Late) => may_have_run(fault.to_string()),
        }
    }

    /// Sends an attempt that goes on with a stream behind an event.
    pub(crate) async fn resume(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        after: Option<Arc<str>>,
    ) -> Result<Begun, (balancer::End, String)> {
        match self.send(request, attempt, after.clone()).await {
            Sent::Stream(begun) => Ok(*begun),
            Sent::Whole(whole) => Err((FAILED, format!("status {}", whole.head.status))),
            Sent::Long(begun, _) => Err((FAILED, format!("status {}", begun.head.status))),
            Sent::Broken(cause) => {
                let (server, target) = (attempt.server, &attempt.target);
                Err((self.broke(request, server, target, after.is_some()).await, cause))
            }
            Sent::Failed(end, _, cause) => Err((end, cause)),
        }
    }
}

/// Ids with commas between them.
fn names(ids: &[Arc<str>]) -> String {
    if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
}

/// End of an attempt that may have run, of whose answer the client saw nothing.
const FAILED: balancer::End = balancer::End::MayHaveRun { answer_begun: false };

fn may_have_run(cause: String) -> Sent {
    Sent::Failed(FAILED, None, cause)
}

fn message<P: Protocol>(
    request: &Request,
    target: &Target,
    left: Duration,
    resume_after: Option<Arc<str>>,
) -> http::Request<Full<bytes::Bytes>> {
    let forward = Forward {
        instance: target.run.id.clone(),
        team: request.grant.team.as_ref().map(|team| team.name.clone()),
        left: Some(left),
        priority: Some(request.grant.precedence().min(PRIORITIES) as u8),
        resume_after,
    };
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.head.method.clone();
    *message.uri_mut() = origin_form(&request.head.uri);
    *message.headers_mut() = P::forward(&request.head, &forward);
    message
}

/// Path and query alone, as a request to a server has them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let mut parts = http::uri::Parts::default();
    parts.path_and_query = uri.path_and_query().cloned();
    http::Uri::from_parts(parts).unwrap_or_default()
}
