//! What hosts believed of a group, put together: when an outage was first
//! noticed, when the last host had noticed it, and the same of its end.

use std::collections::{BTreeMap, BTreeSet};

/// Time between two hosts' beliefs from which these are of two outages, seconds:
/// hosts hear of a break within two seconds of each other, as entries are written
/// each second or so.
const APART: f64 = 3.0;

/// An outage of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Outage {
    /// The group.
    pub group: String,
    /// When the first and the last host believed it down, seconds.
    pub down: (f64, f64),
    /// Hosts that believed it down.
    pub hosts: usize,
    /// Grounds, with the number of hosts that had each.
    pub grounds: BTreeMap<String, usize>,
    /// When the first and the last of them believed it up again, if they did.
    pub up: Option<(f64, f64)>,
    /// Hosts that did not.
    pub still_down: usize,
}

/// Outages that are being put together, in the order of their beginning.
#[derive(Debug, Default)]
pub struct Outages {
    open: BTreeMap<String, Open>,
    over: Vec<Outage>,
}

#[derive(Debug)]
struct Open {
    outage: Outage,
    /// Hosts that believe the group down.
    down: BTreeSet<String>,
}

impl Open {
    fn new(group: &str, at: f64) -> Open {
        let outage = Outage {
            group: group.to_owned(),
            down: (at, at),
            hosts: 0,
            grounds: BTreeMap::new(),
            up: None,
            still_down: 0,
        };
        Open { outage, down: BTreeSet::new() }
    }

    fn end(mut self) -> Outage {
        self.outage.still_down = self.down.len();
        self.outage
    }
}

impl Outages {
    /// A host believes a group down.
    pub fn record_down(&mut self, group: &str, host: &str, ground: &str, at: f64) {
        let before = self.open.get(group);
        let ended = before.is_some_and(|open| {
            let last = open.outage.up.map_or(open.outage.down.1, |(_, last)| last);
            open.down.is_empty() && at - last > APART
        });
        if ended && let Some(open) = self.open.remove(group) {
            self.over.push(open.end());
        }
        let open = self.open.entry(group.to_owned()).or_insert_with(|| Open::new(group, at));
        open.outage.down.1 = open.outage.down.1.max(at);
        if open.down.insert(host.to_owned()) {
            open.outage.hosts += 1;
        }
        *open.outage.grounds.entry(ground.to_owned()).or_default() += 1;
    }

    /// A host believes a group up again.
    pub fn record_up(&mut self, group: &str, host: &str, at: f64) {
        let Some(open) = self.open.get_mut(group) else { return };
        if !open.down.remove(host) {
            return;
        }
        let (first, last) = open.outage.up.unwrap_or((at, at));
        open.outage.up = Some((first.min(at), last.max(at)));
    }

    /// A host's process starts: it has no beliefs.
    pub fn record_start(&mut self, host: &str) {
        for open in self.open.values_mut() {
            open.down.remove(host);
        }
    }

    /// All outages, by their beginning.
    pub fn finish(self) -> Vec<Outage> {
        let mut all = self.over;
        all.extend(self.open.into_values().map(Open::end));
        all.sort_by(|a, b| a.down.0.total_cmp(&b.down.0));
        all
    }
}
