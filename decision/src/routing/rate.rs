//! The rate limit that a backend server names in its answers.
//!
//! A server in need names how many requests a second it takes from all gateways
//! together, for as long as its answers say so. Gateways share no counter: each
//! knows the others by name, and by that alone which of them use a server's limit.
//! These, its holders, send at even intervals. All others send a request once in a
//! long while: by its answer each of them hears when the limit is lifted.
//!
//! Few holders with intervals as long as the span that counts keep the sum bounded
//! while gateways differ on who there is, and need little demand each.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::{clock, rendezvous};

/// Span over which the users count the requests at a server.
const SPAN: Duration = Duration::from_secs(4);
/// Requests within [`SPAN`] that they allow: so many times what the limit allows, and
/// so many more.
const ALLOWED: (f64, f64) = (1.5, 5.0);
/// Longest time by which requests come closer together on their way: a new connection
/// takes that long at the most.
const JITTER: Duration = Duration::from_millis(250);
/// Longest delay of a request that the next one makes up for: requests come when they
/// come, and waiting ones are looked at now and then.
const SLACK: Duration = Duration::from_millis(100);
/// Parts of the limit that its holders use, and all others to hear of its end.
const PARTS: (f64, f64) = (0.85, 0.15);
/// Part of what the users allow that the holders may send by plan. The rest is for
/// gateways that take themselves for holders by an older list of gateways.
const PLANNED: f64 = 0.7;
/// Time that another gateway's word that a limit is lifted may have been on its way.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Time over which gateways that were told so return to the server.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Least rate that is counted with, requests a second: a server that takes none at all
/// is asked now and then whether it still says so.
const LEAST_RATE: f64 = 0.05;

/// Requests that a backend server takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Limit {
    /// Requests in 1,000 seconds.
    millihertz: u32,
}

impl Limit {
    /// A limit of so many requests a second; none where that is no number of
    /// requests. What does not fit is cut, which changes nothing: no server takes
    /// four million requests a second.
    pub fn per_second(rate: f64) -> Option<Limit> {
        let known = rate.is_finite() && rate >= 0.0;
        known.then(|| Limit { millihertz: (rate * 1_000.0).min(f64::from(u32::MAX)) as u32 })
    }

    /// Requests a second.
    pub fn rate(self) -> f64 {
        f64::from(self.millihertz) / 1_000.0
    }

    /// Requests a second that are counted with.
    pub fn usable(self) -> f64 {
        self.rate().max(LEAST_RATE)
    }

    /// How many of so many gateways use the limit: as many as send no more than
    /// planned within any span.
    fn holders(self, gateways: u32) -> u32 {
        let span = (SPAN + JITTER + SLACK).as_secs_f64();
        let most = PLANNED * (ALLOWED.0 * self.usable() * SPAN.as_secs_f64() + ALLOWED.1);
        let each =
            |holders: u32| 1.0 + (span * self.usable() * PARTS.0 / f64::from(holders)).floor();
        let fits = |holders: &u32| f64::from(*holders) * each(*holders) <= most;
        (1..=gateways).rev().find(fits).unwrap_or(1)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rate())
    }
}

/// What an answer says of its backend server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Notice {
    /// Nothing: it is not of the run that was asked.
    #[default]
    Unknown,
    /// It names none.
    Unlimited,
    /// It names this one.
    Limited(Limit),
    /// It names one that cannot be read.
    Unreadable,
}

/// What has changed by a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// This limit holds from now on, in place of the other one.
    Limited(Limit, Option<Limit>),
    /// The limit is lifted; one had been in force for that time.
    Lifted(Duration),
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// All gateways that one of them knows, itself included.
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
    /// The gateways of a list, which may have this one.
    pub fn new(own: Peer, listed: impl IntoIterator<Item = Peer>) -> Peers {
        let others = listed.into_iter().filter(|peer| peer.name != own.name);
        Peers { others: others.collect(), own }
    }

    /// This gateway's place in the order in which they use a server's limit: those of
    /// its zone go first, since others mostly send it nothing.
    pub fn place(&self, server: &str, zone: &str) -> Place {
        let key = |peer: &Peer| {
            (*peer.zone == *zone, rendezvous::weight(server, &peer.name), peer.name.clone())
        };
        let own = key(&self.own);
        let mut place = Place { rank: 0, near: u32::from(own.0), all: 1 };
        for other in self.others.iter().map(key) {
            place.rank += u32::from(other > own);
            place.near += u32::from(other.0);
            place.all += 1;
        }
        place
    }
}

