//! Who goes first while requests wait for a backend server.
//!
//! Each pool has a queue for each precedence. Between precedences the most
//! urgent goes first, save that every [`PATIENCE`]th choice goes to the one
//! that has waited longest among the others, so that none starves. Within a precedence,
//! teams share by weight: start-time fair queueing, after Goyal, Vin and
//! Cheng, 1996, with one request as the unit of cost. A request that cannot
//! make its deadline at the present rate is refused at once.

mod band;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::admission::band::{Band, End};
use crate::{clock, entity, episode};

/// One choice in this many goes past the most urgent precedence.
pub const PATIENCE: u32 = 8;
/// Weight of the newest sample in the mean time between departures.
const RATE_GAIN: f64 = 0.1;
/// Weight of the newest sample in the mean time of an answer.
const SERVICE_GAIN: f64 = 0.05;
/// Weight of the newest sample in the mean time until an answer begins and in
/// its deviation.
const BEGIN_GAIN: f64 = 0.1;
/// Deviations above the mean that an answer may take to begin: it is then in
/// time for nearly all.
const BEGIN_DEVIATIONS: f64 = 2.0;
/// Longest time that a refused caller is told to stay away.
const LONGEST_RETURN: Duration = Duration::from_secs(30);

/// Why a request was refused before any attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The team has as many requests here as its limit allows.
    #[error("team-limit")]
    TeamLimit,
    /// The queue is full and the team holds its share of it.
    #[error("queue-full")]
    QueueFull,
    /// The request cannot make its deadline.
    #[error("deadline")]
    Deadline,
}

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Id of the request.
    pub ticket: entity::Ticket,
    /// Pool that it waits for.
    pub pool: entity::Pool,
    /// Team that sent it.
    pub team: entity::Team,
    /// Precedence of its class; 0 goes first.
    pub precedence: u32,
    /// When its answer is due.
    pub deadline: clock::Instant,
    /// Until when it may wait; no later than the deadline.
    pub expires: clock::Instant,
    /// When it began to wait.
    pub since: clock::Instant,
}

/// What one team may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Share relative to the other teams.
    pub weight: u32,
    /// Requests in flight and waiting at the most.
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
    shortest_return: Duration,
    waiting: usize,
    shares: SecondaryMap<entity::Team, Share>,
    held: SecondaryMap<entity::Team, u32>,
    pools: BTreeMap<entity::Pool, Line>,
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct Line {
    bands: BTreeMap<u32, Band>,
    /// Choices of the most urgent precedence since another had its turn.
    streak: u32,
    /// Mean time between departures, seconds; none before the second one.
    spacing: Option<f64>,
    departed: Option<clock::Instant>,
    /// Mean time from sending to the whole answer, seconds.
    service: Option<f64>,
    /// Mean time from sending to the beginning of the answer, and its mean
    /// deviation, seconds.
    begin: Option<(f64, f64)>,
    /// Times in which all its backend servers had no room.
    full: episode::Episode,
    /// Callers that were refused for want of room, for the spread of their returns.
    refused: u32,
    /// Until when callers were told to come back for what rate limits allow.
    booked: clock::Instant,
}

