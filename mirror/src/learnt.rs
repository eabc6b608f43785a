//! What is logged of records that a host learns.
//!
//! Hundreds of hosts hear of each entry of each other one, most of them as all
//! start. So each record has a line while few come, and only a number of lines
//! in a flood; the next line then tells how many records were left out. Each
//! record is logged at the level debug as well.

use std::sync::Mutex;
use std::time::Instant;

use loftcove_decision::mirror::Record;

use crate::Source;

/// Lines that may be written at once, and those that may be more each second:
/// changes come one by one in a settled system, and hundreds together at a start.
const LINES: f64 = 32.0;
const LINES_A_SECOND: f64 = 1.0;

/// Lines that may be written, and records that were left out.
#[derive(Debug)]
pub struct Learnt {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lines: f64,
    counted: Instant,
    left_out: usize,
}

impl Default for Learnt {
    fn default() -> Learnt {
        let state = State { lines: LINES, counted: Instant::now(), left_out: 0 };
        Learnt { state: Mutex::new(state) }
    }
}

impl Learnt {
    /// Logs a record that was news.
    pub fn log(&self, record: &Record, source: Source<'_>) {
        let (key, revision, removed) = (&record.key, record.revision, record.value.is_none());
        log::debug!("record learnt key={key} revision={revision} removed={removed} from={source}");
        if let Some(left_out) = self.due() {
            log::info!(
                "learnt key={key} revision={revision} removed={removed} from={source} left_out={left_out}"
            );
        }
    }

    /// Whether a line may be written, and how many records were left out before it.
    fn due(&self) -> Option<usize> {
        // A panic leaves at worst one line more or less.
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let more = state.counted.elapsed().as_secs_f64() * LINES_A_SECOND;
        state.lines = (state.lines + more).min(LINES);
        state.counted = Instant::now();
        if state.lines < 1.0 {
            state.left_out += 1;
            return None;
        }
        state.lines -= 1.0;
        Some(std::mem::take(&mut state.left_out))
    }
}
