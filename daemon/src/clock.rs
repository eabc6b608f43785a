//! The clocks of the process, in the types of the state machines.

use std::ops::Range;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use loftcove_clock as boot;
use loftcove_decision::{attempt, clock};
use rand::Rng as _;

/// The monotonic and the wall clock. The monotonic clock counts from the start of the process and
/// includes suspensions of the host. A home that was suspended until its lease expired must not
/// grant keys that another home may grant by then.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: boot::Instant,
}

impl Clock {
    /// Starts the monotonic clock at zero.
    pub fn start() -> Clock {
        Clock { origin: boot::Instant::now() }
    }

    /// Returns the time of the monotonic clock.
    pub fn now(&self) -> clock::Instant {
        clock::Instant::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the time of the wall clock.
    pub fn wall(&self) -> clock::Wall {
        clock::Wall::from_millis(since_epoch().as_millis() as u64)
    }
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the number of this run of the process: its start in microseconds since the Unix epoch. A
/// later run on the same host thus has a higher number.
pub fn incarnation() -> attempt::Incarnation {
    since_epoch().as_micros() as u64
}

/// Returns `span` multiplied by a random factor from `factors`. The jitter prevents that all
/// processes of a fleet act at the same time.
pub fn jitter(span: Duration, factors: Range<f64>) -> Duration {
    span.mul_f64(rand::rng().random_range(factors))
}
