//! Finds out whether the process was stopped for a while, by a signal or with its host.
//!
//! What happened meanwhile is noticed together afterwards, so the order and the times of events on
//! different connections are lost.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;

/// Interval between two beats.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time between two beats over which the process counts as stopped. A backend server takes longer
/// to restart.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Time within which the process reads what arrived while it was stopped.
const BACKLOG_TIME: Duration = Duration::from_millis(500);

/// Beats for as long as the process runs.
#[derive(Debug)]
pub struct Pulse {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    last: boot::Instant,
    /// End of the last time in which the process was stopped.
    stopped: Option<boot::Instant>,
}

impl Default for Pulse {
    fn default() -> Pulse {
        Pulse { state: Mutex::new(State { last: boot::Instant::now(), stopped: None }) }
    }
}

impl Pulse {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that the process runs.
    fn beat(&self) {
        let mut state = self.lock();
        let now = boot::Instant::now();
        if now.saturating_duration_since(state.last) > MAX_PAUSE {
            state.stopped = Some(now);
        }
        state.last = now;
    }

    /// Beats until the process exits.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            self.beat();
        }
    }

    /// Returns whether the process was stopped at some time since `since`, or so shortly before that
    /// what it read then may have arrived earlier.
    pub fn stopped_since(&self, since: boot::Instant) -> bool {
        // The beat itself may be late after the process goes on.
        self.beat();
        self.lock().stopped.is_some_and(|stopped| stopped + BACKLOG_TIME >= since)
    }
}
