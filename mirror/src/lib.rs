//! A partial copy of the store, updated by watches and by peers.
//!
//! A gateway watches the store ([`watch`]) and follows a few peers ([`follow`]); a sidecar only
//! follows peers. Each gateway forwards the records that it learns to its followers ([`serve`],
//! [`followers`]), so that a host that the store does not answer receives changes from its peers,
//! one hop later. [`loftcove_decision::mirror`] merges the records. The mirror also distributes
//! what gateways know of requests during which backend servers ended ([`ends`]) and of rate limits
//! that were lifted ([`lifts`]).
//!
//! The *era* of a revision is the number of times that the store had lost a part of its history
//! ([`loftcove_decision::revision`]).

pub mod catalog;
pub mod distance;
pub mod ends;
pub mod follow;
pub mod followers;
mod health;
mod learnt;
pub mod lifts;
mod log_limit;
pub mod membership;
pub mod peer;
pub mod progress;
pub mod register;
mod reported;
pub mod serve;
pub mod watch;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use loftcove_clock as boot;
use loftcove_decision::{clock, mirror};
use loftcove_interface::store;
use loftcove_line::field;
use tokio::sync::{broadcast, watch as channel};

pub use health::Health;

/// Prefix of the keys that loftcove itself writes to the store.
pub const OWN_PREFIX: &str = "loftcove/";
/// Number of records by which a follower may lag before all records are sent to it again.
const BACKLOG: usize = 1_024;

/// The copy, shared by the tasks that update and read it.
pub struct Mirror {
    origin: boot::Instant,
    state: Mutex<mirror::Mirror>,
    updates: broadcast::Sender<mirror::Record>,
    changes: channel::Sender<u64>,
    /// Counter whose changes make all watches retry their calls. It is incremented when a call to
    /// the store gets no answer after one that was answered, and when the host was suspended.
    retry_signal: channel::Sender<u64>,
    /// Newest era of the store's listings, and when it was first seen if another one was known
    /// before.
    era: Mutex<Option<(u32, Option<boot::Instant>)>>,
    /// Whether the store answers this host.
    pub health: Health,
    /// Distance from the store over peers.
    pub distance: distance::Distance,
    /// Backend servers that ended under requests.
    pub ends: ends::Ends,
    /// Rate limits of backend servers that were lifted.
    pub lifts: lifts::Lifts,
    /// State of the watches of the store.
    pub progress: progress::Progress,
    /// Logger of learnt records.
    learnt: learnt::Logger,
    /// Invalid records of gateways and groups that were logged.
    reported: reported::Reported,
    /// Rate limit of log lines for items that cannot be read.
    unreadable_limiter: log_limit::Limiter,
    /// Hosts that follow this one.
    pub followers: followers::Followers,
    /// Number of peers that are followed at present.
    followed: AtomicUsize,
    /// When the followed peers were last sufficient to rely on.
    relied: register::Relied,
}

/// Source of a record, for log lines.
#[derive(Debug, Clone, Copy)]
pub enum Source<'a> {
    /// The store itself.
    Store,
    /// A peer.
    Peer(&'a str),
}

impl std::fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Peer(name) => write!(f, "peer:{name}"),
        }
    }
}

impl Default for Mirror {
    fn default() -> Mirror {
        Mirror {
            origin: boot::Instant::now(),
            state: Mutex::default(),
            updates: broadcast::Sender::new(BACKLOG),
            changes: channel::Sender::new(0),
            retry_signal: channel::Sender::new(0),
            era: Mutex::default(),
            health: Health::default(),
            distance: distance::Distance::default(),
            ends: ends::Ends::default(),
            lifts: lifts::Lifts::default(),
            progress: progress::Progress::default(),
            followers: followers::Followers::default(),
            followed: AtomicUsize::new(0),
            learnt: learnt::Logger::default(),
            reported: reported::Reported::default(),
            unreadable_limiter: log_limit::Limiter::default(),
            relied: register::Relied::default(),
        }
    }
}

