//! Estimates how long a recurring state lasts from its previous durations.

use std::time::Duration;

use crate::clock;

/// Weight of the newest duration in the mean.
const GAIN: f64 = 0.3;

/// Mean duration of a recurring state.
#[derive(Debug, Clone, Default)]
pub struct Episode {
    since: Option<clock::Instant>,
    mean: Option<Duration>,
}

impl Episode {
    /// Records that the state holds. Has no effect if it already did.
    pub fn begin(&mut self, now: clock::Instant) {
        self.since.get_or_insert(now);
    }

    /// Records that the state does not hold. Has no effect if it already did not.
    pub fn end(&mut self, now: clock::Instant) {
        let Some(since) = self.since.take() else { return };
        let duration = now.since(since);
        let mean = self.mean.unwrap_or(duration);
        self.mean = Some(mean.mul_f64(1.0 - GAIN) + duration.mul_f64(GAIN));
    }

    /// Returns how much longer the state is expected to last: its mean duration,
    /// regardless of how long it has lasted so far. `None` before the state has
    /// ended for the first time.
    pub fn expected_duration(&self) -> Option<Duration> {
        self.mean
    }
}
