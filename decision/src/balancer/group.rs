//! Groups, whose backend servers run in lock-step.
//!
//! A pool may have several groups. The ranks of a group are available or unavailable
//! together; [`outage`] determines which, and [`stall`] whether their streams make progress. Each stream slows down all other streams of its
//! group, so [`pace`] bounds the number of streams. A group that accepts no request is
//! excluded, and another one is selected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::balancer::{Action, Arrival, Balancer, Capacity, End, Note, Reason, Share, speed};
use crate::routing::{policy, server};
use crate::{clock, entity, outage, pace, pass, shortage, stall};

/// The state of a group.
#[derive(Debug, Clone, Default)]
pub(super) struct Group {
    pub(super) outage: outage::Outage,
    pub(super) pace: pace::Pace,
    pub(super) stall: stall::Stall,
    /// Requests of this gateway in flight.
    pub(super) in_flight: u32,
    /// Those of them that have had an event.
    pub(super) begun: u32,
    pub(super) speeds: speed::Table,
    /// Credit for the fraction of a stream in the bound, at `advanced`.
    credit: shortage::Credit,
    advanced: clock::Instant,
    /// Mean duration of a stream.
    service: Duration,
    /// Time of the last [`Note::Bound`].
    noted: clock::Instant,
    /// Time of the last [`Note::Shortage`].
    shortage_noted: clock::Instant,
}

/// Time for which requests wait for a group beyond its expected recovery. Clients stay
/// connected without an event for at least two seconds.
const RECOVERY_SLACK: Duration = Duration::from_millis(500);
/// Minimum time between two [`Note::Bound`] and two [`Note::Shortage`] of a group.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

impl Group {
    /// Records that a request was dispatched to one of the ranks.
    pub(super) fn record_sent(&mut self, service: Duration, now: clock::Instant) {
        self.advance_credit(now);
        self.service = service;
        self.outage.record_dispatch(now);
        self.stall.record_dispatch(self.streams(), now);
        self.in_flight += 1;
    }

    fn streams(&self) -> stall::Streams {
        stall::Streams { in_flight: self.in_flight, begun: self.begun }
    }

    /// Returns whether the group is known to be unavailable and no probe is due.
    pub(super) fn unavailable(&self, now: clock::Instant) -> bool {
        !self.outage.admits(now) || !self.stall.admits(self.streams(), now)
    }

    /// Returns why the group is unavailable, if it is, regardless of probes.
    pub(super) fn ground(&self, now: clock::Instant) -> Option<Reason> {
        match self.outage.ground() {
            Some(outage::Ground::Refused | outage::Ground::Told) => Some(Reason::Broken),
            Some(outage::Ground::Unreached) => Some(Reason::Unreached),
            None => self.stall.is_stalled(self.streams(), now).then_some(Reason::Stalled),
        }
    }

    /// Returns whether the group can accept one more request.
    fn can_accept(&self, now: clock::Instant) -> bool {
        !self.unavailable(now) && self.credit_at(now).admits(self.pace.bound(), self.in_flight)
    }

    fn credit_at(&self, now: clock::Instant) -> shortage::Credit {
        let time = now.since(self.advanced).as_secs_f64();
        let cap = self.service.as_secs_f64();
        self.credit.after(self.pace.bound(), self.in_flight, time, cap)
    }

    /// Advances the credit. Precedes each change of the bound or of the streams in flight.
    fn advance_credit(&mut self, now: clock::Instant) {
        self.credit = self.credit_at(now);
        self.advanced = now;
    }
}

impl<P: policy::Policy> Balancer<P> {
    /// Removes and returns the notes since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Sets the cost of a pass of the pool's groups.
    pub fn set_cost(&mut self, pool: entity::Pool, cost: pass::Cost) {
        self.costs.insert(pool, cost);
    }

    /// Sets the time that the pool's groups take to form.
    pub fn set_form_time(&mut self, pool: entity::Pool, time: Duration) {
        self.form_times.insert(pool, time);
    }

