//! Window of requests that one entry host keeps in flight at one backend server.
//!
//! Entry hosts share no counter. Each keeps a window for each backend server.
//! The window starts at all slots of the server, grows with each answer and
//! shrinks when the agent rejects a request because no slot is free; such a
//! rejection is cheap. This is additive increase, multiplicative decrease (Chiu
//! and Jain, "Analysis of the increase and decrease algorithms for congestion
//! avoidance", 1989). The windows of many entry hosts converge to nearly equal
//! shares.

use std::time::Duration;

use crate::clock;

/// Window size before the agent's first report.
const FIRST_WINDOW: f64 = 2.0;
/// Factor by which a rejection shrinks the window.
const DECREASE: f64 = 0.7;
/// Minimum time between two decreases, so that a burst of rejections counts once.
const DECREASE_SPACING: Duration = Duration::from_millis(100);

/// Window of one backend server. Invariant: 1 ≤ size ≤ slots.
#[derive(Debug, Clone)]
pub struct Window {
    size: f64,
    slots: f64,
    last_decrease: Option<clock::Instant>,
    /// Whether the agent has reported its slots.
    known: bool,
}

impl Default for Window {
    fn default() -> Window {
        Window { size: FIRST_WINDOW, slots: FIRST_WINDOW, last_decrease: None, known: false }
    }
}

impl Window {
    /// Returns the number of requests that may be in flight.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Applies the number of slots that the agent reported.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        // Answers of a model take long, so a window that started small would grow
        // slowly and keep requests waiting while slots are free.
        let known = std::mem::replace(&mut self.known, true);
        self.size = if known { self.size.min(self.slots) } else { self.slots };
    }

    /// Grows the window on an answer that arrived with `in_flight` requests in flight,
    /// including the answered one.
    pub fn grow(&mut self, in_flight: u32) {
        // An answer at a window that is not full does not show that more requests would fit.
        if f64::from(in_flight) + 1.0 < self.size {
            return;
        }
        self.size = (self.size + 1.0 / self.size).min(self.slots);
    }

    /// Shrinks the window after the agent rejected a request because no slot was free.
    pub fn shrink(&mut self, now: clock::Instant) {
        let recent = self.last_decrease.is_some_and(|then| now.since(then) < DECREASE_SPACING);
        if recent {
            return;
        }
        self.last_decrease = Some(now);
        self.size = (self.size * DECREASE).max(1.0);
    }
}
