//! One entry host's decisions about its requests.
//!
//! Joins admission, routing, windows and retries: a request arrives, waits if
//! no backend server is open, is sent, and ends; each event returns the
//! actions that follow from it. The machine is owned by one lock in the daemon
//! and takes microseconds a call.

mod choose;
mod follow;
mod group;
mod message;
mod rate;
mod rest;
mod suspect;
mod verify;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use message::{
    Action, Arrival, Candidate, Dispatch, End, Note, Options, Outcome, Reason, Refusal,
};
pub use suspect::Share;
pub use verify::Fault;

use cranelift_entity::SecondaryMap;

use crate::routing::{policy, rate as limits, server};
use crate::{admission, clock, entity, pass, poison, retry};

/// Score from which an open backend server of the own availability zone
/// counts as loaded, so that others are looked at.
const SPILL_SCORE: f64 = 0.9;
/// How much less loaded another zone's backend server must be to be chosen.
const SPILL_MARGIN: f64 = 0.25;
/// When a caller should come back where a pool has no backend server.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(2);

/// A request between arrival and final answer.
#[derive(Debug, Clone)]
struct Pending {
    arrival: Arrival,
    since: clock::Instant,
    attempts: u32,
    /// Attempts that failed for another cause than a want of slots.
    failures: u32,
    /// Of these, those that ran or may have.
    runs: u32,
    place: Place,
    /// Group that the present attempt was sent to.
    group: Option<entity::Group>,
    /// When the present attempt was sent.
    sent: Option<clock::Instant>,
    tried: Vec<entity::Server>,
    begun: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Waiting,
    Sent(entity::Server),
}

/// Counts of what was done, for metrics and benches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// First attempts sent.
    pub first: u64,
    /// Later attempts sent.
    pub again: u64,
    /// Requests refused, or given up, as not run.
    pub not_run: u64,
    /// Requests given up as unknown.
    pub unknown: u64,
    /// Requests answered whole.
    pub answered: u64,
}

/// The machine.
#[derive(Debug)]
pub struct Balancer<P> {
    servers: server::Table,
    queue: admission::Queue,
    budget: retry::Budget,
    charge_full: bool,
    policy: P,
    pending: BTreeMap<entity::Ticket, Pending>,
    groups: SecondaryMap<entity::Group, group::Group>,
    costs: BTreeMap<entity::Pool, pass::Cost>,
    /// How long the groups of a pool take to form, where that is published.
    forms: BTreeMap<entity::Pool, Duration>,
    share: Share,
    /// The gateways that share the rate limits of backend servers.
    peers: limits::Peers,
    /// Suspects that are on backend servers of this gateway's own.
    trials: BTreeMap<entity::Server, poison::Digest>,
    group_return: Duration,
    notes: Vec<Note>,
    /// Backend servers that rest, that have told that they leave, or that name a rate
    /// limit.
    noticed: BTreeSet<entity::Server>,
    next: u32,
    tally: Tally,
}

impl<P: policy::Policy> Balancer<P> {
    /// A machine without backend servers.
    pub fn new(policy: P, options: &Options) -> Balancer<P> {
        Balancer {
            servers: server::Table::default(),
            queue: admission::Queue::new(options.capacity, options.shortest_return),
            budget: retry::Budget::new(options.retry_ratio, options.retry_reserve),
            charge_full: options.charge_full,
            policy,
            pending: BTreeMap::new(),
            groups: SecondaryMap::new(),
            costs: BTreeMap::new(),
            forms: BTreeMap::new(),
            share: Share::default(),
            peers: limits::Peers::default(),
            trials: BTreeMap::new(),
            group_return: options.group_return,
            notes: Vec::new(),
            noticed: BTreeSet::new(),
            next: 0,
            tally: Tally::default(),
        }
    }

    /// The backend servers.
    pub fn servers(&self) -> &server::Table {
        &self.servers
    }

    /// The waiting requests.
    pub fn queue(&self) -> &admission::Queue {
        &self.queue
    }

