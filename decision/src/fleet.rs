//! Backend servers as the platform's discovery lists them.

use std::net::SocketAddr;
use std::sync::Arc;

/// One run of a backend server. A restarted one has a new id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of the run.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave and must get nothing new.
    pub draining: bool,
}
