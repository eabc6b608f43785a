//! Executes orders about the expert map, unless they are stale.
//!
//! A *fence* is the revision of the group's record in the platform that an order was made under.
//! The agent rejects orders with a lower fence than the highest one received ([`gate::Gate`]).

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use loftcove_decision::map::{gate, record};
use loftcove_line::field;
use loftcove_platform::key;
use loftcove_platform::store::Store as _;
use loftcove_wire as wire;
use serde::Serialize;
use tokio::sync::Mutex;

use crate::agent::Agent;

/// Time limit for the backend server to prepare a map, which includes loading weights.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for the backend server to switch to a prepared map.
const ACTIVATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts to read the fence.
const FENCE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time limit for a query to another rank's agent.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The gate of a rank. It stays locked while an order is executed, because a stale order must not
/// be executed between the check and the execution of a newer one.
#[derive(Debug, Default)]
pub struct Orders {
    gate: Mutex<gate::Gate>,
}

/// Body of a request to prepare a map.
#[derive(Serialize)]
struct Prepare<'a> {
    epoch: u64,
    layers: &'a Vec<Vec<Vec<u32>>>,
}

/// Body of a request to switch to a prepared map.
#[derive(Serialize)]
struct Activate {
    epoch: u64,
}

/// Executes an order if the gate accepts it. A query only returns the fence.
pub async fn execute(agent: &Agent, message: wire::Order) -> wire::Verdict {
    let mut gate = agent.orders.gate.lock().await;
    if message.action() == wire::Action::Query {
        let ruling = if gate.ready() { wire::Ruling::Done } else { wire::Ruling::Unready };
        return verdict(ruling, &gate);
    }
    let order = gate::Order {
        action: match message.action() {
            wire::Action::Activate => gate::Action::Activate,
            _ => gate::Action::Prepare,
        },
        epoch: record::Epoch(message.epoch),
        fence: gate::Fence(message.fence),
        digest: message.digest,
    };
    let ruling = match gate.check(&order) {
        Ok(()) => apply(agent, &mut gate, &order, &message.map).await,
        Err(gate::Refusal::Unready) => wire::Ruling::Unready,
        Err(gate::Refusal::Stale(_)) => wire::Ruling::Stale,
        Err(gate::Refusal::Digest(_) | gate::Refusal::Unprepared(_)) => wire::Ruling::Failed,
    };
    agent.process.history.record(
        &message.group,
        format!(
            "order={:?} epoch={} fence={} seen={} choice={}",
            order.action,
            order.epoch,
            order.fence,
            gate.fence(),
            ruling.as_str_name()
        ),
    );
    verdict(ruling, &gate)
}

fn verdict(ruling: wire::Ruling, gate: &gate::Gate) -> wire::Verdict {
    wire::Verdict { ruling: ruling.into(), fence: gate.fence().0 }
}

/// Sends an accepted order to the backend server.
async fn apply(
    agent: &Agent,
    gate: &mut gate::Gate,
    order: &gate::Order,
    map: &Bytes,
) -> wire::Ruling {
    let done = match order.action {
        gate::Action::Prepare => prepare(agent, order, map).await,
        gate::Action::Activate => {
            let body = serde_json::to_vec(&Activate { epoch: order.epoch.0 }).unwrap_or_default();
            let sent = agent.server.order("/control/activate", body.into(), ACTIVATE_TIMEOUT);
            sent.await.is_ok()
        }
    };
    if !done {
        return wire::Ruling::Failed;
    }
    if order.action == gate::Action::Prepare {
        gate.record_prepared(order);
    }
    wire::Ruling::Done
}

/// Has the backend server prepare a map, if its epoch and digest are those of the order.
async fn prepare(agent: &Agent, order: &gate::Order, map: &Bytes) -> bool {
    let Ok(map) = serde_json::from_slice::<record::Map>(map) else { return false };
    let named = map.epoch == order.epoch && map.layout.digest() == order.digest;
    if !named || map.layout.verify().is_err() {
        return false;
    }
    let body = Prepare { epoch: map.epoch.0, layers: &map.layout.layers };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    agent.server.order("/control/prepare", body.into(), PREPARE_TIMEOUT).await.is_ok()
}

/// Reads the group's fence after the start of the process. The gate rejects orders until then.
pub async fn run(agent: Arc<Agent>) {
    if agent.settings.rank.is_none() {
        return;
    }
    loop {
        if let Some(fence) = read_fence(&agent).await {
            agent.orders.gate.lock().await.learn(fence);
            log::info!(
                "fence observed group={} fence={fence}",
                field::Text(&agent.settings.backend)
            );
            return;
        }
        tokio::time::sleep(FENCE_RETRY_PAUSE).await;
    }
}

/// Reads the fence from the platform or, if the platform is unreachable, from the agents of the
/// other ranks. Every map in force has passed the gates of all ranks.
async fn read_fence(agent: &Agent) -> Option<gate::Fence> {
    let own = &agent.process.settings.process;
    let name = key::map(&own.deployment, &agent.settings.backend);
    if let Ok(entry) = agent.process.platform.get(&name).await {
        return Some(gate::Fence(entry.map_or(0, |entry| entry.revision)));
    }
    let list = agent.process.gossip.hosts();
    let others = list.hosts.iter().filter(|host| {
        host.backend == agent.settings.backend && host.rank.is_some() && host.id != own.host
    });
    let calls = others.map(|host| query_fence(agent, host.address));
    let answers = futures_util::future::join_all(calls).await;
    answers.into_iter().flatten().max()
}

/// Returns the fence of another rank's agent, if that agent responds and knows it.
async fn query_fence(agent: &Agent, address: std::net::SocketAddr) -> Option<gate::Fence> {
    let mut client = agent.process.links.get(address).agent.clone();
    let order = wire::Order {
        group: agent.settings.backend.to_string(),
        action: wire::Action::Query.into(),
        ..wire::Order::default()
    };
    let answer = tokio::time::timeout(QUERY_TIMEOUT, client.command(order)).await;
    let verdict = answer.ok()?.ok()?.into_inner();
    (verdict.ruling() == wire::Ruling::Done).then_some(gate::Fence(verdict.fence))
}
