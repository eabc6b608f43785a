//! A watch whose call is lost is made good within the bound, and who cannot hear
//! of changes does not pass for someone who can.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use loftcove_interface::store::{
    Changes, Error, Event, Item, Lease, Listing, Outcome, Revision, Store, Wait, Write,
};
use loftcove_mirror::{Mirror, distance, register, watch};
use tokio::time::Instant;

const SUBJECT: watch::Subject =
    watch::Subject { prefix: "news/", bound: Duration::from_millis(2_000), entries: false };

/// A store with one change, at revision 2. It can lose the calls of watches,
/// and never answers those that it lost. Other calls it answers all the same.
#[derive(Default)]
struct Fake {
    loses_watches: AtomicBool,
    /// Whether renewals are lost as well.
    away: AtomicBool,
    changed: AtomicBool,
    /// Number of the call of a watch that is lost though others are not, and at
    /// whose beginning the change is made; none where it is 0.
    lost_call: AtomicUsize,
    calls: AtomicUsize,
}

impl Fake {
    async fn wait_for_change(&self, after: Revision, wait: Duration) -> Changes {
        let end = Instant::now() + wait;
        while Instant::now() < end && !self.changed.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let changed = self.changed.load(Ordering::Relaxed) && after.number < 2;
        let item =
            Item { key: "news/x".into(), value: "new".into(), revision: Revision::new(0, 2) };
        let events = changed.then_some(Event::Put(item)).into_iter().collect();
        Changes { events, revision: if changed { Revision::new(0, 2) } else { after } }
    }
}

impl Store for Fake {
    async fn list(&self, _prefix: &str) -> Result<Listing, Error> {
        Ok(Listing { items: Vec::new(), revision: Revision::new(0, 1) })
    }

    async fn watch(&self, _prefix: &str, after: Revision, wait: Wait) -> Result<Changes, Error> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let lost = call == self.lost_call.load(Ordering::Relaxed);
        if lost {
            self.changed.store(true, Ordering::Relaxed);
        }
        if lost || self.loses_watches.load(Ordering::Relaxed) {
            tokio::time::sleep(wait.change + wait.answer).await;
            return Err(Error::Lost("nothing".to_owned()));
        }
        Ok(self.wait_for_change(after, wait.change).await)
    }

    async fn write(&self, _write: &Write) -> Result<Outcome, Error> {
        Ok(Outcome::Done(Revision::new(0, 1)))
    }

    async fn grant(&self, _ttl: Duration) -> Result<Lease, Error> {
        Ok(Lease { era: 0, id: 1 })
    }

    async fn keep(&self, _lease: Lease) -> Result<bool, Error> {
        if self.away.load(Ordering::Relaxed) {
            return Err(Error::Lost("nothing".to_owned()));
        }
        Ok(true)
    }

    async fn end(&self, _lease: Lease) -> Result<(), Error> {
        Ok(())
    }
}

/// A host that watches a fake store and renews its registration there.
fn host(store: &Arc<Fake>, subject: watch::Subject) -> Arc<Mirror> {
    let mirror: Arc<Mirror> = Arc::default();
    mirror.distance.set_watcher(true);
    tokio::spawn(watch::run(mirror.clone(), store.clone(), subject, |_| true));
    let entry = register::Entry { address: "127.0.0.1:1".parse().unwrap(), zone: "norte".into() };
    tokio::spawn(register::run(mirror.clone(), store.clone(), "own".into(), entry));
    mirror
}

/// Waits until a host has heard of the change; returns how long that took.
async fn heard(mirror: &Mirror) -> Duration {
    let began = Instant::now();
    let mut changes = mirror.subscribe();
    while mirror.get("news/x").is_none() {
        changes.changed().await.unwrap();
    }
    began.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_change_is_heard_of_within_the_bound_after_a_call_that_was_lost() {
    let store: Arc<Fake> = Arc::default();
    let mirror = host(&store, SUBJECT);
    store.loses_watches.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(10)).await;
    // The call that was lost waits on; the next one is heard.
    store.loses_watches.store(false, Ordering::Relaxed);
    store.changed.store(true, Ordering::Relaxed);
    let took = heard(&mirror).await;
    assert!(took < SUBJECT.bound, "{took:?}");
}

/// What is left of the bound for a connection, and for reading what was heard.
const REST: Duration = Duration::from_millis(50);

#[tokio::test(start_paused = true)]
async fn the_longest_call_that_is_lost_leaves_time_for_the_next_one() {
    let store: Arc<Fake> = Arc::default();
    // Not the first one after a listing, which is shorter by lot.
    store.lost_call.store(3, Ordering::Relaxed);
    let mirror = host(&store, SUBJECT);
    while !store.changed.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let took = heard(&mirror).await;
    assert!(took + REST < SUBJECT.bound, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_lost_call_has_a_watch_asked_again_that_could_wait_much_longer() {
    let store: Arc<Fake> = Arc::default();
    let patient = watch::Subject { bound: SUBJECT.bound * 100, ..SUBJECT };
    let mirror = host(&store, patient);
    store.loses_watches.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(10)).await;
    store.away.store(true, Ordering::Relaxed);
    // The watch waits for minutes; a renewal is lost meanwhile.
    tokio::time::sleep(SUBJECT.bound).await;
    store.loses_watches.store(false, Ordering::Relaxed);
    store.away.store(false, Ordering::Relaxed);
    store.changed.store(true, Ordering::Relaxed);
    let took = heard(&mirror).await;
    assert!(took < patient.bound / 2, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_host_whose_watch_is_not_answered_is_far_from_the_store() {
    let store: Arc<Fake> = Arc::default();
    let mirror = host(&store, SUBJECT);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(mirror.distance.get(), 0);
    store.loses_watches.store(true, Ordering::Relaxed);
    // Its registration goes on being renewed.
    tokio::time::sleep(SUBJECT.bound * 2).await;
    for _ in 0..400 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(mirror.distance.get(), distance::UNREACHABLE);
        assert!(mirror.health.available());
    }
    store.loses_watches.store(false, Ordering::Relaxed);
    tokio::time::sleep(SUBJECT.bound * 2).await;
    assert_eq!(mirror.distance.get(), 0);
}
