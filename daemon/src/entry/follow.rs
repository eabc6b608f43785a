//! Follows the load of the agents.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_decision::entity;
use loftcove_decision::routing::rate;
use loftcove_wire as wire;

use crate::clock;
use crate::entry::{Entry, dispatcher};

/// Reports a second from all agents together: the node's share of processor
/// and network for control bounds them, see `docs/CAPACITY.md`. What attempts
/// bear keeps the load of the servers in use fresher than that.
const REPORTS_PER_SECOND: u64 = 25;
/// Least time between two reports of one agent, milliseconds.
const LEAST_SPACING_MS: u64 = 100;
/// An agent that is silent for longer than that, and than two reports take,
/// counts as gone.
const SILENCE: Duration = Duration::from_secs(3);
/// Shortest and longest pause before the next try.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

type Followed = Arc<Mutex<BTreeSet<entity::Server>>>;

/// Keeps the dispatcher's listings fresh and one follower for each agent.
pub async fn run(entry: Arc<Entry>) {
    let followed: Followed = Arc::default();
    let mut changed = entry.process.gossip.subscribe();
    loop {
        refresh(&entry, &followed);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

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
    let most = entry.process.settings.entry.as_ref().map_or(usize::MAX, |own| own.max_followed);
    let mut followed_now = lock(followed);
    for (server, _) in listed.into_iter().take(most) {
        if followed_now.insert(server) {
            tokio::spawn(follow(entry.clone(), followed.clone(), server));
        }
    }
}

fn lock(followed: &Followed) -> std::sync::MutexGuard<'_, BTreeSet<entity::Server>> {
    followed.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Follows one agent until it is no longer listed.
async fn follow(entry: Arc<Entry>, followed: Followed, server: entity::Server) {
    let mut backoff = BACKOFF.0;
    loop {
        let target = entry.dispatcher.listed().into_iter().find(|(id, _)| *id == server);
        let Some((_, target)) = target else { break };
        if watch(&entry, server, &target).await.unwrap_or(false) {
            backoff = BACKOFF.0;
        }
        entry.dispatcher.connect(server, false);
        tokio::time::sleep(clock::jitter(backoff, 0.5..1.0)).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
    lock(&followed).remove(&server);
}

/// Time between two reports of one agent out of so many.
fn spacing_ms(followed: u64) -> u64 {
    (followed * 1_000 / REPORTS_PER_SECOND).max(LEAST_SPACING_MS)
}

/// Takes reports until the stream ends; returns whether any came.
async fn watch(
    entry: &Entry,
    server: entity::Server,
    target: &dispatcher::Target,
) -> Result<bool, tonic::Status> {
    let mut agent = entry.process.links.get(target.address).agent.clone();
    let spacing_ms = spacing_ms(entry.dispatcher.listed().len() as u64);
    let subscription = wire::Subscription { spacing_ms: spacing_ms as u32 };
    let silence = SILENCE + 2 * Duration::from_millis(spacing_ms);
    let mut stream = agent.watch(subscription).await?.into_inner();
    let mut any = false;
    while let Ok(Ok(Some(report))) = tokio::time::timeout(silence, stream.message()).await {
        entry.dispatcher.report(server, &report);
        if !any {
            entry.dispatcher.connect(server, true);
        }
        any = true;
    }
    Ok(any)
}
