//! Detection of ends with a common cause that is not a request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{clock, fleet};

/// Time within which the ends of several servers count as simultaneous.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Maximum number of servers whose ends within [`BURST_TIME`], as seen by one gateway, are
/// blamed on requests. More ends have a common cause, such as a network partition. Three
/// requests that each ended a server within 73 ms have been observed.
const MAX_BLAMED: usize = 4;

/// The servers whose ends one gateway detected within the last [`BURST_TIME`].
#[derive(Debug, Default)]
pub struct Burst {
    recent: BTreeMap<fleet::Run, clock::Instant>,
}

impl Burst {
    /// Records the end of a server. Returns all servers that ended within the same
    /// [`BURST_TIME`] if they are too many to have been ended by requests.
    pub fn found(&mut self, run: &fleet::Run, now: clock::Instant) -> Option<Vec<fleet::Run>> {
        self.recent.retain(|_, at| now.since(*at) < BURST_TIME);
        self.recent.insert(run.clone(), now);
        (self.recent.len() > MAX_BLAMED).then(|| self.recent.keys().cloned().collect())
    }
}
