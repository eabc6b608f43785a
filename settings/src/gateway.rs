//! The settings of a gateway.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;

use crate::error;
use crate::file::{self, Level};

section! {
    /// The host.
    Host as RawHost ("RawHost") in "host" {
        /// Name of the host.
        name: Arc<str>;
        /// Availability zone of the host.
        zone: Arc<str>;
        /// Addresses of gateways to ask first; some may be wrong or down.
        seeds: Vec<SocketAddr> = Vec::new();
        /// Address of the platform's store.
        store_address: SocketAddr;
        /// Address that connections to the store come from, on a host that has several.
        source_address: Option<IpAddr> = None;
        /// Address for `/metrics`.
        metrics_address: SocketAddr;
        /// Threads of the pool that serves.
        workers: usize = 1;
        /// Least level of the log: error, warn, info, debug.
        log_level: Level = Level::Info;
    }
}

section! {
    /// Addresses that a gateway listens on.
    Listen as RawListen ("RawListen") in "listen" {
        /// Address for clients.
        client_address: SocketAddr;
        /// Address at which the platform asks whether the gateway is ready.
        ready_address: SocketAddr;
        /// Address for other processes of loftcove.
        peer_address: SocketAddr;
    }
}

section! {
    /// How a gateway serves.
    Serving as RawServing ("RawServing") in "serving" {
        /// Time from the signal to stop until the process is ended, seconds.
        grace_s: f64 = 8.0;
        /// Retries allowed over all gateways, as a part of the requests.
        retry_ratio: f64 = 0.2;
        /// Retries allowed over all gateways beyond that part, within a window.
        retry_slack: f64 = 90.0;
        /// Longest time until an acknowledged configuration is in force, milliseconds.
        config_bound_ms: f64 = 2_000.0;
        /// Longest time until a leaving backend server gets nothing new, milliseconds.
        drain_bound_ms: f64 = 2_000.0;
        /// Memory that the process may use, megabytes.
        memory_mb: u64 = 256;
        /// File descriptors that the process may use.
        max_descriptors: usize = 4_096;
    }
}

/// The whole file of a gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The host.
    pub host: Host,
    /// Addresses to listen on.
    pub listen: Listen,
    /// How to serve.
    pub serving: Serving,
}

section! {
    /// The engine beside a sidecar.
    Engine as RawEngine ("RawEngine") in "engine" {
        /// Address of the engine.
        address: SocketAddr;
        /// Service that the engine belongs to, as the configuration names it.
        service: Arc<str>;
    }
}

section! {
    /// How a sidecar reaches the others.
    Peering as RawPeering ("RawPeering") in "peering" {
        /// Address for other processes of loftcove; its port is the same on all sidecars.
        peer_address: SocketAddr;
    }
}

/// The whole file of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// The host.
    pub host: Host,
    /// How to reach the others.
    pub peering: Peering,
    /// The engine.
    pub engine: Engine,
}

impl Gateway {
    /// Reads and checks a gateway's file.
    ///
    /// # Errors
    ///
    /// One [`error::Error`] for the first fault.
    pub fn read(path: &Path) -> Result<Gateway, error::Error> {
        let text = file::load(path)?;
        let gateway: Gateway = file::parse(path, &text)?;
        gateway.check(path, &text)?;
        Ok(gateway)
    }

    fn check(&self, path: &Path, text: &str) -> Result<(), error::Error> {
        let bounds = [
            ("config_bound_ms", self.serving.config_bound_ms),
            ("drain_bound_ms", self.serving.drain_bound_ms),
        ];
        // A number that is none is in no range either.
        match bounds.iter().find(|(_, ms)| !BOUND_MS.contains(ms)) {
            Some((key, _)) => Err(file::fault(path, text, key, "must be from 100 to 600,000")),
            None => Ok(()),
        }
    }
}

/// Bounds for changes that a gateway can keep, milliseconds: calls to the store
/// take parts of them, and the store's take milliseconds.
const BOUND_MS: std::ops::RangeInclusive<f64> = 100.0..=600_000.0;

impl Sidecar {
    /// Reads and checks a sidecar's file.
    ///
    /// # Errors
    ///
    /// One [`error::Error`] for the first fault.
    pub fn read(path: &Path) -> Result<Sidecar, error::Error> {
        file::parse(path, &file::load(path)?)
    }
}

/// All sections of both files, for the reference.
pub const SECTIONS: [crate::reference::Section; 5] =
    [Host::REFERENCE, Listen::REFERENCE, Serving::REFERENCE, Engine::REFERENCE, Peering::REFERENCE];
