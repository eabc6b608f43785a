//! Outages of groups, combined from the logs of all hosts.
//!
//! A host logs `group down` when it starts to treat a group as unavailable, with the ground for it,
//! and `group up` when it treats the group as available again. An outage has the times of the first
//! and the last host that logged each of them.

use std::collections::{BTreeMap, BTreeSet};

/// Minimum time between the end of an outage and the start of the next one of the group, in
/// seconds. A `group down` line that follows sooner belongs to the same outage. Hosts receive the
/// report of a break within two seconds of each other, because entries are written about once a
/// second.
const MIN_GAP_S: f64 = 3.0;

/// An outage of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Outage {
    /// Name of the group.
    pub group: String,
    /// Times at which the first and the last host logged it as down, in seconds.
    pub down: (f64, f64),
    /// Number of hosts that logged it as down.
    pub hosts: usize,
    /// Number of `group down` lines by ground.
    pub grounds: BTreeMap<String, usize>,
    /// Times at which the first and the last of them logged it as up again, in seconds, if any did.
    pub up: Option<(f64, f64)>,
    /// Number of hosts that did not log it as up again.
    pub still_down: usize,
}

/// Outages of the lines that were read so far.
#[derive(Debug, Default)]
pub struct Outages {
    /// Current or last outage of each group.
    open: BTreeMap<String, Pending>,
    /// Earlier outages.
    closed: Vec<Outage>,
}

#[derive(Debug)]
struct Pending {
    outage: Outage,
    /// Hosts that logged the group as down in this outage.
    hosts: BTreeSet<String>,
    /// Hosts that treat the group as unavailable.
    down: BTreeSet<String>,
}

impl Pending {
    fn new(group: &str, at: f64) -> Pending {
        let outage = Outage {
            group: group.to_owned(),
            down: (at, at),
            hosts: 0,
            grounds: BTreeMap::new(),
            up: None,
            still_down: 0,
        };
        Pending { outage, hosts: BTreeSet::new(), down: BTreeSet::new() }
    }

    fn close(mut self) -> Outage {
        self.outage.hosts = self.hosts.len();
        self.outage.still_down = self.down.len();
        self.outage
    }
}

impl Outages {
    /// Records that a host logged a group as down.
    pub fn record_down(&mut self, group: &str, host: &str, ground: &str, at: f64) {
        let previous = self.open.get(group);
        let is_over = previous.is_some_and(|open| {
            let last = open.outage.up.map_or(open.outage.down.1, |(_, last)| last);
            open.down.is_empty() && at - last > MIN_GAP_S
        });
        if is_over && let Some(open) = self.open.remove(group) {
            self.closed.push(open.close());
        }
        let open = self.open.entry(group.to_owned()).or_insert_with(|| Pending::new(group, at));
        open.outage.down.1 = open.outage.down.1.max(at);
        open.hosts.insert(host.to_owned());
        open.down.insert(host.to_owned());
        *open.outage.grounds.entry(ground.to_owned()).or_default() += 1;
    }

    /// Records that a host logged a group as up again.
    pub fn record_up(&mut self, group: &str, host: &str, at: f64) {
        let Some(open) = self.open.get_mut(group) else { return };
        if !open.down.remove(host) {
            return;
        }
        let (first, last) = open.outage.up.unwrap_or((at, at));
        open.outage.up = Some((first.min(at), last.max(at)));
    }

    /// Records that the process of a host started. A new process treats every group as available.
    pub fn record_start(&mut self, host: &str) {
        for open in self.open.values_mut() {
            open.down.remove(host);
        }
    }

    /// Returns all outages in the order of their start.
    pub fn finish(self) -> Vec<Outage> {
        let mut all = self.closed;
        all.extend(self.open.into_values().map(Pending::close));
        all.sort_by(|a, b| a.down.0.total_cmp(&b.down.0));
        all
    }
}