impl Queue {
    /// An empty queue that holds at most `capacity` waiters; whoever is refused
    /// is told to stay away for `shortest_return` at the least.
    pub fn new(capacity: usize, shortest_return: Duration) -> Queue {
        Queue {
            capacity,
            shortest_return,
            waiting: 0,
            shares: SecondaryMap::new(),
            held: SecondaryMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Sets what a team may do.
    pub fn set_share(&mut self, team: entity::Team, share: Share) {
        self.shares[team] = share;
    }

    /// Number of waiters.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of waiters for a pool.
    pub fn waiting_for(&self, pool: entity::Pool) -> usize {
        self.pools.get(&pool).map_or(0, Line::len)
    }

    /// Pools that somebody waits for, in the order of their ids.
    pub fn waited_for(&self) -> Vec<entity::Pool> {
        let waited = self.pools.iter().filter(|(_, line)| line.len() > 0);
        waited.map(|(pool, _)| *pool).collect()
    }

    /// Requests of a team in flight and waiting.
    pub fn held(&self, team: entity::Team) -> u32 {
        self.held[team]
    }

    /// Counts a request against its team's limit until [`Queue::release`].
    ///
    /// # Errors
    ///
    /// [`Refusal::TeamLimit`].
    pub fn hold(&mut self, team: entity::Team) -> Result<(), Refusal> {
        if self.held[team] >= self.shares[team].limit {
            return Err(Refusal::TeamLimit);
        }
        self.held[team] += 1;
        Ok(())
    }

    /// A request that was held has its final answer.
    pub fn release(&mut self, team: entity::Team) {
        debug_assert!(self.held[team] > 0, "{team} released more than it held");
        self.held[team] = self.held[team].saturating_sub(1);
    }

    /// Lets a held request wait. Returns the waiter that had to give way, if
    /// the queue was full: the last one of the team that holds most for its
    /// weight, so that a greedy team displaces itself.
    ///
    /// # Errors
    ///
    /// [`Refusal::Deadline`] where it would wait in vain, and
    /// [`Refusal::QueueFull`] where it would itself have to give way.
    pub fn push(&mut self, waiter: Waiter, now: clock::Instant) -> Result<Option<Waiter>, Refusal> {
        let wait = self.expected_wait(waiter.pool, waiter.precedence);
        let starts = now + wait;
        if self.too_late(&waiter, starts) || (starts > now && starts > waiter.expires) {
            return Err(Refusal::Deadline);
        }
        let mut displaced = None;
        if self.waiting >= self.capacity {
            displaced = Some(self.displace(&waiter).ok_or(Refusal::QueueFull)?);
        }
        self.insert(waiter, End::Back);
        Ok(displaced)
    }

    /// Puts a waiter that was sent and came back, not run, before the others of its team.
    pub fn push_front(&mut self, waiter: Waiter) {
        self.insert(waiter, End::Front);
    }

    fn insert(&mut self, waiter: Waiter, end: End) {
        let line = self.pools.entry(waiter.pool).or_default();
        line.bands.entry(waiter.precedence).or_default().insert(waiter, end);
        self.waiting += 1;
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Takes the waiter whose turn it is.
    pub fn pop(&mut self, pool: entity::Pool) -> Option<Waiter> {
        let line = self.pools.get_mut(&pool)?;
        let waiter = line.pop(&self.shares)?;
        self.waiting -= 1;
        Some(waiter)
    }

    /// Takes out a waiter whose caller left.
    pub fn remove(&mut self, waiter: &Waiter) -> bool {
        let line = self.pools.get_mut(&waiter.pool);
        let band = line.and_then(|line| line.bands.get_mut(&waiter.precedence));
        let removed = band.is_some_and(|band| band.remove(waiter.team, waiter.ticket).is_some());
        self.waiting -= usize::from(removed);
        removed
    }

    /// Mean time of a whole answer of the pool.
    pub fn service(&self, pool: entity::Pool) -> Duration {
        self.pools.get(&pool).map_or(Duration::ZERO, Line::service)
    }

    /// Whether a waiter that were sent at that time would miss its deadline.
    pub fn too_late(&self, waiter: &Waiter, sent: clock::Instant) -> bool {
        let service = self.pools.get(&waiter.pool).map_or(Duration::ZERO, Line::service);
        sent + service >= waiter.deadline
    }

    /// Drops the estimate of how long answers of the pool take, until the next one.
    pub fn forget_service(&mut self, pool: entity::Pool) {
        if let Some(line) = self.pools.get_mut(&pool) {
            line.service = None;
        }
    }

    /// An answer of the pool began that long after it was sent for.
    pub fn begun(&mut self, pool: entity::Pool, time: Duration) {
        let line = self.pools.entry(pool).or_default();
        let sample = time.as_secs_f64();
        let (mean, deviation) = line.begin.unwrap_or((sample, 0.0));
        let error = sample - mean;
        let deviation = deviation + BEGIN_GAIN * (error.abs() - deviation);
        line.begin = Some((mean + BEGIN_GAIN * error, deviation));
    }

    /// Until when a request may wait whose answer is to begin by then. It may
    /// always be sent at once.
    pub fn latest(&self, pool: entity::Pool, begin_by: clock::Instant) -> clock::Instant {
        let begin = self.pools.get(&pool).and_then(|line| line.begin);
        let (mean, deviation) = begin.unwrap_or_default();
        begin_by.saturating_sub(Duration::from_secs_f64(mean + BEGIN_DEVIATIONS * deviation))
    }

    /// Whether all backend servers of the pool are without room.
    pub fn set_full(&mut self, pool: entity::Pool, full: bool, now: clock::Instant) {
        let line = self.pools.entry(pool).or_default();
        if full {
            line.full.begin(now);
            line.refused = line.refused.wrapping_add(1);
        } else {
            line.full.end(now);
        }
    }

    /// A request of the pool was answered whole in that time.
    pub fn served(&mut self, pool: entity::Pool, time: Duration) {
        let line = self.pools.entry(pool).or_default();
        let sample = time.as_secs_f64();
        let mean = line.service.unwrap_or(sample);
        line.service = Some(mean + SERVICE_GAIN * (sample - mean));
    }

    /// Takes out all waiters that can no longer make their deadline.
    pub fn sweep(&mut self, now: clock::Instant) -> Vec<Waiter> {
        let mut late = Vec::new();
        for line in self.pools.values_mut() {
            line.sweep(now, &mut late);
        }
        self.waiting -= late.len();
        late
    }

    /// Takes out those waiters for a pool that could not make their deadline if the
    /// first one were sent at that time, and each other one so much later.
    pub fn sweep_for(
        &mut self,
        pool: entity::Pool,
        first: clock::Instant,
        spacing: Duration,
    ) -> Vec<Waiter> {
        let Some(line) = self.pools.get(&pool) else { return Vec::new() };
        let (mut late, mut at) = (Vec::new(), first);
        for band in line.bands.values() {
            for waiter in band.by_age() {
                if waiter.deadline <= at + line.service() || waiter.expires <= at {
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

    /// When a refused caller should come back where the pool has room for one each
    /// `spacing`, whichever gateway it asks then: each is told a time of its own. Who
    /// would have to stay away for too long is told a time among those of others.
    pub fn book(&mut self, pool: entity::Pool, spacing: Duration, now: clock::Instant) -> Duration {
        let shortest = self.shortest_return;
        let line = self.pools.entry(pool).or_default();
        let free = line.booked.max(now) + spacing;
        line.booked = if free.since(now) > LONGEST_RETURN { now + spacing } else { free };
        line.booked.since(now).clamp(shortest, LONGEST_RETURN)
    }

    /// A request of the pool got a backend server; the rate is learnt from this.
    pub fn depart(&mut self, pool: entity::Pool, now: clock::Instant) {
        let line = self.pools.entry(pool).or_default();
        if let Some(before) = line.departed {
            let sample = now.since(before).as_secs_f64();
            let mean = line.spacing.unwrap_or(sample);
            line.spacing = Some(mean + RATE_GAIN * (sample - mean));
        }
        line.departed = Some(now);
    }

    /// How long a request of that precedence would wait at the present rate.
    pub fn expected_wait(&self, pool: entity::Pool, precedence: u32) -> Duration {
        let Some(line) = self.pools.get(&pool) else { return Duration::ZERO };
        let ahead: usize = line.bands.range(..=precedence).map(|(_, band)| band.len).sum();
        Duration::from_secs_f64(ahead as f64 * line.spacing.unwrap_or(0.0))
    }

    /// When a refused caller should come back: after the present queue is gone,
    /// after as long as the pool mostly stays full, and not before `least` is
    /// over. Callers are told times that differ, so that they do not come back together.
    pub fn retry_after(&self, pool: entity::Pool, least: Duration) -> Duration {
        let line = self.pools.get(&pool);
        let full = line.and_then(|line| line.full.left()).unwrap_or(Duration::ZERO);
        let refused = line.map_or(0, |line| line.refused);
        let wait = self.expected_wait(pool, u32::MAX).max(full).max(least);
        let wait = wait.max(self.shortest_return);
        wait.mul_f64(spread(refused)).min(LONGEST_RETURN)
    }

    /// Makes room for a newcomer, if a team holds more for its weight than
    /// the newcomer's team would.
    fn displace(&mut self, newcomer: &Waiter) -> Option<Waiter> {
        let mut counts: BTreeMap<entity::Team, (u32, u32)> = BTreeMap::new();
        for band in self.pools.values().flat_map(|line| &line.bands) {
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
        let bands = self.pools.values_mut().filter_map(|line| line.bands.get_mut(&precedence));
        let displaced = bands.filter_map(|band| band.pop_last(team)).next()?;
        self.waiting -= 1;
        Some(displaced)
    }

    /// Checks the queue's invariants.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        let bands = || self.pools.values().flat_map(|line| line.bands.values());
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

/// Part of a wait that a caller is told, from one to two, spread evenly over
/// callers in a row by the golden ratio.
fn spread(number: u32) -> f64 {
    const GOLDEN: f64 = 0.618_033_988_749_895;
    1.0 + (f64::from(number) * GOLDEN).fract()
}

/// A broken invariant of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A band's length is that of its teams' waiters.
    #[error("a band's length is off")]
    Band,
    /// The total is the sum over the bands.
    #[error("the total is off")]
    Total,
    /// A team without waiters is not listed.
    #[error("a team without waiters is listed")]
    Empty,
}

impl Line {
    fn service(&self) -> Duration {
        Duration::from_secs_f64(self.service.unwrap_or(0.0))
    }

    fn sweep(&mut self, at: clock::Instant, late: &mut Vec<Waiter>) {
        let answered = at + self.service();
        for band in self.bands.values_mut() {
            band.sweep(at, answered, late);
        }
    }

    fn len(&self) -> usize {
        self.bands.values().map(|band| band.len).sum()
    }

    fn pop(&mut self, shares: &SecondaryMap<entity::Team, Share>) -> Option<Waiter> {
        let urgent = *self.bands.iter().find(|(_, band)| band.len > 0)?.0;
        let patient = self
            .bands
            .iter()
            .filter(|(precedence, band)| **precedence > urgent && band.len > 0)
            .min_by_key(|(_, band)| band.oldest())
            .map(|(precedence, _)| *precedence);
        let chosen = match patient {
            Some(other) if self.streak + 1 >= PATIENCE => other,
            _ => urgent,
        };
        self.streak = if chosen == urgent && patient.is_some() { self.streak + 1 } else { 0 };
        self.bands.get_mut(&chosen)?.pop(shares)
    }
}
