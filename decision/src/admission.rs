//! Admission and scheduling of requests that wait for a backend server.
//!
//! Each pool has a queue for each precedence. The most urgent precedence is
//! served first. To prevent starvation, every [`STARVATION_INTERVAL`]th choice
//! goes to the precedence whose oldest waiter has waited longest among the
//! others. Within a precedence, teams share by weight with start-time fair
//! queueing (Goyal, Vin and Cheng, 1996); the unit of cost is one request. Within
//! a team, the earliest deadline goes first. A request that cannot meet its deadline at
//! the current departure rate is rejected immediately.

mod band;
mod choose;
mod slot;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::admission::band::{Band, End};
use crate::{clock, entity, episode};

/// One choice in this many is made among the less urgent precedences.
pub const STARVATION_INTERVAL: u32 = 8;
/// Weight of the newest sample in the mean time between departures.
const DEPARTURE_GAIN: f64 = 0.1;
/// Weight of the newest sample in the mean time until an answer is complete.
const SERVICE_GAIN: f64 = 0.05;
/// Weight of the newest sample in the mean time to the first byte of an answer
/// and in its deviation.
const FIRST_BYTE_GAIN: f64 = 0.1;
/// Mean deviations added to the mean time to the first byte, so that nearly
/// all answers begin in time.
const FIRST_BYTE_DEVIATIONS: f64 = 2.0;
/// Longest retry delay that a rejected client is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Reason for rejecting a request before any attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The team has reached its limit of requests in flight and waiting.
    #[error("team-limit")]
    TeamLimit,
    /// The queue is full and the team already uses its share of it.
    #[error("queue-full")]
    QueueFull,
    /// The request cannot meet its deadline.
    #[error("deadline")]
    Deadline,
}

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Id of the request.
    pub ticket: entity::Ticket,
    /// Pool whose backend servers can serve it.
    pub pool: entity::Pool,
    /// Team that sent it.
    pub team: entity::Team,
    /// Precedence of its class; 0 is the most urgent.
    pub precedence: u32,
    /// Time at which the whole answer is due.
    pub deadline: clock::Instant,
    /// Time at which it stops waiting; no later than the deadline.
    pub expires: clock::Instant,
    /// Time at which it was queued.
    pub since: clock::Instant,
}

/// Weight and request limit of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Weight relative to the other teams.
    pub weight: u32,
    /// Maximum number of requests in flight and waiting.
    pub limit: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share { weight: 1, limit: u32::MAX }
    }
}

/// The queues of all pools.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    min_retry_after: Duration,
    waiting: usize,
    shares: SecondaryMap<entity::Team, Share>,
    team_requests: SecondaryMap<entity::Team, u32>,
    pools: BTreeMap<entity::Pool, Pool>,
}

/// Queue and estimates of one pool.
#[derive(Debug, Default)]
struct Pool {
    bands: BTreeMap<u32, Band>,
    /// Choices of the most urgent precedence since another one was chosen.
    urgent_streak: u32,
    /// Mean time between departures, seconds; `None` before the second one.
    departure_interval: Option<f64>,
    departed: Option<clock::Instant>,
    /// Mean time from dispatch to the whole answer, seconds.
    service_time: Option<f64>,
    /// Mean time from dispatch to the first byte of the answer, and its mean
    /// deviation, seconds.
    first_byte: Option<(f64, f64)>,
    /// Periods in which all backend servers of the pool were full.
    full_periods: episode::Episode,
    /// Requests that found the pool full. Varies the retry delays that rejected
    /// clients are given.
    full_arrivals: u32,
    /// Latest retry time given to a client for capacity under a rate limit.
    reserved_until: clock::Instant,
    /// Last return slot given to a client of each precedence.
    slots: slot::Slots,
}

