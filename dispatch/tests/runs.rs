//! The dispatcher's view of the runs of a backend server, also after its connection broke.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{arrival, listing};
use loftcove_decision::routing::notice;
use loftcove_decision::{balancer, entity, fleet};
use loftcove_dispatch as dispatch;

const SLOTS: u32 = 4;

fn run(id: &str, born: Option<u64>) -> fleet::Run {
    fleet::Run { id: id.into(), born }
}

/// Returns a dispatcher that lists the run, and the dispatcher's id of the server.
async fn listed(run: &fleet::Run) -> (Arc<dispatch::Dispatcher<fleet::Run>>, entity::Server) {
    let dispatcher = Arc::new(dispatch::Dispatcher::new(&balancer::Options::default()));
    dispatcher.list(vec![listing(run, SLOTS)]);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    let Some(dispatch::Next::Send(attempt)) = permit.next().await else { panic!("not sent") };
    (dispatcher, attempt.server)
}

#[tokio::test]
async fn a_server_that_reports_leaving_or_is_unlisted_is_leaving() {
    let first = run("a", Some(1));
    let (dispatcher, server) = listed(&first).await;
    assert!(!dispatcher.leaving(server));
    dispatcher.list(vec![dispatch::Listing { leaving: true, ..listing(&first, SLOTS) }]);
    assert!(dispatcher.leaving(server));
    dispatcher.list(Vec::new());
    assert!(dispatcher.leaving(server));
}

#[tokio::test]
async fn a_restarted_server_is_not_leaving_and_is_another_run() {
    let (first, second) = (run("a", Some(1)), run("a", Some(2)));
    let (dispatcher, server) = listed(&first).await;
    assert!(!dispatcher.any_listed(|other| other.differs(&first)));
    dispatcher.list(vec![listing(&second, SLOTS)]);
    assert!(!dispatcher.leaving(server));
    assert!(dispatcher.any_listed(|other| other.differs(&first)));
    // A server that is no longer listed is not found.
    dispatcher.list(vec![listing(&run("b", Some(1)), SLOTS)]);
    assert!(!dispatcher.any_listed(|other| *other == second));
}

/// Guards against losing a leaving notice at a restart. A server restarts under its id and reports
/// that it leaves before its entry shows the new start. The entry then ends the run for which the
/// notice was recorded.
#[tokio::test]
async fn a_leaving_notice_of_the_next_run_applies_to_that_run() {
    let first = run("a", Some(1));
    let (dispatcher, server) = listed(&first).await;
    let leaves = notice::Notice { leaving: true, ..Default::default() };
    assert_eq!(dispatcher.apply_notice(server, &leaves), Some(notice::Change::Leaves));
    let noticed_at = loftcove_clock::unix_ms();
    dispatcher.list(vec![listing(&run("a", Some(noticed_at - 100)), SLOTS)]);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_millis(50)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Refuse(_))));
    // A run that began after the notice has not sent it. The server itself must confirm this, since
    // the clocks of two hosts do not show which of the two events was first.
    dispatcher.list(vec![listing(&run("a", Some(noticed_at + 1_000)), SLOTS)]);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_millis(50)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Refuse(_))));
    let unsettled = dispatcher.unsettled().await;
    assert_eq!(unsettled.len(), 1);
    dispatcher.settle(unsettled[0].0, false);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Send(_))));
}

#[test]
fn runs_with_an_unknown_start_differ_only_by_id() {
    assert!(!run("a", None).differs(&run("a", Some(1))));
    assert!(!run("a", Some(1)).differs(&run("a", None)));
    assert!(run("a", Some(1)).differs(&run("a", Some(2))));
    assert!(run("a", None).differs(&run("b", None)));
}
