//! What a dispatcher tells of a backend server whose connection broke.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::{balancer, entity, fleet};
use loftcove_dispatch as dispatch;

fn run(id: &str, born: Option<u64>) -> fleet::Run {
    fleet::Run { id: id.into(), born }
}

fn listing(run: &fleet::Run, leaving: bool) -> dispatch::Listing<fleet::Run> {
    dispatch::Listing {
        run: run.clone(),
        pool: "service".into(),
        rank: None,
        local: true,
        leaving,
        slots: 4,
        target: run.clone(),
    }
}

/// A dispatcher that lists the run, and the server as it names it.
async fn listed(run: &fleet::Run) -> (Arc<dispatch::Dispatcher<fleet::Run>>, entity::Server) {
    let dispatcher = Arc::new(dispatch::Dispatcher::new(&balancer::Options::default()));
    dispatcher.list(vec![listing(run, false)]);
    let due = boot::Instant::now() + Duration::from_secs(60);
    let mut permit = dispatcher.arrive(&dispatch::Arrival {
        pool: "service".into(),
        team: "team".into(),
        precedence: 0,
        repeatable: true,
        resumable: false,
        max_attempts: 2,
        due,
        begin_by: due,
    });
    let Some(dispatch::Next::Send(attempt)) = permit.next().await else { panic!("not sent") };
    (dispatcher, attempt.server)
}

#[tokio::test]
async fn who_says_so_or_is_off_the_list_is_leaving() {
    let first = run("a", Some(1));
    let (dispatcher, server) = listed(&first).await;
    assert!(!dispatcher.leaving(server));
    dispatcher.list(vec![listing(&first, true)]);
    assert!(dispatcher.leaving(server));
    dispatcher.list(Vec::new());
    assert!(dispatcher.leaving(server));
}

#[tokio::test]
async fn who_started_again_has_not_left_but_ended() {
    let (first, second) = (run("a", Some(1)), run("a", Some(2)));
    let (dispatcher, server) = listed(&first).await;
    assert!(!dispatcher.lists(|other| other.differs(&first)));
    dispatcher.list(vec![listing(&second, false)]);
    assert!(!dispatcher.leaving(server));
    assert!(dispatcher.lists(|other| other.differs(&first)));
    // What is off the list is not found.
    dispatcher.list(vec![listing(&run("b", Some(1)), false)]);
    assert!(!dispatcher.lists(|other| *other == second));
}

#[test]
fn a_start_that_is_not_told_makes_no_other_run() {
    assert!(!run("a", None).differs(&run("a", Some(1))));
    assert!(!run("a", Some(1)).differs(&run("a", None)));
    assert!(run("a", Some(1)).differs(&run("a", Some(2))));
    assert!(run("a", None).differs(&run("b", None)));
}
