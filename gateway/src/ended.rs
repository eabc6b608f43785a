//! Whether a backend server ended under a request.
//!
//! A connection that breaks says little: the path may have been reset, the
//! backend server may have cut one request, or its group may have broken since
//! another rank ended. One that has ended itself takes no connection either.
//! One that was leaving ends by plan, under whatever it still runs. Where the
//! break was noticed late, another run may take connections at the address by
//! then: 1.1 s after the end was seen.

use loftcove_decision::{balancer, entity};
use loftcove_interface::protocol::Protocol;

use crate::request::Request;
use crate::state::{Gateway, Target};
use crate::upstream;

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
        let replaced = self.dispatcher.lists(|other: &Target| {
            other.address == target.address && other.run.differs(&target.run)
        });
        let lives = !replaced && upstream::reaches(target.address).await;
        log::info!(
            "connection broke request={} digest={} server={} lives={lives} leaving={leaving} ms={}",
            request.meta.id,
            request.digest,
            target.run.id,
            request.came.elapsed().as_millis()
        );
        if lives || leaving {
            return balancer::End::MayHaveRun { answer_begun };
        }
        self.metrics.servers_ended.inc();
        self.mirror.ends.found(&target.run, request.digest);
        balancer::End::ServerEnded
    }
}