    /// Returns the time until a group of the pool is expected to be available again.
    pub(super) fn expected_recovery(
        &self,
        pool: entity::Pool,
        now: clock::Instant,
    ) -> Option<Duration> {
        let form = *self.form_times.get(&pool)?;
        let groups = self.servers.usable(pool).filter_map(|(_, record)| record.listing.group);
        groups.filter_map(|group| self.groups[group].outage.expected_recovery(form, now)).min()
    }

    /// Returns the time until which a request may wait for a group that is about to be
    /// available again, or none if the request could not be answered by its deadline.
    ///
    /// Otherwise a client that has retried once could be rejected a second time, just
    /// before its request could be served.
    pub(super) fn wait_limit(
        &self,
        arrival: &Arrival,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        let back = now + self.expected_recovery(arrival.pool, now)?;
        let served = back + self.queue.mean_service_time(arrival.pool);
        (served < arrival.deadline).then(|| back + RECOVERY_SLACK)
    }

    /// Sets the number of this gateway among those that share the backend servers.
    pub fn set_share_of_servers(&mut self, share: Share) {
        self.share = share;
        for group in self.groups.values_mut() {
            group.outage.set_gateways(share.of);
        }
    }

    /// Applies the number of running and waiting requests that a backend server reported
    /// with an answer.
    pub fn report_load(&mut self, server: entity::Server, requests: u32, now: clock::Instant) {
        if let Some(group) = self.servers[server].listing.group {
            let group = &mut self.groups[group];
            group.pace.record_streams(requests, group.in_flight, now);
        }
    }

    /// Records that an event of a request's stream arrived `pause` after the previous one.
    /// The pause should be at most `wanted`. It is zero for the first event of a stream.
    pub fn stream_event(
        &mut self,
        ticket: entity::Ticket,
        pause: Duration,
        wanted: Duration,
        now: clock::Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(pending) = self.pending.get_mut(&ticket) else { return actions };
        let pool = pending.arrival.pool;
        let Some(id) = pending.group else { return actions };
        let first = !std::mem::replace(&mut pending.streams, true);
        let group = &mut self.groups[id];
        if let Some(sent) = pending.sent.filter(|_| first) {
            group.stall.record_first(now.since(sent));
        }
        group.stall.record_event(group.streams(), pause, now);
        group.begun += u32::from(first);
        if self.groups[id].pace.record_event(pause, now) {
            self.refresh_weights(id, now);
            let view = self.view(pool, id, now);
            let group = &mut self.groups[id];
            group.advance_credit(now);
            let ground = group.pace.update_bound(wanted, &view, now);
            let binds = f64::from(ground.in_flight) + 1.0 > group.pace.bound();
            if binds && now.since(group.noted) >= NOTE_INTERVAL {
                group.noted = now;
                self.notes.push(Note::Bound(id, ground));
            }
            self.move_streams(id, now, &mut actions);
            self.dispatch_waiting(pool, now, &mut actions);
        }
        actions
    }

    /// Returns the number of a group's ranks and the maximum number of their slots.
    pub(super) fn members(&self, pool: entity::Pool, id: entity::Group) -> (u32, u32) {
        // Ranks of a drained zone still take part in each pass.
        let members = self.servers.listed(pool).map(|(_, record)| record);
        let members = members.filter(|record| record.listing.group == Some(id));
        let members = members.filter(|record| record.present());
        members.fold((0, 0), |(ranks, slots): (u32, u32), record| {
            (ranks + 1, slots.max(record.report.slots))
        })
    }

    fn view(&self, pool: entity::Pool, id: entity::Group, now: clock::Instant) -> pace::Snapshot {
        let (ranks, slots) = self.members(pool, id);
        // With several groups, each of them may have to take all requests of the pool.
        let rate = self.gates.get(&pool).map_or(0.0, |gate| gate.arrival_rate(now));
        pace::Snapshot {
            // Ranks that should have no stream add no capacity.
            ranks: ranks.saturating_sub(self.groups[id].speeds.excluded),
            slots,
            in_flight: self.groups[id].in_flight,
            gateways: self.share.of,
            demand: rate * self.queue.mean_service_time(pool).as_secs_f64(),
            cost: self.costs.get(&pool).copied().unwrap_or_default(),
        }
    }

