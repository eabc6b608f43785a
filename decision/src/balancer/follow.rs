//! What follows an attempt that failed, and final answers without one.

use std::time::Duration;

use crate::balancer::{Action, Arrival, Balancer, NO_BACKEND_RETRY, Outcome, Pending, Place};
use crate::balancer::{Reason, Refusal};
use crate::routing::policy;
use crate::{admission, clock, entity, retry};

impl<P: policy::Policy> Balancer<P> {
    /// Lets a request wait again that found no slot. It never ran, so its
    /// attempts are not charged, and the budget only where the options say so:
    /// the backend server is shut for a while instead.
    pub(super) fn wait_again(
        &mut self,
        ticket: entity::Ticket,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        if pending.arrival.deadline <= now {
            let reason = Reason::Admission(admission::Refusal::Deadline);
            return self.give_up(ticket, Outcome::NotRun, reason, actions);
        }
        if self.charge_full && !self.budget.withdraw() {
            return self.give_up(ticket, Outcome::NotRun, Reason::Budget, actions);
        }
        pending.place = Place::Waiting;
        pending.tried.clear();
        let (arrival, since) = (pending.arrival, pending.since);
        let waiter = self.waiter(ticket, &arrival, since);
        self.queue.push_front(waiter);
    }

    /// Sends a request again that did not run for an outage, unless that leaves
    /// nobody who could serve its pool.
    pub(super) fn follow_never_ran(
        &mut self,
        ticket: entity::Ticket,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.all_down(pool, now) {
            self.give_up(ticket, Outcome::NotRun, Reason::GroupDown, actions);
            if self.expected(pool, now).is_none() {
                self.drain(pool, Reason::GroupDown, actions);
            }
        } else {
            self.follow(ticket, retry::Knowledge::NeverRan, false, now, actions);
        }
    }

    /// Sends a failed request again, or gives it up.
    pub(super) fn follow(
        &mut self,
        ticket: entity::Ticket,
        knowledge: retry::Knowledge,
        answer_begun: bool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.failures += 1;
        pending.runs += u32::from(knowledge != retry::Knowledge::NeverRan);
        let case = retry::Case {
            knowledge,
            repeatable: pending.arrival.repeatable,
            answer_begun,
            resumable: pending.arrival.resumable,
            runs: pending.runs,
            max_runs: pending.arrival.max_attempts,
            failures: pending.failures,
        };
        let outcome = outcome(pending.runs);
        let reason = if knowledge == retry::Knowledge::ServerEnded {
            Reason::ServerEnded
        } else if !retry::safe(&case) {
            Reason::Attempts
        } else if pending.arrival.deadline <= now {
            Reason::Admission(admission::Refusal::Deadline)
        } else if !self.budget.withdraw() {
            Reason::Budget
        } else {
            pending.place = Place::Waiting;
            let (arrival, since) = (pending.arrival, pending.since);
            let waiter = self.waiter(ticket, &arrival, since);
            self.queue.push_front(waiter);
            return;
        };
        self.give_up(ticket, outcome, reason, actions);
    }

    pub(super) fn give_up(
        &mut self,
        ticket: entity::Ticket,
        outcome: Outcome,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.finish(ticket) else { return };
        // An earlier attempt may have run, though the last one did not.
        let outcome = outcome.max(self::outcome(pending.runs));
        self.refuse(ticket, pending.arrival.pool, outcome, reason, actions);
    }

    pub(super) fn refuse_new(
        &mut self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        self.refuse(ticket, arrival.pool, Outcome::NotRun, reason, actions);
    }

    fn refuse(
        &mut self,
        ticket: entity::Ticket,
        pool: entity::Pool,
        outcome: Outcome,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = match reason {
            Reason::NoBackend => NO_BACKEND_RETRY,
            Reason::GroupDown => self.group_retry_after,
            Reason::Resting(time) => self.queue.retry_after(pool, time),
            Reason::Limited(time) => time,
            _ => self.queue.retry_after(pool, Duration::ZERO),
        };
        match outcome {
            Outcome::NotRun => self.tally.not_run += 1,
            Outcome::Unknown => self.tally.unknown += 1,
        }
        actions.push(Action::Refuse(Refusal { ticket, outcome, reason, retry_after }));
    }

    pub(super) fn finish(&mut self, ticket: entity::Ticket) -> Option<Pending> {
        let pending = self.pending.remove(&ticket)?;
        self.queue.release(pending.arrival.team);
        Some(pending)
    }
}

/// What may be told of a request of which so many attempts may have run.
fn outcome(runs: u32) -> Outcome {
    if runs == 0 { Outcome::NotRun } else { Outcome::Unknown }
}
