//! Settings files of the daemon and the tool.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::{error, reference, seeds};

/// Role of a daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts callers' requests from the platform's balancer.
    Entry,
    /// Runs beside one backend server on its host and forwards requests to it.
    Agent,
}

section! {
    /// Who the process is. A process learns its addresses and availability zone only from here.
    Process as RawProcess ("RawProcess") in "process" {
        /// Role of the process, `entry` or `agent`.
        role: Role;
        /// Id of the host, as the platform's host list has it.
        host: Arc<str>;
        /// Availability zone of the host.
        zone: Arc<str>;
        /// Deployment that the host belongs to.
        deployment: Arc<str>;
        /// Address for loftcove's own processes.
        peer_address: SocketAddr;
        /// Address that connections to others come from, on a host that has several.
        source_address: Option<IpAddr> = None;
        /// Addresses of processes to ask first, while the host list is not known. Those that are no IP address and port are left out.
        seeds: Vec<SocketAddr> = Vec::new();
        /// Shared key of the deployment; a process without it is not listened to.
        key: Arc<str>;
        /// Address for `/healthz`, `/readyz` and `/metrics` on a host without callers' address.
        admin_address: Option<SocketAddr> = None;
        /// Longest time that a planned stop waits for requests in flight, milliseconds.
        drain_ms: u64 = 30_000, from 0 to 86_400_000;
        /// Time between two exchanges of bundle, host list and home table with a peer, milliseconds.
        exchange_ms: u64 = 1_000, from 1 to 600_000;
        /// Threads of the pool that serves.
        workers: usize = 1, from 1 to 1_024;
        /// Least level of the log: error, warn, info, debug.
        log_level: Level = Level::Info;
    }
}

/// Lowest level of log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Errors only.
    Error,
    /// Also conditions that may lead to errors.
    Warn,
    /// Also a line for each decision.
    Info,
    /// All lines.
    Debug,
}

section! {
    /// The platform's key-value service and host list, by their HTTP protocol.
    Platform as RawPlatform ("RawPlatform") in "platform" {
        /// Address of the service.
        address: SocketAddr;
        /// Longest wait for an answer, milliseconds.
        timeout_ms: u64 = 2_000, from 1 to 600_000;
        /// Longest time that one watch waits, milliseconds; one that is lost shows no sooner, and
        /// a bundle is to be in force within 16 s.
        watch_ms: u64 = 10_000, from 1 to 30_000;
        /// Entry hosts of an availability zone that watch the platform; the others hear from them.
        watchers: usize = 2, from 1 to 1_000;
    }
}

section! {
    /// An entry host.
    Entry as RawEntry ("RawEntry") in "entry" {
        /// Address for callers.
        http_address: SocketAddr;
        /// Largest request body, bytes.
        max_body: usize = 1_048_576, from 1 to 1_073_741_824;
        /// Memory that the process may use, megabytes.
        memory_mb: u64 = 256, from 1 to 1_048_576;
        /// File descriptors that the process may use.
        max_descriptors: usize = 4_096, from 1 to 1_073_741_824;
        /// Requests that may wait for a backend server, over all teams.
        max_waiting: usize = 1_024, from 0 to 1_000_000;
        /// Agents whose load is followed; those of the own availability zone come first.
        max_followed: usize = 256, from 1 to 1_000_000;
        /// Retries granted for each request.
        retry_ratio: f64 = 0.1, from 0.0 to 100.0;
        /// Longest time from one rebalancing decision of a driven group to the next, seconds; 0 takes the bundle's.
        rebalance_s: u64 = 0, from 0 to 86_400;
    }
}

