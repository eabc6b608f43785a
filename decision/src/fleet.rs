//! Backend servers as the platform's discovery lists them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A backend server. One that starts again under its id is another run: it
/// knows nothing of what the earlier one was told or did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: Arc<str>,
    /// When its run started, Unix milliseconds; none where the platform does
    /// not tell, and the id alone names the run.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// How much longer it was slow when its entry was written.
    pub cold: Duration,
    /// Whether it is about to leave and must get nothing new.
    pub draining: bool,
    /// Its place in a lock-step group, if it tells one.
    pub rank: Option<Rank>,
}

impl Server {
    /// The run that the entry is of.
    pub fn run(&self) -> Run {
        Run { id: self.id.clone(), born: self.born }
    }
}

/// A run of a backend server: from one start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// Id of the backend server.
    pub id: Arc<str>,
    /// When it started, Unix milliseconds, as far as that is told.
    pub born: Option<u64>,
}

impl Run {
    /// Whether this is another run than `earlier`, as far as both tell: where one
    /// does not tell its start, the id alone names it.
    pub fn differs(&self, earlier: &Run) -> bool {
        let starts = (self.born, earlier.born);
        self.id != earlier.id || matches!(starts, (Some(own), Some(other)) if own != other)
    }
}

/// A backend server's place in a lock-step group, as it last told it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rank {
    /// Name of the group.
    pub group: Arc<str>,
    /// Rises each time that the group forms anew.
    pub epoch: u64,
    /// The rank, below `size`.
    pub rank: u32,
    /// Ranks of the group.
    pub size: u32,
    /// Whether the group runs.
    pub state: State,
}

/// Whether a lock-step group runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It begins passes.
    Open,
    /// It stands still; it forms anew in a later epoch.
    Broken,
}
