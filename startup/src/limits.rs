//! Limits that the host enforces on the process, whatever its settings say.

use std::fmt;
use std::path::Path;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rustix::process::{Resource, getrlimit};

/// A limit of the host. `None` means that there is none, or that it cannot be read.
pub type Limit = Option<u64>;

/// Limits that are in force at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of file descriptors that may be open.
    pub descriptors: Limit,
    /// Number to which the process may raise `descriptors`.
    pub max_descriptors: Limit,
    /// Memory of the control group of the process and of those that contain it, in bytes. It
    /// includes the buffers of sockets.
    pub memory: Limit,
    /// Address space, in bytes.
    pub address_space: Limit,
    /// Private writable memory, in bytes.
    pub data: Limit,
}

impl Limits {
    /// Reads the limits.
    pub fn read() -> Limits {
        let descriptors = getrlimit(Resource::Nofile);
        Limits {
            descriptors: descriptors.current,
            max_descriptors: descriptors.maximum,
            memory: group_memory(),
            address_space: getrlimit(Resource::As).current,
            data: getrlimit(Resource::Data).current,
        }
    }

    /// Logs the limits.
    pub fn log(&self) {
        log::info!(
            "limits of the host descriptors={} max_descriptors={} memory={} address_space={} data={}",
            Shown(self.descriptors),
            Shown(self.max_descriptors),
            Shown(self.memory),
            Shown(self.address_space),
            Shown(self.data)
        );
    }
}

/// A limit in the form for the log.
struct Shown(Limit);

impl fmt::Display for Shown {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(limit) => limit.fmt(formatter),
            None => formatter.write_str("none"),
        }
    }
}

/// Returns the smallest memory limit of the control groups (version 2) that the process is in.
fn group_memory() -> Limit {
    let groups = std::fs::read_to_string("/proc/self/cgroup").ok()?;
    let group = groups.lines().find_map(|line| line.strip_prefix("0::/"))?;
    let root = Path::new("/sys/fs/cgroup");
    let group = root.join(group);
    let groups = group.ancestors().take_while(|path| path.starts_with(root));
    let limits = groups.filter_map(|path| {
        // The text is `max` if there is no limit.
        std::fs::read_to_string(path.join("memory.max")).ok()?.trim().parse().ok()
    });
    limits.min()
}

/// Returns the number of open file descriptors, or `None` if it cannot be read.
pub fn open_descriptors() -> Option<usize> {
    let listed = std::fs::read_dir("/proc/self/fd").ok()?.count();
    // The listing itself has one.
    Some(listed.saturating_sub(1))
}

/// Registers the limits in force, and the number of open file descriptors.
pub fn register(registry: &mut Registry) {
    let limits = Limits::read();
    let memory = "Memory that the host allows, with the buffers of sockets";
    let values = [
        ("descriptors_open", "Open file descriptors", open_descriptors().map(|open| open as u64)),
        ("descriptors_limit", "File descriptors that may be open", limits.descriptors),
        ("host_memory_limit_bytes", memory, limits.memory),
    ];
    for (name, help, value) in values {
        let Some(value) = value else { continue };
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    }
}