section! {
    /// An agent and the backend server that it stands before.
    Agent as RawAgent ("RawAgent") in "agent" {
        /// Name of the service or rank group that the backend server belongs to.
        backend: Arc<str>;
        /// Rank in the group; leave out for a plain service.
        rank: Option<u32> = None;
        /// Address of the backend server.
        server_address: SocketAddr;
        /// Requests that the backend server takes at a time.
        slots: u32 = 32, from 1 to 1_000_000;
        /// Time between two polls of the backend server's load, milliseconds.
        poll_ms: u64 = 500, from 1 to 600_000;
        /// Idempotency keys that are remembered as a home.
        max_keys: usize = 200_000, from 1 to 100_000_000;
        /// Memory that the process may use, megabytes.
        memory_mb: u64 = 256, from 1 to 1_048_576;
        /// File descriptors that the process may use.
        max_descriptors: usize = 4_096, from 1 to 1_073_741_824;
    }
}

section! {
    /// Homes of idempotency keys. All processes of a deployment must have the same values.
    Homes as RawHomes ("RawHomes") in "homes" {
        /// How long a home goes on without a confirmation from the platform or its witness, milliseconds.
        lease_ms: u64 = 3_000, from 1 to 3_600_000;
        /// How long a home goes on with its witness's promises alone, milliseconds.
        grace_ms: u64 = 1_800_000, from 0 to 604_800_000;
        /// Bound on the difference of two hosts' clocks, milliseconds.
        skew_ms: u64 = 500, from 0 to 3_600_000;
        /// How long a key is remembered; older keys are refused, milliseconds.
        window_ms: u64 = 900_000, from 1 to 604_800_000;
        /// Parts of the key space, each with one home.
        slots: u32 = 64, from 1 to 65_536;
        /// Homes in each availability zone.
        per_zone: usize = 3, from 1 to 1_000;
    }
}

/// Settings file of a daemon process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Identity of the process.
    pub process: Process,
    /// Access to the platform.
    pub platform: Platform,
    /// Operators and their public keys, 64 hexadecimal digits each.
    pub operators: BTreeMap<Arc<str>, String>,
    /// Homes of idempotency keys.
    #[serde(default = "default_homes")]
    pub homes: Homes,
    /// Settings of the role `entry`.
    pub entry: Option<Entry>,
    /// Settings of the role `agent`.
    pub agent: Option<Agent>,
    /// Seeds that are left out of the process's.
    #[serde(skip)]
    pub left_out: seeds::LeftOut,
}

fn default_homes() -> Homes {
    // All keys of this section have defaults, so the conversion cannot fail.
    Homes::try_from(RawHomes::default()).expect("the section has defaults for all keys")
}

section! {
    /// The command-line tool.
    Tool as RawTool ("RawTool") in "" {
        /// Deployment that the tool works on.
        deployment: Arc<str>;
        /// Address of the platform's service.
        platform_address: SocketAddr;
        /// Addresses of processes to ask for the host list while the platform is not to be reached.
        seeds: Vec<SocketAddr> = Vec::new();
        /// Shared key of the deployment.
        key: Arc<str>;
        /// Name of the operator.
        operator: Arc<str>;
        /// File with the operator's secret key.
        secret_file: PathBuf;
        /// Operators and their public keys.
        operators: BTreeMap<Arc<str>, String>;
    }
}

/// Reference of all sections of the daemon's file.
pub const DAEMON_SECTIONS: [reference::Section; 5] =
    [Process::REFERENCE, Platform::REFERENCE, Entry::REFERENCE, Agent::REFERENCE, Homes::REFERENCE];

impl Daemon {
    /// Reads and checks a daemon's settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error in the file.
    pub fn read(file: &Path) -> Result<Daemon, error::Error> {
        let text = read_text(file)?;
        let mut daemon: Daemon = parse(file, &text)?;
        daemon.check(file, &text)?;
        daemon.left_out = seeds::LeftOut::of(&text, Process::REFERENCE.path);
        Ok(daemon)
    }

