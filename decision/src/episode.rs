//! How long a state mostly lasts, by how long it lasted before.

use std::time::Duration;

use crate::clock;

/// Weight of the newest episode in the mean.
const GAIN: f64 = 0.3;

/// Episodes of a state that comes and goes.
#[derive(Debug, Clone, Default)]
pub struct Episode {
    since: Option<clock::Instant>,
    mean: Option<Duration>,
}

impl Episode {
    /// The state holds.
    pub fn begin(&mut self, now: clock::Instant) {
        self.since.get_or_insert(now);
    }

    /// The state does not hold.
    pub fn end(&mut self, now: clock::Instant) {
        let Some(since) = self.since.take() else { return };
        let lasted = now.since(since);
        let mean = self.mean.unwrap_or(lasted);
        self.mean = Some(mean.mul_f64(1.0 - GAIN) + lasted.mul_f64(GAIN));
    }

    /// How long it is expected to hold on: as long as it mostly does, however
    /// long it has held; `None` before the first one has ended.
    pub fn expected_duration(&self) -> Option<Duration> {
        self.mean
    }
}
