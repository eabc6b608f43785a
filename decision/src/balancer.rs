//! The request scheduler of one entry host.
//!
//! Combines admission, routing, concurrency windows and retries. A request arrives,
//! waits in the queue while no backend server is open, is dispatched, and ends. Each
//! event returns the actions that the caller must carry out. [`Balancer`] is a state
//! machine without I/O. The daemon keeps it behind one lock; a call takes microseconds.
//!
//! Terms used in this module:
//!
//! - A *run* of a backend server is one start of its process; its host id outlives it.
//! - A *rest* is a period in which a backend server has asked for no requests.
//! - A *suspect* is a request that may have ended a backend server, see [`crate::poison`].
//! - A *group* is a set of backend servers that run in lock-step; each member is a *rank*.
//! - A *share* is the number of this gateway among those that use the same backend servers.

mod choose;
mod failure;
mod group;
mod message;
mod moves;
mod progress;
mod rate;
mod rest;
mod retries;
mod speed;
mod suspect;
mod verify;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use message::{
    Action, Arrival, Candidate, Capacity, Dispatch, End, Move, Note, Options, Outcome, Reason,
    Refusal,
};
pub use suspect::Share;
pub use verify::Fault;

use cranelift_entity::SecondaryMap;

use crate::routing::{policy, rate as limits, server};
use crate::{admission, clock, entity, pass, poison, retry, shortage};

/// Minimum score at which the local availability zone counts as loaded, so that backend
/// servers of other zones are considered.
const SPILL_SCORE: f64 = 0.9;
/// Minimum difference in score by which a backend server of another zone must be less
/// loaded to be selected.
const SPILL_MARGIN: f64 = 0.25;
/// Retry delay sent to clients of a pool that has no usable backend server.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(2);

/// A request that has arrived and has no final answer yet.
#[derive(Debug, Clone)]
struct Pending {
    arrival: Arrival,
    since: clock::Instant,
    attempts: u32,
    /// Failed attempts, without those rejected because no slot was free.
    failures: u32,
    /// Failed attempts that ran or may have run.
    runs: u32,
    /// Whether the current attempt, or the one that the request waits for, was charged to the retry
    /// budget of its pool.
    charged: bool,
    state: State,
    /// Group of the backend server that runs the current attempt.
    group: Option<entity::Group>,
    /// Time at which the current attempt was dispatched.
    sent: Option<clock::Instant>,
    /// Backend servers that attempts were dispatched to.
    tried: Vec<entity::Server>,
    /// Whether an answer has begun.
    begun: bool,
    /// Whether it waits for a group that is forming, beyond the time by which its answer should
    /// begin.
    awaits_group: bool,
    /// Whether the current attempt has had an event.
    streams: bool,
    /// Whether the request was moved to another backend server.
    moved: bool,
    /// The attempt before the move, while the moved one is in flight.
    origin: Option<moves::Origin>,
}

/// The state of a pending request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The request waits in the queue.
    Waiting,
    /// An attempt is in flight at a backend server.
    Sent(entity::Server),
}

/// Counters for metrics and benchmarks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// First attempts dispatched.
    pub first_attempts: u64,
    /// Second and later attempts dispatched.
    pub retries: u64,
    /// Streams moved away from slow ranks. Each is also counted as a retry.
    pub moved: u64,
    /// Requests rejected with [`Outcome::NotRun`].
    pub not_run: u64,
    /// Requests rejected with [`Outcome::Unknown`].
    pub unknown: u64,
    /// Requests with a complete answer.
    pub answered: u64,
}

