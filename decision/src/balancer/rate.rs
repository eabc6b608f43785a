//! Rate limits that backend servers report.
//!
//! Every dispatch to a backend server is checked by [`server::Record::open`], which asks
//! its [`rate::Quota`]. A request whose server was selected before the limit was received
//! is stopped by [`Balancer::still_accepts`].

use std::time::Duration;

use crate::balancer::{Action, Balancer};
use crate::routing::{policy, rate, server};
use crate::{clock, entity};

/// Maximum time between two requests. Longer times are cut to it, as no client waits that
/// long.
const MAX_SPACING: Duration = Duration::from_secs(3_600);

/// The combined rate limit of a pool whose backend servers all have one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Time between two requests of this gateway.
    pub spacing: Duration,
    /// Time between two requests of a gateway if all gateways had equal parts.
    pub even_spacing: Duration,
}

impl<P: policy::Policy> Balancer<P> {
    /// Applies what the answer to a request reports about its backend server's rate limit.
    /// The server was selected for the request at `chosen`.
    pub fn apply_rate_notice(
        &mut self,
        server: entity::Server,
        notice: rate::Notice,
        chosen: clock::Instant,
        now: clock::Instant,
    ) -> (Option<rate::Change>, Vec<Action>) {
        let mut actions = Vec::new();
        let Some(record) = self.servers.get_mut(server) else { return (None, actions) };
        let listing = &record.listing;
        let place = || self.peers.place(&listing.host, &listing.zone);
        let change = rate::Quota::update(&mut record.quota, notice, place, (chosen, now));
        if change.is_some() {
            self.noticed.insert(server);
            self.apply_to_newest_run(server, now);
            self.dispatch_waiting(self.servers[server].listing.pool, now, &mut actions);
        }
        (change, actions)
    }

    /// Lifts the rate limit of a run because another gateway found that it is lifted.
    /// Returns the time for which the limit was in force at this gateway, or none if there
    /// is no limit or the report may be older than the last notice received here.
    pub fn lift_limit(
        &mut self,
        host: &str,
        born: Option<u64>,
        now: clock::Instant,
    ) -> (Option<Duration>, Vec<Action>) {
        let Some(server) = self.servers.find(host) else { return (None, Vec::new()) };
        let time = self.servers[server].lift(born, now);
        let mut actions = Vec::new();
        if time.is_some() {
            self.dispatch_waiting(self.servers[server].listing.pool, now, &mut actions);
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
        self.dispatch_all_waiting(now)
    }

    /// Returns the number of listed backend servers that have a rate limit.
    pub fn limited(&self) -> usize {
        let limited = |record: &server::Record| record.listed && record.quota.is_some();
        self.servers.iter().filter(|(_, record)| limited(record)).count()
    }

    /// Returns the combined rate limit of a pool, or none if one of its usable backend
    /// servers has no limit.
    pub(super) fn limits_of(&self, pool: entity::Pool) -> Option<Limits> {
        let (mut own, mut all) = (0.0, 0.0);
        for (_, record) in self.servers.usable(pool) {
            let quota = record.quota?;
            own += 1.0 / quota.pace().interval.as_secs_f64();
            all += quota.limit().usable();
        }
        let time = |rate: f64| {
            let time = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_SPACING);
            time.min(MAX_SPACING)
        };
        Some(Limits {
            spacing: time(own),
            even_spacing: time(all / f64::from(self.share.of.max(1))),
        })
    }
}
