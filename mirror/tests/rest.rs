//! A store that refuses a call and says when to come back is not asked before.
//! All hosts come back to it after an outage, so each comes a little later.

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

/// Time that is played, of a clock that runs ahead while nothing happens.
const PLAYED: Duration = Duration::from_secs(30);

/// A store that refuses all reads and asks for that much time.
struct Refusing {
    asks: Duration,
    calls: Mutex<Vec<Instant>>,
}

impl Refusing {
    fn refuse<T>(&self) -> Result<T, Error> {
        self.calls.lock().unwrap().push(Instant::now());
        Err(Error::Refused { status: 503, rest: self.asks })
    }
}

impl Store for Refusing {
    async fn list(&self, _: &str) -> Result<Listing, Error> {
        self.refuse()
    }

    async fn watch(&self, _: &str, _: Revision, _: Wait) -> Result<Changes, Error> {
        self.refuse()
    }

    async fn write(&self, _: &Write) -> Result<Outcome, Error> {
        self.refuse()
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        self.refuse()
    }

    async fn renew(&self, _: Lease) -> Result<bool, Error> {
        self.refuse()
    }

    async fn revoke(&self, _: Lease) -> Result<(), Error> {
        self.refuse()
    }
}

/// Times between the calls of a watch.
async fn gaps(asks: Duration) -> Vec<Duration> {
    let store = Arc::new(Refusing { asks, calls: Mutex::default() });
    let watching =
        tokio::spawn(watch::run(Arc::<Mirror>::default(), store.clone(), SUBJECT, |_| true));
    tokio::time::sleep(PLAYED).await;
    watching.abort();
    let calls = store.calls.lock().unwrap();
    calls.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

#[tokio::test(start_paused = true)]
async fn a_store_that_asks_for_rest_gets_it() {
    let asks = Duration::from_millis(700);
    let gaps = gaps(asks).await;
    assert!(gaps.len() > 10);
    for gap in gaps {
        assert!(gap >= asks, "asked again after {gap:?}");
    }
}

/// Whoever heeded any time would not hear of a change within its bound.
#[tokio::test(start_paused = true)]
async fn no_longer_than_the_bound_for_changes() {
    let gaps = gaps(Duration::from_secs(3_600)).await;
    assert!(gaps.len() > 10);
    for gap in gaps {
        assert!(gap >= SUBJECT.bound, "asked again after {gap:?}");
    }
}
