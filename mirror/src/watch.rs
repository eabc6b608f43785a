//! Watches the store and applies its changes to the mirror.
//!
//! A watch is a sequence of long-poll calls. Only the answer to a call shows that the store
//! received it: the call may have been sent during an outage of the store, or its connection may
//! silently drop packets, and no error reports either. Therefore each call is short compared with
//! the time within which changes must be in force. An overdue call is retried on a new connection,
//! after the same revision.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::mirror::Record;
use loftcove_interface::store::{self, Store};
use loftcove_line::field;
use rand::Rng as _;

use crate::{Mirror, Source};

/// Time for which one call waits for a change, as a fraction of the bound for a change. Longer
/// waits need fewer calls.
const CHANGE_WAIT_FRACTION: f64 = 0.7;
/// Time after the wait at which an answer is overdue, as a fraction of the bound: a hundred times
/// what the store takes. The rest of the bound is left for the retry delay and for the next call,
/// which returns the change, so that a host that no peer updates keeps the bound.
const ANSWER_TIMEOUT_FRACTION: f64 = 0.2;
/// Lower limit of the random fraction of its wait for which the first call after a change waits.
/// All hosts make that call at the same time. If all these calls are lost, the host whose call is
/// overdue first gets the change and passes it on to the others as their peer.
const MIN_FIRST_WAIT_FRACTION: f64 = 0.25;
/// Time for which a call that follows a failed one waits for a change.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Delay between changes and the next call, so that changes in quick succession, as when all hosts
/// start, cost one call together. The first of them is never delayed, and the bounds for all of
/// them are seconds.
const BATCH_DELAY: Duration = Duration::from_millis(150);
/// Initial and longest delay after a failed call. All hosts reconnect at the same time after an
/// outage, so each waits a random fraction of the delay.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Initial and longest time after a listing that its content made incomplete, until the next one,
/// which is the longest after a change that cannot be read. A listing of a large fleet costs the
/// store several calls, and all hosts list at the same time, so each waits a random fraction.
const RELIST_DELAY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Upper limit of the random extension of a *rest*, the time that the store asks a client to wait,
/// as a fraction of the rest. It spreads the calls of hosts that the store rejected at the same
/// time.
const REST_JITTER: f64 = 0.25;

/// Longest time between two checks whether the watch is wanted.
const WANTED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Prefix to watch, with its bound.
#[derive(Debug, Clone, Copy)]
pub struct Subject {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// Time within which a change must be in force.
    pub bound: Duration,
    /// Whether the keys are entries, each of which is self-contained. If the store lost writes,
    /// an older value of an entry is deferred until its owner has written it again.
    pub entries: bool,
}

impl Subject {
    /// Returns how long a call waits for a change and for its answer.
    fn wait(&self, call: Call) -> store::Wait {
        let longest = self.bound.mul_f64(CHANGE_WAIT_FRACTION);
        let change = match call {
            Call::First => longest.mul_f64(rand::rng().random_range(MIN_FIRST_WAIT_FRACTION..1.0)),
            Call::Next => longest,
            Call::Probe => PROBE_WAIT,
        };
        store::Wait { change, answer: self.bound.mul_f64(ANSWER_TIMEOUT_FRACTION) }
    }
}

/// Kind of a call, by the call before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The first call after a listing or a change.
    First,
    /// A call after one that was answered without a change.
    Next,
    /// A call after one that failed. It soon shows whether the store receives calls, and returns
    /// the changes that were missed.
    Probe,
}

