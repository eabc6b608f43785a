//! Backend servers as listed by the platform's service discovery.
//!
//! A *run* of a backend server lasts from one start to its *end*, when its process exits or
//! crashes. A *rank* is the place of a backend server in a lock-step group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A backend server.
///
/// A server that restarts under the same id is another run: it has no knowledge of what the earlier
/// run received or did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id, which stays the same across restarts.
    pub id: Arc<str>,
    /// When its run started, in Unix milliseconds. If the platform does not provide it, the id
    /// alone identifies the run.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time when its entry was written, during which it is slow.
    pub cold: Duration,
    /// Whether it is about to leave and must not receive new requests.
    pub draining: bool,
    /// Place in a lock-step group, if the server reports one.
    pub rank: Option<Rank>,
}

impl Server {
    /// Returns the run that the entry describes.
    pub fn run(&self) -> Run {
        Run { id: self.id.clone(), born: self.born }
    }
}

/// A run of a backend server: from one start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// Id of the backend server.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds, if known.
    pub born: Option<u64>,
}

impl Run {
    /// Returns whether this is another run than `earlier`. If the start of either run is unknown,
    /// only the ids are compared.
    pub fn differs(&self, earlier: &Run) -> bool {
        let starts = (self.born, earlier.born);
        self.id != earlier.id || matches!(starts, (Some(own), Some(other)) if own != other)
    }
}

/// A backend server's place in a lock-step group, as last reported by the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rank {
    /// Name of the group.
    pub group: Arc<str>,
    /// Number that increases each time the group forms again.
    pub epoch: u64,
    /// Number of the rank, below `size`.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether the group is available.
    pub state: State,
}

/// Whether a lock-step group is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The group begins passes.
    Open,
    /// The group begins no passes in this epoch. It forms again in a later one.
    Broken,
}
