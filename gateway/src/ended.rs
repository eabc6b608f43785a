//! Whether a backend server ended under a request.
//!
//! A connection that breaks says little: the path may have been reset, the
//! backend server may have cut one request, or its group may have broken since
//! another rank ended. One that has ended itself takes no connection either.
//! One that was leaving ends by plan, under whatever it still runs. Where the
//! break was noticed late, another run may take connections at the address by
//! then: 1.1 s after the end was seen. Where it was noticed early, the port of a
//! process that is ending may still be open while its connections are closed one
//! after the other, so a server that was found alive is looked at once more.

use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::{balancer, entity};
use loftcove_dispatch as dispatch;
use loftcove_interface::protocol::Protocol;

use crate::request::Request;
use crate::state::{Gateway, Target};
use crate::upstream;

/// Time after which a server that was found alive is looked at once more: far
/// longer than a process takes to close what it has open, far shorter than a
/// server takes to be back, which is a second and more. What follows the attempt
/// does not wait for it.
const LOOK_AGAIN: Duration = Duration::from_millis(150);

impl<P: Protocol> Gateway<P> {
    /// The connection to a backend server broke under a request: finds out
    /// whether the server ended, and returns how the attempt did.
    pub(crate) async fn broke(
        &self,
        request: &Request,
        server: entity::Server,
        target: &Target,
        answer_begun: bool,
    ) -> balancer::End {
        let leaving = self.dispatcher.leaving(server);
        let lives = lives(&self.dispatcher, target).await;
        log::info!(
            "connection broke request={} digest={} server={} lives={lives} leaving={leaving} alone={} ms={}",
            request.meta.id,
            request.digest,
            target.run.id,
            request.suspect,
            request.came.elapsed().as_millis()
        );
        if leaving {
            return balancer::End::MayHaveRun { answer_begun };
        }
        if lives {
            self.look_again(request, target);
            return balancer::End::MayHaveRun { answer_begun };
        }
        self.metrics.servers_ended.inc();
        self.mirror.ends.record_end(&target.run, request.digest, request.suspect);
        balancer::End::ServerEnded
    }

    /// A request is refused as one that ends servers while a backend server runs it: the
    /// server may end under it all the same, beside others.
    pub(crate) fn abandon(&self, request: &Request, target: &Target) {
        let left = request.due.saturating_duration_since(boot::Instant::now());
        self.mirror.ends.abandon(&target.run, request.digest, left);
    }

    /// Looks at a server that was found alive a second time, beside what follows.
    fn look_again(&self, request: &Request, target: &Target) {
        let (dispatcher, mirror) = (self.dispatcher.clone(), self.mirror.clone());
        let (target, digest, alone) = (target.clone(), request.digest, request.suspect);
        let ended = self.metrics.servers_ended.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LOOK_AGAIN).await;
            if lives(&dispatcher, &target).await {
                return;
            }
            log::info!("server ended after all digest={digest} server={}", target.run.id);
            ended.inc();
            mirror.ends.record_end(&target.run, digest, alone);
        });
    }
}

/// Whether the run takes connections, and no other one has its address.
async fn lives(dispatcher: &dispatch::Dispatcher<Target>, target: &Target) -> bool {
    let replaced = dispatcher.any_listed(|other: &Target| {
        other.address == target.address && other.run.differs(&target.run)
    });
    !replaced && upstream::reaches(target.address).await
}
