//! What a dispatcher makes of the time in which its host was suspended.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{arrival, listing};
use loftcove_clock as boot;
use loftcove_decision::{balancer, fleet};
use loftcove_dispatch as dispatch;

/// The pattern: a host is suspended for longer than a request that waits has
/// time. It is answered at once, not after the time that its timer still counts,
/// and goes to no server.
#[tokio::test]
async fn a_request_that_waited_through_a_suspension_is_refused_at_once() {
    let dispatcher = Arc::new(dispatch::Dispatcher::new(&balancer::Options::default()));
    let run = fleet::Run { id: "server".into(), born: Some(1) };
    dispatcher.list(vec![listing(&run, 1)]);
    let ticks = dispatcher.clone();
    tokio::spawn(async move { ticks.run().await });
    let mut first = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    assert!(matches!(first.next().await, Some(dispatch::Next::Send(_))));
    let mut second = dispatcher.arrive(&arrival(Duration::from_secs(30)));
    boot::simulate_suspension(Duration::from_secs(40));
    let told = tokio::time::timeout(Duration::from_secs(10), second.next()).await;
    let Some(dispatch::Next::Refuse(refusal)) = told.unwrap() else { panic!("it was sent") };
    assert_eq!(refusal.outcome, balancer::Outcome::NotRun);
}
