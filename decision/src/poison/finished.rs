//! Requests that completed recently.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock;
use crate::poison::Digest;

/// Maximum number of recorded requests of about 50 bytes each. At a hundred requests a
/// second, 4,096 cover the last 40 seconds.
const MAX_FINISHED: usize = 4_096;
/// Time for which a request is recorded. An identical request of many clients completes
/// far more often than that.
const RETENTION: Duration = Duration::from_secs(60);

/// Requests that completed recently.
///
/// An identical request of many clients is on most servers that end, and must not be
/// blamed for these ends: once refused everywhere, it could never complete and be cleared.
#[derive(Debug, Default)]
pub struct Finished {
    /// Time of each request's last completion and its sequence number.
    last: BTreeMap<Digest, (clock::Instant, u64)>,
    /// All completions, oldest first; a request occurs once for each of its completions.
    order: VecDeque<(Digest, u64)>,
    count: u64,
}

impl Finished {
    /// Records that a request completed.
    pub fn add(&mut self, digest: Digest, now: clock::Instant) {
        self.count += 1;
        self.last.insert(digest, (now, self.count));
        self.order.push_back((digest, self.count));
        if self.order.len() <= MAX_FINISHED {
            return;
        }
        let Some((oldest, number)) = self.order.pop_front() else { return };
        if self.last.get(&oldest).is_some_and(|(_, last)| *last == number) {
            self.last.remove(&oldest);
        }
    }

    /// Returns whether a request completed recently.
    pub fn contains(&self, digest: Digest, now: clock::Instant) -> bool {
        self.last.get(&digest).is_some_and(|(at, _)| now.since(*at) < RETENTION)
    }
}
