//! Exchange of lifted rate limits between gateways through the store.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::revision::Revision;
use loftcove_decision::{fleet, mirror};
use loftcove_mirror::{Mirror, Source, lifts};
use loftcove_standins::calls::{Calls, Plan};

fn run(born: u64) -> fleet::Run {
    fleet::Run { id: "server-1".into(), born: Some(born) }
}

/// Returns a record of a lifted limit.
fn record(revision: u64, text: &str) -> mirror::Record {
    let value = Some(text.to_owned().into_bytes().into());
    mirror::Record {
        key: "loftcove/lifted/server-1".into(),
        revision: Revision::new(0, revision),
        value,
    }
}

/// Returns the value that has been written after 600 ms.
async fn written(store: &Calls) -> Option<String> {
    tokio::time::sleep(Duration::from_millis(600)).await;
    let value = store.seen().write?.value?;
    Some(String::from_utf8(value.to_vec()).unwrap())
}

#[tokio::test]
async fn a_gateway_writes_a_lift_once_under_a_lease() {
    let (mirror, store) = (Arc::<Mirror>::default(), Arc::new(Calls::new(Plan::default())));
    tokio::spawn(lifts::run(mirror.clone(), store.clone()));
    mirror.record_lift(&run(7));
    assert_eq!(written(&store).await.unwrap(), r#"{"born":7}"#);
    assert_eq!(store.seen().grants.len(), 1);
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(store.seen().grants.len(), 1, "it is written once");
}

#[tokio::test]
async fn a_lift_that_is_outdated_or_written_by_another_gateway_is_not_written() {
    let (mirror, store) = (Arc::<Mirror>::default(), Arc::new(Calls::new(Plan::default())));
    mirror.record_lift(&run(7));
    mirror.apply(vec![record(5, r#"{"born":7}"#)], Source::Store);
    mirror.record_lift(&fleet::Run { id: "server-2".into(), born: None });
    mirror.lifts.discard_pending(&fleet::Run { id: "server-2".into(), born: None });
    tokio::spawn(lifts::run(mirror.clone(), store.clone()));
    assert_eq!(written(&store).await, None);
}

#[tokio::test]
async fn a_failed_write_is_retried() {
    let plan = Plan { lost_grants: 1, ..Plan::default() };
    let (mirror, store) = (Arc::<Mirror>::default(), Arc::new(Calls::new(plan)));
    tokio::spawn(lifts::run(mirror.clone(), store.clone()));
    mirror.record_lift(&run(7));
    assert_eq!(written(&store).await, None);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert!(store.seen().write.is_some());
}

#[test]
fn each_record_is_returned_once_and_its_removal_never() {
    let mirror = Mirror::default();
    assert_eq!(mirror.lifts.take_updates(&mirror), []);
    mirror.apply(vec![record(5, r#"{"born":7}"#)], Source::Store);
    assert_eq!(mirror.lifts.take_updates(&mirror), [run(7)]);
    assert_eq!(mirror.lifts.take_updates(&mirror), []);
    mirror.apply(vec![mirror::Record { value: None, ..record(6, "") }], Source::Store);
    assert_eq!(mirror.lifts.take_updates(&mirror), []);
    mirror.apply(vec![record(7, "nonsense")], Source::Store);
    assert_eq!(mirror.lifts.take_updates(&mirror), []);
    mirror.apply(vec![record(9, r#"{"born":7}"#)], Source::Store);
    assert_eq!(mirror.lifts.take_updates(&mirror), [run(7)]);
}
