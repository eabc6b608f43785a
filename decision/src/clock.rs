//! Points in time, handed in by the caller.

use std::fmt;
use std::time::Duration;

/// A point of the process's monotonic clock, microseconds from any origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(u64);

impl Instant {
    /// The origin.
    pub const ZERO: Instant = Instant(0);

    /// The point that many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// The point that many milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis * 1_000)
    }

    /// Microseconds after the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The moment that long before this one, no earlier than the origin.
    pub fn saturating_sub(self, span: Duration) -> Instant {
        Instant(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Time from `earlier` to this point; zero where `earlier` is later.
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

/// A point of the hosts' wall clocks, milliseconds since the Unix epoch.
/// Two hosts' clocks differ by no more than the settings' bound.
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
    /// The point that many milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Wall {
        Wall(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The point that much earlier; the Unix epoch where it would lie before.
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
