//! Requests that can no longer wait, above all while no group of their pool makes progress.
//!
//! A request waits only if its group is expected back in time. New requests and those that wait
//! already are judged alike, the latter as soon as their groups are found unavailable and again
//! with each event and tick, because a stall may last longer than expected. Only waiting requests
//! are rejected, so that "not run" stays true.

use std::time::Duration;

use crate::balancer::{Action, Arrival, Balancer, Outcome, Pending, Reason, State};
use crate::routing::policy;
use crate::{admission, clock, entity};

impl<P: policy::Policy> Balancer<P> {
    /// Returns the reason for rejecting a request of a pool whose groups are unavailable.
    pub(super) fn outage_reason(&self, pool: entity::Pool, now: clock::Instant) -> Reason {
        self.ground(pool, now).unwrap_or(Reason::Broken)
    }

    /// Returns the reason for rejecting a request that waited for as long as it could.
    pub(super) fn late_reason(&self, arrival: &Arrival, now: clock::Instant) -> Reason {
        let service = self.queue.mean_service_time(arrival.pool);
        match self.ground(arrival.pool, now) {
            Some(ground) => ground,
            // The answer could be complete in time but not begin in time.
            None if arrival.begin_by.is_some() && now + service < arrival.deadline => {
                Reason::Shortage
            }
            None => Reason::Admission(admission::Refusal::Deadline),
        }
    }

    /// Returns the request as it waits for a group that is expected back in time.
    ///
    /// # Errors
    ///
    /// The reason for rejecting it if no group is expected back in time.
    pub(super) fn wait_for_group(
        &self,
        arrival: &Arrival,
        now: clock::Instant,
    ) -> Result<Arrival, Reason> {
        match self.outage_reason(arrival.pool, now) {
            Reason::Stalled if self.stall_ends_in_time(arrival, now) => Ok(*arrival),
            Reason::Stalled => Err(Reason::Stalled),
            ground => {
                let until = self.wait_limit(arrival, now).ok_or(ground)?;
                // The answer begins late in any case.
                let expires = arrival.expires.min(until);
                Ok(Arrival { begin_by: None, expires, ..*arrival })
            }
        }
    }

    /// Returns whether a stall of the request's groups is expected to end before the request is
    /// late to begin.
    fn stall_ends_in_time(&self, arrival: &Arrival, now: clock::Instant) -> bool {
        let Some(remaining) = self.stall_remaining(arrival.pool, now) else { return true };
        let back = now + remaining;
        let begin = arrival.begin_by.map(|by| self.queue.latest_dispatch(arrival.pool, by));
        let answered = back + self.queue.mean_service_time(arrival.pool);
        back <= begin.unwrap_or(arrival.expires).min(arrival.expires) && answered < arrival.deadline
    }

    /// Returns how much longer the shortest stall of a pool's groups is expected to last.
    pub(super) fn stall_remaining(
        &self,
        pool: entity::Pool,
        now: clock::Instant,
    ) -> Option<Duration> {
        let groups = self.servers.usable(pool).filter_map(|(_, record)| record.listing.group);
        let groups = groups.map(|group| &self.groups[group]);
        let stalled = groups.filter(|group| group.ground(now) == Some(Reason::Stalled));
        stalled.map(|group| group.stall.expected_remaining(now)).min()
    }

    /// Returns how much longer the shortest outage of a pool's groups is expected to last, by
    /// earlier outages.
    pub(super) fn outage_remaining(
        &self,
        pool: entity::Pool,
        now: clock::Instant,
    ) -> Option<Duration> {
        let groups = self.servers.usable(pool).filter_map(|(_, record)| record.listing.group);
        groups.filter_map(|group| self.groups[group].outage.expected_remaining(now)).min()
    }

    /// Rejects a new request immediately if it was not dispatched and may not wait.
    pub(super) fn reject_expired(
        &mut self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.pending.get(&ticket).filter(|p| p.state == State::Waiting);
        let waits = pending.is_some();
        let full = waits && arrival.suspect.is_none();
        let full = full || self.closed_until(arrival.pool, now).is_some();
        let waiter = self.waiter(ticket, pending.map_or(arrival, |p| &p.arrival), now);
        self.queue.set_full(arrival.pool, full, now);
        if waits && waiter.expires <= now && self.queue.remove(&waiter) {
            let reason = self.late_reason(arrival, now);
            self.reject_pending(ticket, Outcome::NotRun, reason, now, actions);
        }
    }

    /// Rejects all waiting requests of a pool that cannot serve them.
    pub(super) fn reject_all_waiting(
        &mut self,
        pool: entity::Pool,
        reason: Reason,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        while let Some(next) = self.queue.pop(pool) {
            self.reject_pending(next.ticket, Outcome::NotRun, reason, now, actions);
        }
    }

    /// Rejects the waiting requests of a pool whose groups make no progress and are not expected
    /// back in time.
    pub(super) fn reject_without_progress(
        &mut self,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.ground(pool, now).is_none() {
            return;
        }
        let waits = |pending: &Pending| {
            pending.state == State::Waiting && pending.arrival.pool == pool && !pending.awaits_group
        };
        let waiting = self.pending.iter().filter(|(_, pending)| waits(pending));
        let waiting: Vec<entity::Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            let Some(pending) = self.pending.get(&ticket) else { continue };
            let before = pending.arrival;
            let waiter = self.waiter(ticket, &before, pending.since);
            match self.wait_for_group(&before, now) {
                Ok(arrival) if arrival == before => {}
                Ok(arrival) => {
                    self.queue.remove(&waiter);
                    let waiter = self.waiter(ticket, &arrival, waiter.since);
                    self.queue.push_front(waiter);
                    if let Some(pending) = self.pending.get_mut(&ticket) {
                        pending.arrival = arrival;
                        pending.awaits_group = true;
                    }
                }
                Err(reason) => {
                    self.queue.remove(&waiter);
                    self.reject_pending(ticket, Outcome::NotRun, reason, now, actions);
                }
            }
        }
    }
}
