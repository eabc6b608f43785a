//! Backend servers that requested rest or announced that they are leaving, combined from the logs
//! of all hosts.
//!
//! A *rest* is a time for which a backend server asks a host to send it no requests.

use std::collections::{BTreeMap, BTreeSet};

/// Rests and leave of one backend server.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// Number of rests that it requested.
    pub rests: u64,
    /// Hosts from which it requested rest.
    pub hosts: BTreeSet<String>,
    /// Times of the first and the last request for rest, in seconds.
    pub asked: Option<(f64, f64)>,
    /// Longest time for which a host sent it no requests, in milliseconds.
    pub max_ms: u64,
    /// Time at which it first announced that it is leaving, in seconds.
    pub leaves_at: Option<f64>,
}

impl Record {
    /// Records that it requested rest from a host, which then sends it no requests for `ms`.
    pub fn record_rest(&mut self, host: &str, ms: u64, at: f64) {
        let (first, last) = self.asked.unwrap_or((at, at));
        self.asked = Some((first.min(at), last.max(at)));
        self.hosts.insert(host.to_owned());
        self.rests += 1;
        self.max_ms = self.max_ms.max(ms);
    }

    /// Records that it announced that it is leaving.
    pub fn record_leave(&mut self, at: f64) {
        self.leaves_at = Some(self.leaves_at.map_or(at, |first| first.min(at)));
    }
}

/// Records of all backend servers, by id.
pub type Servers = BTreeMap<String, Record>;
