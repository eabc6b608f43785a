//! Settings files of the gateway and the sidecar.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;

use crate::file::{self, Level};
use crate::{error, seeds};

section! {
    /// The host.
    Host as RawHost ("RawHost") in "host" {
        /// Name of the host.
        name: Arc<str>;
        /// Availability zone of the host.
        zone: Arc<str>;
        /// Addresses of gateways to ask first; some may be wrong or down. Those that are no IP address and port are left out.
        seeds: Vec<SocketAddr> = Vec::new();
        /// Address of the platform's store.
        store_address: SocketAddr;
        /// Address that connections to the store come from, on a host that has several.
        source_address: Option<IpAddr> = None;
        /// Address for `/metrics`.
        metrics_address: SocketAddr;
        /// Threads of the pool that serves.
        workers: usize = 1, from 1 to 1_024;
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

// A gateway can meet bounds for changes from 100 ms on: the time limits of calls to the store are
// fractions of the bound, and such a call takes milliseconds. The counter of the bytes that wait for
// all clients has 32 bits.
section! {
    /// How a gateway serves.
    Serving as RawServing ("RawServing") in "serving" {
        /// Time from the signal to stop until the process is ended, seconds.
        grace_s: f64 = 8.0, from 0.0 to 86_400.0;
        /// Retries allowed over all gateways, as a part of the requests.
        retry_ratio: f64 = 0.2, from 0.0 to 100.0;
        /// Retries allowed over all gateways beyond that part, within a window.
        retry_slack: f64 = 90.0, from 0.0 to 1_000_000.0;
        /// Longest time until an acknowledged configuration is in force, milliseconds.
        config_bound_ms: f64 = 2_000.0, from 100.0 to 600_000.0;
        /// Longest time until a leaving backend server gets nothing new, milliseconds.
        drain_bound_ms: f64 = 2_000.0, from 100.0 to 600_000.0;
        /// Memory that the process may use, megabytes.
        memory_mb: u64 = 256, from 1 to 1_048_576;
        /// File descriptors that the process may use.
        max_descriptors: usize = 4_096, from 1 to 1_073_741_824;
        /// Bytes of a response that may wait for one client, kilobytes.
        client_buffer_kb: u64 = 64, from 1 to 65_536;
        /// Bytes of responses that may wait for all clients together, megabytes; 0 means an eighth of `memory_mb`.
        clients_buffer_mb: u64 = 0, from 0 to 2_048;
        /// Time after which a client is disconnected that takes none of the waiting bytes, milliseconds.
        client_stall_ms: u64 = 2_000, from 100 to 600_000;
    }
}

/// Settings file of a gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The host.
    pub host: Host,
    /// Addresses that the gateway listens on.
    pub listen: Listen,
    /// Limits and bounds of serving.
    pub serving: Serving,
    /// Seeds that are left out of the host's.
    #[serde(skip)]
    pub left_out: seeds::LeftOut,
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

section! {
    /// What a sidecar may use of its host.
    Limits as RawLimits ("RawLimits") in "limits" {
        /// Memory that the process may use, megabytes.
        memory_mb: u64 = 128, from 1 to 1_048_576;
        /// File descriptors that the process may use.
        max_descriptors: usize = 2_048, from 1 to 1_073_741_824;
    }
}

impl Default for Limits {
    fn default() -> Limits {
        // No key of the section is required.
        Limits::try_from(RawLimits::default()).expect("each key has a default")
    }
}

/// Settings file of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// The host.
    pub host: Host,
    /// Connections with other processes.
    pub peering: Peering,
    /// The engine beside the sidecar.
    pub engine: Engine,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Seeds that are left out of the host's.
    #[serde(skip)]
    pub left_out: seeds::LeftOut,
}

impl Gateway {
    /// Reads and checks a gateway's settings file. Logs seeds that are left out.
    ///
    /// # Errors
    ///
    /// Returns the first error in the file.
    pub fn read(path: &Path) -> Result<Gateway, error::Error> {
        let text = file::read_text(path)?;
        let mut gateway: Gateway = file::parse(path, &text)?;
        gateway.check(path, &text)?;
        gateway.left_out = seeds::LeftOut::of(&text, Host::REFERENCE.path);
        gateway.left_out.log();
        Ok(gateway)
    }

    fn check(&self, path: &Path, text: &str) -> Result<(), error::Error> {
        let sections = [self.host.check(), self.listen.check(), self.serving.check()];
        file::check_ranges(path, text, sections)?;
        if self.serving.clients_buffer_mb > self.serving.memory_mb {
            let reason = "must be at most `memory_mb`";
            return Err(file::key_error(path, text, "serving", "clients_buffer_mb", reason));
        }
        Ok(())
    }
}

/// Maximum of the bytes that may wait for all clients together, in megabytes, as in the range of
/// `clients_buffer_mb`.
const MAX_CLIENTS_BUFFER_MB: u64 = 2_048;

impl Serving {
    /// Returns the bound of the bytes that wait for all clients together, in megabytes, at least 1.
    pub fn clients_buffer_mb(&self) -> u64 {
        let mb = match self.clients_buffer_mb {
            0 => (self.memory_mb / 8).min(MAX_CLIENTS_BUFFER_MB),
            mb => mb,
        };
        mb.max(1)
    }
}

impl Sidecar {
    /// Reads and checks a sidecar's settings file. Logs seeds that are left out.
    ///
    /// # Errors
    ///
    /// Returns the first error in the file.
    pub fn read(path: &Path) -> Result<Sidecar, error::Error> {
        let text = file::read_text(path)?;
        let mut sidecar: Sidecar = file::parse(path, &text)?;
        let sections = [
            sidecar.host.check(),
            sidecar.peering.check(),
            sidecar.engine.check(),
            sidecar.limits.check(),
        ];
        file::check_ranges(path, &text, sections)?;
        sidecar.left_out = seeds::LeftOut::of(&text, Host::REFERENCE.path);
        sidecar.left_out.log();
        Ok(sidecar)
    }
}

/// Reference of all sections of both files.
pub const SECTIONS: [crate::reference::Section; 6] = [
    Host::REFERENCE,
    Listen::REFERENCE,
    Serving::REFERENCE,
    Engine::REFERENCE,
    Peering::REFERENCE,
    Limits::REFERENCE,
];
