//! Rate limit for log lines, as a token bucket.

use loftcove_clock as boot;
use std::sync::Mutex;

/// Lines that may be written in a burst. In a stable system changes come one at a time, but a start
/// brings hundreds together.
const BURST: f64 = 32.0;
/// Rate at which the bucket is refilled, lines per second.
const LINES_PER_SECOND: f64 = 1.0;

/// Token bucket that counts the lines that it suppresses.
#[derive(Debug)]
pub struct Limiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Lines that may be written now.
    tokens: f64,
    refilled_at: boot::Instant,
    /// Lines suppressed since the last one that was written.
    left_out: usize,
}

impl Default for Limiter {
    fn default() -> Limiter {
        let state = State { tokens: BURST, refilled_at: boot::Instant::now(), left_out: 0 };
        Limiter { state: Mutex::new(state) }
    }
}

impl Limiter {
    /// Takes a token for one line. Returns `None` if the line is to be suppressed, or else the
    /// number of lines suppressed since the last one.
    pub fn acquire(&self) -> Option<usize> {
        // A panic in between miscounts at most one line.
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let refill = state.refilled_at.elapsed().as_secs_f64() * LINES_PER_SECOND;
        state.tokens = (state.tokens + refill).min(BURST);
        state.refilled_at = boot::Instant::now();
        if state.tokens < 1.0 {
            state.left_out += 1;
            return None;
        }
        state.tokens -= 1.0;
        Some(std::mem::take(&mut state.left_out))
    }
}
