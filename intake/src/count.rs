//! Counts the connections of the process that exceeded their bound.

use std::fmt;
use std::sync::LazyLock;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What is at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Peer {
    peer: &'static str,
}

impl Peer {
    /// A client.
    pub const CLIENT: Peer = Peer { peer: "client" };
    /// A backend server.
    pub const SERVER: Peer = Peer { peer: "server" };
    /// The platform's store.
    pub const STORE: Peer = Peer { peer: "store" };
    /// A model engine.
    pub const ENGINE: Peer = Peer { peer: "engine" };
    /// Another process of the deployment.
    pub const PROCESS: Peer = Peer { peer: "process" };
    /// A reader of readiness or metrics.
    pub const MONITOR: Peer = Peer { peer: "monitor" };
}

impl fmt::Display for Peer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.peer)
    }
}

static CLOSED: LazyLock<Family<Peer, Counter>> = LazyLock::new(Family::default);

/// Returns the number of connections to a kind of peer that exceeded their bound.
pub fn closed(peer: Peer) -> Counter {
    CLOSED.get_or_create(&peer).clone()
}

/// Registers the counts of all kinds of peers.
pub fn register(registry: &mut Registry) {
    let help = "Connections closed because too many bytes carried nothing";
    registry.register("no_content", help, CLOSED.clone());
}
