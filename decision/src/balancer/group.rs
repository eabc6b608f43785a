//! What the balancer knows of groups whose backend servers run in lock-step.
//!
//! A pool may have several groups. The ranks of one serve all together or not
//! at all, which its breaker keeps, and every stream makes all others of the
//! group slower, which its bound by pace keeps. A group that takes nothing is
//! passed over for another one.

use std::time::Duration;

use crate::balancer::{Action, Balancer, Note};
use crate::routing::{policy, server};
use crate::{breaker, clock, entity, pace, pass};

/// What is kept of a group.
#[derive(Debug, Clone, Default)]
pub(super) struct Group {
    pub(super) breaker: breaker::Breaker,
    pub(super) pace: pace::Pace,
    /// Own requests in flight.
    pub(super) in_flight: u32,
    /// When its bound was last noted.
    noted: clock::Instant,
}

/// Least time between two notes of a group's bound.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

impl Group {
    /// A request was sent to one of its ranks.
    pub(super) fn enter(&mut self, now: clock::Instant) {
        self.breaker.sent(now);
        self.pace.sent(self.in_flight, now);
        self.in_flight += 1;
    }

    /// Whether it serves nothing at present, as far as is known: it is broken
    /// and no probe is due, or it stands still.
    fn down(&self, now: clock::Instant) -> bool {
        !self.breaker.admits(now) || self.pace.stalled(self.in_flight, now)
    }

    /// Whether it can take one more request.
    fn takes(&self, now: clock::Instant) -> bool {
        !self.down(now) && self.in_flight < self.pace.bound()
    }
}

impl<P: policy::Policy> Balancer<P> {
    /// What has changed since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Sets what a pass of the pool's groups costs.
    pub fn set_cost(&mut self, pool: entity::Pool, cost: pass::Cost) {
        self.costs.insert(pool, cost);
    }

    /// Sets how many gateways share the backend servers, this one included.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// An answer told how many requests its backend server runs and keeps waiting.
    pub fn loaded(&mut self, server: entity::Server, requests: u32) {
        if let Some(group) = self.servers[server].listing.group {
            self.groups[group].pace.report(requests);
        }
    }

    /// An event of a request's stream came after a pause; events are wanted
    /// within `wanted`. The first event of a stream has no pause.
    pub fn event(
        &mut self,
        ticket: entity::Ticket,
        pause: Duration,
        wanted: Duration,
        now: clock::Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(pending) = self.pending.get(&ticket) else { return actions };
        let pool = pending.arrival.pool;
        let Some(id) = pending.group else { return actions };
        if self.groups[id].pace.event(pause, now) {
            let view = self.view(pool, id);
            let group = &mut self.groups[id];
            let ground = group.pace.settle(wanted, &view, now);
            let binds = ground.in_flight >= group.pace.bound();
            if binds && now.since(group.noted) >= NOTE_INTERVAL {
                group.noted = now;
                self.notes.push(Note::Bound(id, ground));
            }
            self.pump(pool, now, &mut actions);
        }
        actions
    }

    fn view(&self, pool: entity::Pool, id: entity::Group) -> pace::View {
        let members = self.servers.usable(pool).map(|(_, record)| record);
        let members = members.filter(|record| record.listing.group == Some(id));
        let (ranks, slots) = members.fold((0, 0), |(ranks, slots): (u32, u32), record| {
            (ranks + 1, slots.max(record.report.slots))
        });
        pace::View {
            ranks,
            slots,
            in_flight: self.groups[id].in_flight,
            gateways: self.gateways,
            cost: self.costs.get(&pool).copied().unwrap_or_default(),
        }
    }

    /// A request left a group.
    pub(super) fn leave_group(&mut self, group: Option<entity::Group>) {
        let Some(group) = group else { return };
        let group = &mut self.groups[group];
        debug_assert!(group.in_flight > 0, "the group has no request in flight");
        group.in_flight = group.in_flight.saturating_sub(1);
    }

    /// A rank of the group answered.
    pub(super) fn group_answers(&mut self, group: Option<entity::Group>, now: clock::Instant) {
        let Some(group) = group else { return };
        if let Some(time) = self.groups[group].breaker.answered(now) {
            self.notes.push(Note::GroupUp(group, time));
        }
    }

    /// A rank told that its group is broken.
    pub(super) fn group_refuses(&mut self, group: Option<entity::Group>, now: clock::Instant) {
        let Some(group) = group else { return };
        if self.groups[group].breaker.refused(now) {
            self.notes.push(Note::GroupDown(group));
        }
    }

    /// Whether all groups that serve a pool are known to serve nothing.
    pub(super) fn all_down(&self, pool: entity::Pool, now: clock::Instant) -> bool {
        let mut groups = self.servers.usable(pool).map(|(_, record)| record.listing.group);
        groups.all(|group| group.is_some_and(|group| self.groups[group].down(now)))
    }

    /// Whether a backend server can take one more request, and its group too.
    pub(super) fn takes(&self, record: &server::Record, now: clock::Instant) -> bool {
        let group = record.listing.group;
        record.open(now) && group.is_none_or(|group| self.groups[group].takes(now))
    }
}