impl Mirror {
    fn lock(&self) -> MutexGuard<'_, mirror::Mirror> {
        // Each change is one insertion, so a panic cannot leave it incomplete.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn now(&self) -> clock::Instant {
        clock::Instant::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Records the era of a listing.
    fn observe_era(&self, era: u32) {
        let newest = self.lock().newest_revision("");
        // Each change is one assignment.
        let mut known = self.era.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let from_peers = (!newest.is_zero()).then_some(newest.era);
        let before = known.map(|(before, _)| before).or(from_peers);
        if before.is_none_or(|before| before < era) {
            *known = Some((era, before.map(|_| boot::Instant::now())));
        }
    }

    /// Returns for how much longer owners may have to rewrite the entries that the store lost when
    /// its era began, if they may have to.
    fn era_grace(&self) -> Option<std::time::Duration> {
        let known = *self.era.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (_, since) = known?;
        health::RECOVERY_TIME.checked_sub(since?.elapsed())
    }

    /// Applies records and forwards those that are new.
    pub fn apply(&self, records: Vec<mirror::Record>, source: Source<'_>) {
        let now = self.now();
        let mut state = self.lock();
        let mut count = 0;
        for record in records {
            if !state.apply(&record, now) {
                continue;
            }
            count += 1;
            self.learnt.log(&record, source);
            // Sending fails if no stream is subscribed.
            self.updates.send(record).unwrap_or_default();
        }
        drop(state);
        if count > 0 {
            self.changes.send_modify(|version| *version += count);
        }
    }

    /// Records that the store answered a call of a watch.
    fn watch_answered(&self, prefix: &'static str) {
        if let Some(silent) = self.progress.answered(prefix) {
            let ms = silent.as_millis();
            log::info!("watch recovered prefix={prefix} silent_ms={ms}");
        }
        self.distance.set_answered(self.progress.all_answered());
        self.store_answered();
    }

    /// Records that a call of a watch failed. The followers of this host are informed, through its
    /// distance, that it may miss changes.
    fn watch_failed(&self, prefix: &'static str, error: &store::Error) {
        let first = self.progress.failed(prefix);
        self.distance.set_answered(false);
        if first {
            self.retry_watches(error);
        }
    }

    /// Records that a listing failed. A repeated failure for the same cause is only counted.
    fn listing_failed(&self, prefix: &'static str, error: &store::Error) {
        let cause = error.cause();
        if self.progress.listing_failed(prefix, cause) {
            log::warn!(
                "listing failed prefix={prefix} cause={cause} error={} next=retry",
                field::Quoted(error)
            );
        }
    }

    /// Records the items of an answer that cannot be read. Their known records stay, as neither a
    /// newer value nor a removal can be derived from them.
    fn observe_unreadable(&self, prefix: &'static str, unreadable: &store::Unreadable) {
        if unreadable.count() == 0 {
            return;
        }
        self.progress.add_unreadable(prefix, unreadable.count());
        for key in &unreadable.keys {
            if let Some(left_out) = self.unreadable_limiter.acquire() {
                log::warn!("item not readable key={} left_out={left_out}", field::Text(key));
            }
        }
        let count = unreadable.unnamed;
        if count > 0
            && let Some(left_out) = self.unreadable_limiter.acquire()
        {
            log::warn!(
                "items without a readable key prefix={prefix} count={count} left_out={left_out}"
            );
        }
    }

    /// Makes all watches retry their calls after the first of consecutive calls that got no answer.
    /// A rejection counts as an answer.
    fn retry_watches(&self, error: &store::Error) {
        if matches!(error, store::Error::Lost(_)) {
            self.retry_signal.send_modify(|count| *count += 1);
        }
    }

    /// Makes all watches retry their calls after the host was suspended: waiting calls were sent
    /// before the suspension, and their timers are late.
    pub fn resumed_from_suspend(&self, suspended: std::time::Duration) {
        log::warn!("host suspended ms={} next=ask-again", suspended.as_millis());
        self.retry_signal.send_modify(|count| *count += 1);
    }

