//! A circuit breaker for a group whose backend servers are only available all
//! together, such as the ranks of a lock-step group.
//!
//! One rejection that reports a broken group opens the breaker, because every
//! other backend server of the group would reject requests as well. While the
//! breaker is open, one request per interval passes as a probe. The first answer
//! that begins closes the breaker.

use std::time::Duration;

use crate::clock;

/// Time between two probes of all callers together. A group forms in less than a
/// second, and a probe costs its client at most one additional rejection.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time between two probes of one caller. It is the longest delay in
/// detecting that the group is available again where only a probe can show it.
const LONGEST_INTERVAL: Duration = Duration::from_secs(3);

/// Circuit breaker of one group, as one caller sees it.
#[derive(Debug, Clone)]
pub struct Breaker {
    opened: Option<clock::Instant>,
    last_probe: clock::Instant,
    interval: Duration,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker { opened: None, last_probe: clock::Instant::ZERO, interval: PROBE_INTERVAL }
    }
}

impl Breaker {
    /// Sets the number of callers that probe the group. The probe interval grows
    /// with it, so that all callers together probe as often as one alone would. Forty
    /// callers that each probed every 150 ms sent more requests into a broken group
    /// than its clients had.
    pub fn set_callers(&mut self, callers: u32) {
        self.interval = PROBE_INTERVAL.saturating_mul(callers.max(1)).min(LONGEST_INTERVAL);
    }

    /// Records that the group rejected a request. Returns whether this opened the breaker.
    pub fn record_refusal(&mut self, now: clock::Instant) -> bool {
        self.last_probe = now;
        let opens = self.opened.is_none();
        self.opened.get_or_insert(now);
        opens
    }

    /// Records that an answer began, which closes the breaker. Returns for how long it
    /// was open, if it was.
    pub fn record_answer(&mut self, now: clock::Instant) -> Option<Duration> {
        self.opened.take().map(|opened| now.since(opened))
    }

    /// Returns when the breaker opened, if it is open.
    pub fn opened(&self) -> Option<clock::Instant> {
        self.opened
    }

    /// Returns whether the breaker is open.
    pub fn is_open(&self) -> bool {
        self.opened.is_some()
    }

    /// Returns whether a request may pass: the breaker is closed or a probe is due.
    pub fn admits(&self, now: clock::Instant) -> bool {
        self.opened.is_none() || now.since(self.last_probe) >= self.interval
    }

    /// Records that a request passed. If the breaker is open, the request is a probe
    /// and the next one is due after the probe interval.
    pub fn record_dispatch(&mut self, now: clock::Instant) {
        if self.is_open() {
            self.last_probe = now;
        }
    }
}
