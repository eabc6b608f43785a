//! Cost model of a pass of a lock-step group.
//!
//! The engines publish the parameters: a pass consists of a number of steps, and
//! each step takes a fixed time plus a time for each stream that a rank runs.
//! Uneven demand across the ranks, prompt processing and slow engines make passes
//! longer than that by a factor, which is measured (see `pace`).

use std::time::Duration;

/// Published cost of a pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Time of a step without any stream, seconds.
    pub step: f64,
    /// Additional time of a step for each stream of a rank, seconds.
    pub per_stream: f64,
    /// Number of steps of a pass.
    pub steps: f64,
}

impl Default for Cost {
    /// Returns a cost that is proportional to the streams, for engines that publish none.
    fn default() -> Cost {
        Cost { step: 0.0, per_stream: 1.0, steps: 1.0 }
    }
}

impl Cost {
    /// Returns the cost for the times that the engines publish.
    pub fn new(step: Duration, per_stream: Duration, steps: u32) -> Cost {
        if per_stream.is_zero() {
            return Cost::default();
        }
        Cost {
            step: step.as_secs_f64(),
            per_stream: per_stream.as_secs_f64(),
            steps: f64::from(steps.max(1)),
        }
    }

    /// Returns the time of a pass with that many streams at each rank, seconds.
    pub fn time(&self, streams: f64) -> f64 {
        self.steps * (self.step + self.per_stream * streams)
    }

    /// Returns the number of streams at each rank with which a pass takes `time`
    /// seconds. The number is negative if a pass without streams takes longer.
    pub fn streams(&self, time: f64) -> f64 {
        (time / self.steps - self.step) / self.per_stream
    }
}