/// Watches a prefix while `wanted` returns true; runs until the process exits.
pub async fn run<S: Store>(
    mirror: Arc<Mirror>,
    store: Arc<S>,
    subject: Subject,
    wanted: impl Fn(&Mirror) -> bool + Send + 'static,
) {
    let prefix = subject.prefix;
    let mut retry_delay = RETRY_DELAY.0;
    let mut relist_delay = RELIST_DELAY.0;
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
                () = tokio::time::sleep(WANTED_CHECK_INTERVAL) => {}
            }
            continue;
        }
        let listing = match store.list(prefix).await {
            Ok(listing) => listing,
            Err(error) => {
                mirror.listing_failed(prefix, &error);
                mirror.watch_failed(prefix, &error);
                mirror.store_failed(&error);
                back_off(&mut retry_delay, subject, Some(&error)).await;
                continue;
            }
        };
        let (revision, fault) = (listing.revision, listing.fault.clone());
        apply_listing(&mirror, subject, listing);
        let mut list_again_at = None;
        match &fault {
            None => {
                mirror.watch_answered(prefix);
                mirror.progress.listed(prefix);
                relist_delay = RELIST_DELAY.0;
            }
            Some(error) => {
                mirror.listing_failed(prefix, error);
                mirror.progress.set_incomplete(prefix);
                if error.is_outage() {
                    mirror.watch_failed(prefix, error);
                    mirror.store_failed(error);
                    back_off(&mut retry_delay, subject, Some(error)).await;
                    continue;
                }
                // The store answers, and the changes since the listing are followed: followers of
                // this host would learn nothing more from the store itself.
                mirror.watch_answered(prefix);
                // Another listing fails in the same way while the store has the same content. The
                // changes are followed meanwhile.
                let part = rand::rng().random_range(0.5..1.0);
                list_again_at = Some(tokio::time::Instant::now() + relist_delay.mul_f64(part));
                relist_delay = (relist_delay * 2).min(RELIST_DELAY.1);
            }
        }
        let following = Following { subject, after: revision, until: list_again_at };
        let began = tokio::time::Instant::now();
        match follow_changes(&mirror, &*store, following, &wanted).await {
            // A store that answers listings and discards its history each time would otherwise
            // receive listings without a pause.
            End::HistoryGone if began.elapsed() < RETRY_DELAY.1 => {
                back_off(&mut retry_delay, subject, None).await;
            }
            End::HistoryGone | End::Unwanted | End::Due => retry_delay = RETRY_DELAY.0,
        }
    }
}

/// Waits before the next call, at least for the rest that the store asked for: the store's figure
/// takes precedence over the local delay. The applied rest is limited to the bound for a change, as
/// a host that waited for longer would miss the bound for that reason alone.
async fn back_off(delay: &mut Duration, subject: Subject, error: Option<&store::Error>) {
    let part = rand::rng().random_range(0.5..1.0);
    let rest = error.map_or(Duration::ZERO, store::Error::rest).min(subject.bound);
    let rest = rest.mul_f64(1.0 + REST_JITTER * part);
    tokio::time::sleep(delay.mul_f64(part).max(rest)).await;
    *delay = (*delay * 2).min(RETRY_DELAY.1);
}

/// Applies a listing. Known keys that a complete listing lacks are removed.
fn apply_listing(mirror: &Mirror, subject: Subject, listing: store::Listing) {
    mirror.observe_era(listing.revision.era);
    mirror.observe_unreadable(subject.prefix, &listing.unreadable);
    let keys = listing.items.iter().map(|item| item.key.clone());
    let keys: Vec<Arc<str>> = keys.chain(listing.unreadable.keys).collect();
    let missing = match &listing.fault {
        None => mirror.lock().missing(subject.prefix, &keys, listing.revision),
        Some(_) => Vec::new(),
    };
    let mut records: Vec<Record> = listing.items.into_iter().map(record_of).collect();
    if let Some(grace) = mirror.era_grace() {
        let due = mirror.now() + grace;
        records.retain(|record| !defer(mirror, record, due, subject.entries));
    }
    mirror.apply(records, Source::Store);
    for key in missing {
        apply_removal(mirror, key, listing.revision);
    }
    if listing.fault.is_none() {
        mirror.lock().set_listed(subject.prefix, listing.revision);
    }
}

/// Defers a value that the store may have reverted to after it lost writes; the last writer of the
/// key may write it again. Returns whether the value was deferred.
fn defer(mirror: &Mirror, record: &Record, due: clock::Instant, changed: bool) -> bool {
    let deferred = mirror.lock().defer(record, due, changed);
    if deferred {
        log::info!("value held back key={} revision={}", field::Text(&record.key), record.revision);
        mirror.changes.send_modify(|version| *version += 1);
    }
    deferred
}

fn record_of(item: store::Item) -> Record {
    Record { key: item.key, revision: item.revision, value: Some(item.value) }
}

