//! A copy of a part of the store, kept by watches and by peers.
//!
//! A gateway watches the store ([`watch`]) and follows a few peers
//! ([`follow`]); a sidecar only follows. Whatever one of them learns it hands
//! on to those who follow it ([`serve`], [`followers`]), so that a host that the store does
//! not answer hears of changes from others, one hop later. Merging is that of
//! [`loftcove_decision::mirror`]. Along with it goes what gateways know of
//! requests under which backend servers end ([`ends`]), and of rate limits that were
//! lifted ([`lifts`]).

pub mod catalog;
pub mod distance;
pub mod ends;
pub mod follow;
pub mod followers;
mod health;
mod learnt;
pub mod lifts;
mod lines;
pub mod membership;
pub mod peer;
pub mod progress;
pub mod register;
pub mod serve;
pub mod watch;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use loftcove_clock as boot;
use loftcove_decision::{clock, mirror};
use loftcove_interface::store;
use tokio::sync::{broadcast, watch as channel};

pub use health::Health;

/// Prefix of what loftcove itself keeps in the store.
pub const OWN_PREFIX: &str = "loftcove/";
/// Records that a follower may be behind before it is sent everything anew.
const BACKLOG: usize = 1_024;

/// The copy, shared by whoever fills and reads it.
pub struct Mirror {
    origin: boot::Instant,
    state: Mutex<mirror::Mirror>,
    news: broadcast::Sender<mirror::Record>,
    changes: channel::Sender<u64>,
    /// Times at which a call to the store got no answer after one that was answered.
    silences: channel::Sender<u64>,
    /// The store's newest era that a listing told, and when it began to differ from what
    /// was known, if it did.
    era: Mutex<Option<(u32, Option<boot::Instant>)>>,
    /// Whether the store answers this host.
    pub health: Health,
    /// How far it is from the store over peers.
    pub distance: distance::Distance,
    /// Backend servers that ended under requests.
    pub ends: ends::Ends,
    /// Rate limits of backend servers that were lifted.
    pub lifts: lifts::Lifts,
    /// How its watches of the store get on.
    pub progress: progress::Progress,
    /// What is logged of records that are learnt.
    learnt: learnt::Learnt,
    /// Who follows this host.
    pub followers: followers::Followers,
    /// Peers that are followed at present.
    followed: AtomicUsize,
    /// When these were last enough to rely on.
    relied: register::Relied,
}

/// Where a record was heard of, for the log.
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
            news: broadcast::Sender::new(BACKLOG),
            changes: channel::Sender::new(0),
            silences: channel::Sender::new(0),
            era: Mutex::default(),
            health: Health::default(),
            distance: distance::Distance::default(),
            ends: ends::Ends::default(),
            lifts: lifts::Lifts::default(),
            progress: progress::Progress::default(),
            followers: followers::Followers::default(),
            followed: AtomicUsize::new(0),
            learnt: learnt::Learnt::default(),
            relied: register::Relied::default(),
        }
    }
}

impl Mirror {
    fn lock(&self) -> MutexGuard<'_, mirror::Mirror> {
        // Each change is one insertion; a panic cannot leave half of one.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn now(&self) -> clock::Instant {
        clock::Instant::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// A listing was of that era of the store.
    fn note_era(&self, era: u32) {
        let newest = self.lock().newest_revision("");
        // Each change is one assignment.
        let mut known = self.era.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let of_peers = (!newest.is_zero()).then_some(newest.era);
        let before = known.map(|(before, _)| before).or(of_peers);
        if before.is_none_or(|before| before < era) {
            *known = Some((era, before.map(|_| boot::Instant::now())));
        }
    }

    /// For how much longer owners may still have to write again what the store lost as
    /// its era began.
    fn era_grace(&self) -> Option<std::time::Duration> {
        let known = *self.era.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (_, since) = known?;
        health::RETURN_TIME.checked_sub(since?.elapsed())
    }

