//! A driver whose host was suspended asks whether its term still holds before
//! it goes on.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store::{self, Error, Store};
use loftcove_mirror::Mirror;
use loftcove_sidecar::election::{self, Renewals, Term};

/// A store whose lease holds for so many renewals.
#[derive(Debug, Default)]
struct Leases {
    holds: u32,
    renewals: AtomicU32,
}

impl Store for Leases {
    async fn list(&self, _: &str) -> Result<store::Listing, Error> {
        Err(Error::Refused(503))
    }

    async fn watch(
        &self,
        _: &str,
        _: store::Revision,
        _: store::Wait,
    ) -> Result<store::Changes, Error> {
        Err(Error::Refused(503))
    }

    async fn write(&self, _: &store::Write) -> Result<store::Outcome, Error> {
        Err(Error::Refused(503))
    }

    async fn grant(&self, _: Duration) -> Result<store::Lease, Error> {
        Err(Error::Refused(503))
    }

    async fn keep(&self, _: store::Lease) -> Result<bool, Error> {
        Ok(self.renewals.fetch_add(1, Ordering::Relaxed) < self.holds)
    }

    async fn end(&self, _: store::Lease) -> Result<(), Error> {
        Ok(())
    }
}

/// One test, as the clock of the process is moved on.
#[tokio::test]
async fn a_term_is_renewed_right_after_a_suspension() {
    let store = Arc::new(Leases { holds: 2, ..Leases::default() });
    let renewals: Arc<Renewals> = Arc::default();
    let kept = tokio::spawn({
        let (store, renewals) = (store.clone(), renewals.clone());
        async move {
            let term = Term { number: 1, lease: 1 };
            election::keep(&*store, &Mirror::default(), "g0", term, &renewals).await;
        }
    });
    while store.renewals.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    assert!(!renewals.check().await);
    boot::suspend(Duration::from_secs(5));
    let asked = tokio::time::timeout(Duration::from_millis(400), renewals.check()).await;
    assert_eq!(asked, Ok(true), "half of the time until the next renewal");
    assert_eq!(store.renewals.load(Ordering::Relaxed), 2);
    assert!(!renewals.check().await);
    // It has lapsed in the second one.
    boot::suspend(Duration::from_secs(5));
    let waited = tokio::time::timeout(Duration::from_millis(400), renewals.check()).await;
    assert!(waited.is_err() || kept.is_finished());
    kept.await.unwrap();
}
