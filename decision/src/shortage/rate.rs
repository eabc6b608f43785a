//! Arrival rates.

use std::time::Duration;

use crate::clock;

/// Exponentially decayed mean of an arrival rate. It decays also without arrivals.
#[derive(Debug, Clone)]
pub(super) struct Rate {
    /// Time constant, seconds.
    memory: f64,
    /// Decayed number of arrivals at the time of the last one.
    count: f64,
    last: Option<clock::Instant>,
}

impl Rate {
    pub(super) fn new(memory: Duration) -> Rate {
        Rate { memory: memory.as_secs_f64(), count: 0.0, last: None }
    }

    pub(super) fn record(&mut self, now: clock::Instant) {
        self.count = self.decayed(now) + 1.0;
        self.last = Some(now);
    }

    /// Returns the time of the last arrival.
    pub(super) fn last(&self) -> Option<clock::Instant> {
        self.last
    }

    pub(super) fn per_second(&self, now: clock::Instant) -> f64 {
        self.decayed(now) / self.memory
    }

    /// Returns a rate that is exceeded unless the decayed number of arrivals is that many standard
    /// deviations above its mean.
    pub(super) fn at_least(&self, deviations: f64, now: clock::Instant) -> f64 {
        let count = self.decayed(now);
        (count - deviations * count.sqrt()).max(0.0) / self.memory
    }

    fn decayed(&self, now: clock::Instant) -> f64 {
        let age = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        self.count * (-age / self.memory).exp()
    }
}
