//! The dispatcher counts the time of a suspension of the host towards deadlines.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{arrival, listing};
use loftcove_clock as boot;
use loftcove_decision::{balancer, fleet};
use loftcove_dispatch as dispatch;

/// Guards against a request that outlives its deadline because timers stop during a suspension of
/// the host. The host is suspended for longer than the time left to a waiting request. The request
/// must be rejected at once, not when its timer fires, and must not be sent to a server.
#[tokio::test]
async fn rejects_a_waiting_request_at_once_after_a_suspension_past_its_deadline() {
    let dispatcher = Arc::new(dispatch::Dispatcher::new(&balancer::Options::default()));
    let run = fleet::Run { id: "server".into(), born: Some(1) };
    dispatcher.list(vec![listing(&run, 1)]);
    let ticks = dispatcher.clone();
    tokio::spawn(async move { ticks.run().await });
    let mut first = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    assert!(matches!(first.next().await, Some(dispatch::Next::Send(_))));
    let mut second = dispatcher.arrive(&arrival(Duration::from_secs(30)));
    boot::simulate_suspension(Duration::from_secs(40));
    let next = tokio::time::timeout(Duration::from_secs(10), second.next()).await;
    let Some(dispatch::Next::Refuse(refusal)) = next.unwrap() else { panic!("it was sent") };
    assert_eq!(refusal.outcome, balancer::Outcome::NotRun);
}
