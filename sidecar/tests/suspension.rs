//! A driver whose host was suspended asks whether its term still holds before
//! it goes on.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store;
use loftcove_mirror::Mirror;
use loftcove_sidecar::election::{self, Renewals, Term};
use loftcove_standins::calls::{Calls, Plan};

/// One test, as the clock of the process is moved on.
#[tokio::test]
async fn a_term_is_renewed_right_after_a_suspension() {
    let store = Arc::new(Calls::new(Plan { renewals: 2, ..Plan::default() }));
    let renewals: Arc<Renewals> = Arc::default();
    let kept = tokio::spawn({
        let (store, renewals) = (store.clone(), renewals.clone());
        async move {
            let term = Term { number: 1, lease: store::Lease { era: 0, id: 1 } };
            election::renew(&*store, &Mirror::default(), "g0", term, &renewals).await;
        }
    });
    while store.seen().renewals == 0 {
        tokio::task::yield_now().await;
    }
    assert!(!renewals.check().await);
    boot::simulate_suspension(Duration::from_secs(5));
    let asked = tokio::time::timeout(Duration::from_millis(400), renewals.check()).await;
    assert_eq!(asked, Ok(true), "half of the time until the next renewal");
    assert_eq!(store.seen().renewals, 2);
    assert!(!renewals.check().await);
    // It has lapsed in the second one.
    boot::simulate_suspension(Duration::from_secs(5));
    let waited = tokio::time::timeout(Duration::from_millis(400), renewals.check()).await;
    assert!(waited.is_err() || kept.is_finished());
    kept.await.unwrap();
}
