//! Backend servers that asked for rest or said that they leave, put together
//! from what all hosts were told.

use std::collections::{BTreeMap, BTreeSet};

/// What a backend server said.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// Rests that it asked hosts for.
    pub rests: u64,
    /// Hosts that it asked.
    pub hosts: BTreeSet<String>,
    /// When the first one was asked and the last one's rest began, seconds.
    pub asked: Option<(f64, f64)>,
    /// Longest time for which a host sent it nothing, milliseconds.
    pub max_ms: u64,
    /// When it first said that it leaves, seconds.
    pub leaves_at: Option<f64>,
}

impl Record {
    /// It asked a host for rest, which sends it nothing for that time.
    pub fn record_rest(&mut self, host: &str, ms: u64, at: f64) {
        let (first, last) = self.asked.unwrap_or((at, at));
        self.asked = Some((first.min(at), last.max(at)));
        self.hosts.insert(host.to_owned());
        self.rests += 1;
        self.max_ms = self.max_ms.max(ms);
    }

    /// It said that it leaves.
    pub fn record_leave(&mut self, at: f64) {
        self.leaves_at = Some(self.leaves_at.map_or(at, |first| first.min(at)));
    }
}

/// All of them, by id.
pub type Servers = BTreeMap<String, Record>;
