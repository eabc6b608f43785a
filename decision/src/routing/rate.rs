//! The rate limit that a backend server names in its answers.
//!
//! A server in need names how many requests a second it takes from all gateways
//! together, for as long as its answers say so.

use std::fmt;
use std::time::Duration;

use crate::clock;

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

/// A limit in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    limit: Limit,
    /// When the last answer was read that named it.
    heard: clock::Instant,
    /// Since when there has been one.
    since: clock::Instant,
}

impl Quota {
    /// The limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Takes what the answer to a request that was sent then says, read at `now`.
    ///
    /// Answers come out of order. One to a request that was sent after the last
    /// word was heard is surely newer, and replaces it; of others only a lower
    /// limit counts.
    pub fn hear(
        quota: &mut Option<Quota>,
        notice: Notice,
        sent: clock::Instant,
        now: clock::Instant,
    ) -> Option<Change> {
        let newer = quota.is_none_or(|quota| sent >= quota.heard);
        match (notice, *quota) {
            (Notice::Unknown | Notice::Unreadable, _) | (Notice::Unlimited, None) => None,
            (Notice::Unlimited, Some(before)) => newer.then(|| {
                *quota = None;
                Change::Lifted(now.since(before.since))
            }),
            (Notice::Limited(limit), None) => {
                *quota = Some(Quota { limit, heard: now, since: now });
                Some(Change::Limited(limit, None))
            }
            (Notice::Limited(limit), Some(before)) => {
                let limit = if newer { limit } else { limit.min(before.limit) };
                *quota = Some(Quota { limit, heard: now, ..before });
                (limit != before.limit).then_some(Change::Limited(limit, Some(before.limit)))
            }
        }
    }
}
