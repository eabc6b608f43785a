//! The status of a process, as `loftcove status` shows it.

use loftcove_decision::lifecycle;
use serde::Serialize;

use crate::process;

/// The role's part of a status.
pub trait Source: Send + Sync + 'static {
    /// Servers that an entry host knows, or the one that an agent stands before.
    fn servers(&self) -> Vec<Server>;
    /// Teams with requests in flight.
    fn teams(&self) -> Vec<Team>;
    /// Groups that this process drives, or that its rank belongs to.
    fn groups(&self) -> Vec<Group>;
}

/// Status of a process.
#[derive(Debug, Serialize)]
pub struct Snapshot {
    /// Id of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the run.
    pub incarnation: u64,
    /// `starting`, `serving`, `draining` or `stopped`.
    pub phase: &'static str,
    /// Generation in force.
    pub generation: u64,
    /// Digest of the bundle in force; empty before the first.
    pub digest: String,
    /// Revision of the host list.
    pub hosts_revision: u64,
    /// Requests in flight.
    pub in_flight: usize,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Groups.
    pub groups: Vec<Group>,
}

/// Status of a backend server.
#[derive(Debug, Serialize)]
pub struct Server {
    /// Id of its host.
    pub host: String,
    /// `usable`, `leaving`, `ejected` or `down`.
    pub state: &'static str,
    /// Requests in flight, as this process counts them.
    pub in_flight: u32,
    /// How many this process allows.
    pub window: u32,
}

/// Status of a team.
#[derive(Debug, Serialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Requests in flight and waiting here.
    pub held: u32,
    /// How many are allowed here.
    pub limit: u32,
}

/// Status of a group.
#[derive(Debug, Serialize)]
pub struct Group {
    /// Name.
    pub name: String,
    /// Epoch of the expert map.
    pub epoch: u64,
    /// Skew by the last observation, 1 is perfect; none where it is not known here.
    pub skew: Option<f64>,
}

/// Name of a phase.
pub fn phase(phase: lifecycle::Phase) -> &'static str {
    match phase {
        lifecycle::Phase::Starting => "starting",
        lifecycle::Phase::Serving => "serving",
        lifecycle::Phase::Draining => "draining",
        lifecycle::Phase::Stopped => "stopped",
    }
}

/// The present status.
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
