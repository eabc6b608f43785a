//! Division of a backend server's rate limit among gateways.
//!
//! An overloaded server reports in its responses how many requests a second it accepts
//! from all gateways together; the limit is in force until a response without one. The
//! gateways share no counter. Each computes from the names of the others which of them,
//! the *holders*, use a server's limit. Holders send at even intervals. All other
//! gateways send a request at long intervals, as its response shows them whether the limit
//! is lifted.
//!
//! There are few holders, with intervals about as long as the span over which requests are
//! counted. This bounds the total while gateways disagree on the list of gateways, and
//! each holder can use its share even with little demand.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::{clock, rendezvous};

/// Span over which users of the system count the requests that arrive at a server.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests within [`LIMIT_SPAN`] that these users tolerate: a factor on the number that the
/// limit allows, and an additional number.
const ALLOWED: (f64, f64) = (1.5, 5.0);
/// Maximum time by which requests move closer together in transit: the longest time to
/// open a new connection.
const NETWORK_JITTER: Duration = Duration::from_millis(250);
/// Maximum delay of a request that the next one catches up on. Requests arrive at random
/// times, and queued ones are examined only periodically.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);
/// Fractions of the limit for holders and for all other gateways, which use theirs to
/// detect that the limit is lifted.
const SHARES: (f64, f64) = (0.85, 0.15);
/// Fraction of the tolerated requests that is planned for holders. The rest is a margin for
/// gateways that consider themselves holders by an outdated list of gateways.
const PLANNED_PART: f64 = 0.7;
/// Maximum transit time of another gateway's report that a limit is lifted.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(2);
/// Time over which gateways that received such a report return to the server.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Minimum rate for calculations, in requests a second. A server that accepts no requests
/// is still probed at long intervals for whether the limit is in force.
const MIN_RATE: f64 = 0.05;

/// Rate that a backend server accepts from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Limit {
    /// Requests in 1,000 seconds.
    millihertz: u32,
}

impl Limit {
    /// Returns a limit of `rate` requests a second, or `None` if `rate` is negative or not
    /// finite. A rate that does not fit is truncated, which is harmless: no server accepts
    /// four million requests a second.
    pub fn per_second(rate: f64) -> Option<Limit> {
        let known = rate.is_finite() && rate >= 0.0;
        known.then(|| Limit { millihertz: (rate * 1_000.0).min(f64::from(u32::MAX)) as u32 })
    }

    /// Returns the requests a second.
    pub fn rate(self) -> f64 {
        f64::from(self.millihertz) / 1_000.0
    }

    /// Returns the requests a second for calculations: at least [`MIN_RATE`].
    pub fn usable(self) -> f64 {
        self.rate().max(MIN_RATE)
    }

    /// Returns how many of the gateways are holders: the largest number that sends no more
    /// than planned within any [`LIMIT_SPAN`].
    fn holders(self, gateways: u32) -> u32 {
        let span = (LIMIT_SPAN + NETWORK_JITTER + MAX_CATCH_UP).as_secs_f64();
        let most =
            PLANNED_PART * (ALLOWED.0 * self.usable() * LIMIT_SPAN.as_secs_f64() + ALLOWED.1);
        let each =
            |holders: u32| 1.0 + (span * self.usable() * SHARES.0 / f64::from(holders)).floor();
        let fits = |holders: &u32| f64::from(*holders) * each(*holders) <= most;
        (1..=gateways).rev().find(fits).unwrap_or(1)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rate())
    }
}

/// Report of a response on its backend server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Notice {
    /// Nothing is known: the response is not from the run that the request was sent to.
    #[default]
    Unknown,
    /// The response reports no limit.
    Unlimited,
    /// The response reports this limit.
    Limited(Limit),
    /// The response reports a limit that cannot be parsed.
    Unreadable,
}

/// State change that a notice caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The first limit is in force and replaces the second one, if there was one.
    Limited(Limit, Option<Limit>),
    /// The limit is lifted; limits had been in force for this time.
    Lifted(Duration),
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the gateway.
    pub name: Arc<str>,
    /// Availability zone of the gateway.
    pub zone: Arc<str>,
}

/// All gateways that this gateway knows, itself included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peers {
    own: Peer,
    others: Vec<Peer>,
}

impl Default for Peers {
    fn default() -> Peers {
        let own = Peer { name: "".into(), zone: "".into() };
        Peers { own, others: Vec::new() }
    }
}

impl Peers {
    /// Creates the set from a list of gateways, which may include this one.
    pub fn new(own: Peer, listed: impl IntoIterator<Item = Peer>) -> Peers {
        let others = listed.into_iter().filter(|peer| peer.name != own.name);
        Peers { others: others.collect(), own }
    }

    /// Returns this gateway's place in the order in which gateways become holders of a
    /// server's limit. Gateways in the server's zone come first, since others seldom send
    /// it requests.
    pub fn place(&self, server: &str, zone: &str) -> Place {
        let key = |peer: &Peer| {
            (*peer.zone == *zone, rendezvous::weight(server, &peer.name), peer.name.clone())
        };
        let own = key(&self.own);
        let mut place = Place { rank: 0, in_zone: u32::from(own.0), all: 1 };
        for other in self.others.iter().map(key) {
            place.rank += u32::from(other > own);
            place.in_zone += u32::from(other.0);
            place.all += 1;
        }
        place
    }
}

