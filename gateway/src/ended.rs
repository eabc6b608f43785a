//! Finds out whether a backend server ended under a request.
//!
//! The *end* of a server is the unplanned exit of one run of its process. A broken connection alone
//! does not show it: the path may have been reset, the server may have closed one request, or its
//! group may have failed because another rank ended. A server that has ended accepts no
//! connections. A server that is leaving exits by plan, even with requests running.
//!
//! If the break is noticed late, another run may already accept connections at the address; one did
//! 1.1 s after the end was detected. If the break is noticed early, the listening port of an
//! exiting process may still be open while its connections are closed one after the other.
//! Therefore a server that accepts connections is checked once more.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::{balancer, entity, fleet};
use loftcove_dispatch as dispatch;
use loftcove_intake as intake;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;
use loftcove_mirror as mirror;
use loftcove_response::ending;
use loftcove_response::event::{Media, Position};
use loftcove_response::framing::Framing;

use crate::request::Request;
use crate::state::{Gateway, Target};
use crate::upstream;

/// Delay before a server that was found alive is checked again. It is far longer than a process
/// takes to close its connections, and far shorter than a server takes to restart, which is a
/// second or more. The request's next attempt does not wait for this check.
const RECHECK_DELAY: Duration = Duration::from_millis(150);
/// Time that an exiting process may take from closing its first connection to closing its port.
/// Each response whose end only its connection marks is delayed by it.
const CLOSE_TIME: Duration = Duration::from_millis(20);

impl<P: Protocol> Gateway<P> {
    /// Finds out whether a backend server ended when its connection broke under a request. Returns
    /// how the attempt ended.
    pub(crate) async fn classify_break(
        &self,
        request: &Arc<Request>,
        server: entity::Server,
        target: &Target,
        answer_begun: bool,
    ) -> balancer::End {
        let leaving = self.dispatcher.leaving(server);
        let lives = lives(&self.dispatcher, target).await;
        log::info!(
            "connection broke request={} digest={} server={} lives={lives} \
             leaving={leaving} alone={} parts={} ms={}",
            field::Text(&request.meta.id),
            request.digest,
            field::Text(&target.run.id),
            request.suspect,
            request.part_ids(),
            request.received.elapsed().as_millis()
        );
        if leaving {
            return balancer::End::MayHaveRun { answer_begun };
        }
        if lives {
            self.recheck(request, target);
            return balancer::End::MayHaveRun { answer_begun };
        }
        self.metrics.servers_ended.inc();
        record_end(&self.mirror, &target.run, request);
        balancer::End::ServerEnded
    }

    /// Returns why a response whose body ended in order is not complete.
    ///
    /// If only the end of the connection marks the end of the body, the backend server must still
    /// run, also if it is leaving, because it may exit with requests running. A server that does
    /// not accept a connection for another reason than a closed port may have completed the
    /// response. `received` is when the last part of the body arrived: if this process was stopped
    /// since, the server may have ended and restarted.
    pub(crate) async fn check_ending(
        &self,
        target: &Target,
        (framing, media): (Framing, Media),
        position: Position,
        received: boot::Instant,
    ) -> Result<(), ending::Error> {
        ending::check(framing, media, position)?;
        if framing != Framing::Close {
            return Ok(());
        }
        if self.pulse.stopped_since(received) {
            return Err(ending::Error::NoticedLate);
        }
        if self.is_gone(target).await {
            return Err(ending::Error::ServerEnded);
        }
        tokio::time::sleep(CLOSE_TIME).await;
        if self.is_gone(target).await { Err(ending::Error::ServerEnded) } else { Ok(()) }
    }

    /// Returns whether the run's port is closed or another run is listed at its address.
    async fn is_gone(&self, target: &Target) -> bool {
        is_replaced(&self.dispatcher, target) || upstream::refuses_connections(target.address).await
    }

    /// Finds out how an attempt ended whose request the host did not acknowledge in time. A host
    /// that accepts connections and no bytes, such as a suspended one, gets no further requests for
    /// a while. The request may have run all the same.
    pub(crate) async fn classify_unacknowledged(
        &self,
        request: &Arc<Request>,
        attempt: &dispatch::Attempt<Target>,
        answer_begun: bool,
    ) -> balancer::End {
        let (server, target) = (attempt.server, &attempt.target);
        match self.classify_break(request, server, target, answer_begun).await {
            balancer::End::MayHaveRun { answer_begun } => {
                balancer::End::Unacknowledged { answer_begun }
            }
            end => end,
        }
    }

    /// Records that a request is rejected as one that ends servers while a backend server runs it.
    /// The server may still end under it, together with other requests.
    pub(crate) fn abandon(&self, request: &Request, target: &Target) {
        let left = request.due.saturating_duration_since(boot::Instant::now());
        self.mirror.ends.abandon(&target.run, request.digest, left);
    }

    /// Checks a server that was found alive a second time, in a task of its own.
    fn recheck(&self, request: &Arc<Request>, target: &Target) {
        let (dispatcher, mirror) = (self.dispatcher.clone(), self.mirror.clone());
        let (target, request) = (target.clone(), request.clone());
        let ended = self.metrics.servers_ended.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RECHECK_DELAY).await;
            if lives(&dispatcher, &target).await {
                return;
            }
            let (digest, server) = (request.digest, &target.run.id);
            log::info!(
                "server ended after all digest={digest} server={server}",
                server = field::Text(server)
            );
            ended.inc();
            record_end(&mirror, &target.run, &request);
        });
    }
}

/// Returns why a body ended with this error.
pub(crate) fn break_of(error: &hyper::Error) -> ending::Error {
    match intake::excess(error) {
        Some(_) => ending::Error::NoContent,
        None => ending::Error::Broken,
    }
}

/// Records that a backend server ended under a request. A request that had been on such a server
/// before says nothing of the parts of its prompt: it may end servers by itself.
fn record_end(mirror: &mirror::Mirror, run: &fleet::Run, request: &Request) {
    let parts = if request.suspect { &[][..] } else { &request.parts };
    mirror.ends.record_end_with_parts(run, request.digest, request.suspect, parts);
}

/// Returns whether the run accepts connections and no other run is listed at its address.
async fn lives(dispatcher: &dispatch::Dispatcher<Target>, target: &Target) -> bool {
    !is_replaced(dispatcher, target) && upstream::can_connect(target.address).await
}

/// Returns whether another run is listed at the run's address.
fn is_replaced(dispatcher: &dispatch::Dispatcher<Target>, target: &Target) -> bool {
    dispatcher.any_listed(|other: &Target| {
        other.address == target.address && other.run.differs(&target.run)
    })
}
