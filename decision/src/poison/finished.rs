//! Requests that came to their end.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock;
use crate::poison::Digest;

/// Requests that a gateway remembers to have come to their end: 4,096 of some
/// 50 bytes, the last 40 seconds of one that answers a hundred a second.
const MAX_FINISHED: usize = 4_096;
/// For how long they are remembered. A request that many callers send alike
/// comes to its end far more often.
const RETENTION: Duration = Duration::from_secs(60);

/// Requests that came to their end of late. One that many callers send alike is
/// on most servers that end, and must not be blamed for it: refused everywhere,
/// it could not come to its end any more.
#[derive(Debug, Default)]
pub struct Finished {
    /// When each last did, and which of all that was.
    last: BTreeMap<Digest, (clock::Instant, u64)>,
    /// All of them, oldest first; some have done so again.
    order: VecDeque<(Digest, u64)>,
    count: u64,
}

impl Finished {
    /// A request came to its end.
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

    /// Whether a request came to its end of late.
    pub fn contains(&self, digest: Digest, now: clock::Instant) -> bool {
        self.last.get(&digest).is_some_and(|(at, _)| now.since(*at) < RETENTION)
    }
}