    /// Records the end of an attempt for the progress of its group. Precedes the release.
    pub(super) fn record_stream_end(
        &mut self,
        ticket: entity::Ticket,
        end: End,
        now: clock::Instant,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let begun = std::mem::take(&mut pending.streams);
        let Some(id) = pending.group else { return };
        let group = &mut self.groups[id];
        if end == End::Answered {
            group.stall.record_progress(group.streams(), now);
        } else {
            group.stall.record_loss(group.streams(), now);
        }
        group.begun -= u32::from(begun);
    }

    /// Records that a request to a group has ended.
    pub(super) fn release_group(
        &mut self,
        group: Option<entity::Group>,
        arrival: &Arrival,
        now: clock::Instant,
    ) {
        let Some(group) = group else { return };
        let gate = self.gates.entry(arrival.pool).or_default();
        gate.record_end(arrival.precedence, arrival.team, now);
        let group = &mut self.groups[group];
        group.advance_credit(now);
        debug_assert!(group.in_flight > 0, "the group has no request in flight");
        group.in_flight = group.in_flight.saturating_sub(1);
    }

    /// Records that a rank of the group answered a request that was dispatched at `sent`.
    pub(super) fn group_answered(
        &mut self,
        group: Option<entity::Group>,
        sent: Option<clock::Instant>,
        now: clock::Instant,
    ) {
        let (Some(group), Some(sent)) = (group, sent) else { return };
        let change = self.groups[group].outage.record_answer(sent, now);
        self.note_group_change(group, change, now);
    }

    /// Records that a rank rejected a request dispatched at `sent` because its group is
    /// broken.
    pub(super) fn group_refused(
        &mut self,
        group: Option<entity::Group>,
        sent: Option<clock::Instant>,
        now: clock::Instant,
    ) {
        let (Some(group), Some(sent)) = (group, sent) else { return };
        let change = self.groups[group].outage.record_refusal(sent, now);
        self.note_group_change(group, change, now);
    }

    /// Records that a rank of the group could not be connected to.
    pub(super) fn group_unreached(&mut self, server: entity::Server, now: clock::Instant) {
        let Some(group) = self.servers[server].listing.group else { return };
        let change = self.groups[group].outage.record_connect_failure(server, now);
        self.note_group_change(group, change, now);
    }

    /// Records a connection to a rank of a group that was out of reach.
    pub fn group_reached(&mut self, group: entity::Group, now: clock::Instant) -> Vec<Action> {
        let change = self.groups[group].outage.record_connection(now);
        self.note_group_change(group, change, now);
        self.dispatch_all_waiting(now)
    }

    /// Applies what the list entries of the ranks report about their groups.
    pub(super) fn apply_group_reports(&mut self, now: clock::Instant) {
        let mut reports: BTreeMap<entity::Group, outage::Status> = BTreeMap::new();
        for (_, record) in self.servers.iter().filter(|(_, record)| record.listed) {
            let (Some(group), Some(status)) = (record.listing.group, record.listing.status) else {
                continue;
            };
            reports
                .entry(group)
                .and_modify(|before| *before = before.merge(status))
                .or_insert(status);
        }
        for (group, status) in reports {
            self.groups[group].outage.set_gateways(self.share.of);
            let change = self.groups[group].outage.update(status, now);
            self.note_group_change(group, change, now);
        }
    }

    /// Returns the groups that are out of reach, each with its usable ranks.
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

