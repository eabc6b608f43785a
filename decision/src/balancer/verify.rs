//! Consistency checks of the balancer's counters.

use crate::balancer::{Balancer, Pending, State, moves};
use crate::{admission, entity};

impl<P> Balancer<P> {
    /// Checks the balancer's invariants.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        self.queue.verify().map_err(Fault::Queue)?;
        let waiting = self.pending.values().filter(|p| p.state == State::Waiting).count();
        if waiting != self.queue.waiting() {
            return Err(Fault::Waiting);
        }
        if !self.servers.is_consistent() {
            return Err(Fault::Records);
        }
        let sent = self.pending.values().filter_map(|pending| match pending.state {
            State::Sent(server) => Some(server),
            State::Waiting => None,
        });
        let origins = self.pending.values().filter_map(|pending| pending.origin.as_ref());
        for server in sent.chain(origins.map(moves::Origin::server)) {
            if !self.servers.contains(server) {
                return Err(Fault::Record(server));
            }
        }
        for (server, record) in self.servers.iter() {
            let sent = State::Sent(server);
            let in_flight = self.pending.values().filter(|p| p.state == sent).count();
            if in_flight != record.in_flight as usize {
                return Err(Fault::InFlight(server));
            }
        }
        let is_suspect_at =
            |p: &&Pending, server| p.state == State::Sent(server) && p.arrival.suspect.is_some();
        for server in self.suspects.keys() {
            if self.pending.values().filter(|p| is_suspect_at(p, *server)).count() != 1 {
                return Err(Fault::Suspect(*server));
            }
        }
        for (id, group) in self.groups.iter() {
            let own = |p: &&Pending| matches!(p.state, State::Sent(_)) && p.group == Some(id);
            if self.pending.values().filter(own).count() != group.in_flight as usize {
                return Err(Fault::GroupInFlight(id));
            }
            let begun = |p: &&Pending| own(p) && p.streams;
            if self.pending.values().filter(begun).count() != group.begun as usize {
                return Err(Fault::GroupBegun(id));
            }
        }
        for (pool, budget) in self.retry_budgets() {
            let own =
                |p: &&Pending| p.state == State::Waiting && p.charged && p.arrival.pool == pool;
            if self.pending.values().filter(own).count() != budget.waiting as usize {
                return Err(Fault::Retries(pool));
            }
        }
        for (pool, gate) in &self.gates {
            let own = |p: &&Pending| {
                matches!(p.state, State::Sent(_)) && p.group.is_some() && p.arrival.pool == *pool
            };
            if self.pending.values().filter(own).count() != gate.in_flight() as usize {
                return Err(Fault::PoolInFlight(*pool));
            }
        }
        Ok(())
    }
}

/// A violated invariant of the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An invariant of the queue is violated.
    #[error(transparent)]
    Queue(admission::Fault),
    /// The number of waiting requests differs from the length of the queue.
    #[error("number of waiting requests differs from the length of the queue")]
    Waiting,
    /// The table of backend servers is inconsistent.
    #[error("the indices of the records differ from the records")]
    Records,
    /// A backend server to which a request was dispatched or may return has no record.
    #[error("{0} has a request but no record")]
    Record(entity::Server),
    /// The number of requests dispatched to a backend server differs from its counter.
    #[error("wrong count of requests in flight at {0}")]
    InFlight(entity::Server),
    /// A backend server recorded as running a suspect does not run exactly one.
    #[error("{0} is recorded as running a suspect but does not run exactly one")]
    Suspect(entity::Server),
    /// The number of requests dispatched to a group differs from its counter.
    #[error("wrong count of requests in flight at {0}")]
    GroupInFlight(entity::Group),
    /// The number of a group's requests in flight that have had an event differs from its counter.
    #[error("wrong count of requests with an event at {0}")]
    GroupBegun(entity::Group),
    /// The number of charged retries of a pool that wait differs from its counter.
    #[error("wrong count of retries that wait for {0}")]
    Retries(entity::Pool),
    /// The number of streams of a pool differs from the counter of its limits.
    #[error("wrong count of streams in flight at {0}")]
    PoolInFlight(entity::Pool),
}
