//! Final answers by urgency and by team.

use std::collections::BTreeMap;

/// Final answers of one urgency or team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests with a complete answer.
    pub served: u64,
    /// Requests that were rejected before they ran.
    pub rejected: u64,
    /// Requests that were sent and had no complete answer at their deadline.
    pub late: u64,
    /// All other requests: broken off, unknown, or left by their client.
    pub other: u64,
}

impl Tally {
    fn record(&mut self, outcome: &str, reason: &str) {
        match (outcome, reason) {
            ("answered", _) => self.served += 1,
            ("not-run" | "refused", _) => self.rejected += 1,
            (_, "deadline") => self.late += 1,
            _ => self.other += 1,
        }
    }
}

/// Final answers by urgency and by team, of the lines that name them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// By urgency, as it is logged; 0 is the most urgent.
    pub urgencies: BTreeMap<String, Tally>,
    /// By name of the team.
    pub teams: BTreeMap<String, Tally>,
}

impl Demand {
    /// Counts the final answer of a request. A line without urgency or team counts for neither.
    pub fn record(
        &mut self,
        (urgency, team): (Option<&str>, Option<&str>),
        outcome: &str,
        reason: &str,
    ) {
        if let Some(urgency) = urgency {
            self.urgencies.entry(urgency.to_owned()).or_default().record(outcome, reason);
        }
        if let Some(team) = team {
            self.teams.entry(team.to_owned()).or_default().record(outcome, reason);
        }
    }
}
