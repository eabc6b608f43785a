//! A candidate whose write is rejected must end the lease that it was granted, so that the lease
//! does not stay in the store until it expires. A driver may take later terms under its lease.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::mirror::Record;
use loftcove_interface::store::{Error, Lease, Revision};
use loftcove_mirror::{Mirror, Source};
use loftcove_sidecar::election::{self, Loss, Renewals, Term};
use loftcove_standins::calls::{Plan, Recorder};

#[tokio::test]
async fn ends_the_lease_if_the_write_is_rejected() {
    let store = Recorder::new(Plan { rejected_writes: 503, ..Plan::default() });
    let mirror = Mirror::default();
    let term = election::campaign(&store, &mirror, "g0", "h0#1", Revision::ZERO).await;
    assert!(matches!(term, Err(Error::Refused { status: 503, .. })), "{term:?}");
    assert_eq!(store.recording().revocations, 1);
}

#[tokio::test]
async fn ends_the_lease_if_another_candidate_has_won() {
    let store = Recorder::new(Plan { conflict: true, ..Plan::default() });
    let term = election::campaign(&store, &Mirror::default(), "g0", "h0#1", Revision::ZERO).await;
    assert_eq!(term, Ok(None));
    assert_eq!(store.recording().revocations, 1);
}

/// A sidecar that lost an election must not wait before it replaces a winner that froze at once.
#[test]
fn stands_again_once_the_key_of_the_winner_is_known() {
    let loss = Loss::new(Revision::new(0, 3));
    assert!(loss.pauses(Revision::new(0, 3)), "the winner is not known");
    assert!(!loss.pauses(Revision::new(0, 4)));
}

fn put(mirror: &Mirror, value: &str, number: u64) {
    let record = Record {
        key: election::key("g0"),
        value: Some(value.to_owned().into()),
        revision: Revision::new(0, number),
    };
    mirror.apply(vec![record], Source::Store);
}

/// A driver that takes a later term must keep its lease, and must not take the term of another one.
#[tokio::test]
async fn begins_a_later_term_only_of_its_own_key() {
    let lease = Lease { era: 0, id: 4 };
    let term = Term { number: 3, lease };
    let store = Recorder::new(Plan::default());
    let mirror = Mirror::default();
    let advance = async |store| election::advance(store, &mirror, "g0", "h0#1", term).await;
    assert_eq!(advance(&store).await, Ok(None), "the key is not known");
    put(&mirror, "h0#2", 3);
    assert_eq!(advance(&store).await, Ok(None), "another run drives");
    assert!(store.recording().write.is_none());
    put(&mirror, "h0#1", 4);
    let next = advance(&store).await;
    assert_eq!(next, Ok(Some(Term { number: Revision::new(0, 5).ordinal(), lease })));
    let write = store.recording().write.unwrap();
    assert_eq!((write.expected, write.lease), (Some(Revision::new(0, 4)), Some(lease)));
    let conflict = Recorder::new(Plan { conflict: true, ..Plan::default() });
    assert_eq!(advance(&conflict).await, Ok(None));
    assert_eq!(store.recording().revocations + conflict.recording().revocations, 0);
}

/// The renewals of a driver must not end with its own later term, and must end with another
/// driver's.
#[tokio::test]
async fn renews_until_another_run_drives() {
    let store = Recorder::new(Plan { renewals: u32::MAX, ..Plan::default() });
    let mirror = Mirror::default();
    let renewals = Renewals::default();
    let term = Term { number: 3, lease: Lease { era: 0, id: 4 } };
    put(&mirror, "h0#1", 7);
    let renewal = election::renew(&store, &mirror, "g0", "h0#1", term, &renewals);
    tokio::pin!(renewal);
    let limit = std::time::Duration::from_millis(300);
    assert!(tokio::time::timeout(limit, renewal.as_mut()).await.is_err());
    put(&mirror, "h1#1", 8);
    assert!(tokio::time::timeout(limit, renewal).await.is_ok());
}