/// Applies a removal, or defers it while an outage of the store alone may explain that the entry
/// expired.
fn apply_removal(mirror: &Mirror, key: Arc<str>, revision: store::Revision) {
    match mirror.health.grace().max(mirror.era_grace()) {
        Some(grace) => {
            let (name, ms) = (field::Text(&key), grace.as_millis());
            log::info!("removal held back key={name} revision={revision} ms={ms}");
            let due = mirror.now() + grace;
            mirror.lock().suspect_removal(&key, revision, due);
            mirror.changes.send_modify(|version| *version += 1);
        }
        None => mirror.apply(vec![Record { key, revision, value: None }], Source::Store),
    }
}

/// Reason for which the changes after a listing are no longer followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The watch is no longer wanted.
    Unwanted,
    /// The time of the next listing has come.
    Due,
    /// The store has discarded the history.
    HistoryGone,
}

/// The changes to follow.
#[derive(Debug, Clone, Copy)]
struct Following {
    subject: Subject,
    /// Revision of the listing that they follow.
    after: store::Revision,
    /// Time of the next listing, if this one was incomplete. A change that cannot be read sets it
    /// as well.
    until: Option<tokio::time::Instant>,
}

/// Follows the changes after a listing.
async fn follow_changes<S: Store>(
    mirror: &Mirror,
    store: &S,
    Following { subject, mut after, mut until }: Following,
    wanted: &(impl Fn(&Mirror) -> bool + Send),
) -> End {
    let prefix = subject.prefix;
    let mut retry_delay = RETRY_DELAY.0;
    let mut call = Call::First;
    while wanted(mirror) {
        if until.is_some_and(|until| until <= tokio::time::Instant::now()) {
            return End::Due;
        }
        match call_watch(mirror, store, subject, after, call).await {
            Reply::Changes(changes) if changes.is_empty() => {
                mirror.watch_answered(prefix);
                retry_delay = RETRY_DELAY.0;
                after = changes.revision;
                call = Call::Next;
            }
            Reply::Changes(changes) => {
                mirror.watch_answered(prefix);
                retry_delay = RETRY_DELAY.0;
                after = changes.revision;
                call = Call::First;
                mirror.observe_unreadable(prefix, &changes.unreadable);
                // The change may have been a removal, which only a listing shows then. Another
                // writer may cause such changes at any rate, so the listings are far apart.
                if changes.unreadable.count() > 0 {
                    until.get_or_insert_with(|| tokio::time::Instant::now() + RELIST_DELAY.1);
                }
                changes.events.into_iter().for_each(|event| apply_event(mirror, event));
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Reply::Failed(store::Error::HistoryGone) => {
                log::warn!(
                    "store discarded the history of a watch prefix={prefix} after={after} next=list"
                );
                return End::HistoryGone;
            }
            Reply::Failed(error) => {
                log::info!(
                    "watch call failed prefix={prefix} after={after} error={}",
                    field::Quoted(&error)
                );
                mirror.watch_failed(prefix, &error);
                // A lost connection of a waiting call does not show that the store is unavailable.
                if !matches!(error, store::Error::Lost(_)) {
                    mirror.store_failed(&error);
                }
                call = Call::Probe;
                back_off(&mut retry_delay, subject, Some(&error)).await;
            }
            Reply::Interrupted => {
                log::info!(
                    "watch call interrupted prefix={prefix} after={after} reason=other-call-lost"
                );
                call = Call::Probe;
                back_off(&mut retry_delay, subject, None).await;
            }
        }
    }
    End::Unwanted
}

/// Result of a watch call.
enum Reply {
    /// The store answered.
    Changes(store::Changes),
    /// The call failed.
    Failed(store::Error),
    /// The call was interrupted, as another call of this host got no answer meanwhile, or the host
    /// was suspended. The same fault may affect this call, and would show only much later.
    Interrupted,
}

async fn call_watch<S: Store>(
    mirror: &Mirror,
    store: &S,
    subject: Subject,
    after: store::Revision,
    call: Call,
) -> Reply {
    let _waiting = mirror.progress.wait(subject.prefix);
    let mut retry_signal = mirror.retry_signal.subscribe();
    let answer = tokio::select! {
        answer = store.watch(subject.prefix, after, subject.wait(call)) => answer,
        _ = retry_signal.changed() => return Reply::Interrupted,
    };
    answer.map_or_else(Reply::Failed, Reply::Changes)
}

fn apply_event(mirror: &Mirror, event: store::Event) {
    match event {
        store::Event::Put(item) => mirror.apply(vec![record_of(item)], Source::Store),
        store::Event::Removed { key, revision } => apply_removal(mirror, key, revision),
    }
}
