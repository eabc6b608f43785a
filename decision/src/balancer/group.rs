//! What the balancer knows of pools whose backend servers run in lock-step.
//!
//! They serve all together or not at all, which the breaker keeps, and every
//! stream makes all others slower, which the bound by pace keeps.

use crate::balancer::{Action, Balancer, Note, Outcome, Reason};
use crate::routing::policy;
use crate::{breaker, clock, entity, pace};

/// What is kept of a pool whose backend servers run in lock-step.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) breaker: breaker::Breaker,
    pub(super) pace: pace::Pace,
}

impl<P: policy::Policy> Balancer<P> {
    /// Tells that the backend servers of a pool run in lock-step.
    pub fn set_lockstep(&mut self, pool: entity::Pool) {
        self.groups.entry(pool).or_default();
    }

    /// What has changed since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// An event of a request's stream came after a pause, which is given
    /// relative to the longest wanted one.
    pub fn event(
        &mut self,
        ticket: entity::Ticket,
        pause: f64,
        now: clock::Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(pending) = self.pending.get(&ticket) else { return actions };
        let pool = pending.arrival.pool;
        let in_flight = self.in_flight(pool);
        let slots: u32 = self.servers.usable(pool).map(|(_, record)| record.report.slots).sum();
        let Some(group) = self.groups.get_mut(&pool) else { return actions };
        group.pace.event(pause, in_flight, f64::from(slots), now);
        self.pump(pool, now, &mut actions);
        actions
    }

    /// Own requests in flight to a pool.
    pub(super) fn in_flight(&self, pool: entity::Pool) -> u32 {
        let members = self.servers.iter().filter(|(_, record)| record.listing.pool == pool);
        members.map(|(_, record)| record.in_flight).sum()
    }

    /// A rank of the pool's group answered.
    pub(super) fn group_answers(&mut self, pool: entity::Pool, now: clock::Instant) {
        let Some(group) = self.groups.get_mut(&pool) else { return };
        if let Some(time) = group.breaker.answered(now) {
            self.notes.push(Note::GroupUp(pool, time));
        }
    }

    /// A rank told that the pool's group is broken: whoever waits for it is
    /// told when to come back.
    pub(super) fn group_refuses(
        &mut self,
        pool: entity::Pool,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get_mut(&pool) else { return };
        if group.breaker.refused(now) {
            self.notes.push(Note::GroupDown(pool));
        }
        while let Some(next) = self.queue.pop(pool) {
            self.give_up(next.ticket, Outcome::NotRun, Reason::GroupDown, actions);
        }
    }

    /// Whether the group that serves the pool, if it is one, can take one more.
    pub(super) fn has_room(&self, pool: entity::Pool, now: clock::Instant) -> bool {
        let Some(group) = self.groups.get(&pool) else { return true };
        let in_flight = self.in_flight(pool);
        in_flight < group.pace.bound() && !group.pace.stalled(in_flight, now)
    }
}
