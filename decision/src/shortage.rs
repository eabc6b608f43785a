//! Distributes the capacity of a pool among precedences and teams while it is short.
//!
//! The queue serves urgent requests first, but only among the requests that wait at the same
//! time. In a shortage, less urgent streams would occupy the capacity for seconds before an
//! urgent request arrives. [`Gate`] therefore reserves the expected demand of more urgent
//! precedences, and within a precedence that of teams within their max-min fair share.
//! [`Credit`] turns a fractional limit into streams.

mod credit;
mod rate;

use std::collections::BTreeMap;
use std::time::Duration;

pub use credit::Credit;

use crate::admission::STARVATION_INTERVAL;
use crate::{clock, entity};

/// Time constant of the arrival rate of a precedence. It covers two to three durations of a
/// stream, and is half of the bursts that it has to follow (8 s).
const PRECEDENCE_MEMORY: Duration = Duration::from_secs(4);
/// Time constant of the arrival rate of a precedence in a sudden burst, as when a group returns to
/// service and all clients retry within some 200 ms.
const BURST_MEMORY: Duration = Duration::from_millis(500);
/// Standard deviations by which a sudden burst has to exceed zero, so that a few arrivals that
/// coincide at one gateway are not taken for one.
const BURST_DEVIATIONS: f64 = 2.0;
/// Time constant of the arrival rate of all requests: two updates of the bound, within which it has
/// to show that the requests of other gateways have moved to this one.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(200);
/// Time constant of the arrival rate of a team. A small team sends a request to a gateway every
/// ten seconds or less often, so a shorter time would count it as large after each request.
const TEAM_MEMORY: Duration = Duration::from_secs(16);
/// Time between two computations of demands and shares; a tenth of the time in which
/// all clients of a group return.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which limits apply after the capacity held a request back. It exceeds the time that
/// requests wait, so that limits do not come and go within a shortage.
const SHORTAGE_HOLD: Duration = Duration::from_secs(1);
/// Unused capacity after which a request is dispatched regardless of the limits, as a fraction of
/// the mean duration of a stream. It bounds the service that reservations without a request cost;
/// a smaller one lets less urgent streams take the places that the most urgent requests need.
const SPARE: f64 = 0.2;
/// Arrival rate, per second, below which an idle precedence or team is forgotten.
const MIN_RATE: f64 = 0.001;

/// Limit that keeps a request from being dispatched although the capacity has room, and the values
/// that it was computed from, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Precedence of the request.
    pub precedence: u32,
    /// Team of the request, if the limit applies because the team is over its share.
    pub team: Option<entity::Team>,
    /// Streams that may be in flight under the limit.
    pub limit: f64,
    /// Streams in flight that count towards the limit.
    pub in_flight: u32,
    /// Streams of the gateway that fit into the pool.
    pub capacity: f64,
    /// Time since the newest arrival for which capacity is reserved.
    pub age: Duration,
}

/// Demand and streams of a pool at one gateway.
#[derive(Debug, Clone)]
pub struct Gate {
    bands: BTreeMap<u32, Band>,
    /// Arrival rate of all requests.
    arrivals: rate::Rate,
    /// Streams of this gateway that fit.
    capacity: f64,
    /// Mean duration of a stream, seconds.
    service: f64,
    /// Whether the demand exceeds the capacity.
    exceeded: bool,
    /// Time until which limits apply because the capacity held a request back.
    held_until: clock::Instant,
    /// Unused capacity since the capacity was last full.
    spare: Credit,
    planned: Option<clock::Instant>,
    advanced: clock::Instant,
}

/// One precedence.
#[derive(Debug, Clone)]
struct Band {
    rate: rate::Rate,
    burst: rate::Rate,
    in_flight: u32,
    teams: BTreeMap<entity::Team, Member>,
    /// Streams that the arrivals keep in flight.
    demand: f64,
    /// Guaranteed fraction of the capacity.
    minimum: f64,
    /// Demand of the teams within their share.
    within_demand: f64,
    /// Streams in flight of teams over their share.
    over_in_flight: u32,
    credit: Credit,
    minimum_credit: Credit,
    over_credit: Credit,
}

/// A team within a precedence.
#[derive(Debug, Clone)]
struct Member {
    rate: rate::Rate,
    in_flight: u32,
    weight: f64,
    /// Whether the demand exceeds the max-min share.
    over: bool,
}

impl Default for Band {
    fn default() -> Band {
        Band {
            rate: rate::Rate::new(PRECEDENCE_MEMORY),
            burst: rate::Rate::new(BURST_MEMORY),
            in_flight: 0,
            teams: BTreeMap::new(),
            demand: 0.0,
            minimum: MINIMUM,
            within_demand: 0.0,
            over_in_flight: 0,
            credit: Credit::default(),
            minimum_credit: Credit::default(),
            over_credit: Credit::default(),
        }
    }
}

