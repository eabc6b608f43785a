//! Dispatch of waiting requests.

use crate::balancer::{Action, Arrival, Balancer, Outcome, Reason};
use crate::routing::policy;
use crate::{admission, clock, entity};

impl<P: policy::Policy> Balancer<P> {
    /// Dispatches waiting requests of all pools while backend servers are open.
    pub(super) fn dispatch_all_waiting(&mut self, now: clock::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for pool in self.queue.waiting_pools() {
            self.dispatch_waiting(pool, now, &mut actions);
        }
        actions
    }

    /// Dispatches waiting requests of a pool while backend servers are open.
    pub(super) fn dispatch_waiting(
        &mut self,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut deferred = Vec::new();
        let mut limit = None;
        if self.queue.waiting_for(pool) > 0 {
            self.update_limits(pool, now);
        }
        while self.queue.waiting_for(pool) > 0 {
            if !self.servers.usable(pool).any(|(_, record)| self.can_accept(record, now)) {
                self.gates.entry(pool).or_default().record_held(now);
                break;
            }
            let gate = self.gates.entry(pool).or_default();
            let eligible = |precedence, team| match gate.check(precedence, team, now) {
                Ok(()) => true,
                Err(reached) => {
                    limit = Some(reached);
                    false
                }
            };
            let Some(next) = self.queue.pop_where(pool, eligible) else { break };
            if self.queue.misses_deadline(&next, now) {
                let reason = Reason::Admission(admission::Refusal::Deadline);
                self.reject_pending(next.ticket, Outcome::NotRun, reason, now, actions);
                continue;
            }
            if !self.can_dispatch(next.ticket, now) {
                deferred.push(next);
                continue;
            }
            self.send(next.ticket, now, actions);
        }
        deferred.into_iter().rev().for_each(|waiter| self.queue.push_front(waiter));
        if let Some(limit) = limit {
            self.note_limit(pool, limit, now);
        }
        if self.queue.waiting_for(pool) > 0 {
            self.reject_while_closed(pool, now, actions);
            self.reject_without_progress(pool, now, actions);
        }
        if self.queue.waiting_for(pool) > 0 && self.servers.usable(pool).next().is_none() {
            self.reject_all_waiting(pool, Reason::NoBackend, now, actions);
        }
    }

    /// Returns a request as it waits in the queue.
    pub(super) fn waiter(
        &self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        since: clock::Instant,
    ) -> admission::Waiter {
        let latest = arrival.begin_by.map(|by| self.queue.latest_dispatch(arrival.pool, by));
        admission::Waiter {
            ticket,
            pool: arrival.pool,
            team: arrival.team,
            precedence: arrival.precedence,
            deadline: arrival.deadline,
            expires: latest.map_or(arrival.expires, |latest| latest.min(arrival.expires)),
            since,
        }
    }
}
