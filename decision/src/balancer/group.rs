//! What the balancer knows of groups whose backend servers run in lock-step.
//!
//! A pool may have several groups. The ranks of one serve all together or not
//! at all, which is believed of it by [`outage`], and every stream makes all others of the
//! group slower, which its bound by pace keeps. A group that takes nothing is
//! passed over for another one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::balancer::{Action, Arrival, Balancer, Note, Share};
use crate::routing::{policy, server};
use crate::{clock, entity, outage, pace, pass};

/// What is kept of a group.
#[derive(Debug, Clone, Default)]
pub(super) struct Group {
    pub(super) outage: outage::Outage,
    pub(super) pace: pace::Pace,
    /// Own requests in flight.
    pub(super) in_flight: u32,
    /// When its bound was last noted.
    noted: clock::Instant,
}

/// Time beyond its expected return that a group is waited for, by callers that
/// stay for two seconds without an event at the least.
const HOLD_SLACK: Duration = Duration::from_millis(500);
/// Least time between two notes of a group's bound.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

impl Group {
    /// A request was sent to one of its ranks.
    pub(super) fn enter(&mut self, now: clock::Instant) {
        self.outage.sent(now);
        self.pace.sent(self.in_flight, now);
        self.in_flight += 1;
    }

    /// Whether it serves nothing at present, as far as is known: it is broken or
    /// out of reach and no probe is due, or it stands still.
    fn down(&self, now: clock::Instant) -> bool {
        !self.outage.admits(now) || self.pace.stalled(self.in_flight, now)
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

    /// Sets how long the pool's groups take to form.
    pub fn set_form_time(&mut self, pool: entity::Pool, time: Duration) {
        self.forms.insert(pool, time);
    }

    /// How long it takes until a group of the pool is expected to serve again.
    pub(super) fn expected(&self, pool: entity::Pool, now: clock::Instant) -> Option<Duration> {
        let form = *self.forms.get(&pool)?;
        let groups = self.servers.usable(pool).filter_map(|(_, record)| record.listing.group);
        groups.filter_map(|group| self.groups[group].outage.expected(form, now)).min()
    }

    /// Until when a request may wait for a group that is about to serve again;
    /// none where it would be in vain. A caller that has come back once is not
    /// refused a second time, a moment before it could be served.
    pub(super) fn held_until(
        &self,
        arrival: &Arrival,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        let back = now + self.expected(arrival.pool, now)?;
        let served = back + self.queue.service(arrival.pool);
        (served < arrival.deadline).then(|| back + HOLD_SLACK)
    }

    /// Sets this gateway's place among those that share the backend servers.
    pub fn set_share_of_servers(&mut self, share: Share) {
        self.share = share;
        for group in self.groups.values_mut() {
            group.outage.share(share.of);
        }
    }

    /// An answer told how many requests its backend server runs and keeps waiting.
    pub fn report_load(&mut self, server: entity::Server, requests: u32) {
        if let Some(group) = self.servers[server].listing.group {
            self.groups[group].pace.report(requests);
        }
    }

    /// An event of a request's stream came after a pause; events are wanted
    /// within `wanted`. The first event of a stream has no pause.
    pub fn stream_event(
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
        // Ranks of a drained zone take part in each pass.
        let members = self.servers.iter().map(|(_, record)| record);
        let of_group = |record: &&server::Record| {
            record.listing.pool == pool && record.listing.group == Some(id)
        };
        let members = members.filter(|record| record.present()).filter(of_group);
        let (ranks, slots) = members.fold((0, 0), |(ranks, slots): (u32, u32), record| {
            (ranks + 1, slots.max(record.report.slots))
        });
        pace::View {
            ranks,
            slots,
            in_flight: self.groups[id].in_flight,
            gateways: self.share.of,
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

    /// A rank of the group answered a request that was sent then.
    pub(super) fn group_answers(
        &mut self,
        group: Option<entity::Group>,
        sent: Option<clock::Instant>,
        now: clock::Instant,
    ) {
        let (Some(group), Some(sent)) = (group, sent) else { return };
        let change = self.groups[group].outage.answered(sent, now);
        self.believe(group, change, now);
    }

    /// A rank told that its group is broken, to a request that was sent then.
    pub(super) fn group_refuses(
        &mut self,
        group: Option<entity::Group>,
        sent: Option<clock::Instant>,
        now: clock::Instant,
    ) {
        let (Some(group), Some(sent)) = (group, sent) else { return };
        let change = self.groups[group].outage.refused(sent, now);
        self.believe(group, change, now);
    }

    /// No connection to a rank of the group came about.
    pub(super) fn group_unreached(&mut self, server: entity::Server, now: clock::Instant) {
        let Some(group) = self.servers[server].listing.group else { return };
        let change = self.groups[group].outage.unreached(server, now);
        self.believe(group, change, now);
    }

    /// A connection to a rank of a group that was out of reach came about.
    pub fn group_reached(&mut self, group: entity::Group, now: clock::Instant) -> Vec<Action> {
        let change = self.groups[group].outage.reached(now);
        self.believe(group, change, now);
        self.pump_all(now)
    }

    /// Takes what the entries of the ranks tell.
    pub(super) fn hear(&mut self, now: clock::Instant) {
        let mut told: BTreeMap<entity::Group, outage::News> = BTreeMap::new();
        for (_, record) in self.servers.iter().filter(|(_, record)| record.listed) {
            let (Some(group), Some(news)) = (record.listing.group, record.listing.news) else {
                continue;
            };
            told.entry(group).and_modify(|before| *before = before.with(news)).or_insert(news);
        }
        for (group, news) in told {
            self.groups[group].outage.share(self.share.of);
            let change = self.groups[group].outage.hear(news, now);
            self.believe(group, change, now);
        }
    }

    /// Groups that are out of reach, each with its ranks.
    pub fn unreachable_groups(&self) -> Vec<(entity::Group, Vec<entity::Server>)> {
        let unreached = |group: &entity::Group| {
            self.groups[*group].outage.ground() == Some(outage::Ground::Unreached)
        };
        let ranks = |group: entity::Group| {
            let of_group = self
                .servers
                .iter()
                .filter(|(_, record)| record.listing.group == Some(group) && record.usable());
            of_group.map(|(server, _)| server).collect()
        };
        let groups = self.groups.keys().filter(unreached);
        groups.map(|group| (group, ranks(group))).collect()
    }

    /// Notes a change of what is believed of a group. Ranks that were taken out
    /// while it was away are back with it.
    fn believe(
        &mut self,
        group: entity::Group,
        change: Option<outage::Change>,
        now: clock::Instant,
    ) {
        let note = match change {
            None => return,
            Some(outage::Change::Down(ground)) => Note::GroupDown(group, ground),
            Some(outage::Change::Up(time)) => {
                self.servers.restore(group, now);
                Note::GroupUp(group, time)
            }
        };
        self.notes.push(note);
    }

    /// Whether all groups that serve a pool are known to serve nothing.
    pub(super) fn all_down(&self, pool: entity::Pool, now: clock::Instant) -> bool {
        let groups = self.servers.usable(pool).map(|(_, record)| record.listing.group);
        let mut groups = groups.peekable();
        // A pool without servers has no group either.
        groups.peek().is_some()
            && groups.all(|group| group.is_some_and(|group| self.groups[group].down(now)))
    }

    /// Whether a backend server can take one more request, and its group too.
    pub(super) fn takes(&self, record: &server::Record, now: clock::Instant) -> bool {
        let group = record.listing.group;
        record.open(now) && group.is_none_or(|group| self.groups[group].takes(now))
    }
}
