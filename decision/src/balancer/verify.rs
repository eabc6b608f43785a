//! The verifier of the balancer: its counts agree with each other.

use crate::balancer::{Balancer, Pending, Place};
use crate::{admission, entity};

impl<P> Balancer<P> {
    /// Checks the machine's invariants.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        self.queue.verify().map_err(Fault::Queue)?;
        let waiting = self.pending.values().filter(|p| p.place == Place::Waiting).count();
        if waiting != self.queue.waiting() {
            return Err(Fault::Waiting);
        }
        for (server, record) in self.servers.iter() {
            let sent = Place::Sent(server);
            let in_flight = self.pending.values().filter(|p| p.place == sent).count();
            if in_flight != record.in_flight as usize {
                return Err(Fault::InFlight(server));
            }
        }
        let on_trial =
            |p: &&Pending, server| p.place == Place::Sent(server) && p.arrival.suspect.is_some();
        for server in self.trials.keys() {
            if self.pending.values().filter(|p| on_trial(p, *server)).count() != 1 {
                return Err(Fault::Suspect(*server));
            }
        }
        for (id, group) in self.groups.iter() {
            let own = |p: &&Pending| matches!(p.place, Place::Sent(_)) && p.group == Some(id);
            if self.pending.values().filter(own).count() != group.in_flight as usize {
                return Err(Fault::GroupInFlight(id));
            }
        }
        Ok(())
    }
}

/// A broken invariant of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The queue's own.
    #[error(transparent)]
    Queue(admission::Fault),
    /// Requests that wait are those in the queue.
    #[error("requests that wait and the queue differ")]
    Waiting,
    /// Requests sent to a backend server are those it has in flight.
    #[error("requests in flight at {0} are miscounted")]
    InFlight(entity::Server),
    /// A backend server that is kept for a suspect runs one.
    #[error("{0} is kept for a suspect that is not there")]
    Suspect(entity::Server),
    /// Requests sent to a group are those it has in flight.
    #[error("requests in flight at {0} are miscounted")]
    GroupInFlight(entity::Group),
}
