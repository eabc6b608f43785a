//! Finds backend servers that are alive and fail: outlier ejection.
//!
//! A backend server that fails several times in a row gets no new work for a
//! while that doubles with each time. No more than a part of a pool may be out
//! for this reason, so that a fault of the caller's, or of everybody, does not
//! take the whole pool away.

use std::time::Duration;

use crate::clock;

/// Failures in a row that eject.
const MAX_FAILURES: u32 = 3;
/// First time out, and the longest.
const EJECTION_TIME: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(60));
/// Weight of the newest sample in the mean time to the first part of an answer.
const LATENCY_GAIN: f64 = 0.2;
/// How much slower than the pool's median a backend server must be to be out.
pub const SLOW_FACTOR: f64 = 4.0;
/// Part of a pool that must stay in.
pub const MIN_AVAILABLE: f64 = 0.5;

/// Record of one backend server's failures.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<clock::Instant>,
    latency: Option<f64>,
}

impl Health {
    /// Whether it is out at present.
    pub fn ejected(&self, now: clock::Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Mean time to the first part of an answer, seconds.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// An answer began after that time.
    pub fn answered(&mut self, first_part: Duration) {
        let sample = first_part.as_secs_f64();
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_GAIN * (sample - mean));
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// An attempt failed. Returns whether this one should be ejected, which
    /// the caller does if the pool's floor allows it.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= MAX_FAILURES
    }

    /// Puts it out.
    pub fn eject(&mut self, now: clock::Instant) {
        let time = EJECTION_TIME.0.saturating_mul(1 << self.ejections.min(16)).min(EJECTION_TIME.1);
        self.until = Some(now + time);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        // Its pace is learnt anew when it comes back.
        self.latency = None;
    }
}

/// Whether one more of a pool may be out.
pub fn floor_allows(pool_size: usize, out: usize) -> bool {
    let stay = (pool_size as f64 * MIN_AVAILABLE).ceil() as usize;
    pool_size.saturating_sub(out + 1) >= stay
}
