//! A circuit breaker for a group whose backend servers serve all together or
//! not at all, as the ranks of a lock-step group do.
//!
//! One refusal that tells of a broken group opens it: every other backend
//! server of the group would refuse as well. While it is open, one request at a
//! time goes through as a probe; the first answer that begins closes it.

use std::time::Duration;

use crate::clock;

/// Time between two probes. A group forms within less than a second, and a
/// probe costs its client one more refusal at the most.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// The breaker.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    opened: Option<clock::Instant>,
    probed: clock::Instant,
}

impl Breaker {
    /// The group refused. Returns whether this opened the breaker.
    pub fn refused(&mut self, now: clock::Instant) -> bool {
        self.probed = now;
        let opens = self.opened.is_none();
        self.opened.get_or_insert(now);
        opens
    }

    /// An answer began. Returns for how long the breaker was open, if it was.
    pub fn answered(&mut self, now: clock::Instant) -> Option<Duration> {
        self.opened.take().map(|opened| now.since(opened))
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        self.opened.is_some()
    }

    /// Whether a request may go through: it is closed, or a probe is due.
    pub fn admits(&self, now: clock::Instant) -> bool {
        self.opened.is_none() || now.since(self.probed) >= PROBE_INTERVAL
    }

    /// A request went through; through an open breaker it is a probe, and the
    /// next one follows after a while.
    pub fn sent(&mut self, now: clock::Instant) {
        if self.is_open() {
            self.probed = now;
        }
    }
}
