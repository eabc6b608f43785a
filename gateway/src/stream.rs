//! Hands a stream of events on to the client.
//!
//! Only whole events are handed on. If the backend server breaks off, and the
//! route allows it, another one goes on behind the last event within the same
//! answer. A stream that cannot be ended is broken off towards the client as
//! well, so that it does not look whole.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use loftcove_clock as boot;
use loftcove_decision::balancer;
use loftcove_dispatch as dispatch;
use loftcove_interface::protocol::Protocol;
use tokio::sync::mpsc;

use crate::body::{Broken, Part};
use crate::drain;
use crate::event::Splitter;
use crate::flow::Begun;
use crate::request::Request;
use crate::state::{Gateway, Target};

/// Parts of an answer that may wait for a slow client.
pub const QUEUE: usize = 8;

/// A stream on its way.
pub struct Relay<P> {
    /// The gateway.
    pub gateway: Arc<Gateway<P>>,
    /// The request.
    pub request: Arc<Request>,
    /// Its place at the dispatcher.
    pub permit: dispatch::Permit<Target>,
    /// Towards the client.
    pub sender: mpsc::Sender<Part>,
    /// Its share in the requests in flight.
    pub _flight: drain::InFlight<P>,
    /// What the client has seen of its pace.
    pub timing: Timing,
}

/// When a stream's events came.
#[derive(Debug, Clone, Copy, Default)]
pub struct Timing {
    /// From the request to the first event.
    first: Option<Duration>,
    /// Longest pause between two events, also while another backend server is
    /// found.
    pause: Duration,
    /// When the last event came.
    last: Option<boot::Instant>,
}

impl Timing {
    /// An event of a request that came then.
    fn event(&mut self, came: boot::Instant) {
        let now = boot::Instant::now();
        self.first.get_or_insert(now.saturating_duration_since(came));
        let pause = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.pause = self.pause.max(pause);
        self.last = Some(now);
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
    /// The stream is whole.
    Whole,
    /// The backend server broke off.
    Broken,
    /// The client left.
    Left,
    /// Time is up.
    Late,
    /// Others found that servers end under it.
    Refused,
}

impl<P: Protocol> Relay<P> {
    /// Hands the stream on until it ends.
    pub async fn run(mut self, begun: Begun) {
        let mut splitter = Splitter::default();
        let mut begun = Some(begun);
        while let Some(part) = begun.take() {
            let (server, target, status) = (part.server, part.target.clone(), part.head.status);
            match self.pass(part, &mut splitter).await {
                End::Whole => {
                    self.permit.end(balancer::End::Answered);
                    self.gateway.came_to_its_end(&self.request, status);
                    return self.done("answered", "whole");
                }
                End::Left => {
                    self.permit.end(balancer::End::Abandoned);
                    return self.done("client-left", "client-left");
                }
                End::Late => return self.break_off("deadline").await,
                End::Broken => {
                    let answer_begun = splitter.last_id().is_some();
                    let broke = self.gateway.broke(&self.request, server, &target, answer_begun);
                    let end = broke.await;
                    begun = self.resume(&mut splitter, end).await;
                }
                End::Refused => {
                    self.gateway.abandon(&self.request, &target);
                    return self.break_off("ends-servers").await;
                }
            }
        }
        self.break_off("backend-server-broke-off").await;
    }

    /// Hands an answer that is no stream of events on as it comes.
    pub async fn copy(mut self, begun: Begun, first: Bytes) {
        let (server, target, status) = (begun.server, begun.target.clone(), begun.head.status);
        let end = match self.hand_on(first).await {
            Some(end) => end,
            None => self.copy_rest(begun).await,
        };
        match end {
            End::Whole => {
                self.permit.end(balancer::End::Answered);
                self.gateway.came_to_its_end(&self.request, status);
                self.done("answered", "whole");
            }
            End::Left => {
                self.permit.end(balancer::End::Abandoned);
                self.done("client-left", "client-left");
            }
            End::Late => self.break_off("deadline").await,
            End::Broken => {
                let end = self.gateway.broke(&self.request, server, &target, true).await;
                if end == balancer::End::ServerEnded {
                    self.permit.end(end);
                }
                self.break_off("backend-server-broke-off").await;
            }
            End::Refused => {
                self.gateway.abandon(&self.request, &target);
                self.break_off("ends-servers").await;
            }
        }
    }