/// A gateway's place among those that may become holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Position in the order, from 0.
    pub rank: u32,
    /// Number of gateways in the server's zone.
    pub in_zone: u32,
    /// Number of all gateways.
    pub all: u32,
}

/// Rate at which a gateway may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Whether the gateway is a holder.
    pub holder: bool,
    /// Time between two requests.
    pub interval: Duration,
    /// Time until the first request; it differs between gateways to spread them out.
    pub first: Duration,
}

impl Pace {
    fn new(limit: Limit, place: Place) -> Pace {
        // Without a gateway in the server's zone, any gateway may become a holder.
        let near = if place.in_zone == 0 { place.all } else { place.in_zone };
        let holders = limit.holders(near);
        let holder = place.rank < holders;
        let (part, turn, turns) = match holder {
            true => (SHARES.0, place.rank, holders),
            false => (SHARES.1, place.rank - holders, place.all - holders),
        };
        let step = Duration::from_secs_f64(1.0 / (limit.usable() * part));
        Pace { holder, interval: step * turns, first: step * (turn + 1) }
    }
}

/// A limit in force, and the share of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    limit: Limit,
    place: Place,
    pace: Pace,
    /// Time at which the last response that reported the limit was received.
    received: clock::Instant,
    /// Time since which any limit has been in force.
    since: clock::Instant,
    /// Time at which this gateway last became a holder or ceased to be one.
    role_since: clock::Instant,
    /// Time at which the last request was due, or [`MAX_CATCH_UP`] before it was sent if
    /// that is later.
    last: Option<clock::Instant>,
}

impl Quota {
    fn new(limit: Limit, place: Place, now: clock::Instant) -> Quota {
        let pace = Pace::new(limit, place);
        Quota { limit, place, pace, received: now, since: now, role_since: now, last: None }
    }

    /// Returns the limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns the rate at which this gateway may send.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Returns the time since which any limit has been in force.
    pub fn since(&self) -> clock::Instant {
        self.since
    }

    /// Applies the notice in the response to a request that was sent at `sent`; the response
    /// was received at `now`.
    ///
    /// Responses arrive out of order. A response to a request that was sent after the last
    /// notice was received is certainly newer and replaces it. Of other responses, only a
    /// lower limit is applied.
    pub fn update(
        quota: &mut Option<Quota>,
        notice: Notice,
        place: impl FnOnce() -> Place,
        (sent, now): (clock::Instant, clock::Instant),
    ) -> Option<Change> {
        match (notice, quota.as_mut()) {
            (Notice::Unknown | Notice::Unreadable, _) | (Notice::Unlimited, None) => None,
            (Notice::Unlimited, Some(known)) => {
                let (since, newer) = (known.since, sent >= known.received);
                newer.then(|| {
                    *quota = None;
                    Change::Lifted(now.since(since))
                })
            }
            (Notice::Limited(limit), None) => {
                *quota = Some(Quota::new(limit, place(), now));
                Some(Change::Limited(limit, None))
            }
            (Notice::Limited(limit), Some(known)) => {
                let before = known.limit;
                known.limit = if sent >= known.received { limit } else { limit.min(before) };
                known.received = now;
                known.update_pace(now);
                (known.limit != before).then_some(Change::Limited(known.limit, Some(before)))
            }
        }
    }

    /// Sets this gateway's place after the list of gateways changed.
    pub fn set_place(&mut self, place: Place, now: clock::Instant) {
        self.place = place;
        self.update_pace(now);
    }

    /// Returns whether another gateway's report that the limit is lifted may be newer than
    /// the last notice that this gateway received.
    pub fn may_be_over(&self, now: clock::Instant) -> bool {
        now.since(self.received) >= MAX_NEWS_DELAY
    }

    /// Returns how long after the limit was lifted this gateway sends again.
    pub fn return_after(&self) -> Duration {
        RETURN_TIME.mul_f64(f64::from(self.place.rank) / f64::from(self.place.all))
    }

    /// Updates the pace to the limit and the place. A new holder waits as if it had just
    /// received the limit, as the previous holder may not know of the change yet.
    fn update_pace(&mut self, now: clock::Instant) {
        let pace = Pace::new(self.limit, self.place);
        if pace.holder != self.pace.holder {
            self.role_since = now;
        }
        self.pace = pace;
    }

    /// Returns the time at which the next request may be sent.
    pub fn next(&self) -> clock::Instant {
        let first = self.role_since + self.pace.first;
        match self.last {
            Some(last) if last >= self.role_since => last + self.pace.interval,
            Some(last) => first.max(last + self.pace.interval),
            None => first,
        }
    }

    /// Returns whether a request may be sent now.
    pub fn admits(&self, now: clock::Instant) -> bool {
        now >= self.next()
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: clock::Instant) {
        self.last = Some(self.next().max(now.saturating_sub(MAX_CATCH_UP)).min(now));
    }
}
