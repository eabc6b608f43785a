//! Follows the load of the agents.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_decision::entity;
use loftcove_wire as wire;

use crate::clock;
use crate::entry::{Entry, desk};

/// Least time between two reports of one agent, milliseconds.
const SPACING_MS: u32 = 100;
/// An agent that is silent for that long counts as gone: agents report at
/// least every second.
const SILENCE: Duration = Duration::from_secs(3);
/// Shortest and longest pause before the next try.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

type Followed = Arc<Mutex<BTreeSet<entity::Server>>>;

/// Keeps the desk's listings fresh and one follower for each agent.
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
    let zone = &entry.process.settings.process.zone;
    entry.desk.refresh(&bundle.content, &list, zone);
    entry.process.links.keep(|address| list.hosts.iter().any(|host| host.address == address));
    let mut listed = entry.desk.listed();
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
        let target = entry.desk.listed().into_iter().find(|(id, _)| *id == server);
        let Some((_, target)) = target else { break };
        if watch(&entry, server, &target).await.unwrap_or(false) {
            backoff = BACKOFF.0;
        }
        entry.desk.connect(server, false);
        tokio::time::sleep(clock::jitter(backoff, 0.5..1.0)).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
    lock(&followed).remove(&server);
}

/// Takes reports until the stream ends; returns whether any came.
async fn watch(
    entry: &Entry,
    server: entity::Server,
    target: &desk::Target,
) -> Result<bool, tonic::Status> {
    let mut agent = entry.process.links.get(target.address).agent.clone();
    let subscription = wire::Subscription { spacing_ms: SPACING_MS };
    let mut stream = agent.watch(subscription).await?.into_inner();
    let mut any = false;
    while let Ok(Ok(Some(report))) = tokio::time::timeout(SILENCE, stream.message()).await {
        entry.desk.report(server, &report);
        if !any {
            entry.desk.connect(server, true);
        }
        any = true;
    }
    Ok(any)
}
