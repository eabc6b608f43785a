//! Retries after failed attempts, and rejections of requests.

use std::time::Duration;

use crate::balancer::{Action, Arrival, Balancer, NO_BACKEND_RETRY, Outcome, Pending, State};
use crate::balancer::{Reason, Refusal};
use crate::routing::policy;
use crate::{admission, clock, entity, retry};

/// Clients wait for at most this part of their remaining time before they retry, so that a longer
/// delay would have no effect.
const CLIENT_WAIT_PART: u32 = 3;
/// Part of the longest useful delay that the least urgent clients wait at least. They get what
/// new requests leave, which is most when a shortage has passed, and nothing is gained by an early
/// second rejection.
const LEAST_URGENT_WAIT: f64 = 0.75;

impl<P: policy::Policy> Balancer<P> {
    /// Puts a request that found no slot back into the queue. It never ran, so it does not
    /// count as a failed attempt. The retry budget is charged only if
    /// [`Options::charge_full`](crate::balancer::Options::charge_full) is set. Instead, the
    /// backend server gets no requests for a short time.
    pub(super) fn requeue(
        &mut self,
        ticket: entity::Ticket,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&ticket) else { return };
        if pending.arrival.deadline <= now {
            let reason = Reason::Admission(admission::Refusal::Deadline);
            return self.reject_pending(ticket, Outcome::NotRun, reason, now, actions);
        }
        let pool = pending.arrival.pool;
        if self.charge_full && !self.charge_retry(pool, now) {
            return self.reject_pending(ticket, Outcome::NotRun, Reason::Budget, now, actions);
        }
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.state = State::Waiting;
        pending.charged = self.charge_full;
        pending.tried.clear();
        let (arrival, since) = (pending.arrival, pending.since);
        let waiter = self.waiter(ticket, &arrival, since);
        self.queue.push_front(waiter);
    }

    /// Retries a request that did not run because a server or its group is unavailable.
    /// Rejects it if all groups of the pool are unavailable, and then also all waiting
    /// requests of the pool if no recovery is expected.
    pub(super) fn retry_after_outage(
        &mut self,
        ticket: entity::Ticket,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.all_unavailable(pool, now) {
            let reason = self.outage_reason(pool, now);
            self.reject_pending(ticket, Outcome::NotRun, reason, now, actions);
            if self.expected_recovery(pool, now).is_none() {
                self.reject_all_waiting(pool, reason, now, actions);
            }
        } else {
            self.retry_or_reject(ticket, retry::Execution::NeverRan, false, now, actions);
        }
    }

    /// Puts a failed request back into the queue if a retry is safe and within its limits,
    /// and rejects it otherwise.
    pub(super) fn retry_or_reject(
        &mut self,
        ticket: entity::Ticket,
        execution: retry::Execution,
        answer_begun: bool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.failures += 1;
        pending.runs += u32::from(execution != retry::Execution::NeverRan);
        let failure = retry::Failure {
            execution,
            repeatable: pending.arrival.repeatable,
            answer_begun,
            resumable: pending.arrival.resumable,
            runs: pending.runs,
            max_runs: pending.arrival.max_attempts,
            failures: pending.failures,
        };
        let (outcome, arrival, since) = (outcome(pending.runs), pending.arrival, pending.since);
        let reason = if execution == retry::Execution::ServerEnded {
            Reason::ServerEnded
        } else if !retry::is_safe(&failure) {
            Reason::Attempts
        } else if arrival.deadline <= now {
            Reason::Admission(admission::Refusal::Deadline)
        } else if !self.charge_retry(arrival.pool, now) {
            Reason::Budget
        } else {
            let Some(pending) = self.pending.get_mut(&ticket) else { return };
            pending.state = State::Waiting;
            pending.charged = true;
            let waiter = self.waiter(ticket, &arrival, since);
            self.queue.push_front(waiter);
            return;
        };
        self.reject_pending(ticket, outcome, reason, now, actions);
    }

    /// Removes a pending request and rejects it.
    pub(super) fn reject_pending(
        &mut self,
        ticket: entity::Ticket,
        outcome: Outcome,
        reason: Reason,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.finish(ticket) else { return };
        // An earlier attempt may have run even if the last one did not.
        let outcome = outcome.max(self::outcome(pending.runs));
        self.reject(ticket, &pending.arrival, outcome, reason, now, actions);
    }

    /// Rejects a request that has not become pending.
    pub(super) fn reject_new(
        &mut self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        reason: Reason,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        self.reject(ticket, arrival, Outcome::NotRun, reason, now, actions);
    }

    fn reject(
        &mut self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        outcome: Outcome,
        reason: Reason,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = self.retry_after(arrival, reason, now);
        match outcome {
            Outcome::NotRun => self.tally.not_run += 1,
            Outcome::Unknown => self.tally.unknown += 1,
        }
        let short = reason == Reason::Shortage;
        let capacity = if short { self.capacity(arrival.pool, now) } else { None };
        actions.push(Action::Refuse(Refusal { ticket, outcome, reason, retry_after, capacity }));
    }

    /// Returns the time after which the client of a rejected request should retry.
    fn retry_after(&mut self, arrival: &Arrival, reason: Reason, now: clock::Instant) -> Duration {
        let pool = arrival.pool;
        let back = match reason {
            Reason::NoBackend => return NO_BACKEND_RETRY,
            Reason::Resting(time) => return self.queue.retry_after(pool, time),
            Reason::Limited(time) => return time,
            Reason::Stalled => self.stall_remaining(pool, now).unwrap_or_default(),
            Reason::Broken | Reason::Unreached => self
                .expected_recovery(pool, now)
                .or_else(|| self.outage_remaining(pool, now))
                .unwrap_or(self.group_retry_after),
            Reason::Shortage => self.queue.expected_wait(pool, arrival.precedence),
            _ => return self.queue.retry_after(pool, Duration::ZERO),
        };
        let latest = arrival.deadline.since(now) / CLIENT_WAIT_PART;
        let earliest = if self.queue.has_less_urgent(pool, arrival.precedence) {
            back
        } else {
            let streams_end = back + self.queue.mean_service_time(pool);
            streams_end.max(latest.mul_f64(LEAST_URGENT_WAIT))
        };
        let slot = self.queue.reserve_slot(pool, arrival.precedence, (earliest, latest), now);
        match reason {
            // A client that returns before the group is back is rejected again.
            Reason::Broken | Reason::Unreached => slot.max(back),
            _ => slot,
        }
    }

    /// Removes a pending request and releases its place in the limit of its team.
    pub(super) fn finish(&mut self, ticket: entity::Ticket) -> Option<Pending> {
        let pending = self.pending.remove(&ticket)?;
        self.queue.release(pending.arrival.team);
        if pending.charged && pending.state == State::Waiting {
            self.retries.budget(pending.arrival.pool).release();
        }
        Some(pending)
    }
}

/// Returns the outcome of a request of which `runs` attempts may have run.
fn outcome(runs: u32) -> Outcome {
    if runs == 0 { Outcome::NotRun } else { Outcome::Unknown }
}