    /// Notes a change of a group's availability. When a group is available again, ranks
    /// that were ejected during the outage are restored.
    fn note_group_change(
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
                self.groups[group].stall.reset(now);
                Note::GroupUp(group, time)
            }
        };
        self.notes.push(note);
    }

    /// Returns whether all groups that serve a pool are known to be unavailable.
    pub(super) fn all_unavailable(&self, pool: entity::Pool, now: clock::Instant) -> bool {
        let groups = self.servers.usable(pool).map(|(_, record)| record.listing.group);
        let mut groups = groups.peekable();
        // A pool without servers has no group that could be unavailable.
        groups.peek().is_some()
            && groups.all(|group| group.is_some_and(|group| self.groups[group].unavailable(now)))
    }

    /// Returns why all groups that serve a pool are unavailable, if they are, regardless of
    /// probes. If the reasons differ, a stall takes precedence, as it ends first.
    pub(super) fn ground(&self, pool: entity::Pool, now: clock::Instant) -> Option<Reason> {
        let mut ground = None;
        for (_, record) in self.servers.usable(pool) {
            let of_group = self.groups[record.listing.group?].ground(now)?;
            ground = if ground == Some(Reason::Stalled) { ground } else { Some(of_group) };
        }
        ground
    }

    /// Updates the limits of a pool's precedences and teams. The capacity of the pool is the sum
    /// of the bounds of its groups. Streams of an unavailable group stay counted until they end.
    pub(super) fn update_limits(&mut self, pool: entity::Pool, now: clock::Instant) {
        let mut groups = BTreeSet::new();
        let mut capacity = 0.0;
        for (_, record) in self.servers.usable(pool) {
            match record.listing.group {
                None => capacity = f64::INFINITY,
                Some(id) if groups.insert(id) => {
                    let group = &self.groups[id];
                    let unavailable = group.unavailable(now);
                    let in_flight = f64::from(group.in_flight);
                    capacity += if unavailable { in_flight } else { group.pace.bound() };
                }
                Some(_) => {}
            }
        }
        let service = self.queue.mean_service_time(pool);
        self.gates.entry(pool).or_default().update(capacity, service, now);
    }

    /// Returns the capacity of a pool's groups as this gateway knows it, or none if the pool has no
    /// group whose streams are bounded.
    pub(super) fn capacity(&self, pool: entity::Pool, now: clock::Instant) -> Option<Capacity> {
        let groups = self.servers.usable(pool).filter_map(|(_, record)| record.listing.group);
        let groups: BTreeSet<entity::Group> = groups.collect();
        let bounded = groups.into_iter().filter(|id| self.groups[*id].pace.bound().is_finite());
        let of_group = |id: entity::Group| {
            let group = &self.groups[id];
            let ranks = f64::from(self.members(pool, id).0);
            Capacity {
                bound: group.pace.bound(),
                in_flight: group.in_flight,
                streams: group.pace.streams().unwrap_or_default() * ranks,
                fitting: group.pace.fitting() * ranks,
                age: group.pace.age(now),
            }
        };
        bounded.map(of_group).reduce(|sum, group| Capacity {
            bound: sum.bound + group.bound,
            in_flight: sum.in_flight + group.in_flight,
            streams: sum.streams + group.streams,
            fitting: sum.fitting + group.fitting,
            age: sum.age.max(group.age),
        })
    }

    /// Returns the capacities of all pools with bounded groups. See [`Capacity`].
    pub fn capacities(
        &self,
        now: clock::Instant,
    ) -> impl Iterator<Item = (entity::Pool, Capacity)> {
        self.gates.keys().filter_map(move |pool| Some((*pool, self.capacity(*pool, now)?)))
    }

    /// Notes that a limit of a precedence or team held a waiting request back.
    pub(super) fn note_limit(
        &mut self,
        pool: entity::Pool,
        limit: shortage::Limit,
        now: clock::Instant,
    ) {
        let mut groups = self.servers.usable(pool).map(|(_, record)| record.listing.group);
        let Some(id) = groups.find_map(|group| group) else { return };
        let group = &mut self.groups[id];
        if now.since(group.shortage_noted) >= NOTE_INTERVAL {
            group.shortage_noted = now;
            self.notes.push(Note::Shortage(id, limit));
        }
    }

    /// Returns whether a backend server and its group can accept one more request.
    pub(super) fn can_accept(&self, record: &server::Record, now: clock::Instant) -> bool {
        let group = record.listing.group;
        record.open(now) && group.is_none_or(|group| self.groups[group].can_accept(now))
    }
}
