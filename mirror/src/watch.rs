//! Watches the store and fills the copy.
//!
//! A watch is one call after the other, and only the answer to a call shows
//! that the store knows of it: the call may have come while the store was away,
//! or its connection may have fallen silent, and neither is told. So each call
//! is short against the time within which changes are to be in force, and one
//! that is overdue is made again, after the same revision, on a new connection.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::mirror::Record;
use loftcove_interface::store::{self, Store};
use rand::Rng as _;

use crate::{Mirror, Source};

/// Part of the bound for a change that one call waits. Longer calls are fewer.
const CHANGE_PART: f64 = 0.7;
/// Part of the bound after which an answer is overdue: a hundred times what the
/// store takes. What both parts leave of the bound is for the pause and the call
/// after it, which brings the change: a host that nobody else tells keeps the
/// bound.
const ANSWER_PART: f64 = 0.2;
/// Least part of its wait that the first call after a change takes, by lot. All
/// hosts make that call at the same time; where all are lost together, the one
/// that is overdue first has the others told by peers.
const LEAST_LOT: f64 = 0.25;
/// Time that a call waits for a change after one that failed.
const PROBE: Duration = Duration::from_millis(50);
/// Pause after changes before the next watch, so that those that come one after
/// the other, as when all hosts start, cost one call together. The first of
/// them is never delayed, and the bounds for all are seconds.
const BATCH: Duration = Duration::from_millis(150);
/// Pause after a failed call, from the first to the longest. All hosts come
/// back at once after an outage, so each waits a part of it by lot.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Longest part of a rest that the store asks for by which a host comes back later:
/// all that it refused together come one after the other.
const REST_SPREAD: f64 = 0.25;

/// Longest time between two looks whether the watch is wanted.
const LOOK: Duration = Duration::from_millis(500);

/// What is watched.
#[derive(Debug, Clone, Copy)]
pub struct Subject {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// Longest time within which a change is to be in force.
    pub bound: Duration,
    /// Whether the keys are entries, each of which is whole by itself: where the store has
    /// lost some, an older value is held until its owner has written again.
    pub entries: bool,
}

impl Subject {
    /// How long a call may take.
    fn wait(&self, call: Call) -> store::Wait {
        let longest = self.bound.mul_f64(CHANGE_PART);
        let change = match call {
            Call::First => longest.mul_f64(rand::rng().random_range(LEAST_LOT..1.0)),
            Call::Next => longest,
            Call::Probe => PROBE,
        };
        store::Wait { change, answer: self.bound.mul_f64(ANSWER_PART) }
    }
}

/// Which call of a watch it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The first after a listing or a change.
    First,
    /// One after a call that was answered without a change.
    Next,
    /// One after a call that failed: it shows soon whether the store hears of
    /// the watch, and brings what was missed.
    Probe,
}

