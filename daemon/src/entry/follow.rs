//! Follows the agents: receives their load reports on a stream for each.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_decision::entity;
use loftcove_decision::routing::rate;
use loftcove_wire as wire;

use crate::clock;
use crate::entry::{Entry, dispatcher};

/// Maximum number of reports per second from all agents together. It is bounded by the node's share
/// of processor and network for control traffic, see `docs/CAPACITY.md`. The load of servers in use
/// is more recent than these reports, because the answers to attempts carry it too.
const REPORTS_PER_SECOND: u64 = 25;
/// Minimum interval between two reports of one agent, in milliseconds.
const MIN_SPACING_MS: u64 = 100;
/// Time without a report, in addition to two intervals between reports, after which an agent is
/// considered disconnected.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum and maximum delay before a stream is opened again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Backend servers whose agents have a task that follows them.
type Followed = Arc<Mutex<BTreeSet<entity::Server>>>;

/// Applies each change of the bundle or the host list, and starts a task for each agent to follow.
pub async fn run(entry: Arc<Entry>) {
    let followed: Followed = Arc::default();
    let mut changes = entry.process.gossip.subscribe();
    loop {
        refresh(&entry, &followed);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Updates the dispatcher and the links, and follows agents that are not followed yet. Agents of
/// this availability zone take precedence if there are more than the maximum.
fn refresh(entry: &Arc<Entry>, followed: &Followed) {
    let Some(bundle) = entry.process.gossip.force.bundle() else { return };
    let list = entry.process.gossip.hosts();
    let settings = &entry.process.settings.process;
    let zone = &settings.zone;
    let own = rate::Peer { name: settings.host.clone(), zone: zone.clone() };
    entry.dispatcher.refresh(&bundle.content, &list, &own);
    entry.process.links.retain(|address| list.hosts.iter().any(|host| host.address == address));
    let mut listed = entry.dispatcher.listed();
    listed.sort_by_key(|(server, target)| (target.zone != *zone, *server));
    let limit = entry.process.settings.entry.as_ref().map_or(usize::MAX, |own| own.max_followed);
    let mut followed_now = lock(followed);
    for (server, _) in listed.into_iter().take(limit) {
        if followed_now.insert(server) {
            tokio::spawn(follow(entry.clone(), followed.clone(), server));
        }
    }
}

fn lock(followed: &Followed) -> std::sync::MutexGuard<'_, BTreeSet<entity::Server>> {
    followed.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Follows one agent until it is not in the host list any more.
async fn follow(entry: Arc<Entry>, followed: Followed, server: entity::Server) {
    let mut backoff = BACKOFF.0;
    loop {
        let target = entry.dispatcher.listed().into_iter().find(|(id, _)| *id == server);
        let Some((_, target)) = target else { break };
        if watch(&entry, server, &target).await.unwrap_or(false) {
            backoff = BACKOFF.0;
        }
        entry.dispatcher.set_connected(server, false);
        tokio::time::sleep(clock::jitter(backoff, 0.5..1.0)).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
    lock(&followed).remove(&server);
}

/// Returns the interval between two reports of each agent, in milliseconds.
fn spacing_ms(agents: u64) -> u64 {
    (agents * 1_000 / REPORTS_PER_SECOND).max(MIN_SPACING_MS)
}

/// Applies reports until the stream ends or the agent is silent. Returns whether any report
/// arrived.
async fn watch(
    entry: &Entry,
    server: entity::Server,
    target: &dispatcher::Target,
) -> Result<bool, tonic::Status> {
    let mut agent = entry.process.links.get(target.address).agent.clone();
    let spacing_ms = spacing_ms(entry.dispatcher.listed().len() as u64);
    let subscription = wire::Subscription { spacing_ms: spacing_ms as u32 };
    let silence_timeout = SILENCE_TIMEOUT + 2 * Duration::from_millis(spacing_ms);
    let mut stream = agent.watch(subscription).await?.into_inner();
    let mut received = false;
    while let Ok(Ok(Some(report))) = tokio::time::timeout(silence_timeout, stream.message()).await {
        entry.dispatcher.report(server, &report);
        if !received {
            entry.dispatcher.set_connected(server, true);
        }
        received = true;
    }
    Ok(received)
}
