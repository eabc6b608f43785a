//! Points in time, which the caller supplies.

use std::fmt;
use std::time::Duration;

/// A point in time of the process's monotonic clock, in microseconds after an arbitrary origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(u64);

impl Instant {
    /// The origin.
    pub const ZERO: Instant = Instant(0);

    /// Returns the point in time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// Returns the point in time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis * 1_000)
    }

    /// Returns the number of microseconds after the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the point in time `span` before this one, or the origin if that would be earlier.
    pub fn saturating_sub(self, span: Duration) -> Instant {
        Instant(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A point in time of a host's wall clock, in milliseconds since the Unix epoch.
///
/// The clocks of two hosts differ by no more than the configured bound on skew.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Wall(u64);

impl Wall {
    /// Returns the point in time `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Wall {
        Wall(millis)
    }

    /// Returns the number of milliseconds since the Unix epoch.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the point in time `span` before this one, or the Unix epoch if that would be
    /// earlier.
    pub fn saturating_sub(self, span: Duration) -> Wall {
        Wall(self.0.saturating_sub(span.as_millis() as u64))
    }
}

impl std::ops::Add<Duration> for Wall {
    type Output = Wall;

    fn add(self, span: Duration) -> Wall {
        Wall(self.0.saturating_add(span.as_millis() as u64))
    }
}