    /// Counts so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Sets how many retries may be saved up.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.budget.set_reserve(reserve);
    }

    /// Sets what a team may do.
    pub fn set_share(&mut self, team: entity::Team, share: admission::Share) {
        self.queue.set_share(team, share);
    }

    /// Takes a new host list.
    pub fn list(&mut self, listings: Vec<server::Listing>, now: clock::Instant) -> Vec<Action> {
        for (server, unsettled) in self.servers.list(listings, now) {
            self.note_inherited(server, unsettled, now);
        }
        self.servers.warm_up(self.share, now);
        self.hear(now);
        self.pump_all(now)
    }

    /// An agent's report stream opened or closed.
    pub fn connect(
        &mut self,
        server: entity::Server,
        up: bool,
        now: clock::Instant,
    ) -> Vec<Action> {
        self.servers[server].connected = up;
        self.pump_all(now)
    }

    /// An agent reported.
    pub fn report(
        &mut self,
        server: entity::Server,
        report: server::Report,
        now: clock::Instant,
    ) -> Vec<Action> {
        if !self.servers[server].apply_report(report, now) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.pump(self.servers[server].listing.pool, now, &mut actions);
        actions
    }

    /// A request arrived. Returns its ticket, and the actions that follow,
    /// which may concern other requests too.
    pub fn arrive(
        &mut self,
        arrival: Arrival,
        now: clock::Instant,
    ) -> (entity::Ticket, Vec<Action>) {
        self.note_rested(now);
        let ticket = entity::Ticket::from_u32(self.next);
        self.next = self.next.wrapping_add(1) & (u32::MAX >> 1);
        let mut actions = Vec::new();
        if let Err(refusal) = self.queue.hold(arrival.team) {
            self.refuse_new(ticket, &arrival, Reason::Admission(refusal), &mut actions);
            return (ticket, actions);
        }
        if let Err(reason) = self.admit(ticket, arrival, now, &mut actions) {
            self.queue.release(arrival.team);
            self.refuse_new(ticket, &arrival, reason, &mut actions);
            return (ticket, actions);
        }
        self.pump(arrival.pool, now, &mut actions);
        self.refuse_hopeless(ticket, &arrival, now, &mut actions);
        (ticket, actions)
    }

    /// Refuses a newcomer at once that found no room and may not wait.
    fn refuse_hopeless(
        &mut self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.pending.get(&ticket).filter(|p| p.place == Place::Waiting);
        let waits = pending.is_some();
        let full = waits && arrival.suspect.is_none();
        let full = full || self.closed_until(arrival.pool, now).is_some();
        let waiter = self.waiter(ticket, pending.map_or(arrival, |p| &p.arrival), now);
        self.queue.set_full(arrival.pool, full, now);
        if waits && waiter.expires <= now && self.queue.remove(&waiter) {
            let reason = Reason::Admission(admission::Refusal::Deadline);
            self.give_up(ticket, Outcome::NotRun, reason, actions);
        }
    }

    fn admit(
        &mut self,
        ticket: entity::Ticket,
        arrival: Arrival,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) -> Result<(), Reason> {
        if self.servers.usable(arrival.pool).next().is_none() {
            return Err(Reason::NoBackend);
        }
        let mut arrival = arrival;
        if arrival.suspect.is_some() {
            // It waits for its turn, which is better than to be refused.
            arrival.begin_by = None;
        }
        if self.all_down(arrival.pool, now) {
            let until = self.held_until(&arrival, now).ok_or(Reason::GroupDown)?;
            // Its answer begins late in any case.
            arrival.begin_by = None;
            arrival.expires = arrival.expires.min(until);
        }
        let waiter = self.waiter(ticket, &arrival, now);
        self.drop_stale_estimate(&waiter, now);
        let displaced = self.queue.push(waiter, now).map_err(Reason::Admission)?;
        let pending = Pending {
            arrival,
            since: now,
            attempts: 0,
            failures: 0,
            runs: 0,
            place: Place::Waiting,
            group: None,
            sent: None,
            tried: Vec::new(),
            begun: false,
        };
        self.pending.insert(ticket, pending);
        if let Some(loser) = displaced {
            let reason = Reason::Admission(admission::Refusal::QueueFull);
            self.give_up(loser.ticket, Outcome::NotRun, reason, actions);
        }
        Ok(())
    }

    /// Drops the estimate of how long answers take where it alone would reject a request
    /// and none is in flight: no answer would ever correct it.
    fn drop_stale_estimate(&mut self, waiter: &admission::Waiter, now: clock::Instant) {
        let refused = now < waiter.deadline && self.queue.too_late(waiter, now);
        let idle = || self.servers.usable(waiter.pool).all(|(_, record)| record.in_flight == 0);
        if refused && idle() {
            self.queue.forget_service(waiter.pool);
        }
    }

    /// The first part of an attempt's answer came.
    pub fn begin(&mut self, ticket: entity::Ticket, after: Duration, now: clock::Instant) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.begun = true;
        let (place, group, sent) = (pending.place, pending.group, pending.sent);
        let pool = pending.arrival.pool;
        self.group_answers(group, sent, now);
        let Place::Sent(server) = place else { return };
        if let Some(sent) = sent {
            self.queue.begun(pool, now.since(sent));
            self.servers[server].standing.answered(sent);
        }
        self.servers[server].health.answered(after);
        if self.slow(server) {
            self.try_eject(server, now);
        }
    }

    /// An attempt ended.
    pub fn end(&mut self, ticket: entity::Ticket, end: End, now: clock::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(pending) = self.pending.get(&ticket) else { return actions };
        let pool = pending.arrival.pool;
        let (sent, group, begun) = (pending.sent, pending.group, pending.begun);
        match pending.place {
            Place::Sent(server) => {
                if pending.arrival.suspect.is_some() {
                    self.trials.remove(&server);
                }
                self.leave(server, end, sent, now);
                self.leave_group(group);
            }
            Place::Waiting => {
                let waiter = self.waiter(ticket, &pending.arrival, pending.since);
                self.queue.remove(&waiter);
            }
        }
        match end {
            End::Answered => {
                self.group_answers(group, sent, now);
                self.tally.answered += 1;
                if let Some(sent) = sent {
                    self.queue.served(pool, now.since(sent));
                    if !begun {
                        self.queue.begun(pool, now.since(sent));
                    }
                }
                self.finish(ticket);
            }
            End::Abandoned => {
                self.finish(ticket);
            }
            End::Full => self.wait_again(ticket, now, &mut actions),
            End::Withheld => self.take_back(ticket, now, &mut actions),
            End::NeverRan => {
                self.follow(ticket, retry::Knowledge::NeverRan, false, now, &mut actions);
            }
            End::Unreachable => self.follow_never_ran(ticket, pool, now, &mut actions),
            End::GroupDown => {
                self.group_refuses(group, sent, now);
                self.follow_never_ran(ticket, pool, now, &mut actions);
            }
            End::ServerEnded => {
                self.follow(ticket, retry::Knowledge::ServerEnded, false, now, &mut actions);
            }
            End::MayHaveRun { answer_begun } => {
                self.follow(ticket, retry::Knowledge::MayHaveRun, answer_begun, now, &mut actions);
            }
        }
        self.pump(pool, now, &mut actions);
        actions
    }

    /// Time passed: requests that can no longer make their deadline get their answer.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<Action> {
        self.note_rested(now);
        let mut actions = Vec::new();
        for late in self.queue.sweep(now) {
            let reason = Reason::Admission(admission::Refusal::Deadline);
            self.give_up(late.ticket, Outcome::NotRun, reason, &mut actions);
        }
        actions.extend(self.pump_all(now));
        actions
    }

    /// Accounts for an attempt that left a backend server.
    fn leave(
        &mut self,
        server: entity::Server,
        end: End,
        sent: Option<clock::Instant>,
        now: clock::Instant,
    ) {
        let record = &mut self.servers[server];
        if let Some(sent) = sent {
            if end == End::Answered {
                record.standing.answered(sent);
            }
            record.standing.request_ended(sent);
        }
        match end {
            End::Answered => {
                record.window.grow(record.in_flight);
                record.ease_back_off();
            }
            End::Full => {
                record.window.shrink(now);
                record.back_off(now);
            }
            End::NeverRan | End::MayHaveRun { .. } => {
                if record.health.failed() {
                    self.try_eject(server, now);
                }
            }
            End::Unreachable | End::ServerEnded => {
                self.try_eject(server, now);
                self.group_unreached(server, now);
            }
            End::Abandoned | End::GroupDown | End::Withheld => {}
        }
        let record = &mut self.servers[server];
        debug_assert!(record.in_flight > 0, "{server} has no request in flight");
        record.in_flight = record.in_flight.saturating_sub(1);
    }

    fn pump_all(&mut self, now: clock::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for pool in self.queue.waited_for() {
            self.pump(pool, now, &mut actions);
        }
        actions
    }

    /// Sends waiters while backend servers are open.
    fn pump(&mut self, pool: entity::Pool, now: clock::Instant, actions: &mut Vec<Action>) {
        let mut held = Vec::new();
        while self.queue.waiting_for(pool) > 0 {
            if !self.servers.usable(pool).any(|(_, record)| self.takes(record, now)) {
                break;
            }
            let Some(next) = self.queue.pop(pool) else { break };
            if self.queue.too_late(&next, now) {
                let reason = Reason::Admission(admission::Refusal::Deadline);
                self.give_up(next.ticket, Outcome::NotRun, reason, actions);
                continue;
            }
            if !self.has_place(next.ticket, now) {
                held.push(next);
                continue;
            }
            self.send(next.ticket, now, actions);
        }
        held.into_iter().rev().for_each(|waiter| self.queue.push_front(waiter));
        if self.queue.waiting_for(pool) > 0 {
            self.refuse_closed(pool, now, actions);
        }
        if self.queue.waiting_for(pool) > 0 && self.servers.usable(pool).next().is_none() {
            self.drain(pool, Reason::NoBackend, actions);
        }
    }

    /// A pool that cannot serve keeps nobody waiting.
    fn drain(&mut self, pool: entity::Pool, reason: Reason, actions: &mut Vec<Action>) {
        while let Some(next) = self.queue.pop(pool) {
            self.give_up(next.ticket, Outcome::NotRun, reason, actions);
        }
    }

    fn waiter(
        &self,
        ticket: entity::Ticket,
        arrival: &Arrival,
        since: clock::Instant,
    ) -> admission::Waiter {
        let latest = arrival.begin_by.map(|by| self.queue.latest(arrival.pool, by));
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