impl Default for Member {
    fn default() -> Member {
        Member { rate: rate::Rate::new(TEAM_MEMORY), in_flight: 0, weight: 1.0, over: false }
    }
}

impl Default for Gate {
    /// Returns a gate without limits.
    fn default() -> Gate {
        Gate {
            bands: BTreeMap::new(),
            arrivals: rate::Rate::new(ARRIVAL_MEMORY),
            capacity: f64::INFINITY,
            service: 0.0,
            exceeded: false,
            held_until: clock::Instant::ZERO,
            spare: Credit::default(),
            planned: None,
            advanced: clock::Instant::ZERO,
        }
    }
}

impl Gate {
    /// Records the arrival of a request of a team with that weight.
    pub fn record_arrival(
        &mut self,
        precedence: u32,
        team: entity::Team,
        weight: u32,
        now: clock::Instant,
    ) {
        self.arrivals.record(now);
        let band = self.bands.entry(precedence).or_default();
        band.rate.record(now);
        band.burst.record(now);
        let member = band.teams.entry(team).or_default();
        member.weight = f64::from(weight.max(1));
        member.rate.record(now);
    }

    /// Records that a stream started.
    pub fn record_start(&mut self, precedence: u32, team: entity::Team, now: clock::Instant) {
        self.advance(now);
        if self.check_limits(precedence, team, now).is_err() {
            self.spare = self.spare.less(self.spare_limit());
        }
        let band = self.bands.entry(precedence).or_default();
        let member = band.teams.entry(team).or_default();
        member.in_flight += 1;
        band.in_flight += 1;
        band.over_in_flight += u32::from(member.over);
        if f64::from(self.in_flight()) >= self.capacity && self.spare.balance() > 0.0 {
            self.spare = Credit::default();
        }
    }

    /// Records that a stream ended.
    pub fn record_end(&mut self, precedence: u32, team: entity::Team, now: clock::Instant) {
        self.advance(now);
        let Some(band) = self.bands.get_mut(&precedence) else { return };
        let Some(member) = band.teams.get_mut(&team) else { return };
        debug_assert!(member.in_flight > 0, "{team} has no stream in flight");
        let ended = member.in_flight.min(1);
        member.in_flight -= ended;
        band.in_flight -= ended;
        band.over_in_flight -= if member.over { ended } else { 0 };
    }

    /// Records that the capacity held a request back.
    pub fn record_held(&mut self, now: clock::Instant) {
        self.held_until = now + SHORTAGE_HOLD;
    }

    /// Returns the rate, per second, at which requests arrive at least: few arrivals that coincide
    /// count as none.
    pub fn arrival_rate(&self, now: clock::Instant) -> f64 {
        self.arrivals.at_least(BURST_DEVIATIONS, now)
    }

    /// Returns the number of streams in flight.
    pub fn in_flight(&self) -> u32 {
        self.bands.values().map(|band| band.in_flight).sum()
    }

    /// Updates the limits for the gateway's current capacity in streams and the mean duration of a
    /// stream.
    pub fn update(&mut self, capacity: f64, service: Duration, now: clock::Instant) {
        self.advance(now);
        self.capacity = capacity;
        if self.planned.is_some_and(|planned| now.since(planned) < PLAN_INTERVAL) {
            return;
        }
        self.planned = Some(now);
        self.service = service.as_secs_f64();
        self.forget_idle(now);
        for band in self.bands.values_mut() {
            let burst = band.burst.at_least(BURST_DEVIATIONS, now);
            band.demand = band.rate.per_second(now).max(burst) * self.service;
        }
        let demand = self.bands.values().map(|band| band.demand).sum::<f64>();
        self.exceeded = demand > capacity;
        for band in self.bands.values_mut() {
            // More than its part of the demand would serve a less urgent precedence better than
            // the most urgent one.
            let part = band.demand / demand.max(f64::MIN_POSITIVE);
            band.minimum = if self.exceeded { part.min(MINIMUM) } else { MINIMUM };
        }
        let limits: Vec<f64> =
            self.bands.keys().map(|precedence| self.limit(*precedence)).collect();
        for (band, limit) in self.bands.values_mut().zip(limits) {
            band.share_among_teams(limit.max(capacity * band.minimum), self.service, now);
        }
    }

    fn forget_idle(&mut self, now: clock::Instant) {
        for band in self.bands.values_mut() {
            band.teams.retain(|_, team| team.in_flight > 0 || team.rate.per_second(now) > MIN_RATE);
        }
        self.bands.retain(|_, band| !band.teams.is_empty() || band.rate.per_second(now) > MIN_RATE);
    }

