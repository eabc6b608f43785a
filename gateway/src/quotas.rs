//! Division of a gateway's file descriptors.

use loftcove_intake::{descriptors, grpc, monitor};
use loftcove_startup::limits;

/// File descriptors that the settings name and that clients' connections do not use. The platform
/// reserves 200 for files, and the hosts that follow this one, the store and the metrics need some.
const RESERVED_DESCRIPTORS: usize = 300;
/// File descriptors of the process itself: its threads, listeners and log, the connections to the
/// store and to the hosts that it follows, and health checks.
const OWN_DESCRIPTORS: usize = 40;

/// What opens file descriptors in a gateway, other than the process itself.
pub struct Quotas {
    /// Connections from clients.
    pub clients: descriptors::Quota,
    /// Connections to backend servers.
    pub servers: descriptors::Quota,
    /// Connections from other processes of the deployment.
    pub peers: descriptors::Quota,
    /// Connections from readers of readiness.
    pub readiness: descriptors::Quota,
    /// Connections from readers of metrics.
    pub metrics: descriptors::Quota,
}

impl Quotas {
    /// Divides the descriptors of the bounds in force. The settings name `setting` of them. Clients
    /// get half of what the others leave, because each of their connections may need another one to a
    /// backend server, and half of that is reserved for them.
    pub fn new(bounds: limits::Bounds, setting: usize) -> Quotas {
        let account = descriptors::Account::of_process(bounds.descriptors, OWN_DESCRIPTORS);
        let (readiness, metrics) = (monitor::quota(&account), monitor::quota(&account));
        let peers = grpc::quota(&account, bounds.memory);
        let left = account.capacity().saturating_sub(account.reserved());
        let max = (left / 2).min(setting.saturating_sub(RESERVED_DESCRIPTORS) / 2);
        let share = descriptors::Share { reserved: max / 2, max };
        let (clients, servers) = (account.quota(share), account.quota(share));
        Quotas { clients, servers, peers, readiness, metrics }
    }
}
