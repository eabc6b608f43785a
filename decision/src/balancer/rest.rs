//! Notices of backend servers that they need a rest or are about to leave.
//!
//! A *rest* is a period in which a backend server has asked for no requests. Every
//! dispatch to a backend server is checked by [`server::Record::open`], which asks its
//! [`notice::Standing`]. [`Balancer::still_accepts`] repeats the check in the last step
//! before anything is sent.

use std::time::Duration;

use crate::balancer::{Action, Balancer, Note, Outcome, Reason, State};
use crate::routing::{notice, policy, server};
use crate::{admission, clock, entity};

/// Maximum number of excluded backend servers that a dispatch lists. These are enough for
/// a reader of the log to find the log lines of the servers themselves.
const MAX_PASSED_OVER: usize = 4;

impl<P: policy::Policy> Balancer<P> {
    /// Applies the notice in an answer of a backend server.
    pub fn apply_notice(
        &mut self,
        server: entity::Server,
        notice: &notice::Notice,
        now: clock::Instant,
    ) -> (Option<notice::Change>, Vec<Action>) {
        // A rest that has ended unnoticed is distinct from one that may begin now.
        self.note_rested(now);
        let mut actions = Vec::new();
        let Some(record) = self.servers.get_mut(server) else { return (None, actions) };
        let change = record.apply_notice(notice, now);
        self.apply_to_newest_run(server, now);
        if change.is_some() {
            self.noticed.insert(server);
            self.dispatch_waiting(self.servers[server].listing.pool, now, &mut actions);
        }
        (change, actions)
    }

    /// Applies the notices of a run to the newest run of the same server too if another run
    /// has started since. The newest run may have sent the answer.
    pub(super) fn apply_to_newest_run(&mut self, server: entity::Server, now: clock::Instant) {
        let newest = self.servers.find(&self.servers[server].listing.host);
        let Some(newest) = newest.filter(|newest| *newest != server) else { return };
        let unsettled = self.servers.inherit(newest, server, now);
        self.note_inherited(newest, unsettled, now);
    }

    /// Records that a run has inherited notices from an earlier one, or is listed again.
    pub(super) fn note_inherited(
        &mut self,
        server: entity::Server,
        unsettled: bool,
        now: clock::Instant,
    ) {
        if has_notice(&self.servers[server], now) {
            self.noticed.insert(server);
        }
        if unsettled {
            self.notes.push(Note::Unsettled(server));
        }
    }

    /// Returns the listed backend servers of which it is uncertain whether they leave.
    pub fn unsettled(&self) -> impl Iterator<Item = entity::Server> {
        self.noticed.iter().copied().filter(|server| {
            let record = &self.servers[*server];
            record.listed && record.standing.unsettled()
        })
    }

    /// Settles whether a backend server leaves.
    pub fn settle(
        &mut self,
        server: entity::Server,
        leaving: bool,
        now: clock::Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(record) = self.servers.get_mut(server) else { return actions };
        record.standing.settle(leaving);
        self.dispatch_waiting(self.servers[server].listing.pool, now, &mut actions);
        actions
    }

    /// Returns whether a request may still be sent to the backend server that was selected
    /// for it at `chosen`.
    ///
    /// The request may have waited for a connection since then. In the meantime, the
    /// server may have asked for rest, reported a rate limit, left the list or restarted,
    /// or its zone may have been drained.
    pub fn still_accepts(
        &self,
        server: entity::Server,
        chosen: clock::Instant,
        now: clock::Instant,
    ) -> bool {
        let record = &self.servers[server];
        let counted = record.quota.is_none_or(|quota| chosen >= quota.since());
        record.usable() && !record.standing.rests(now) && counted
    }

    /// Returns the number of backend servers that rest, and of listed ones that have
    /// announced that they leave.
    pub fn resting_and_leaving(&self, now: clock::Instant) -> (usize, usize) {
        let records = || self.noticed.iter().map(|server| &self.servers[*server]);
        let resting = records().filter(|record| record.standing.rests(now)).count();
        let leaving = records().filter(|record| record.listed && record.standing.leaving()).count();
        (resting, leaving)
    }

    /// Returns some backend servers of a pool that are excluded from selection because they
    /// rest, leave or have used up a rate limit.
    pub(super) fn passed_over(
        &self,
        pool: entity::Pool,
        now: clock::Instant,
    ) -> Vec<entity::Server> {
        let excluded = |record: &server::Record| {
            let closed = record.standing.leaving() || record.closed_until(now).is_some();
            record.listing.pool == pool && record.listed && closed
        };
        let noticed = self.noticed.iter().copied();
        noticed.filter(|server| excluded(&self.servers[*server])).take(MAX_PASSED_OVER).collect()
    }

    /// Returns the time at which the first backend server of a pool accepts requests again,
    /// if all usable ones rest or have used up their rate limits.
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

    /// Rejects the waiting requests of a pool that could not be dispatched in time once the
    /// first backend server accepts requests again, if all of them rest or have used up
    /// their rate limits.
    ///
    /// Clients learn immediately when to retry, and no queue builds up that would overload
    /// the first server to return.
    pub(super) fn reject_while_closed(
        &mut self,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(until) = self.closed_until(pool, now) else { return };
        let limits = self.limits_of(pool);
        let spacing = limits.map_or(Duration::ZERO, |limits| limits.spacing);
        for late in self.queue.remove_late(pool, until, spacing) {
            let reason = match limits {
                Some(limits) => {
                    Reason::Limited(self.queue.reserve_return(pool, limits.even_spacing, now))
                }
                None => Reason::Resting(until.since(now)),
            };
            self.reject_pending(late.ticket, Outcome::NotRun, reason, now, actions);
        }
    }

    /// Puts a request back into the queue that was not sent because the selected backend
    /// server accepts no requests any more. Undoes the effects of the selection.
    pub(super) fn undo_dispatch(
        &mut self,
        ticket: entity::Ticket,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.attempts -= 1;
        pending.tried.pop();
        pending.state = State::Waiting;
        pending.sent = None;
        pending.group = None;
        let (arrival, since) = (pending.arrival, pending.since);
        if pending.charged {
            self.retries.budget(arrival.pool).hold();
        }
        if pending.attempts == 0 {
            self.tally.first_attempts -= 1;
        } else {
            self.tally.retries -= 1;
        }
        if arrival.deadline <= now {
            let reason = Reason::Admission(admission::Refusal::Deadline);
            return self.reject_pending(ticket, Outcome::NotRun, reason, now, actions);
        }
        let waiter = self.waiter(ticket, &arrival, since);
        self.queue.push_front(waiter);
    }

    /// Notes the rests that have ended since the last call.
    pub(super) fn note_rested(&mut self, now: clock::Instant) {
        let servers = &mut self.servers;
        let notes = &mut self.notes;
        self.noticed.retain(|server| {
            let Some(record) = servers.get_mut(*server) else { return false };
            if let Some(time) = record.standing.end_rest(now) {
                notes.push(Note::Rested(*server, time));
            }
            has_notice(record, now)
        });
    }
}

/// Returns whether a notice or rate limit of a backend server is in force. Those without an end
/// count only while the server is listed.
fn has_notice(record: &server::Record, now: clock::Instant) -> bool {
    let standing = &record.standing;
    standing.rests(now) || record.listed && (standing.leaving() || record.quota.is_some())
}