    /// Records that the store answered a call. That doesn't show that the watches work, as they use
    /// other connections.
    fn store_answered(&self) {
        let before = self.health.available();
        self.health.answered();
        if !before {
            self.log_waiting_watches();
            // Without a peer that reaches the store, this host may have to watch again.
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Logs the watch calls that were sent before the end of an outage: the store may not have
    /// received them.
    fn log_waiting_watches(&self) {
        for (prefix, watch) in self.progress.watches() {
            if let Some(waited) = watch.waited() {
                let ms = waited.as_millis();
                log::info!("watch call predates the end of the outage prefix={prefix} ms={ms}");
            }
        }
    }

    /// Records that a call to the store failed. A failure that does not show that the store is
    /// unavailable leaves its availability as it is.
    fn store_failed(&self, error: &store::Error) {
        if !error.is_outage() {
            return;
        }
        let before = self.health.available();
        self.health.failed(error);
        self.distance.set_answered(false);
        if before {
            self.retry_watches(error);
        }
    }

    /// Records the distance from the store that a followed peer reported.
    fn set_peer_distance(&self, peer: &str, distance: u32) {
        let before = self.distance.peers_reach_store();
        self.distance.set_peer(peer, distance);
        let now = self.distance.peers_reach_store();
        if before != now {
            log::info!("store reachability over peers reach={now} peer={peer} distance={distance}");
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Counts a peer as followed until the guard is dropped.
    fn count_followed<'a>(&'a self, peer: &'a str) -> Followed<'a> {
        self.followed.fetch_add(1, Ordering::Relaxed);
        Followed { mirror: self, peer }
    }

    /// Returns the number of changes so far.
    pub fn version(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Subscribes to the number of changes so far.
    pub fn subscribe(&self) -> channel::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the records with a value of at least `min_bytes` bytes.
    fn records_of_size(&self, min_bytes: usize) -> Vec<mirror::Record> {
        let large = |record: &mirror::Record| {
            record.value.as_ref().is_some_and(|value| value.len() >= min_bytes)
        };
        self.lock().records().filter(large).collect()
    }

    /// Returns all records, and a channel that receives each later one.
    pub fn follow(&self) -> (Vec<mirror::Record>, broadcast::Receiver<mirror::Record>) {
        let state = self.lock();
        (state.records().collect(), self.updates.subscribe())
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().get(key).cloned()
    }

    /// Returns the newest known record of a key, which may be a removal.
    pub fn newest_of(&self, key: &str) -> Option<mirror::Record> {
        self.lock().newest_of(key)
    }

    /// Returns the record of a key, if it has a value.
    pub fn record(&self, key: &str) -> Option<mirror::Record> {
        self.lock().record(key)
    }

    /// Returns the records below a prefix that have a value.
    pub fn below(&self, prefix: &str) -> Vec<mirror::Record> {
        self.lock().below(prefix).collect()
    }

    /// Applies deferred removals and values when they are due; runs until the process exits.
    pub async fn expire(self: Arc<Mirror>) {
        let mut changes = self.subscribe();
        loop {
            let now = self.now();
            let removed = self.lock().expire(now);
            for record in &removed {
                let what = if record.value.is_some() { "value" } else { "removal" };
                log::info!("{what} held back is over key={}", field::Text(&record.key));
                self.updates.send(record.clone()).unwrap_or_default();
            }
            if !removed.is_empty() {
                self.changes.send_modify(|version| *version += removed.len() as u64);
            }
            let next = self.lock().next_expiry();
            let wait =
                next.map(|due| due.since(now)).unwrap_or(MAX_EXPIRY_WAIT).min(MAX_EXPIRY_WAIT);
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                _ = changes.changed() => {}
            }
        }
    }
}

/// Guard of a followed peer.
struct Followed<'a> {
    mirror: &'a Mirror,
    peer: &'a str,
}

impl Drop for Followed<'_> {
    fn drop(&mut self) {
        self.mirror.followed.fetch_sub(1, Ordering::Relaxed);
        self.mirror.distance.forget_peer(self.peer);
        // This host may have relied on the peer, and may have to watch the store now.
        self.mirror.changes.send_modify(|version| *version += 1);
    }
}

/// Longest time between two checks for deferred removals and values that are due.
const MAX_EXPIRY_WAIT: std::time::Duration = std::time::Duration::from_secs(10);
