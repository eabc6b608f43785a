//! Selection of the agents that may be homes of idempotency keys.

use loftcove_decision::home::table;
use loftcove_platform::hosts;

/// Returns the agents of a host list that may be homes, at most `per_zone` in each zone.
pub fn elect(list: &hosts::Snapshot, per_zone: usize) -> Vec<table::Candidate> {
    let agents = list.hosts.iter().filter(|host| host.role == hosts::Role::Agent && !host.leaving);
    let candidate =
        |host: &hosts::Host| table::Candidate { host: host.id.clone(), zone: host.zone.clone() };
    let candidates: Vec<table::Candidate> = agents.map(candidate).collect();
    table::elect(&candidates, per_zone)
}