    async fn copy_rest(&self, mut begun: Begun) -> End {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return End::Left,
                frame = tokio::time::timeout_at(self.request.due.timer(), begun.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return End::Late,
                Ok(None) => return End::Whole,
                Ok(Some(Err(_))) => return End::Broken,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if let Some(end) = self.hand_on(data).await {
                return end;
            }
        }
    }

    /// Hands one backend server's part of the stream on.
    async fn pass(&mut self, begun: Begun, splitter: &mut Splitter) -> End {
        let Begun { mut body, answer, connection, target, .. } = begun;
        // The first event's wait is no pause.
        let mut last: Option<boot::Instant> = None;
        let gateway = self.gateway.clone();
        let refused = gateway.mirror.ends.wait_until_refused(self.request.digest);
        tokio::pin!(refused);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return End::Left,
                _ = &mut refused => return End::Refused,
                frame = tokio::time::timeout_at(self.request.due.timer(), body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return End::Late,
                Ok(None) => break,
                Ok(Some(Err(_))) => return End::Broken,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if let Some(events) = splitter.push(&data) {
                self.observe(last.map_or(Duration::ZERO, |last: boot::Instant| last.elapsed()));
                last = Some(boot::Instant::now());
                if let Some(end) = self.hand_on(events).await {
                    return end;
                }
            }
        }
        if let Some(rest) = splitter.finish()
            && let Some(end) = self.hand_on(rest).await
        {
            return end;
        }
        if !answer.close {
            self.gateway.upstream.put(&target, connection, answer.keep_alive);
        }
        End::Whole
    }

    /// Logs and counts the stream's outcome.
    fn done(&self, outcome: &'static str, reason: &str) {
        self.gateway.done(&self.request, outcome, &format_args!("{reason} {}", self.timing));
    }

    /// Tells the dispatcher how long the stream has paused.
    fn observe(&mut self, pause: Duration) {
        self.timing.event(self.request.came);
        let wanted = self.request.grant.route.pause;
        if let Some(wanted) = wanted.filter(|wanted| !wanted.is_zero()) {
            self.permit.event(pause, wanted);
        }
    }

    /// Hands bytes to the client; returns an end if that ends the stream.
    async fn hand_on(&self, bytes: Bytes) -> Option<End> {
        let sent = tokio::time::timeout_at(self.request.due.timer(), self.sender.send(Ok(bytes)));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::Left),
            Err(_) => Some(End::Late),
        }
    }

    /// Finds another backend server that goes on behind the last event.
    /// The part of before ended as `end` says.
    async fn resume(&mut self, splitter: &mut Splitter, end: balancer::End) -> Option<Begun> {
        splitter.discard();
        let after = splitter.last_id().cloned();
        let mut end = end;
        let gateway = self.gateway.clone();
        let refused = gateway.mirror.ends.wait_until_refused(self.request.digest);
        tokio::pin!(refused);
        loop {
            self.permit.end(end);
            let next = tokio::select! {
                () = self.sender.closed() => return None,
                _ = &mut refused => return None,
                next = self.permit.next() => next?,
            };
            let attempt = match next {
                dispatch::Next::Send(attempt) => attempt,
                dispatch::Next::Refuse(refusal) => {
                    log::info!(
                        "not resumed request={} after={} reason={}",
                        self.request.meta.id,
                        after.as_deref().unwrap_or("-"),
                        refusal.reason
                    );
                    return None;
                }
            };
            let sent = tokio::select! {
                () = self.sender.closed() => return None,
                _ = &mut refused => {
                    self.gateway.abandon(&self.request, &attempt.target);
                    return None;
                }
                sent = self.gateway.resume(&self.request, &attempt, after.clone()) => sent,
            };
            match sent {
                Ok(begun) => {
                    self.gateway.metrics.resumed.inc();
                    return Some(begun);
                }
                Err((failed, cause)) => {
                    self.gateway.note(&self.request, &attempt, &cause);
                    end = failed;
                }
            }
        }
    }

    /// Breaks the answer off, so that the client does not take it to be whole.
    async fn break_off(self, reason: &'static str) {
        self.done("broken-off", reason);
        // The client may have left meanwhile.
        self.sender.send(Err(Broken)).await.unwrap_or_default();
    }
}
