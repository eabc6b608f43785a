//! Which entry host does a task that one should do: thrift, never safety.
//!
//! All entry hosts agree on an order of candidates by rendezvous; one acts if
//! none before it answers. Two may act at a time when they see different lists
//! or a call fails: every task done this way is safe by compare-and-swap.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::rendezvous;
use loftcove_platform::hosts;
use loftcove_wire as wire;

use crate::process;

/// Longest wait for the answer of a candidate.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether this process should do the task, among the entry hosts that `eligible` admits.
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

async fn responds(process: &process::Process, host: &hosts::Host) -> bool {
    let mut peer = process.links.get(host.address).peer.clone();
    let offer = wire::Offer {
        host: process.settings.process.host.to_string(),
        versions: process.gossip.versions(),
    };
    let call = tokio::time::timeout(CALL_TIMEOUT, peer.exchange(offer)).await;
    matches!(call, Ok(Ok(_)))
}
