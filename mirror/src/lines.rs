//! A limit on lines of log that come in floods.

use loftcove_clock as boot;
use std::sync::Mutex;

/// Lines that may be written at once, and those that may be more each second:
/// changes come one by one in a settled system, and hundreds together at a start.
const LINES: f64 = 32.0;
const LINES_A_SECOND: f64 = 1.0;

/// Lines that may be written, and what was left out since the last one.
#[derive(Debug)]
pub struct Allowance {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lines: f64,
    counted: boot::Instant,
    left_out: usize,
}

impl Default for Allowance {
    fn default() -> Allowance {
        let state = State { lines: LINES, counted: boot::Instant::now(), left_out: 0 };
        Allowance { state: Mutex::new(state) }
    }
}

impl Allowance {
    /// Whether a line may be written, and how many were left out before it.
    pub fn take(&self) -> Option<usize> {
        // A panic leaves at worst one line more or less.
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let more = state.counted.elapsed().as_secs_f64() * LINES_A_SECOND;
        state.lines = (state.lines + more).min(LINES);
        state.counted = boot::Instant::now();
        if state.lines < 1.0 {
            state.left_out += 1;
            return None;
        }
        state.lines -= 1.0;
        Some(std::mem::take(&mut state.left_out))
    }
}