    fn check(&self, file: &Path, text: &str) -> Result<(), error::Error> {
        let error = |section, key, reason: &str| Err(key_error(file, text, section, key, reason));
        match self.process.role {
            Role::Entry if self.entry.is_none() => {
                return error("process", "role", "an entry needs the section [entry]");
            }
            Role::Agent if self.agent.is_none() => {
                return error("process", "role", "an agent needs the section [agent]");
            }
            _ => {}
        }
        if self.process.key.len() < MIN_KEY_LENGTH {
            return error("process", "key", "the deployment's key needs at least 16 characters");
        }
        let optional =
            [self.entry.as_ref().map(Entry::check), self.agent.as_ref().map(Agent::check)];
        let sections = [self.process.check(), self.platform.check(), self.homes.check()];
        check_ranges(file, text, sections.into_iter().chain(optional.into_iter().flatten()))?;
        if self.homes.window_ms <= self.homes.lease_ms + 2 * self.homes.skew_ms {
            return error("homes", "window_ms", "must be greater than lease_ms plus twice skew_ms");
        }
        Ok(())
    }

    /// Returns the maximum time that a planned stop waits for requests in flight.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.process.drain_ms)
    }
}

/// Minimum length of the deployment's key, in characters.
const MIN_KEY_LENGTH: usize = 16;

impl Tool {
    /// Reads the tool's settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error in the file.
    pub fn read(file: &Path) -> Result<Tool, error::Error> {
        let text = read_text(file)?;
        let tool: Tool = parse(file, &text)?;
        check_ranges(file, &text, [tool.check()])?;
        // An operator can correct the file at once.
        if !seeds::LeftOut::of(&text, Tool::REFERENCE.path).is_empty() {
            return Err(key_error(file, &text, "", "seeds", "must be IP addresses with ports"));
        }
        Ok(tool)
    }
}

/// Returns the error for a key whose value does not fit.
pub(crate) fn key_error(
    file: &Path,
    text: &str,
    section: &str,
    key: &str,
    reason: &str,
) -> error::Error {
    error::Error::Key {
        file: file.to_owned(),
        line: line_of_key(text, section, key),
        key: key.to_owned(),
        reason: reason.to_owned(),
    }
}

/// Returns the first error of the sections of a file, as an error in that file.
pub(crate) fn check_ranges(
    file: &Path,
    text: &str,
    sections: impl IntoIterator<Item = Result<(), error::Range>>,
) -> Result<(), error::Error> {
    sections.into_iter().collect::<Result<(), error::Range>>().map_err(|range| {
        let line = line_of_key(text, range.section, range.key);
        error::Error::Range { file: file.to_owned(), line, range }
    })
}

pub(crate) fn read_text(file: &Path) -> Result<String, error::Error> {
    std::fs::read_to_string(file)
        .map_err(|source| error::Error::Read { file: file.to_owned(), source })
}

pub(crate) fn parse<T: serde::de::DeserializeOwned>(
    file: &Path,
    text: &str,
) -> Result<T, error::Error> {
    toml::from_str(text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start);
        let line = 1 + text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
        let reason = error.message().to_owned();
        let key = quoted_name(&reason).unwrap_or_else(|| key_on_line(text, line));
        error::Error::Key { file: file.to_owned(), line, key, reason }
    })
}

/// Returns the first name in backquotes if the parser's message is about a key.
fn quoted_name(reason: &str) -> Option<String> {
    let names_key = reason.starts_with("unknown field") || reason.starts_with("missing");
    names_key.then(|| reason.split('`').nth(1).map(str::to_owned)).flatten()
}

fn key_on_line(text: &str, line: usize) -> String {
    let line = text.lines().nth(line - 1).unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_owned()
}

/// Returns the line of a key, from 1. Several sections may have a key of the same name.
fn line_of_key(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let position = text.lines().position(|line| {
        if let Some(name) = section_name(line) {
            current = name;
        }
        let name = line.split('=').next().unwrap_or_default().trim();
        (name == key && current == section) || name == format!("{section}.{key}")
    });
    position.map_or(1, |index| index + 1)
}

/// Returns the name of the section that a line begins.
fn section_name(line: &str) -> Option<&str> {
    let (name, _) = line.trim_start().strip_prefix('[')?.split_once(']')?;
    Some(name.trim())
}
