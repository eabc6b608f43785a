//! What others may take from a process: connections and memory.

use loftcove_intake::{connections, descriptors, grpc, memory, monitor};
use loftcove_settings::file;
use loftcove_startup::limits;

/// File descriptors of an entry host itself: its connections to agents and other entry hosts.
const ENTRY_DESCRIPTORS: usize = 832;
/// File descriptors of an agent itself, beside those of the attempts that it runs.
const AGENT_DESCRIPTORS: usize = 64;

/// Accounts of a process.
pub struct Intake {
    /// File descriptors.
    pub descriptors: descriptors::Account,
    /// Connections and messages of other processes of the deployment.
    pub peers: grpc::Intake,
    /// Connections of readers of health and metrics.
    pub monitors: descriptors::Quota,
}

impl Intake {
    /// Creates the accounts of a process, which are within the limits of the host.
    pub fn new(settings: &file::Daemon) -> Intake {
        let entry = settings.entry.as_ref().filter(|_| settings.process.role == file::Role::Entry);
        let (bounds, own) = match (entry, &settings.agent) {
            (Some(entry), _) => {
                let bounds = limits::Bounds::of_settings(entry.memory_mb, entry.max_descriptors);
                (bounds, ENTRY_DESCRIPTORS)
            }
            (None, Some(agent)) => {
                let bounds = limits::Bounds::of_settings(agent.memory_mb, agent.max_descriptors);
                (bounds, AGENT_DESCRIPTORS.saturating_add(agent.slots as usize))
            }
            // Reading the settings checks that the section of the role exists.
            (None, None) => unreachable!("a process has the section of its role"),
        };
        let bounds = limits::enforce(bounds);
        let descriptors = descriptors::Account::of_process(bounds.descriptors, own);
        let monitors = monitor::quota(&descriptors);
        let connections = connections::Connections::of(grpc::quota(&descriptors, bounds.memory));
        let memory =
            memory::Account::of_process(bounds.memory, grpc::connection_memory(bounds.memory));
        let peers = grpc::Intake::of(connections, memory);
        Intake { descriptors, peers, monitors }
    }
}
