//! Limits that the host enforces on the process, whatever its settings say.
//!
//! A process derives all of its bounds from [`Bounds`] that [`enforce`] returns, which are the smaller
//! of its settings and the limits of the host.

use loftcove_line::field;
use std::fmt;
use std::path::Path;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

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

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Memory, in bytes, with the buffers of its sockets.
    pub memory: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl Bounds {
    /// Creates the bounds of settings that name a number of megabytes and of descriptors.
    pub fn of_settings(memory_mb: u64, descriptors: usize) -> Bounds {
        let memory = usize::try_from(memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX);
        Bounds { memory, descriptors }
    }

    /// Returns the smaller of these bounds and the limits.
    pub fn within(self, limits: &Limits) -> Bounds {
        let smaller = |bound: usize, limit: Limit| {
            limit.map_or(bound, |limit| bound.min(usize::try_from(limit).unwrap_or(usize::MAX)))
        };
        Bounds {
            memory: smaller(smaller(self.memory, limits.memory), limits.data),
            descriptors: smaller(self.descriptors, limits.descriptors),
        }
    }
}

/// Raises the limit of file descriptors to what the settings name, as far as the host allows, and
/// returns the smaller of the settings and the limits that are then in force. Logs both.
pub fn enforce(settings: Bounds) -> Bounds {
    raise_descriptors(settings.descriptors as u64);
    let limits = Limits::read();
    limits.log();
    let bounds = settings.within(&limits);
    let Bounds { memory, descriptors } = bounds;
    if bounds == settings {
        log::info!("bounds in force memory={memory} descriptors={descriptors}");
    } else {
        log::warn!(
            "bounds in force memory={memory} descriptors={descriptors} memory_setting={} \
             descriptors_setting={} reason=host",
            settings.memory,
            settings.descriptors
        );
    }
    bounds
}

/// Raises the limit of file descriptors to `wanted`, or to the maximum that the host allows.
fn raise_descriptors(wanted: u64) {
    let limit = getrlimit(Resource::Nofile);
    // No limit is `None`.
    let raised = limit.maximum.map_or(wanted, |maximum| maximum.min(wanted));
    if limit.current.is_none_or(|current| current >= raised) {
        return;
    }
    let next = Rlimit { current: Some(raised), maximum: limit.maximum };
    // The process continues with the limit that it has.
    if let Err(error) = setrlimit(Resource::Nofile, next) {
        log::warn!(
            "limit of descriptors not raised wanted={raised} error={error}",
            error = field::Quoted(&error)
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
