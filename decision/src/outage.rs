//! Tracks whether a lock-step group is available to a gateway and, if not, the
//! ground for treating it as unavailable.
//!
//! The typical outage is a network partition that cuts off a zone. A group with
//! ranks on both sides stalls, and then rejects all requests until its ranks are
//! connected again and it has formed in a new epoch. A group on the other side
//! keeps serving, but the gateways of the zone that is cut off can connect to none
//! of its ranks.
//!
//! An outage is detected in three ways: a rank rejects a request, the entries of
//! the ranks report it ([`Status`]), or connections to several ranks in a row
//! fail. Its end is detected by entries of a later epoch, by a successful
//! connection, or by a probe. Probes alone are too costly. While the entries did
//! not report the state of the group, each of 42 gateways probed a broken group
//! with a client's request every 150 ms. In a zone with a third of the gateways
//! and some 67 requests a second, 18 to 28 requests a second were rejected because
//! the retry budget was empty, although another group had room.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::{breaker, clock, entity, fleet, spell};

/// Number of ranks to which connections fail, without an answer from the group in
/// between, before the group counts as unreachable. One or two ranks may have
/// failed on their own. Each failed connection delays a client by up to 250 ms.
const UNREACHED_RANKS: usize = 3;

/// Time until a rank's entry that reports that the group has formed arrives, by way
/// of the store and a peer.
const STATUS_DELAY: Duration = Duration::from_millis(300);

/// Ground for treating a group as unavailable. `Display` gives the value of the log
/// field `ground`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ground {
    /// A rank rejected a request and reported that the group is broken.
    Refused,
    /// A rank's entry reports that the group is broken.
    Told,
    /// Connections to its ranks fail.
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

/// State of a group as the entries of one or more of its ranks report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Newest epoch that a rank reports.
    pub epoch: u64,
    /// Whether the group is open or broken in that epoch.
    pub state: fleet::State,
    /// Number of ranks that report this epoch and state, and number of ranks of the group.
    pub ranks: (u32, u32),
}

impl Status {
    /// Merges the reports of two sets of ranks. The newer epoch takes precedence;
    /// within an epoch, broken takes precedence over open.
    pub fn merge(self, other: Status) -> Status {
        match self.epoch.cmp(&other.epoch) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal if self.state == other.state => {
                Status { ranks: (self.ranks.0 + other.ranks.0, self.ranks.1), ..self }
            }
            std::cmp::Ordering::Equal if other.state == fleet::State::Broken => other,
            std::cmp::Ordering::Equal => self,
        }
    }

    /// Returns whether all ranks are running again and report that the group is
    /// broken. The group then forms again.
    fn is_forming(&self) -> bool {
        self.state == fleet::State::Broken && self.ranks.0 >= self.ranks.1
    }
}

/// Change of the availability of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The group became unavailable.
    Down(Ground),
    /// The group became available after being unavailable for that time.
    Up(Duration),
}

/// Availability of one group.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    breaker: breaker::Breaker,
    ground: Option<Ground>,
    /// Newest epoch that was reported.
    epoch: Option<u64>,
    /// Newest epoch that is known to have ended.
    ended_epoch: Option<u64>,
    /// Time since which all ranks report that the group is broken, if they do.
    forming_since: Option<clock::Instant>,
    /// Time at which the group last became available again.
    available_since: clock::Instant,
    /// Ranks to which connections have failed since a rank was last reached.
    unreached: BTreeSet<entity::Server>,
    /// Earlier outages.
    earlier: spell::History,
}

impl Outage {
    /// Sets the number of gateways that probe the group.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.breaker.set_callers(gateways);
    }

    /// Returns the ground for treating the group as unavailable, if it is unavailable.
    pub fn ground(&self) -> Option<Ground> {
        self.ground
    }

    /// Returns whether a request may be dispatched to the group: the group is available
    /// or a probe is due.
    pub fn admits(&self, now: clock::Instant) -> bool {
        self.breaker.admits(now)
    }

    /// Records that a request was dispatched to the group.
    pub fn record_dispatch(&mut self, now: clock::Instant) {
        self.breaker.record_dispatch(now);
    }

    /// Records that a rank rejected a request dispatched at `sent` because its group is
    /// broken.
    pub fn record_refusal(&mut self, sent: clock::Instant, now: clock::Instant) -> Option<Change> {
        // A rejection of a request from before the group became available is outdated.
        if self.available_since > sent {
            return None;
        }
        self.ended_epoch = self.ended_epoch.max(self.epoch);
        self.open(Ground::Refused, now)
    }

    /// Applies the current state from the entries of the ranks.
    pub fn update(&mut self, status: Status, now: clock::Instant) -> Option<Change> {
        self.epoch = self.epoch.max(Some(status.epoch));
        self.forming_since = status.is_forming().then(|| self.forming_since.unwrap_or(now));
        let ended = self.ended_epoch >= Some(status.epoch);
        match status.state {
            fleet::State::Broken if ended => None,
            fleet::State::Broken => {
                self.ended_epoch = Some(status.epoch);
                self.open(Ground::Told, now)
            }
            fleet::State::Open if ended || self.ground == Some(Ground::Unreached) => None,
            fleet::State::Open => self.close(now),
        }
    }

    /// Records that a connection to a rank failed.
    pub fn record_connect_failure(
        &mut self,
        rank: entity::Server,
        now: clock::Instant,
    ) -> Option<Change> {
        self.unreached.insert(rank);
        if self.unreached.len() < UNREACHED_RANKS || self.breaker.is_open() {
            return None;
        }
        self.open(Ground::Unreached, now)
    }

    /// Records that a connection to a rank of an unreachable group succeeded. The
    /// group is available unless its epoch is known to have ended.
    pub fn record_connection(&mut self, now: clock::Instant) -> Option<Change> {
        self.unreached.clear();
        if self.ground != Some(Ground::Unreached) {
            return None;
        }
        if self.epoch.is_some() && self.ended_epoch >= self.epoch {
            return self.open(Ground::Told, now);
        }
        self.close(now)
    }

    /// Records the beginning of the answer to a request dispatched at `sent`.
    pub fn record_answer(&mut self, sent: clock::Instant, now: clock::Instant) -> Option<Change> {
        // A request dispatched before the outage is not a probe.
        if self.breaker.opened().is_some_and(|opened| sent < opened) {
            return None;
        }
        self.unreached.clear();
        self.close(now)
    }

    /// Returns the expected time until the group is available again if a group takes
    /// `form` to form. Returns `None` if the group is not forming yet or is overdue.
    pub fn expected_recovery(&self, form: Duration, now: clock::Instant) -> Option<Duration> {
        let due = self.forming_since? + form + STATUS_DELAY;
        (due > now).then(|| due.since(now))
    }

    /// Returns how much longer the present outage is expected to last by earlier ones, or `None`
    /// if none of them lasted longer.
    pub fn expected_remaining(&self, now: clock::Instant) -> Option<Duration> {
        self.earlier.remaining(now.since(self.breaker.opened()?))
    }

    fn open(&mut self, ground: Ground, now: clock::Instant) -> Option<Change> {
        self.ground = Some(ground);
        self.breaker.record_refusal(now).then_some(Change::Down(ground))
    }

    fn close(&mut self, now: clock::Instant) -> Option<Change> {
        self.ground = None;
        let down = self.breaker.record_answer(now)?;
        self.available_since = now;
        self.earlier.record(down);
        Some(Change::Up(down))
    }
}