impl Queue {
    /// Returns an empty queue for at most `capacity` waiters. `min_retry_after`
    /// is the shortest retry delay that a rejected client is given.
    pub fn new(capacity: usize, min_retry_after: Duration) -> Queue {
        Queue {
            capacity,
            min_retry_after,
            waiting: 0,
            shares: SecondaryMap::new(),
            team_requests: SecondaryMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Sets the weight and the request limit of a team.
    pub fn set_share(&mut self, team: entity::Team, share: Share) {
        self.shares[team] = share;
    }

    /// Returns the number of waiters.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of waiters for a pool.
    pub fn waiting_for(&self, pool: entity::Pool) -> usize {
        self.pools.get(&pool).map_or(0, Pool::len)
    }

    /// Returns the pools with at least one waiter, in the order of their ids.
    pub fn waiting_pools(&self) -> Vec<entity::Pool> {
        let waited = self.pools.iter().filter(|(_, queue)| queue.len() > 0);
        waited.map(|(pool, _)| *pool).collect()
    }

    /// Returns the number of requests of a team in flight and waiting.
    pub fn team_requests(&self, team: entity::Team) -> u32 {
        self.team_requests[team]
    }

    /// Counts a request against its team's limit until [`Queue::release`].
    ///
    /// # Errors
    ///
    /// [`Refusal::TeamLimit`].
    pub fn acquire(&mut self, team: entity::Team) -> Result<(), Refusal> {
        if self.team_requests[team] >= self.shares[team].limit {
            return Err(Refusal::TeamLimit);
        }
        self.team_requests[team] += 1;
        Ok(())
    }

    /// Returns the weight of a team.
    pub fn weight(&self, team: entity::Team) -> u32 {
        self.shares[team].weight
    }

    /// Stops counting a request that has its final answer.
    pub fn release(&mut self, team: entity::Team) {
        debug_assert!(
            self.team_requests[team] > 0,
            "{team} released more requests than it acquired"
        );
        self.team_requests[team] = self.team_requests[team].saturating_sub(1);
    }

    /// Queues a request that was counted by [`Queue::acquire`]. If the queue was
    /// full, returns the waiter that was displaced: the last one of the team with
    /// the most waiters relative to its weight, so that a team that floods the
    /// queue displaces its own requests.
    ///
    /// # Errors
    ///
    /// [`Refusal::Deadline`] if the request would expire or miss its deadline
    /// before its turn, and [`Refusal::QueueFull`] if it would itself be the one
    /// to displace.
    pub fn push(&mut self, waiter: Waiter, now: clock::Instant) -> Result<Option<Waiter>, Refusal> {
        let wait = self.expected_turn(&waiter);
        let starts = now + wait;
        if self.misses_deadline(&waiter, starts) || (starts > now && starts > waiter.expires) {
            return Err(Refusal::Deadline);
        }
        let mut displaced = None;
        if self.waiting >= self.capacity {
            displaced = Some(self.displace(&waiter).ok_or(Refusal::QueueFull)?);
        }
        self.insert(waiter, End::Back);
        Ok(displaced)
    }

    /// Queues a waiter whose attempt did not run, ahead of the others of its team with the same
    /// deadline.
    pub fn push_front(&mut self, waiter: Waiter) {
        self.insert(waiter, End::Front);
    }

    fn insert(&mut self, waiter: Waiter, end: End) {
        let queue = self.pools.entry(waiter.pool).or_default();
        queue.bands.entry(waiter.precedence).or_default().insert(waiter, end);
        self.waiting += 1;
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Removes and returns the next waiter of a pool.
    pub fn pop(&mut self, pool: entity::Pool) -> Option<Waiter> {
        self.pop_where(pool, |_, _| true)
    }

    /// Removes and returns the next waiter of a pool among those whose precedence and team are
    /// `eligible`. The order and the fair shares of the others do not change.
    pub fn pop_where(
        &mut self,
        pool: entity::Pool,
        eligible: impl FnMut(u32, entity::Team) -> bool,
    ) -> Option<Waiter> {
        let queue = self.pools.get_mut(&pool)?;
        let waiter = queue.pop(&self.shares, eligible)?;
        self.waiting -= 1;
        Some(waiter)
    }

    /// Removes a waiter. Returns whether it was queued.
    pub fn remove(&mut self, waiter: &Waiter) -> bool {
        let queue = self.pools.get_mut(&waiter.pool);
        let band = queue.and_then(|queue| queue.bands.get_mut(&waiter.precedence));
        let removed = band.is_some_and(|band| band.remove(waiter.team, waiter.ticket).is_some());
        self.waiting -= usize::from(removed);
        removed
    }

    /// Returns the mean time from dispatch to the whole answer in the pool.
    pub fn mean_service_time(&self, pool: entity::Pool) -> Duration {
        self.pools.get(&pool).map_or(Duration::ZERO, Pool::mean_service_time)
    }

    /// Returns whether a waiter dispatched at `sent` would miss its deadline.
    pub fn misses_deadline(&self, waiter: &Waiter, sent: clock::Instant) -> bool {
        let service = self.pools.get(&waiter.pool).map_or(Duration::ZERO, Pool::mean_service_time);
        sent + service >= waiter.deadline
    }

    /// Discards the pool's mean service time until the next answer is complete.
    pub fn reset_service_time(&mut self, pool: entity::Pool) {
        if let Some(queue) = self.pools.get_mut(&pool) {
            queue.service_time = None;
        }
    }

    /// Records the time from dispatch to the first byte of an answer of the pool.
    pub fn record_first_byte(&mut self, pool: entity::Pool, time: Duration) {
        let queue = self.pools.entry(pool).or_default();
        let sample = time.as_secs_f64();
        let (mean, deviation) = queue.first_byte.unwrap_or((sample, 0.0));
        let error = sample - mean;
        let deviation = deviation + FIRST_BYTE_GAIN * (error.abs() - deviation);
        queue.first_byte = Some((mean + FIRST_BYTE_GAIN * error, deviation));
    }

    /// Returns the time until which a request may wait if its answer is to begin by
    /// `begin_by`. If that time has already passed, the request may still be
    /// dispatched immediately.
    pub fn latest_dispatch(&self, pool: entity::Pool, begin_by: clock::Instant) -> clock::Instant {
        let first_byte = self.pools.get(&pool).and_then(|queue| queue.first_byte);
        let (mean, deviation) = first_byte.unwrap_or_default();
        begin_by.saturating_sub(Duration::from_secs_f64(mean + FIRST_BYTE_DEVIATIONS * deviation))
    }

    /// Records whether all backend servers of the pool are full, as seen by an
    /// arriving request.
    pub fn set_full(&mut self, pool: entity::Pool, full: bool, now: clock::Instant) {
        let queue = self.pools.entry(pool).or_default();
        if full {
            queue.full_periods.begin(now);
            queue.full_arrivals = queue.full_arrivals.wrapping_add(1);
        } else {
            queue.full_periods.end(now);
        }
    }

    /// Records the time from dispatch to the whole answer of a request of the pool.
    pub fn record_answer(&mut self, pool: entity::Pool, time: Duration) {
        let queue = self.pools.entry(pool).or_default();
        let sample = time.as_secs_f64();
        let mean = queue.service_time.unwrap_or(sample);
        queue.service_time = Some(mean + SERVICE_GAIN * (sample - mean));
    }

    /// Removes and returns all waiters that have expired or can no longer meet
    /// their deadline.
    pub fn remove_expired(&mut self, now: clock::Instant) -> Vec<Waiter> {
        let mut late = Vec::new();
        for queue in self.pools.values_mut() {
            queue.remove_expired(now, &mut late);
        }
        self.waiting -= late.len();
        late
    }

    /// Removes and returns those waiters for a pool that would expire or miss their
    /// deadline if the first one were dispatched at `first`, and each further one
    /// `spacing` after the one before.
    pub fn remove_late(
        &mut self,
        pool: entity::Pool,
        first: clock::Instant,
        spacing: Duration,
    ) -> Vec<Waiter> {
        let Some(queue) = self.pools.get(&pool) else { return Vec::new() };
        let (mut late, mut at) = (Vec::new(), first);
        for band in queue.bands.values() {
            for waiter in band.by_age() {
                if waiter.deadline <= at + queue.mean_service_time() || waiter.expires <= at {
                    late.push(waiter);
                } else {
                    at = at + spacing;
                }
            }
        }
        late.iter().for_each(|waiter| {
            self.remove(waiter);
        });
        late
    }

    /// Records that a request of the pool was dispatched, for the departure rate.
    pub fn record_departure(&mut self, pool: entity::Pool, now: clock::Instant) {
        let queue = self.pools.entry(pool).or_default();
        if let Some(before) = queue.departed {
            let sample = now.since(before).as_secs_f64();
            let mean = queue.departure_interval.unwrap_or(sample);
            queue.departure_interval = Some(mean + DEPARTURE_GAIN * (sample - mean));
        }
        queue.departed = Some(now);
    }

    /// Returns how long a request of that precedence would wait at the current
    /// departure rate.
    pub fn expected_wait(&self, pool: entity::Pool, precedence: u32) -> Duration {
        let Some(queue) = self.pools.get(&pool) else { return Duration::ZERO };
        let ahead: usize = queue.bands.range(..=precedence).map(|(_, band)| band.len).sum();
        Duration::from_secs_f64(ahead as f64 * queue.departure_interval.unwrap_or(0.0))
    }

    /// Returns how long a new waiter would wait at the current departure rate. The
    /// waiters of a team that floods the queue do not delay the other teams, which
    /// take turns with it.
    fn expected_turn(&self, waiter: &Waiter) -> Duration {
        let Some(queue) = self.pools.get(&waiter.pool) else { return Duration::ZERO };
        let urgent = queue.bands.range(..waiter.precedence).map(|(_, band)| band.len as f64);
        let own = queue.bands.get(&waiter.precedence);
        let ahead = urgent.sum::<f64>() + own.map_or(0.0, |band| band.ahead(waiter, &self.shares));
        Duration::from_secs_f64(ahead * queue.departure_interval.unwrap_or(0.0))
    }

    /// Displaces a waiter to make room for a new request. Selects the team with the
    /// most waiters relative to its weight. Returns `None` if the new request is
    /// not more urgent than that team's least urgent waiter and its own team would
    /// have at least as many relative to its weight.
    fn displace(&mut self, newcomer: &Waiter) -> Option<Waiter> {
        let mut counts: BTreeMap<entity::Team, (u32, u32)> = BTreeMap::new();
        for band in self.pools.values().flat_map(|queue| &queue.bands) {
            for (team, waiters) in &band.1.teams {
                let count = counts.entry(*team).or_default();
                count.0 += waiters.len() as u32;
                count.1 = count.1.max(*band.0);
            }
        }
        let load =
            |team: entity::Team, count: u32| f64::from(count) / f64::from(self.shares[team].weight);
        let own = counts.get(&newcomer.team).map_or(0, |count| count.0);
        let (team, (count, precedence)) =
            counts.into_iter().max_by(|a, b| load(a.0, a.1.0).total_cmp(&load(b.0, b.1.0)))?;
        let more_urgent = newcomer.precedence < precedence;
        let more_loaded = load(team, count) > load(newcomer.team, own + 1);
        if !more_urgent && !more_loaded {
            return None;
        }
        let bands = self.pools.values_mut().filter_map(|queue| queue.bands.get_mut(&precedence));
        let displaced = bands.filter_map(|band| band.pop_last(team)).next()?;
        self.waiting -= 1;
        Some(displaced)
    }

    /// Checks the invariants of the queue.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        let bands = || self.pools.values().flat_map(|queue| queue.bands.values());
        if bands().any(|band| band.len != band.teams.values().map(VecDeque::len).sum()) {
            return Err(Fault::Band);
        }
        if bands().map(|band| band.len).sum::<usize>() != self.waiting {
            return Err(Fault::Total);
        }
        if bands().flat_map(|band| band.teams.values()).any(VecDeque::is_empty) {
            return Err(Fault::Empty);
        }
        Ok(())
    }
}

/// Violated invariant of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The length of a band differs from the number of its waiters.
    #[error("the length of a band differs from its number of waiters")]
    Band,
    /// The number of waiters differs from the sum over the bands.
    #[error("the number of waiters differs from the sum over the bands")]
    Total,
    /// A band lists a team that has no waiters.
    #[error("a band lists a team without waiters")]
    Empty,
}

impl Pool {
    fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.unwrap_or(0.0))
    }

    fn remove_expired(&mut self, at: clock::Instant, late: &mut Vec<Waiter>) {
        let answered = at + self.mean_service_time();
        for band in self.bands.values_mut() {
            band.remove_expired(at, answered, late);
        }
    }

    fn len(&self) -> usize {
        self.bands.values().map(|band| band.len).sum()
    }
}