/// The state machine that schedules the requests of one entry host.
#[derive(Debug)]
pub struct Balancer<P> {
    servers: server::Table,
    queue: admission::Queue,
    retries: retries::Accounts,
    charge_full: bool,
    policy: P,
    pending: BTreeMap<entity::Ticket, Pending>,
    groups: SecondaryMap<entity::Group, group::Group>,
    gates: BTreeMap<entity::Pool, shortage::Gate>,
    costs: BTreeMap<entity::Pool, pass::Cost>,
    /// Time that the groups of a pool take to form, where it is published.
    form_times: BTreeMap<entity::Pool, Duration>,
    share: Share,
    /// Gateways that share the rate limits of the backend servers.
    peers: limits::Peers,
    /// Suspects in flight, by the backend server that runs them.
    suspects: BTreeMap<entity::Server, poison::Digest>,
    group_retry_after: Duration,
    notes: Vec<Note>,
    /// Backend servers that rest, have announced that they leave, or have a rate limit.
    noticed: BTreeSet<entity::Server>,
    next: u32,
    tally: Tally,
}

impl<P: policy::Policy> Balancer<P> {
    /// Creates a balancer without backend servers.
    pub fn new(policy: P, options: &Options) -> Balancer<P> {
        Balancer {
            servers: server::Table::default(),
            queue: admission::Queue::new(options.capacity, options.min_retry_after),
            retries: retries::Accounts::new(retry::Budget::new(
                options.retry_ratio,
                options.retry_reserve,
            )),
            charge_full: options.charge_full,
            policy,
            pending: BTreeMap::new(),
            groups: SecondaryMap::new(),
            gates: BTreeMap::new(),
            costs: BTreeMap::new(),
            form_times: BTreeMap::new(),
            share: Share::default(),
            peers: limits::Peers::default(),
            suspects: BTreeMap::new(),
            group_retry_after: options.group_retry_after,
            notes: Vec::new(),
            noticed: BTreeSet::new(),
            next: 0,
            tally: Tally::default(),
        }
    }

    /// Returns the table of backend servers.
    pub fn servers(&self) -> &server::Table {
        &self.servers
    }

    /// Returns the queue of waiting requests.
    pub fn queue(&self) -> &admission::Queue {
        &self.queue
    }

    /// Returns the counters.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Sets the maximum number of retries that the budget of each pool accumulates, as a share by
    /// the number of processes that are known now. Returns the number in force: a smaller one
    /// stays for [`retry::SHARE_HOLD`].
    pub fn set_reserve(&mut self, reserve: f64, now: clock::Instant) -> f64 {
        self.retries.set_reserve(reserve, now)
    }

    /// Sets the weight and the request limit of a team.
    pub fn set_share(&mut self, team: entity::Team, share: admission::Share) {
        self.queue.set_share(team, share);
    }

    /// Applies a new host list.
    pub fn list(&mut self, listings: Vec<server::Listing>, now: clock::Instant) -> Vec<Action> {
        for (server, unsettled) in self.servers.list(listings, now) {
            self.note_inherited(server, unsettled, now);
        }
        self.remove_records(now);
        self.servers.warm_up(self.share, now);
        self.refresh_all_weights(now);
        self.apply_group_reports(now);
        let mut actions = self.dispatch_all_waiting(now);
        self.move_all_streams(now, &mut actions);
        actions
    }

    /// Records whether an agent's report stream is open.
    pub fn set_connected(
        &mut self,
        server: entity::Server,
        up: bool,
        now: clock::Instant,
    ) -> Vec<Action> {
        let Some(record) = self.servers.get_mut(server) else { return Vec::new() };
        record.connected = up;
        self.refresh_weights_of(server, now);
        self.dispatch_all_waiting(now)
    }

    /// Applies an agent's load report. An outdated report is ignored.
    pub fn report(
        &mut self,
        server: entity::Server,
        report: server::Report,
        now: clock::Instant,
    ) -> Vec<Action> {
        let Some(record) = self.servers.get_mut(server) else { return Vec::new() };
        let present = record.present();
        if !record.apply_report(report, now) {
            return Vec::new();
        }
        if self.servers[server].present() != present {
            self.refresh_weights_of(server, now);
        }
        let mut actions = Vec::new();
        self.dispatch_waiting(self.servers[server].listing.pool, now, &mut actions);
        actions
    }

