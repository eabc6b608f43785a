//! Selection of one entry host for a task that one host should execute.
//!
//! All entry hosts order the candidates by rendezvous hashing. A host executes the task if no host
//! before it in this order responds. Two hosts may execute the task concurrently if their host
//! lists differ or a call fails. The selection therefore only saves work. The tasks are safe
//! because they write by compare-and-swap.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::rendezvous;
use loftcove_platform::hosts;
use loftcove_wire as wire;

use crate::process;

/// Time limit for the response of a candidate.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether this process is selected for `task` among the entry hosts that are `eligible`.
pub async fn is_self(
    process: &Arc<process::Process>,
    task: &str,
    eligible: impl Fn(&hosts::Host) -> bool,
) -> bool {
    let list = process.gossip.hosts();
    let candidates: Vec<&hosts::Host> = list
        .hosts
        .iter()
        .filter(|host| host.role == hosts::Role::Entry && !host.leaving && eligible(host))
        .collect();
    let order = rendezvous::order(task, candidates.iter().map(|host| &*host.id));
    for id in order {
        if *id == *process.settings.process.host {
            return true;
        }
        let candidate = candidates.iter().find(|host| *host.id == *id);
        if let Some(host) = candidate
            && responds(process, host).await
        {
            return false;
        }
    }
    false
}

/// Returns whether a host answers an exchange in time.
async fn responds(process: &process::Process, host: &hosts::Host) -> bool {
    let mut peer = process.links.get(host.address).peer.clone();
    let offer = wire::Offer {
        host: process.settings.process.host.to_string(),
        versions: process.gossip.versions(),
    };
    let call = tokio::time::timeout(CALL_TIMEOUT, peer.exchange(offer)).await;
    matches!(call, Ok(Ok(_)))
}
