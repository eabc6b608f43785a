//! What a pass of a lock-step group costs.
//!
//! The engines publish it: a pass plays some steps, and each step takes a fixed
//! time and some more for each stream that a rank runs. Demand that is spread
//! unevenly over the ranks, prompts that are read, and slow engines make passes
//! longer by a factor, which is what is observed.

use std::time::Duration;

/// The published cost of a pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Time of a step without any work, seconds.
    pub step: f64,
    /// Time that each stream of a rank adds to a step, seconds.
    pub per_stream: f64,
    /// Steps that a pass plays.
    pub steps: f64,
}

impl Default for Cost {
    /// Where nothing is published, a pass counts as proportional to its streams.
    fn default() -> Cost {
        Cost { step: 0.0, per_stream: 1.0, steps: 1.0 }
    }
}

impl Cost {
    /// The cost of engines that publish these times.
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

    /// Time of a pass with so many streams at each rank, seconds.
    pub fn time(&self, streams: f64) -> f64 {
        self.steps * (self.step + self.per_stream * streams)
    }

    /// Streams at each rank with which a pass takes so many seconds; negative
    /// where it takes longer without any.
    pub fn streams(&self, time: f64) -> f64 {
        (time / self.steps - self.step) / self.per_stream
    }
}