/// Watches a prefix until the process ends, while `wanted` says so.
pub async fn run<S: Store>(
    mirror: Arc<Mirror>,
    store: Arc<S>,
    subject: Subject,
    wanted: impl Fn(&Mirror) -> bool + Send + 'static,
) {
    let prefix = subject.prefix;
    let mut pause = PAUSE.0;
    let mut changed = mirror.subscribe();
    loop {
        if !wanted(&mirror) {
            mirror.progress.forget(prefix);
            tokio::select! {
                alive = changed.changed() => {
                    if alive.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(LOOK) => {}
            }
            continue;
        }
        match store.list(prefix).await {
            Ok(listing) => {
                mirror.watch_answered(prefix);
                pause = PAUSE.0;
                let revision = listing.revision;
                take(&mirror, subject, listing);
                changes(&mirror, &*store, subject, revision, &wanted).await;
            }
            Err(error) => {
                mirror.watch_failed(prefix, &error);
                mirror.store_failed(&error);
                wait(&mut pause, subject, Some(&error)).await;
            }
        }
    }
}

/// Waits before the next call, and no less than the store has asked for: its
/// own word goes before a figure of ours. A host that waited for longer than a
/// change may take would miss it by that alone, so that bounds what is heeded.
async fn wait(pause: &mut Duration, subject: Subject, error: Option<&store::Error>) {
    let part = rand::rng().random_range(0.5..1.0);
    let rest = error.map_or(Duration::ZERO, store::Error::rest).min(subject.bound);
    let rest = rest.mul_f64(1.0 + REST_SPREAD * part);
    tokio::time::sleep(pause.mul_f64(part).max(rest)).await;
    *pause = (*pause * 2).min(PAUSE.1);
}

/// Takes a listing: what is not on it is gone.
fn take(mirror: &Mirror, subject: Subject, listing: store::Listing) {
    mirror.note_era(listing.revision.era);
    let keys: Vec<Arc<str>> = listing.items.iter().map(|item| item.key.clone()).collect();
    let gone = mirror.lock().missing(subject.prefix, &keys, listing.revision);
    let mut records: Vec<Record> = listing.items.into_iter().map(put).collect();
    if let Some(grace) = mirror.era_grace() {
        let due = mirror.now() + grace;
        records.retain(|record| !hold(mirror, record, due, subject.entries));
    }
    mirror.apply(records, Source::Store);
    for key in gone {
        remove(mirror, key, listing.revision);
    }
    mirror.lock().set_listed(subject.prefix, listing.revision);
}

/// Holds a value back that the store may have come back with, while whoever wrote the key
/// last knows better. Returns whether it is held.
fn hold(mirror: &Mirror, record: &Record, due: clock::Instant, changed: bool) -> bool {
    let held = mirror.lock().defer(record, due, changed);
    if held {
        log::info!("value held back key={} revision={}", record.key, record.revision);
        mirror.changes.send_modify(|version| *version += 1);
    }
    held
}

fn put(item: store::Item) -> Record {
    Record { key: item.key, revision: item.revision, value: Some(item.value) }
}

/// Takes a removal, at once or held back for as long as the entry may lapse
/// for an outage alone.
fn remove(mirror: &Mirror, key: Arc<str>, revision: store::Revision) {
    match mirror.health.grace().max(mirror.era_grace()) {
        Some(grace) => {
            log::info!("removal held back key={key} revision={revision} ms={}", grace.as_millis());
            let due = mirror.now() + grace;
            mirror.lock().suspect_removal(&key, revision, due);
            mirror.changes.send_modify(|version| *version += 1);
        }
        None => mirror.apply(vec![Record { key, revision, value: None }], Source::Store),
    }
}

/// Follows the changes until the history is gone, or this is not wanted any more.
async fn changes<S: Store>(
    mirror: &Mirror,
    store: &S,
    subject: Subject,
    mut after: store::Revision,
    wanted: &(impl Fn(&Mirror) -> bool + Send),
) {
    let prefix = subject.prefix;
    let mut pause = PAUSE.0;
    let mut call = Call::First;
    while wanted(mirror) {
        match ask(mirror, store, subject, after, call).await {
            Answer::Changes(changes) if changes.events.is_empty() => {
                mirror.watch_answered(prefix);
                pause = PAUSE.0;
                after = changes.revision;
                call = Call::Next;
            }
            Answer::Changes(changes) => {
                mirror.watch_answered(prefix);
                pause = PAUSE.0;
                after = changes.revision;
                call = Call::First;
                changes.events.into_iter().for_each(|event| apply(mirror, event));
                tokio::time::sleep(BATCH).await;
            }
            Answer::Failed(store::Error::HistoryGone) => {
                log::warn!("watch lost its history prefix={prefix} after={after} next=list");
                return;
            }
            Answer::Failed(error) => {
                log::info!("watch lost prefix={prefix} after={after} error=\"{error}\"");
                mirror.watch_failed(prefix, &error);
                // A waiting call may be cut; that alone says nothing of the store.
                if !matches!(error, store::Error::Lost(_)) {
                    mirror.store_failed(&error);
                }
                call = Call::Probe;
                wait(&mut pause, subject, Some(&error)).await;
            }
            Answer::Doubtful => {
                log::info!("watch doubted prefix={prefix} after={after} reason=other-call-lost");
                call = Call::Probe;
                wait(&mut pause, subject, None).await;
            }
        }
    }
}

/// What came of a call of a watch.
enum Answer {
    /// The store answered.
    Changes(store::Changes),
    /// The call failed.
    Failed(store::Error),
    /// Another call of this host got no answer while this one waited: whatever
    /// befell that one may have befallen this one, and would show much later.
    Doubtful,
}

async fn ask<S: Store>(
    mirror: &Mirror,
    store: &S,
    subject: Subject,
    after: store::Revision,
    call: Call,
) -> Answer {
    let _waiting = mirror.progress.wait(subject.prefix);
    let mut silences = mirror.silences.subscribe();
    let answer = tokio::select! {
        answer = store.watch(subject.prefix, after, subject.wait(call)) => answer,
        _ = silences.changed() => return Answer::Doubtful,
    };
    answer.map_or_else(Answer::Failed, Answer::Changes)
}

fn apply(mirror: &Mirror, event: store::Event) {
    match event {
        store::Event::Put(item) => mirror.apply(vec![put(item)], Source::Store),
        store::Event::Removed { key, revision } => remove(mirror, key, revision),
    }
}
