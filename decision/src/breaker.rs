//! A circuit breaker for a group whose backend servers serve all together or
//! not at all, as the ranks of a lock-step group do.
//!
//! One refusal that tells of a broken group opens it: every other backend
//! server of the group would refuse as well. While it is open, one request at a
//! time goes through as a probe; the first answer that begins closes it.

use std::time::Duration;

use crate::clock;

/// Time between two probes of all callers together. A group forms within less
/// than a second, and a probe costs its client one more refusal at the most.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two probes of one caller: what is lost where nothing
/// but a probe shows that the group is back.
const LONGEST_INTERVAL: Duration = Duration::from_secs(3);

/// The breaker.
#[derive(Debug, Clone)]
pub struct Breaker {
    opened: Option<clock::Instant>,
    probed: clock::Instant,
    interval: Duration,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker { opened: None, probed: clock::Instant::ZERO, interval: PROBE_INTERVAL }
    }
}

impl Breaker {
    /// So many callers probe the group: each seldom enough that all together
    /// probe as often as one alone. Forty that each probed every 150 ms sent
    /// more requests into a broken group than its callers had.
    pub fn set_callers(&mut self, callers: u32) {
        self.interval = PROBE_INTERVAL.saturating_mul(callers.max(1)).min(LONGEST_INTERVAL);
    }

    /// The group refused. Returns whether this opened the breaker.
    pub fn record_refusal(&mut self, now: clock::Instant) -> bool {
        self.probed = now;
        let opens = self.opened.is_none();
        self.opened.get_or_insert(now);
        opens
    }

    /// An answer began. Returns for how long the breaker was open, if it was.
    pub fn record_answer(&mut self, now: clock::Instant) -> Option<Duration> {
        self.opened.take().map(|opened| now.since(opened))
    }

    /// When it opened, if it is open.
    pub fn opened(&self) -> Option<clock::Instant> {
        self.opened
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        self.opened.is_some()
    }

    /// Whether a request may go through: it is closed, or a probe is due.
    pub fn admits(&self, now: clock::Instant) -> bool {
        self.opened.is_none() || now.since(self.probed) >= self.interval
    }

    /// A request went through; through an open breaker it is a probe, and the
    /// next one follows after a while.
    pub fn record_dispatch(&mut self, now: clock::Instant) {
        if self.is_open() {
            self.probed = now;
        }
    }
}
