//! Servers that end at once by another cause than a request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{clock, fleet};

/// Time within which ends of several servers count as one event.
const AT_ONCE: Duration = Duration::from_millis(100);
/// Servers that may end within [`AT_ONCE`] before one gateway by their
/// requests' doing. More have one cause, such as a path that is cut: three
/// requests that each ended a server within 73 ms were seen.
const MOST_AT_ONCE: usize = 4;

/// The servers that one gateway found ended of late.
#[derive(Debug, Default)]
pub struct Lookout {
    recent: BTreeMap<fleet::Run, clock::Instant>,
}

impl Lookout {
    /// A server was found to have ended. Returns the servers that ended at once
    /// with it if they are too many to have been ended by requests.
    pub fn found(&mut self, run: &fleet::Run, now: clock::Instant) -> Option<Vec<fleet::Run>> {
        self.recent.retain(|_, at| now.since(*at) < AT_ONCE);
        self.recent.insert(run.clone(), now);
        (self.recent.len() > MOST_AT_ONCE).then(|| self.recent.keys().cloned().collect())
    }
}
