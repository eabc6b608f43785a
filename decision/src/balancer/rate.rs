//! The rate limits that backend servers name, and what follows from them.
//!
//! Every way to a backend server passes [`server::Record::open`], which asks its
//! [`rate::Quota`]; what was chosen before the limit was heard is held back by
//! [`Balancer::wants`].

use std::time::Duration;

use crate::balancer::{Action, Balancer};
use crate::routing::{policy, rate, server};
use crate::{clock, entity};

/// Longest time between two requests that is told apart from longer ones: nobody waits
/// for as long.
const LONGEST_SPACING: Duration = Duration::from_secs(3_600);

/// What the rate limits of a pool allow, where all its backend servers have one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Time between two requests of this gateway.
    pub spacing: Duration,
    /// The same if all gateways had the same share.
    pub share: Duration,
}

impl<P: policy::Policy> Balancer<P> {
    /// The answer to a request that was chosen for a backend server at `chosen` said
    /// something of the server's rate limit.
    pub fn limit(
        &mut self,
        server: entity::Server,
        notice: rate::Notice,
        chosen: clock::Instant,
        now: clock::Instant,
    ) -> (Option<rate::Change>, Vec<Action>) {
        let record = &mut self.servers[server];
        let listing = &record.listing;
        let place = || self.peers.place(&listing.host, &listing.zone);
        let change = rate::Quota::update(&mut record.quota, notice, place, (chosen, now));
        let mut actions = Vec::new();
        if change.is_some() {
            self.noticed.insert(server);
            self.tell_later_run(server, now);
            self.pump(self.servers[server].listing.pool, now, &mut actions);
        }
        (change, actions)
    }

    /// Another gateway found that the rate limit of a run is lifted. Returns for how
    /// long one was in force here, unless it was heard again since.
    pub fn lift(
        &mut self,
        host: &str,
        born: Option<u64>,
        now: clock::Instant,
    ) -> (Option<Duration>, Vec<Action>) {
        let Some(server) = self.servers.find(host) else { return (None, Vec::new()) };
        let time = self.servers[server].lift(born, now);
        let mut actions = Vec::new();
        if time.is_some() {
            self.pump(self.servers[server].listing.pool, now, &mut actions);
        }
        (time, actions)
    }

    /// Sets the gateways that share the backend servers' rate limits.
    pub fn set_peers(&mut self, peers: rate::Peers, now: clock::Instant) -> Vec<Action> {
        if peers == self.peers {
            return Vec::new();
        }
        self.peers = peers;
        self.servers.set_peers(&self.peers, now);
        self.pump_all(now)
    }

    /// Listed backend servers that name a rate limit.
    pub fn limited(&self) -> usize {
        let limited = |record: &server::Record| record.listed && record.quota.is_some();
        self.servers.iter().filter(|(_, record)| limited(record)).count()
    }

    /// What the rate limits of a pool allow; none where one of its backend servers
    /// has no limit.
    pub(super) fn limits_of(&self, pool: entity::Pool) -> Option<Limits> {
        let (mut own, mut all) = (0.0, 0.0);
        for (_, record) in self.servers.usable(pool) {
            let quota = record.quota?;
            own += 1.0 / quota.pace().interval.as_secs_f64();
            all += quota.limit().usable();
        }
        let time = |rate: f64| {
            let time = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST_SPACING);
            time.min(LONGEST_SPACING)
        };
        Some(Limits { spacing: time(own), share: time(all / f64::from(self.share.of.max(1))) })
    }
}
