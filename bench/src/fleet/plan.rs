//! What a fleet is made of and what comes to it.

use std::time::Duration;

use crate::fleet::shed;

/// What is run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Entry hosts.
    pub entries: usize,
    /// Backend servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Mean time that a request takes in a slot.
    pub service: Duration,
    /// Requests a second, over all entry hosts.
    pub rate: f64,
    /// Age of a load report when it arrives, and time between two.
    pub lag: Duration,
    /// How long requests arrive.
    pub duration: Duration,
    /// Time that a request is given.
    pub time_limit: Duration,
    /// Part of the requests that is urgent, precedence 0 instead of 1.
    pub urgent: f64,
    /// Requests of team 0 for each one of any of the nine other teams.
    pub team_0_weight: f64,
    /// Kinds of prompts, each with its own prefix.
    pub prefixes: u64,
    /// Prefixes that a server's cache holds.
    pub cache: usize,
    /// Servers that take ten times as long.
    pub slow: usize,
    /// Servers that break off every attempt.
    pub failing: usize,
    /// Waiters of one entry host at the most.
    pub capacity: usize,
    /// Retries for each first attempt.
    pub retry_ratio: f64,
    /// Whether refusals and whole answers bear the agent's load report.
    pub piggyback: bool,
    /// Servers that ask for rest.
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
    /// The plan at a multiple of the rate that the servers can bear.
    pub fn at_load(mut self, load: f64) -> Plan {
        let slots = self.servers as f64 * f64::from(self.slots);
        self.rate = slots / self.service.as_secs_f64() * load;
        self
    }
}