    /// Advances the credits with the limits and streams since the last change.
    fn advance(&mut self, now: clock::Instant) {
        let time = now.since(self.advanced).as_secs_f64();
        self.advanced = now;
        if time == 0.0 || !self.capacity.is_finite() {
            return;
        }
        let capacity = self.capacity;
        let mut limit = self.capacity;
        let mut less_urgent = self.in_flight();
        let cap = self.service;
        self.spare = self.spare.after(capacity, less_urgent, time, self.spare_limit());
        for band in self.bands.values_mut() {
            band.credit = band.credit.after(limit, less_urgent, time, cap);
            let minimum = band.minimum * capacity;
            band.minimum_credit = band.minimum_credit.after(minimum, band.in_flight, time, cap);
            let over_limit = band.over_limit(limit.max(minimum));
            band.over_credit = band.over_credit.after(over_limit, band.over_in_flight, time, cap);
            limit -= band.demand.max(f64::from(band.in_flight));
            less_urgent -= band.in_flight;
        }
    }

    /// Returns the streams that a precedence and all less urgent ones may have in flight, without
    /// the guaranteed minimum.
    fn limit(&self, precedence: u32) -> f64 {
        let reserved = |(_, band): (&u32, &Band)| band.demand.max(f64::from(band.in_flight));
        self.capacity - self.bands.range(..precedence).map(reserved).sum::<f64>()
    }

    /// Returns the unused capacity after which a request is dispatched regardless of the limits,
    /// stream-seconds.
    fn spare_limit(&self) -> f64 {
        self.service * SPARE
    }

    /// Checks whether a request may be dispatched now, given that the capacity has room for a
    /// stream.
    ///
    /// # Errors
    ///
    /// The limit that the request has to wait for.
    pub fn check(
        &self,
        precedence: u32,
        team: entity::Team,
        now: clock::Instant,
    ) -> Result<(), Limit> {
        let spare = self.spare.balance() >= self.spare_limit();
        if spare { Ok(()) } else { self.check_limits(precedence, team, now) }
    }

    fn check_limits(
        &self,
        precedence: u32,
        team: entity::Team,
        now: clock::Instant,
    ) -> Result<(), Limit> {
        let short = self.exceeded || now < self.held_until;
        if !short || !self.capacity.is_finite() {
            return Ok(());
        }
        let Some(band) = self.bands.get(&precedence) else { return Ok(()) };
        let more_urgent = self.bands.range(..precedence);
        let minimum = self.capacity * band.minimum;
        let limit = self.limit(precedence);
        if more_urgent.clone().next().is_some() {
            let in_flight = self.bands.range(precedence..).map(|(_, band)| band.in_flight).sum();
            if !band.credit.admits(limit, in_flight)
                && !band.minimum_credit.admits(minimum, band.in_flight)
            {
                let newest = more_urgent.filter_map(|(_, band)| band.rate.last()).max();
                let age = newest.map_or(Duration::ZERO, |newest| now.since(newest));
                let (limit, capacity) = (limit.max(minimum), self.capacity);
                return Err(Limit { precedence, team: None, limit, in_flight, capacity, age });
            }
        }
        // Teams that are all over their share give way to nobody.
        let gives_way = |member: &&Member| member.over && band.within_demand > 0.0;
        let Some(member) = band.teams.get(&team).filter(gives_way) else { return Ok(()) };
        let over_limit = band.over_limit(limit.max(minimum));
        if band.over_credit.admits(over_limit, band.over_in_flight) {
            return Ok(());
        }
        let age = member.rate.last().map_or(Duration::ZERO, |last| now.since(last));
        Err(Limit {
            precedence,
            team: Some(team),
            limit: over_limit,
            in_flight: band.over_in_flight,
            capacity: self.capacity,
            age,
        })
    }
}

/// Fraction of the capacity that each less urgent precedence keeps at most while a more urgent one
/// asks for all of it.
const MINIMUM: f64 = 1.0 / STARVATION_INTERVAL as f64;

impl Band {
    /// Returns the streams that the teams over their share may have in flight together.
    fn over_limit(&self, limit: f64) -> f64 {
        let within = f64::from(self.in_flight - self.over_in_flight);
        limit - self.within_demand.max(within)
    }

    /// Determines by weighted max-min which teams are over their share of `limit` streams.
    fn share_among_teams(&mut self, limit: f64, service: f64, now: clock::Instant) {
        let mut demands: Vec<(f64, f64)> = self
            .teams
            .values()
            .map(|team| (team.rate.per_second(now) * service, team.weight))
            .collect();
        demands.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut left = limit;
        let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
        let mut level = f64::INFINITY;
        for (demand, weight) in demands {
            if demand > weight * left / weights {
                level = left / weights;
                break;
            }
            left -= demand;
            weights -= weight;
        }
        self.within_demand = 0.0;
        self.over_in_flight = 0;
        for team in self.teams.values_mut() {
            let demand = team.rate.per_second(now) * service;
            let share = level * team.weight;
            team.over = demand > share;
            if team.over {
                self.over_in_flight += team.in_flight;
            } else {
                self.within_demand += demand.min(share);
            }
        }
    }
}
