//! What backend servers say of their own near future, and what follows from it.
//!
//! Every way to a backend server passes [`server::Record::open`], which asks
//! its [`notice::Standing`]; [`Balancer::wants`] asks it once more in the last
//! step before anything is sent.

use std::time::Duration;

use crate::balancer::{Action, Balancer, Note, Outcome, Place, Reason};
use crate::routing::{notice, policy, server};
use crate::{admission, clock, entity};

/// Backend servers that a decision names as passed over, at the most: enough for
/// whoever reads the line to find their own lines.
const NAMED: usize = 4;

impl<P: policy::Policy> Balancer<P> {
    /// An answer of a backend server said something of its own near future.
    pub fn notice(
        &mut self,
        server: entity::Server,
        notice: &notice::Notice,
        now: clock::Instant,
    ) -> (Option<notice::Change>, Vec<Action>) {
        // One that ended unseen is not the same as the one that may begin now.
        self.note_rested(now);
        let change = self.servers[server].apply_notice(notice, now);
        let mut actions = Vec::new();
        self.tell_later_run(server, now);
        if change.is_some() {
            self.noticed.insert(server);
            self.pump(self.servers[server].listing.pool, now, &mut actions);
        }
        (change, actions)
    }

    /// Applies what an answer said to the next run as well, where one has started
    /// meanwhile: it may have given the answer.
    pub(super) fn tell_later_run(&mut self, server: entity::Server, now: clock::Instant) {
        let newest = self.servers.find(&self.servers[server].listing.host);
        let Some(newest) = newest.filter(|newest| *newest != server) else { return };
        let unsettled = self.servers.inherit(newest, server, now);
        self.note_inherited(newest, unsettled, now);
    }

    /// Notes what a run has taken over from an earlier one.
    pub(super) fn note_inherited(
        &mut self,
        server: entity::Server,
        unsettled: bool,
        now: clock::Instant,
    ) {
        if said_something(&self.servers[server], now) {
            self.noticed.insert(server);
        }
        if unsettled {
            self.notes.push(Note::Unsettled(server));
        }
    }

    /// Listed backend servers of which it is uncertain whether they leave.
    pub fn unsettled(&self) -> impl Iterator<Item = entity::Server> {
        self.noticed.iter().copied().filter(|server| {
            let record = &self.servers[*server];
            record.listed && record.standing.unsettled()
        })
    }

    /// A backend server was found to leave, or not to.
    pub fn settle(
        &mut self,
        server: entity::Server,
        leaving: bool,
        now: clock::Instant,
    ) -> Vec<Action> {
        self.servers[server].standing.settle(leaving);
        let mut actions = Vec::new();
        self.pump(self.servers[server].listing.pool, now, &mut actions);
        actions
    }

    /// Whether a backend server that was chosen then may still get what is to be sent
    /// now. What was chosen before it asked for rest, named a rate limit, left the
    /// list or started again, or before its zone was drained, and waited for a
    /// connection meanwhile, would reach it after that.
    pub fn wants(
        &self,
        server: entity::Server,
        chosen: clock::Instant,
        now: clock::Instant,
    ) -> bool {
        let record = &self.servers[server];
        let counted = record.quota.is_none_or(|quota| chosen >= quota.since());
        record.usable() && !record.standing.rests(now) && counted
    }

    /// Backend servers that rest, and listed ones that have told that they leave.
    pub fn noticed(&self, now: clock::Instant) -> (usize, usize) {
        let records = || self.noticed.iter().map(|server| &self.servers[*server]);
        let resting = records().filter(|record| record.standing.rests(now)).count();
        let leaving = records().filter(|record| record.listed && record.standing.leaving()).count();
        (resting, leaving)
    }

    /// Those of a pool that were left out of a choice for what they said.
    pub(super) fn passed_over(
        &self,
        pool: entity::Pool,
        now: clock::Instant,
    ) -> Vec<entity::Server> {
        let left_out = |record: &server::Record| {
            let said = record.standing.leaving() || record.closed_until(now).is_some();
            record.listing.pool == pool && record.listed && said
        };
        let noticed = self.noticed.iter().copied();
        noticed.filter(|server| left_out(&self.servers[*server])).take(NAMED).collect()
    }

    /// When the first backend server of a pool takes requests again, where all
    /// that could serve it rest or have had what their rate limits allow.
    pub(super) fn closed_until(
        &self,
        pool: entity::Pool,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        if self.noticed.is_empty() {
            return None;
        }
        let mut first = None;
        for (_, record) in self.servers.usable(pool) {
            let until = record.closed_until(now)?;
            first = Some(first.map_or(until, |first: clock::Instant| first.min(until)));
        }
        first
    }

    /// Refuses those who could not be sent in time even when the first backend
    /// server takes requests again, where all are closed by their own word: they
    /// learn at once when to come back, and no queue builds up that falls over the
    /// first one.
    pub(super) fn refuse_closed(
        &mut self,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(until) = self.closed_until(pool, now) else { return };
        let limits = self.limits_of(pool);
        let spacing = limits.map_or(Duration::ZERO, |limits| limits.spacing);
        for late in self.queue.sweep_for(pool, until, spacing) {
            let reason = match limits {
                Some(limits) => Reason::Limited(self.queue.book(pool, limits.share, now)),
                None => Reason::Resting(until.since(now)),
            };
            self.give_up(late.ticket, Outcome::NotRun, reason, actions);
        }
    }

    /// Lets a request wait again that was not sent, since the backend server that
    /// was chosen wants nothing any more: as if it had not been chosen.
    pub(super) fn take_back(
        &mut self,
        ticket: entity::Ticket,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.attempts -= 1;
        pending.tried.pop();
        pending.place = Place::Waiting;
        pending.sent = None;
        pending.group = None;
        if pending.attempts == 0 {
            self.tally.first -= 1;
            self.budget.take_back();
        } else {
            self.tally.again -= 1;
        }
        let (arrival, since) = (pending.arrival, pending.since);
        if arrival.deadline <= now {
            let reason = Reason::Admission(admission::Refusal::Deadline);
            return self.give_up(ticket, Outcome::NotRun, reason, actions);
        }
        let waiter = self.waiter(ticket, &arrival, since);
        self.queue.push_front(waiter);
    }

    /// Notes rests that have ended since the last look.
    pub(super) fn note_rested(&mut self, now: clock::Instant) {
        let servers = &mut self.servers;
        let notes = &mut self.notes;
        self.noticed.retain(|server| {
            let standing = &mut servers[*server].standing;
            if let Some(time) = standing.end_rest(now) {
                notes.push(Note::Rested(*server, time));
            }
            said_something(&servers[*server], now)
        });
    }
}

/// Whether something that a backend server said of itself is in force.
fn said_something(record: &server::Record, now: clock::Instant) -> bool {
    let standing = &record.standing;
    standing.rests(now) || standing.leaving() || record.quota.is_some()
}