/// A gateway's place among those that may use a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its place in their order, from 0.
    pub rank: u32,
    /// Those in the server's zone.
    pub near: u32,
    /// All of them.
    pub all: u32,
}

/// How often a gateway may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Whether it is one of those that use the limit.
    pub holder: bool,
    /// Time between two requests.
    pub interval: Duration,
    /// Time until the first one: all of them begin one after the other.
    pub first: Duration,
}

impl Pace {
    fn new(limit: Limit, place: Place) -> Pace {
        // Where there is none in the server's zone, any may be the ones.
        let near = if place.near == 0 { place.all } else { place.near };
        let holders = limit.holders(near);
        let holder = place.rank < holders;
        let (part, turn, turns) = match holder {
            true => (PARTS.0, place.rank, holders),
            false => (PARTS.1, place.rank - holders, place.all - holders),
        };
        let step = Duration::from_secs_f64(1.0 / (limit.usable() * part));
        Pace { holder, interval: step * turns, first: step * (turn + 1) }
    }
}

/// A limit in force, and what one gateway may send by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    limit: Limit,
    place: Place,
    pace: Pace,
    /// When the last answer was read that named it.
    heard: clock::Instant,
    /// Since when there has been one.
    since: clock::Instant,
    /// When this gateway last became a holder or ceased to be one.
    begun: clock::Instant,
    /// When its last request was due, or was sent if that was later by more than
    /// [`SLACK`].
    last: Option<clock::Instant>,
}

impl Quota {
    fn new(limit: Limit, place: Place, now: clock::Instant) -> Quota {
        let pace = Pace::new(limit, place);
        Quota { limit, place, pace, heard: now, since: now, begun: now, last: None }
    }

    /// The limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// How often this gateway may send.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Since when there has been a limit.
    pub fn since(&self) -> clock::Instant {
        self.since
    }

    /// Takes what the answer to a request that was sent then says, read at `now`.
    ///
    /// Answers come out of order. One to a request that was sent after the last
    /// word was heard is surely newer, and replaces it; of others only a lower
    /// limit counts.
    pub fn hear(
        quota: &mut Option<Quota>,
        notice: Notice,
        place: impl FnOnce() -> Place,
        (sent, now): (clock::Instant, clock::Instant),
    ) -> Option<Change> {
        match (notice, quota.as_mut()) {
            (Notice::Unknown | Notice::Unreadable, _) | (Notice::Unlimited, None) => None,
            (Notice::Unlimited, Some(known)) => {
                let (since, newer) = (known.since, sent >= known.heard);
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
                known.limit = if sent >= known.heard { limit } else { limit.min(before) };
                known.heard = now;
                known.settle(now);
                (known.limit != before).then_some(Change::Limited(known.limit, Some(before)))
            }
        }
    }

    /// Takes this gateway's place by another list of gateways.
    pub fn set_place(&mut self, place: Place, now: clock::Instant) {
        self.place = place;
        self.settle(now);
    }

    /// Whether another gateway's word that it is lifted may be newer than the last one
    /// that was heard here.
    pub fn may_be_over(&self, now: clock::Instant) -> bool {
        now.since(self.heard) >= NEWS_TIME
    }

    /// How long after it was lifted this gateway sends again.
    pub fn return_after(&self) -> Duration {
        RETURN_TIME.mul_f64(f64::from(self.place.rank) / f64::from(self.place.all))
    }

    /// Brings the pace up to limit and place. Who becomes a holder waits as if it had
    /// just heard of the limit: whoever was one before may not know yet.
    fn settle(&mut self, now: clock::Instant) {
        let pace = Pace::new(self.limit, self.place);
        if pace.holder != self.pace.holder {
            self.begun = now;
        }
        self.pace = pace;
    }

    /// When the next request may go.
    pub fn next(&self) -> clock::Instant {
        let first = self.begun + self.pace.first;
        match self.last {
            Some(last) if last >= self.begun => last + self.pace.interval,
            Some(last) => first.max(last + self.pace.interval),
            None => first,
        }
    }

    /// Whether a request may go now.
    pub fn admits(&self, now: clock::Instant) -> bool {
        now >= self.next()
    }

    /// A request is sent.
    pub fn sent(&mut self, now: clock::Instant) {
        self.last = Some(self.next().max(now.saturating_sub(SLACK)).min(now));
    }
}
