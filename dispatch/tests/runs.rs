//! What a dispatcher tells of a backend server whose connection broke.

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

/// A dispatcher that lists the run, and the server as it names it.
async fn listed(run: &fleet::Run) -> (Arc<dispatch::Dispatcher<fleet::Run>>, entity::Server) {
    let dispatcher = Arc::new(dispatch::Dispatcher::new(&balancer::Options::default()));
    dispatcher.list(vec![listing(run, SLOTS)]);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    let Some(dispatch::Next::Send(attempt)) = permit.next().await else { panic!("not sent") };
    (dispatcher, attempt.server)
}

#[tokio::test]
async fn who_says_so_or_is_off_the_list_is_leaving() {
    let first = run("a", Some(1));
    let (dispatcher, server) = listed(&first).await;
    assert!(!dispatcher.leaving(server));
    dispatcher.list(vec![dispatch::Listing { leaving: true, ..listing(&first, SLOTS) }]);
    assert!(dispatcher.leaving(server));
    dispatcher.list(Vec::new());
    assert!(dispatcher.leaving(server));
}

#[tokio::test]
async fn who_started_again_has_not_left_but_ended() {
    let (first, second) = (run("a", Some(1)), run("a", Some(2)));
    let (dispatcher, server) = listed(&first).await;
    assert!(!dispatcher.any_listed(|other| other.differs(&first)));
    dispatcher.list(vec![listing(&second, SLOTS)]);
    assert!(!dispatcher.leaving(server));
    assert!(dispatcher.any_listed(|other| other.differs(&first)));
    // What is off the list is not found.
    dispatcher.list(vec![listing(&run("b", Some(1)), SLOTS)]);
    assert!(!dispatcher.any_listed(|other| *other == second));
}

/// The pattern: a server starts again under its id and says that it leaves, before
/// its entry tells the new start; the entry then ends the run that was told so.
#[tokio::test]
async fn a_word_said_by_the_next_run_holds_for_it() {
    let first = run("a", Some(1));
    let (dispatcher, server) = listed(&first).await;
    let leaves = notice::Notice { leaving: true, ..Default::default() };
    assert_eq!(dispatcher.notice(server, &leaves), Some(notice::Change::Leaves));
    let said = loftcove_clock::unix_ms();
    dispatcher.list(vec![listing(&run("a", Some(said - 100)), SLOTS)]);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_millis(50)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Refuse(_))));
    // A run that began after the word has not said it, which it tells itself: the
    // clocks of hosts do not tell which of the two was first.
    dispatcher.list(vec![listing(&run("a", Some(said + 1_000)), SLOTS)]);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_millis(50)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Refuse(_))));
    let unsettled = dispatcher.unsettled().await;
    assert_eq!(unsettled.len(), 1);
    dispatcher.settle(unsettled[0].0, false);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Send(_))));
}

#[test]
fn a_start_that_is_not_told_makes_no_other_run() {
    assert!(!run("a", None).differs(&run("a", Some(1))));
    assert!(!run("a", Some(1)).differs(&run("a", None)));
    assert!(run("a", Some(1)).differs(&run("a", Some(2))));
    assert!(run("a", None).differs(&run("b", None)));
}
