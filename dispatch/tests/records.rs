//! The dispatcher keeps nothing of a run whose record the balancer has removed.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{arrival, listing};
use loftcove_clock as boot;
use loftcove_decision::routing::server;
use loftcove_decision::{balancer, fleet};
use loftcove_dispatch as dispatch;

const SLOTS: u32 = 4;
/// Number of runs that are listed one after the other.
const RUNS: u64 = 50;

/// Guards against one target more for each run that was ever listed.
#[tokio::test]
async fn records_and_targets_of_earlier_runs_are_removed() {
    let dispatcher = Arc::new(dispatch::Dispatcher::new(&balancer::Options::default()));
    for number in 0..RUNS {
        // Half of the runs are restarts under one id, the others are of hosts with new ids.
        let id = if number % 2 == 0 { "server".to_owned() } else { format!("server-{number}") };
        let run = fleet::Run { id: id.into(), born: Some(number) };
        dispatcher.list(vec![listing(&run, SLOTS)]);
        let records = dispatcher.records();
        assert!(records.held <= 3, "{records:?}");
        assert_eq!((records.targets, records.listed), (records.held, 1));
    }
    boot::simulate_suspension(server::UNLISTED_RETENTION * 2);
    let mut permit = dispatcher.arrive(&arrival(Duration::from_secs(60)));
    assert!(matches!(permit.next().await, Some(dispatch::Next::Send(_))));
    let expected = dispatch::Records { held: 1, listed: 1, targets: 1, removed: RUNS - 1 };
    assert_eq!(dispatcher.records(), expected);
}
