//! Estimates how much longer a recurring state lasts, given how long it has lasted.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of earlier durations that are kept. Older ones are of another load or deployment.
const KEPT: usize = 8;

/// Durations of the last occurrences of a state.
#[derive(Debug, Clone, Default)]
pub struct History {
    durations: VecDeque<Duration>,
}

impl History {
    /// Records that the state has ended after that time.
    pub fn record(&mut self, duration: Duration) {
        if self.durations.len() >= KEPT {
            self.durations.pop_front();
        }
        self.durations.push_back(duration);
    }

    /// Returns how much longer the state is expected to last: the mean of the durations longer
    /// than `elapsed`, less `elapsed`. `None` if no earlier occurrence lasted longer.
    pub fn remaining(&self, elapsed: Duration) -> Option<Duration> {
        let longer = self.durations.iter().filter(|duration| **duration > elapsed);
        let (count, sum) =
            longer.fold((0, Duration::ZERO), |(count, sum), time| (count + 1, sum + *time));
        (count > 0).then(|| sum / count - elapsed)
    }
}
