//! The rate limits that backend servers name.

use crate::balancer::{Action, Balancer};
use crate::routing::{policy, rate};
use crate::{clock, entity};

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
        let quota = &mut self.servers[server].quota;
        (rate::Quota::hear(quota, notice, chosen, now), Vec::new())
    }

    /// Listed backend servers that name a rate limit.
    pub fn limited(&self) -> usize {
        let limited =
            |record: &crate::routing::server::Record| record.listed && record.quota.is_some();
        self.servers.iter().filter(|(_, record)| limited(record)).count()
    }
}
