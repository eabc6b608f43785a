//! The clocks of the process, as the decisions take them.

use std::ops::Range;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use loftcove_clock as boot;
use loftcove_decision::{attempt, clock};
use rand::Rng as _;

/// Reads both clocks. The monotonic one counts from the start of the process, also
/// while the host is suspended: a home that slept through its lease must not grant
/// keys that another one grants by now.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: boot::Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Clock {
        Clock { origin: boot::Instant::now() }
    }

    /// The monotonic clock.
    pub fn now(&self) -> clock::Instant {
        clock::Instant::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// The wall clock.
    pub fn wall(&self) -> clock::Wall {
        clock::Wall::from_millis(since_epoch().as_millis() as u64)
    }
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Number of this run of the process: its start in microseconds, so that a
/// later run on the same host has a higher one.
pub fn incarnation() -> attempt::Incarnation {
    since_epoch().as_micros() as u64
}

/// A span by lot, between two multiples of the given one, so that a fleet does
/// not move in step.
pub fn jitter(span: Duration, factors: Range<f64>) -> Duration {
    span.mul_f64(rand::rng().random_range(factors))
}
