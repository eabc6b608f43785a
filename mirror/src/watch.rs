//! Watches the store and fills the copy.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::mirror::Record;
use loftcove_interface::store::{self, Store};
use rand::Rng as _;

use crate::{Mirror, Source};

/// Longest time that one watch waits. Longer ones cost fewer calls; a watch
/// that has died unnoticed is made good by peers meanwhile.
const WAIT: Duration = Duration::from_secs(20);
/// Pause after changes before the next watch, so that those that come one after
/// the other, as when all hosts start, cost one call together. The first of
/// them is never delayed, and the bounds for all are seconds.
const BATCH: Duration = Duration::from_millis(150);
/// Pause after a failed call, from the first to the longest. All hosts come
/// back at once after an outage, so each waits a part of it by lot.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Watches a prefix until the process ends, while `wanted` says so.
pub async fn run<S: Store>(
    mirror: Arc<Mirror>,
    store: Arc<S>,
    prefix: &'static str,
    wanted: impl Fn(&Mirror) -> bool + Send + 'static,
) {
    let mut pause = PAUSE.0;
    let mut changed = mirror.subscribe();
    loop {
        if !wanted(&mirror) {
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        }
        match store.list(prefix).await {
            Ok(listing) => {
                mirror.store_answered();
                mirror.progress.answered(prefix);
                pause = PAUSE.0;
                let revision = listing.revision;
                take(&mirror, prefix, listing);
                changes(&mirror, &*store, prefix, revision, &wanted).await;
            }
            Err(error) => {
                mirror.store_failed(&error);
                wait(&mut pause).await;
            }
        }
    }
}

async fn wait(pause: &mut Duration) {
    let part = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(pause.mul_f64(part)).await;
    *pause = (*pause * 2).min(PAUSE.1);
}

/// Takes a listing: what is not on it is gone.
fn take(mirror: &Mirror, prefix: &str, listing: store::Listing) {
    let keys: Vec<Arc<str>> = listing.items.iter().map(|item| item.key.clone()).collect();
    let gone = mirror.lock().missing(prefix, &keys, listing.revision);
    mirror.apply(listing.items.into_iter().map(put).collect(), Source::Store);
    for key in gone {
        remove(mirror, key, listing.revision);
    }
}

fn put(item: store::Item) -> Record {
    Record { key: item.key, revision: item.revision, value: Some(item.value) }
}

/// Takes a removal, at once or held back for as long as the entry may lapse
/// for an outage alone.
fn remove(mirror: &Mirror, key: Arc<str>, revision: u64) {
    match mirror.health.grace() {
        Some(grace) => {
            log::info!("removal held back key={key} revision={revision} ms={}", grace.as_millis());
            let due = mirror.now() + grace;
            mirror.lock().suspect(&key, revision, due);
            mirror.changes.send_modify(|version| *version += 1);
        }
        None => mirror.apply(vec![Record { key, revision, value: None }], Source::Store),
    }
}

/// Follows the changes until the history is gone, or this is not wanted any more.
async fn changes<S: Store>(
    mirror: &Mirror,
    store: &S,
    prefix: &'static str,
    mut after: u64,
    wanted: &(impl Fn(&Mirror) -> bool + Send),
) {
    let mut pause = PAUSE.0;
    while wanted(mirror) {
        let waiting = mirror.progress.wait(prefix);
        let answer = store.watch(prefix, after, WAIT).await;
        drop(waiting);
        match answer {
            Ok(changes) => {
                mirror.store_answered();
                mirror.progress.answered(prefix);
                pause = PAUSE.0;
                after = changes.revision;
                let any = !changes.events.is_empty();
                for event in changes.events {
                    match event {
                        store::Event::Put(item) => mirror.apply(vec![put(item)], Source::Store),
                        store::Event::Removed { key, revision } => remove(mirror, key, revision),
                    }
                }
                if any {
                    tokio::time::sleep(BATCH).await;
                }
            }
            Err(store::Error::HistoryGone) => {
                log::warn!("watch lost its history prefix={prefix} after={after} next=list");
                return;
            }
            // A waiting watch may be cut; that alone says nothing of the store.
            Err(store::Error::Lost(reason)) => {
                mirror.progress.lost(prefix);
                log::info!("watch cut prefix={prefix} after={after} reason=\"{reason}\"");
                wait(&mut pause).await;
            }
            Err(error) => {
                mirror.store_failed(&error);
                wait(&mut pause).await;
            }
        }
    }
}
