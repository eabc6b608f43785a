//! The status of a process, as `loftcove status` shows it.

use loftcove_decision::lifecycle;
use serde::Serialize;

use crate::process;

/// Source of the role's part of a status.
pub trait Source: Send + Sync + 'static {
    /// Returns the backend servers that an entry host knows, or the one of an agent.
    fn servers(&self) -> Vec<Server>;
    /// Returns the teams with requests in flight.
    fn teams(&self) -> Vec<Team>;
    /// Returns the groups whose expert maps this process drives, or the group of its rank.
    fn groups(&self) -> Vec<Group>;
}

/// Status of a process.
#[derive(Debug, Serialize)]
pub struct Snapshot {
    /// Id of the process's host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Number of the run of the process.
    pub incarnation: u64,
    /// `starting`, `serving`, `draining` or `stopped`.
    pub phase: &'static str,
    /// Generation of the bundle in force.
    pub generation: u64,
    /// Digest of the bundle in force; empty before the first one.
    pub digest: String,
    /// Revision of the host list.
    pub hosts_revision: u64,
    /// Requests in flight.
    pub in_flight: usize,
    /// Status of the backend servers.
    pub servers: Vec<Server>,
    /// Status of the teams.
    pub teams: Vec<Team>,
    /// Status of the groups.
    pub groups: Vec<Group>,
}

/// Status of a backend server.
#[derive(Debug, Serialize)]
pub struct Server {
    /// Id of the server's host.
    pub host: String,
    /// `usable`, `leaving`, `ejected` or `down`.
    pub state: &'static str,
    /// Requests in flight, as counted by this process.
    pub in_flight: u32,
    /// Maximum number of requests that this process allows in flight.
    pub window: u32,
}

/// Status of a team.
#[derive(Debug, Serialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Requests of the team that are in flight or queued at this process.
    pub held: u32,
    /// Maximum number of requests that this process allows the team.
    pub limit: u32,
}

/// Status of a group.
#[derive(Debug, Serialize)]
pub struct Group {
    /// Name.
    pub name: String,
    /// Epoch of the group's expert map.
    pub epoch: u64,
    /// Load skew between the ranks by the last observation, where 1 is perfect balance. None if
    /// this process does not know it.
    pub skew: Option<f64>,
}

/// Returns the name of a phase.
pub fn phase(phase: lifecycle::Phase) -> &'static str {
    match phase {
        lifecycle::Phase::Starting => "starting",
        lifecycle::Phase::Serving => "serving",
        lifecycle::Phase::Draining => "draining",
        lifecycle::Phase::Stopped => "stopped",
    }
}

/// Returns the present status of a process.
pub fn snapshot(process: &process::Process, source: &impl Source) -> Snapshot {
    let own = &process.settings.process;
    Snapshot {
        host: own.host.to_string(),
        zone: own.zone.to_string(),
        incarnation: process.incarnation,
        phase: phase(process.lifecycle.phase()),
        generation: process.gossip.force.generation(),
        digest: process.gossip.force.bundle().map_or(String::new(), |b| b.digest.to_string()),
        hosts_revision: process.gossip.hosts().revision,
        in_flight: process.lifecycle.in_flight(),
        servers: source.servers(),
        teams: source.teams(),
        groups: source.groups(),
    }
}
