//! Parameters of a simulated fleet and its requests.

use std::time::Duration;

use crate::fleet::shed;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of entry hosts.
    pub entries: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of slots of each server.
    pub slots: u32,
    /// Mean time that a request occupies a slot.
    pub service: Duration,
    /// Requests per second, over all entry hosts.
    pub rate: f64,
    /// Age of a load report when it arrives, and interval between reports.
    pub lag: Duration,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Time from a request's arrival to its deadline.
    pub time_limit: Duration,
    /// Fraction of the requests that is urgent: they have precedence 0 instead of 1.
    pub urgent: f64,
    /// Requests of team 0 per request of each of the nine other teams.
    pub team_0_weight: f64,
    /// Number of kinds of prompts, each with its own prefix.
    pub prefixes: u64,
    /// Number of prefixes that fit in a server's cache.
    pub cache: usize,
    /// Number of servers that take ten times as long.
    pub slow: usize,
    /// Number of servers that abort every attempt.
    pub failing: usize,
    /// Maximum number of waiting requests at one entry host.
    pub capacity: usize,
    /// Maximum number of retries per first attempt.
    pub retry_ratio: f64,
    /// Whether rejections and whole responses carry the agent's load report.
    pub piggyback: bool,
    /// Load shedding by servers that ask for rest.
    pub shed: Option<shed::Plan>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: 7,
            servers: 16,
            slots: 8,
            service: Duration::from_millis(400),
            rate: 224.0,
            lag: Duration::from_millis(500),
            duration: Duration::from_secs(60),
            time_limit: Duration::from_secs(10),
            urgent: 0.05,
            team_0_weight: 1.0,
            prefixes: 64,
            cache: 8,
            slow: 0,
            failing: 0,
            capacity: 1_024,
            retry_ratio: 0.1,
            piggyback: true,
            shed: None,
        }
    }
}

impl Plan {
    /// Sets the rate to a multiple of the rate that the servers can sustain.
    pub fn at_load(mut self, load: f64) -> Plan {
        let slots = self.servers as f64 * f64::from(self.slots);
        self.rate = slots / self.service.as_secs_f64() * load;
        self
    }
}
