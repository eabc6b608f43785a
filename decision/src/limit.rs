//! How many requests one entry host keeps in flight at one backend server.
//!
//! Entry hosts share no counter. Each keeps a window for each backend server,
//! which begins with all slots, grows while answers come and shrinks when the
//! agent refuses for want of a slot, which costs little: additive increase, multiplicative decrease, after Chiu and Jain,
//! "Analysis of the increase and decrease algorithms for congestion
//! avoidance", 1989. Windows of many entry hosts settle near an even share.

use std::time::Duration;

use crate::clock;

/// Window before the first report.
const FIRST_WINDOW: f64 = 2.0;
/// What a refusal leaves of the window.
const DECREASE: f64 = 0.7;
/// Least time between two decreases: refusals of one burst count once.
const DECREASE_SPACING: Duration = Duration::from_millis(100);

/// The window of one backend server. Invariant: 1 ≤ window ≤ slots.
#[derive(Debug, Clone)]
pub struct Window {
    size: f64,
    slots: f64,
    shrunk: Option<clock::Instant>,
    /// Whether the agent has told its slots.
    known: bool,
}

impl Default for Window {
    fn default() -> Window {
        Window { size: FIRST_WINDOW, slots: FIRST_WINDOW, shrunk: None, known: false }
    }
}

impl Window {
    /// Requests that may be in flight.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Takes the number of slots that the agent reports.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        // Answers of a model take long: a window that had to grow from little
        // would keep requests waiting before free slots.
        let known = std::mem::replace(&mut self.known, true);
        self.size = if known { self.size.min(self.slots) } else { self.slots };
    }

    /// An answer came while `in_flight` requests, itself included, were out.
    pub fn grow(&mut self, in_flight: u32) {
        // A window that is not used says nothing about what would fit.
        if f64::from(in_flight) + 1.0 < self.size {
            return;
        }
        self.size = (self.size + 1.0 / self.size).min(self.slots);
    }

    /// The agent refused for want of a slot.
    pub fn shrink(&mut self, now: clock::Instant) {
        let recent = self.shrunk.is_some_and(|then| now.since(then) < DECREASE_SPACING);
        if recent {
            return;
        }
        self.shrunk = Some(now);
        self.size = (self.size * DECREASE).max(1.0);
    }
}
