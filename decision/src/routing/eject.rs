//! Outlier ejection: detects backend servers that are alive but fail requests.
//!
//! A backend server that fails several requests in a row is ejected: it receives no new
//! requests for a time that doubles with each ejection. Only a part of a pool may be
//! ejected, so that faults of the client, or faults common to all servers, do not make the
//! whole pool unavailable.

use std::time::Duration;

use crate::clock;

/// Number of consecutive failures after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection, and the longest.
const EJECTION_TIME: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(60));
/// Weight of the newest sample in the moving average of the latency.
const LATENCY_GAIN: f64 = 0.2;
/// Ratio of a backend server's latency to the pool's median above which it is ejected.
pub const SLOW_FACTOR: f64 = 4.0;
/// Fraction of a pool that must not be ejected.
pub const MIN_AVAILABLE: f64 = 0.5;

/// Failures and latency of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Exponent of the ejection time: incremented by each ejection, decremented by each
    /// response.
    ejections: u32,
    /// End of the last ejection.
    until: Option<clock::Instant>,
    /// Moving average of the time to the first part of a response, in seconds.
    latency: Option<f64>,
}

impl Health {
    /// Returns whether the server is ejected.
    pub fn ejected(&self, now: clock::Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of the time to the first part of a response, in seconds,
    /// or `None` without a sample.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Records a response whose first part arrived after `first_part`.
    pub fn answered(&mut self, first_part: Duration) {
        let sample = first_part.as_secs_f64();
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_GAIN * (sample - mean));
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failed attempt. Returns whether the server should be ejected; the caller
    /// ejects it if [`floor_allows`] permits.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= MAX_FAILURES
    }

    /// Ejects the server.
    pub fn eject(&mut self, now: clock::Instant) {
        let time = EJECTION_TIME.0.saturating_mul(1 << self.ejections.min(16)).min(EJECTION_TIME.1);
        self.until = Some(now + time);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        // The latency is measured anew once the ejection is over.
        self.latency = None;
    }
}

/// Returns whether one more server of a pool may be ejected.
pub fn floor_allows(pool_size: usize, out: usize) -> bool {
    let stay = (pool_size as f64 * MIN_AVAILABLE).ceil() as usize;
    pool_size.saturating_sub(out + 1) >= stay
}