    /// Accepts a request. Returns its ticket and the resulting actions, which may concern
    /// other requests too.
    pub fn arrive(
        &mut self,
        arrival: Arrival,
        now: clock::Instant,
    ) -> (entity::Ticket, Vec<Action>) {
        self.remove_due_records(now);
        self.note_rested(now);
        let weight = self.queue.weight(arrival.team);
        let gate = self.gates.entry(arrival.pool).or_default();
        gate.record_arrival(arrival.precedence, arrival.team, weight, now);
        let ticket = entity::Ticket::from_u32(self.next);
        self.next = self.next.wrapping_add(1) & (u32::MAX >> 1);
        let mut actions = Vec::new();
        if let Err(refusal) = self.queue.acquire(arrival.team) {
            self.reject_new(ticket, &arrival, Reason::Admission(refusal), now, &mut actions);
            return (ticket, actions);
        }
        if let Err(reason) = self.admit(ticket, arrival, now, &mut actions) {
            self.queue.release(arrival.team);
            self.reject_new(ticket, &arrival, reason, now, &mut actions);
            return (ticket, actions);
        }
        self.dispatch_waiting(arrival.pool, now, &mut actions);
        self.reject_expired(ticket, &arrival, now, &mut actions);
        (ticket, actions)
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
            // A suspect may have to wait for a backend server of this gateway. A late
            // answer is better than a rejection.
            arrival.begin_by = None;
        }
        let asked = arrival;
        if self.all_unavailable(arrival.pool, now) {
            arrival = self.wait_for_group(&asked, now)?;
        }
        let awaits_group = arrival != asked;
        let waiter = self.waiter(ticket, &arrival, now);
        self.drop_stale_estimate(&waiter, now);
        let displaced = self.queue.push(waiter, now).map_err(|refusal| match refusal {
            admission::Refusal::Deadline => self.late_reason(&arrival, now),
            refusal => Reason::Admission(refusal),
        })?;
        let pending = Pending {
            arrival,
            since: now,
            attempts: 0,
            failures: 0,
            runs: 0,
            charged: false,
            state: State::Waiting,
            group: None,
            sent: None,
            tried: Vec::new(),
            begun: false,
            awaits_group,
            streams: false,
            moved: false,
            origin: None,
        };
        self.pending.insert(ticket, pending);
        // A request that waits is sent in a later window than the one it counts in.
        self.retries.budget(arrival.pool).deposit();
        if let Some(loser) = displaced {
            let reason = Reason::Admission(admission::Refusal::QueueFull);
            self.reject_pending(loser.ticket, Outcome::NotRun, reason, now, actions);
        }
        Ok(())
    }

    /// Discards the estimate of the answer time if only the estimate would reject a request
    /// and no request is in flight. Otherwise no answer would ever correct it.
    fn drop_stale_estimate(&mut self, waiter: &admission::Waiter, now: clock::Instant) {
        let refused = now < waiter.deadline && self.queue.misses_deadline(waiter, now);
        let idle = || self.servers.usable(waiter.pool).all(|(_, record)| record.in_flight == 0);
        if refused && idle() {
            self.queue.reset_service_time(waiter.pool);
        }
    }

    /// Returns whether an attempt of a request that has ended or was replaced may have run.
    pub fn may_have_run(&self, ticket: entity::Ticket) -> bool {
        self.pending.get(&ticket).is_some_and(|pending| pending.runs > 0)
    }

    /// Records that the answer to an attempt began, `after` its dispatch.
    pub fn begin(&mut self, ticket: entity::Ticket, after: Duration, now: clock::Instant) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.begun = true;
        let (state, group, sent) = (pending.state, pending.group, pending.sent);
        let pool = pending.arrival.pool;
        self.group_answered(group, sent, now);
        let State::Sent(server) = state else { return };
        if let Some(sent) = sent {
            self.queue.record_first_byte(pool, now.since(sent));
            self.servers[server].standing.answered(sent);
        }
        self.servers[server].health.answered(after);
        if self.slow(server) {
            self.try_eject(server, now);
        }
    }

    /// Records the end of an attempt. Retries or rejects the request if it has no answer.
    pub fn end(&mut self, ticket: entity::Ticket, end: End, now: clock::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.origin = None;
        }
        let Some(pending) = self.pending.get(&ticket) else { return actions };
        let arrival = pending.arrival;
        let pool = arrival.pool;
        let (sent, group, begun) = (pending.sent, pending.group, pending.begun);
        match pending.state {
            State::Sent(server) => {
                if pending.arrival.suspect.is_some() {
                    self.suspects.remove(&server);
                }
                self.record_end(server, end, sent, now);
                self.record_stream_end(ticket, end, now);
                self.release_group(group, &arrival, now);
            }
            State::Waiting => {
                let waiter = self.waiter(ticket, &pending.arrival, pending.since);
                self.queue.remove(&waiter);
            }
        }
        match end {
            End::Answered => {
                self.group_answered(group, sent, now);
                self.tally.answered += 1;
                if let Some(sent) = sent {
                    self.queue.record_answer(pool, now.since(sent));
                    if !begun {
                        self.queue.record_first_byte(pool, now.since(sent));
                    }
                }
                self.finish(ticket);
            }
            End::Abandoned | End::BrokenOff { .. } => {
                self.finish(ticket);
            }
            End::Full => self.requeue(ticket, now, &mut actions),
            End::Withheld => self.undo_dispatch(ticket, now, &mut actions),
            End::NeverRan => {
                self.retry_or_reject(ticket, retry::Execution::NeverRan, false, now, &mut actions);
            }
            End::Unreachable => self.retry_after_outage(ticket, pool, now, &mut actions),
            End::GroupDown => {
                self.group_refused(group, sent, now);
                self.retry_after_outage(ticket, pool, now, &mut actions);
            }
            End::ServerEnded => {
                self.retry_or_reject(
                    ticket,
                    retry::Execution::ServerEnded,
                    false,
                    now,
                    &mut actions,
                );
            }
            End::MayHaveRun { answer_begun } | End::Unacknowledged { answer_begun } => {
                self.retry_or_reject(
                    ticket,
                    retry::Execution::MayHaveRun,
                    answer_begun,
                    now,
                    &mut actions,
                );
            }
        }
        self.dispatch_waiting(pool, now, &mut actions);
        actions
    }

    /// Advances time: rejects waiting requests that can no longer meet their deadline and
    /// dispatches those that can be dispatched now.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<Action> {
        self.remove_due_records(now);
        self.note_rested(now);
        let mut actions = Vec::new();
        for late in self.queue.remove_expired(now) {
            let Some(pending) = self.pending.get(&late.ticket) else { continue };
            let reason = self.late_reason(&pending.arrival, now);
            self.reject_pending(late.ticket, Outcome::NotRun, reason, now, &mut actions);
        }
        actions.extend(self.dispatch_all_waiting(now));
        self.move_all_streams(now, &mut actions);
        actions
    }

    /// Removes the records of runs that are no longer listed, if this is due.
    fn remove_due_records(&mut self, now: clock::Instant) {
        if self.servers.removal_due(now) {
            self.remove_records(now);
        }
    }

    fn remove_records(&mut self, now: clock::Instant) {
        let origins = self.pending.values().filter_map(|pending| pending.origin.as_ref());
        let held: BTreeSet<entity::Server> = origins.map(moves::Origin::server).collect();
        let removed = self.servers.remove_expired(&held, now);
        self.notes.extend(removed.into_iter().map(Note::Removed));
    }

    /// Updates the record of a backend server after an attempt on it has ended.
    fn record_end(
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
            End::NeverRan | End::MayHaveRun { .. } | End::BrokenOff { server_ended: false } => {
                if record.health.failed() {
                    self.try_eject(server, now);
                }
            }
            End::Unreachable | End::ServerEnded | End::BrokenOff { server_ended: true } => {
                self.try_eject(server, now);
                self.group_unreached(server, now);
            }
            End::Unacknowledged { .. } => self.try_eject(server, now),
            End::Abandoned | End::GroupDown | End::Withheld => {}
        }
        let record = &mut self.servers[server];
        debug_assert!(record.in_flight > 0, "{server} has no request in flight");
        record.in_flight = record.in_flight.saturating_sub(1);
    }
}
