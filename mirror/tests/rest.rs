//! A store that rejects a call with a rest gets no call before the rest is over.
//!
//! After an outage all hosts return to the store, so each adds a random part to its rest.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_interface::store::{
    Changes, Error, Lease, Listing, Outcome, Revision, Store, Wait, Write,
};
use loftcove_mirror::{Mirror, watch};
use tokio::time::Instant;

const SUBJECT: watch::Subject =
    watch::Subject { prefix: "news/", bound: Duration::from_millis(1_000), entries: false };

/// Simulated time. The paused clock advances while all tasks are idle.
const SIMULATED: Duration = Duration::from_secs(30);

/// A store that rejects all calls and asks for a rest.
struct RejectingStore {
    rest: Duration,
    calls: Mutex<Vec<Instant>>,
}

impl RejectingStore {
    fn reject<T>(&self) -> Result<T, Error> {
        self.calls.lock().unwrap().push(Instant::now());
        Err(Error::Refused { status: 503, rest: self.rest })
    }
}

impl Store for RejectingStore {
    async fn list(&self, _: &str) -> Result<Listing, Error> {
        self.reject()
    }

    async fn watch(&self, _: &str, _: Revision, _: Wait) -> Result<Changes, Error> {
        self.reject()
    }

    async fn write(&self, _: &Write) -> Result<Outcome, Error> {
        self.reject()
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        self.reject()
    }

    async fn renew(&self, _: Lease) -> Result<bool, Error> {
        self.reject()
    }

    async fn revoke(&self, _: Lease) -> Result<(), Error> {
        self.reject()
    }
}

/// Returns the intervals between the calls of a watch.
async fn gaps(rest: Duration) -> Vec<Duration> {
    let store = Arc::new(RejectingStore { rest, calls: Mutex::default() });
    let watch_task =
        tokio::spawn(watch::run(Arc::<Mirror>::default(), store.clone(), SUBJECT, |_| true));
    tokio::time::sleep(SIMULATED).await;
    watch_task.abort();
    let calls = store.calls.lock().unwrap();
    calls.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

#[tokio::test(start_paused = true)]
async fn a_watch_waits_for_the_rest_that_the_store_asks_for() {
    let rest = Duration::from_millis(700);
    let gaps = gaps(rest).await;
    assert!(gaps.len() > 10);
    for gap in gaps {
        assert!(gap >= rest, "called again after {gap:?}");
    }
}

/// A watch that waited for any rest would miss the bound for changes.
#[tokio::test(start_paused = true)]
async fn a_rest_is_limited_to_the_bound_for_changes() {
    let gaps = gaps(Duration::from_secs(3_600)).await;
    assert!(gaps.len() > 10);
    for gap in gaps {
        assert!(gap >= SUBJECT.bound, "called again after {gap:?}");
    }
}
