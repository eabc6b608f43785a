//! Isolation of suspects, the requests that may have ended a backend server.
//!
//! When a backend server ends, all of its requests break off together and are retried
//! together. If they met on one server again, its end would identify the cause no better
//! than the first. Therefore a suspect is dispatched to a backend server that is assigned
//! to this gateway, as the only suspect there. No other request is dispatched to that
//! server meanwhile if another server is open. If the server then ends, the request that
//! ended it is known, see [`crate::poison`].

use std::time::Duration;

use crate::balancer::{Balancer, Pending};
use crate::routing::policy;
use crate::{clock, entity, poison};

/// Time for which a suspect waits for a backend server assigned to its gateway. A server
/// that has ended is back within this time. After a network partition, none of them may be
/// reachable, so the suspect may then use any server.
const OWN_SERVER_WAIT: Duration = Duration::from_millis(1_500);

/// The number of a gateway among those that share the backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of this gateway, from 0.
    pub number: u32,
    /// Number of gateways, including this one.
    pub of: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share { number: 0, of: 1 }
    }
}

impl Share {
    /// Returns whether backend server number `server` of `servers` is assigned to this
    /// gateway. If there are fewer servers than gateways, some gateways share one.
    fn owns(self, server: usize, servers: usize) -> bool {
        let parts = (self.of as usize).clamp(1, servers.max(1));
        server % parts == self.number as usize % parts
    }
}

impl<P: policy::Policy> Balancer<P> {
    /// Returns the open backend servers to which a suspect may be dispatched now.
    ///
    /// There are none while another attempt of the same request is in flight. Until the
    /// suspect has waited for [`OWN_SERVER_WAIT`], servers of other gateways and servers
    /// that have failed the suspect are excluded.
    pub(super) fn open_for_suspect(
        &self,
        pending: &Pending,
        digest: poison::Digest,
        now: clock::Instant,
    ) -> Vec<entity::Server> {
        if self.suspects.values().any(|other| *other == digest) {
            return Vec::new();
        }
        let usable = self.servers.usable(pending.arrival.pool);
        let mut usable: Vec<(u64, entity::Server)> =
            usable.map(|(server, record)| (record.hash, server)).collect();
        // The order must be the same at all gateways. A server that has ended keeps its
        // number while it is listed. Not all gateways know of its end yet, and with
        // different numbers two suspects could be dispatched to the same server.
        usable.sort_unstable();
        let servers = usable.len();
        let own = usable.into_iter().enumerate();
        let any_server = now.since(pending.since) >= OWN_SERVER_WAIT;
        let own = own.filter(|(number, _)| any_server || self.share.owns(*number, servers));
        let mut open: Vec<entity::Server> = own
            .map(|(_, (_, server))| server)
            .filter(|server| any_server || !pending.tried.contains(server))
            .filter(|server| !self.runs_suspect(*server))
            .filter(|server| self.can_accept(&self.servers[*server], now))
            .collect();
        let takes_streams = |server: &entity::Server| self.servers[*server].weight > 0.0;
        if open.iter().any(takes_streams) {
            open.retain(takes_streams);
        }
        open
    }

    /// Returns whether a suspect runs on a backend server or on another run of it. The
    /// same process may still serve both.
    pub(super) fn runs_suspect(&self, server: entity::Server) -> bool {
        let host = |server: entity::Server| &self.servers[server].listing.host;
        self.suspects.keys().any(|other| host(*other) == host(server))
    }

    /// Returns whether a waiting request can be dispatched now, given that some backend
    /// server of its pool is open.
    pub(super) fn can_dispatch(&self, ticket: entity::Ticket, now: clock::Instant) -> bool {
        let Some(pending) = self.pending.get(&ticket) else { return true };
        let suspect = pending.arrival.suspect;
        suspect.is_none_or(|digest| !self.open_for_suspect(pending, digest, now).is_empty())
    }
}
