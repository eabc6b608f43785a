//! Servers that end at once by another cause than a request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{clock, fleet};

/// Time within which ends of several servers count as one event.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Servers that may end within [`BURST_TIME`] before one gateway by their
/// requests' doing. More have one cause, such as a path that is cut: three
/// requests that each ended a server within 73 ms were seen.
const MAX_BLAMED: usize = 4;

/// The servers that one gateway found ended of late.
#[derive(Debug, Default)]
pub struct Burst {
    recent: BTreeMap<fleet::Run, clock::Instant>,
}

impl Burst {
    /// A server was found to have ended. Returns the servers that ended at once
    /// with it if they are too many to have been ended by requests.
    pub fn found(&mut self, run: &fleet::Run, now: clock::Instant) -> Option<Vec<fleet::Run>> {
        self.recent.retain(|_, at| now.since(*at) < BURST_TIME);
        self.recent.insert(run.clone(), now);
        (self.recent.len() > MAX_BLAMED).then(|| self.recent.keys().cloned().collect())
    }
}
