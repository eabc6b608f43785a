//! Requests that may have ended a backend server run apart from each other.
//!
//! The pattern: several requests end their servers, and those that were cut
//! together come again together, so that the next end tells no more than the
//! last. A suspect is sent to a backend server that is this gateway's own for
//! that, as the only suspect there, and nothing else goes there meanwhile while
//! there are others. Whoever ends it then is known, see [`crate::poison`].

use std::time::Duration;

use crate::balancer::{Balancer, Pending};
use crate::routing::policy;
use crate::{clock, entity, poison};

/// Time for which a suspect waits for a server of its gateway's own. One that has
/// ended is back within that; behind a cut, none may be.
const OWN_WAIT: Duration = Duration::from_millis(1_500);

/// A gateway's place among those that share the backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Its number, from 0.
    pub number: u32,
    /// How many there are, this one included.
    pub of: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share { number: 0, of: 1 }
    }
}

impl Share {
    /// Whether the backend server with that number, of so many, is this
    /// gateway's own. Where there are fewer than gateways, some share one.
    fn owns(self, server: usize, servers: usize) -> bool {
        let parts = (self.of as usize).clamp(1, servers.max(1));
        server % parts == self.number as usize % parts
    }
}

impl<P: policy::Policy> Balancer<P> {
    /// Open backend servers to which a suspect may be sent now: none while another try
    /// of the same request is on one, nor those that have failed it, until it has waited.
    pub(super) fn open_apart(
        &self,
        pending: &Pending,
        digest: poison::Digest,
        now: clock::Instant,
    ) -> Vec<entity::Server> {
        if self.trials.values().any(|other| *other == digest) {
            return Vec::new();
        }
        let usable = self.servers.usable(pending.arrival.pool);
        let mut usable: Vec<(u64, entity::Server)> =
            usable.map(|(server, record)| (record.hash, server)).collect();
        // In the same order at all gateways. One that has ended keeps its place while
        // it is listed: not all gateways know it, and two suspects would meet.
        usable.sort_unstable();
        let servers = usable.len();
        let own = usable.into_iter().enumerate();
        let any = now.since(pending.since) >= OWN_WAIT;
        let own = own.filter(|(number, _)| any || self.share.owns(*number, servers));
        own.map(|(_, (_, server))| server)
            .filter(|server| any || !pending.tried.contains(server))
            .filter(|server| !self.on_trial(*server))
            .filter(|server| self.takes(&self.servers[*server], now))
            .collect()
    }

    /// Whether a suspect is on a backend server, or on its run of before: the same
    /// process may still be behind both.
    pub(super) fn on_trial(&self, server: entity::Server) -> bool {
        let host = |server: entity::Server| &self.servers[server].listing.host;
        self.trials.keys().any(|other| host(*other) == host(server))
    }

    /// Whether a request that waits can be sent now, given that some backend
    /// server of its pool is open.
    pub(super) fn has_place(&self, ticket: entity::Ticket, now: clock::Instant) -> bool {
        let Some(pending) = self.pending.get(&ticket) else { return true };
        let suspect = pending.arrival.suspect;
        suspect.is_none_or(|digest| !self.open_apart(pending, digest, now).is_empty())
    }
}