    /// Takes records; those that are news are handed on.
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
            // Nobody may be following at present.
            self.news.send(record).unwrap_or_default();
        }
        drop(state);
        if count > 0 {
            self.changes.send_modify(|version| *version += count);
        }
    }

    /// The store answered a call of a watch.
    fn watch_answered(&self, prefix: &'static str) {
        if let Some(silent) = self.progress.answered(prefix) {
            let ms = silent.as_millis();
            log::info!("watch answered again prefix={prefix} silent_ms={ms}");
        }
        self.distance.set_answered(self.progress.all_answered());
        self.store_answered();
    }

    /// A call of a watch failed. Those who follow this host learn that it may
    /// miss changes.
    fn watch_failed(&self, prefix: &'static str, error: &store::Error) {
        let first = self.progress.failed(prefix);
        self.distance.set_answered(false);
        if first {
            self.doubt(error);
        }
    }

    /// Has all watches asked again after a first call that got no answer. A
    /// refusal is an answer.
    fn doubt(&self, error: &store::Error) {
        if matches!(error, store::Error::Lost(_)) {
            self.silences.send_modify(|count| *count += 1);
        }
    }

    /// The host was suspended: calls that wait were sent before, and their timers
    /// are late, so all watches are asked again.
    pub fn resumed_from_suspend(&self, suspended: std::time::Duration) {
        log::warn!("host suspended ms={} next=ask-again", suspended.as_millis());
        self.silences.send_modify(|count| *count += 1);
    }

    /// The store answered a call. That says nothing of the watches, which are on
    /// connections of their own.
    fn store_answered(&self) {
        let before = self.health.available();
        self.health.answered();
        if !before {
            self.tell_waiting();
            // Who has no peer within reach may watch again.
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Tells of watches that were sent before the store was back: nothing says
    /// that it knows of them.
    fn tell_waiting(&self) {
        for (prefix, watch) in self.progress.watches() {
            if let Some(waited) = watch.waited() {
                let ms = waited.as_millis();
                log::info!("watch waits since before the outage's end prefix={prefix} ms={ms}");
            }
        }
    }

    /// A call to the store failed.
    fn store_failed(&self, error: &store::Error) {
        let before = self.health.available();
        self.health.failed(error);
        self.distance.set_answered(false);
        if before {
            self.doubt(error);
        }
    }

    /// A peer that is followed told its distance from the store.
    fn peer_at(&self, peer: &str, distance: u32) {
        let before = self.distance.peers_reach_store();
        self.distance.set_peer(peer, distance);
        let now = self.distance.peers_reach_store();
        if before != now {
            log::info!("peers reach the store reach={now} peer={peer} distance={distance}");
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Counts a peer that is followed until the guard is dropped.
    fn followed<'a>(&'a self, peer: &'a str) -> Followed<'a> {
        self.followed.fetch_add(1, Ordering::Relaxed);
        Followed { mirror: self, peer }
    }

    /// Number of changes so far.
    pub fn version(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Follows the number of changes so far.
    pub fn subscribe(&self) -> channel::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Records with a value of so many bytes or more.
    fn larger_than(&self, bytes: usize) -> Vec<mirror::Record> {
        let large = |record: &mirror::Record| {
            record.value.as_ref().is_some_and(|value| value.len() >= bytes)
        };
        self.lock().records().filter(large).collect()
    }

    /// All records and, from then on, each new one.
    pub fn follow(&self) -> (Vec<mirror::Record>, broadcast::Receiver<mirror::Record>) {
        let state = self.lock();
        (state.records().collect(), self.news.subscribe())
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().get(key).cloned()
    }

    /// What is known of a key, a removal included.
    pub fn newest_of(&self, key: &str) -> Option<mirror::Record> {
        self.lock().newest_of(key)
    }

    /// A key that has a value.
    pub fn record(&self, key: &str) -> Option<mirror::Record> {
        self.lock().record(key)
    }

    /// Keys below a prefix with their values and revisions.
    pub fn below(&self, prefix: &str) -> Vec<mirror::Record> {
        self.lock().below(prefix).collect()
    }

    /// Lets removals and older values take effect that were held for long enough; runs
    /// until the process ends.
    pub async fn expire(self: Arc<Mirror>) {
        let mut changes = self.subscribe();
        loop {
            let now = self.now();
            let removed = self.lock().expire(now);
            for record in &removed {
                let what = if record.value.is_some() { "value" } else { "removal" };
                log::info!("{what} held back is over key={}", record.key);
                self.news.send(record.clone()).unwrap_or_default();
            }
            if !removed.is_empty() {
                self.changes.send_modify(|version| *version += removed.len() as u64);
            }
            let next = self.lock().next_expiry();
            let wait = next.map(|due| due.since(now)).unwrap_or(IDLE_WAIT).min(IDLE_WAIT);
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                _ = changes.changed() => {}
            }
        }
    }
}

/// A peer that is followed.
struct Followed<'a> {
    mirror: &'a Mirror,
    peer: &'a str,
}

impl Drop for Followed<'_> {
    fn drop(&mut self) {
        self.mirror.followed.fetch_sub(1, Ordering::Relaxed);
        self.mirror.distance.forget_peer(self.peer);
        // Whoever relied on peers may have to watch the store now.
        self.mirror.changes.send_modify(|version| *version += 1);
    }
}

/// Longest time between two looks for removals that are due.
const IDLE_WAIT: std::time::Duration = std::time::Duration::from_secs(10);
