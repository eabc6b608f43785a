//! What a gateway believes of a lock-step group: whether it serves, and on what
//! ground not.
//!
//! The pattern: a zone is cut off. A group with ranks on both sides stands still
//! and then refuses everything until its ranks are together again and it has
//! formed in a new epoch. A group on the other side of the cut serves on, but not
//! for the gateways of the zone that is cut off, which reach none of its ranks.
//!
//! Three things tell of an outage: a rank that refuses, the entries of the ranks
//! ([`News`]), and connections to several ranks in a row that do not come about.
//! Its end is told by entries of a later epoch, by a connection that comes about,
//! or else by a probe. Where entries told nothing, each of 42 gateways probed a
//! broken group by a caller's request every 150 ms: of some 67 callers a second
//! in a zone with a third of the gateways, 18 to 28 were refused for the want of
//! a retry although another group had room.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::{breaker, clock, entity, fleet};

/// Ranks in a row, without an answer of any between them, to which no connection
/// comes about until the whole group counts as out of reach. One or two may be
/// gone by themselves; each costs a caller up to 250 ms.
const UNREACHED: usize = 3;

/// Time that a rank's entry takes to tell that the group has formed: the store and
/// a peer. A guess: not measured by itself, and not tried at half and twice.
const NEWS_TIME: Duration = Duration::from_millis(300);

/// Why a group is believed not to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ground {
    /// A rank refused and told that the group is broken.
    Refused,
    /// A rank's entry tells that the group is broken.
    Told,
    /// No connection to its ranks comes about.
    Unreached,
}

impl fmt::Display for Ground {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ground::Refused => "refused",
            Ground::Told => "told",
            Ground::Unreached => "unreached",
        })
    }
}

/// What the entries of a group's ranks tell, taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct News {
    /// Newest epoch that a rank tells.
    pub epoch: u64,
    /// Whether the group runs in it.
    pub state: fleet::State,
    /// Ranks that tell just this, and all that the group has.
    pub ranks: (u32, u32),
}

impl News {
    /// What one rank tells, and what is left when another one's is added: the
    /// newest epoch counts, and within one a rank that tells of its end.
    pub fn with(self, other: News) -> News {
        match self.epoch.cmp(&other.epoch) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal if self.state == other.state => {
                News { ranks: (self.ranks.0 + other.ranks.0, self.ranks.1), ..self }
            }
            std::cmp::Ordering::Equal if other.state == fleet::State::Broken => other,
            std::cmp::Ordering::Equal => self,
        }
    }

    /// Whether all ranks are back and know that the group is broken: it then forms
    /// anew.
    fn forming(&self) -> bool {
        self.state == fleet::State::Broken && self.ranks.0 >= self.ranks.1
    }
}

/// A change of what is believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The group is believed not to serve any more.
    Down(Ground),
    /// It is believed to serve again, after that time.
    Up(Duration),
}

/// The belief about one group.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    breaker: breaker::Breaker,
    ground: Option<Ground>,
    /// Newest epoch that was told.
    epoch: Option<u64>,
    /// Newest epoch that is known to be over.
    over: Option<u64>,
    /// Since when all ranks tell of the break, if they do.
    forming: Option<clock::Instant>,
    /// When it was last believed to serve again.
    returned: clock::Instant,
    /// Ranks that were not reached since one last answered.
    unreached: BTreeSet<entity::Server>,
}

impl Outage {
    /// So many gateways probe the group.
    pub fn share(&mut self, gateways: u32) {
        self.breaker.share(gateways);
    }

    /// Why the group is believed not to serve, if it is.
    pub fn ground(&self) -> Option<Ground> {
        self.ground
    }

    /// Whether a request may be sent to it: it serves, or a probe is due.
    pub fn admits(&self, now: clock::Instant) -> bool {
        self.breaker.admits(now)
    }

    /// A request was sent to it.
    pub fn sent(&mut self, now: clock::Instant) {
        self.breaker.sent(now);
    }

    /// A rank refused a request that was sent then, for its group is broken.
    pub fn refused(&mut self, sent: clock::Instant, now: clock::Instant) -> Option<Change> {
        // It says nothing of a group that has returned meanwhile.
        if self.returned > sent {
            return None;
        }
        self.over = self.over.max(self.epoch);
        self.open(Ground::Refused, now)
    }

    /// The ranks' entries, as they are now known.
    pub fn hear(&mut self, news: News, now: clock::Instant) -> Option<Change> {
        self.epoch = self.epoch.max(Some(news.epoch));
        self.forming = news.forming().then(|| self.forming.unwrap_or(now));
        let over = self.over >= Some(news.epoch);
        match news.state {
            fleet::State::Broken if over => None,
            fleet::State::Broken => {
                self.over = Some(news.epoch);
                self.open(Ground::Told, now)
            }
            fleet::State::Open if over || self.ground == Some(Ground::Unreached) => None,
            fleet::State::Open => self.close(now),
        }
    }

    /// No connection to a rank came about.
    pub fn unreached(&mut self, rank: entity::Server, now: clock::Instant) -> Option<Change> {
        self.unreached.insert(rank);
        if self.unreached.len() < UNREACHED || self.breaker.is_open() {
            return None;
        }
        self.open(Ground::Unreached, now)
    }

    /// A connection to a rank came about, where none did before. The group
    /// serves, unless its epoch is known to be over.
    pub fn reached(&mut self, now: clock::Instant) -> Option<Change> {
        self.unreached.clear();
        if self.ground != Some(Ground::Unreached) {
            return None;
        }
        if self.epoch.is_some() && self.over >= self.epoch {
            return self.open(Ground::Told, now);
        }
        self.close(now)
    }

    /// An answer to a request that was sent then began.
    pub fn answered(&mut self, sent: clock::Instant, now: clock::Instant) -> Option<Change> {
        // One of before the outage is no probe.
        if self.breaker.opened().is_some_and(|opened| sent < opened) {
            return None;
        }
        self.unreached.clear();
        self.close(now)
    }

    /// How long it takes until the group is expected to serve again, where a
    /// group forms in that time; none where nothing tells.
    pub fn expected(&self, form: Duration, now: clock::Instant) -> Option<Duration> {
        let due = self.forming? + form + NEWS_TIME;
        (due > now).then(|| due.since(now))
    }

    fn open(&mut self, ground: Ground, now: clock::Instant) -> Option<Change> {
        self.ground = Some(ground);
        self.breaker.refused(now).then_some(Change::Down(ground))
    }

    fn close(&mut self, now: clock::Instant) -> Option<Change> {
        self.ground = None;
        let down = self.breaker.answered(now)?;
        self.returned = now;
        Some(Change::Up(down))
    }
}
