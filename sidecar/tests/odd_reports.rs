//! No report of an engine and no configuration makes a driver panic.
//!
//! Guards against a division by zero and overflows, which end the driver of a group.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod plans;

use std::time::Duration;

use loftcove_interface::engine::Report;
use loftcove_sidecar::plan;
use loftcove_sidecar::state::{State, Watchdog};

#[test]
fn a_pass_may_be_any_number() {
    for pass in [0, 1, 1 << 32, 1 << 33, u64::MAX] {
        let mut state = State::default();
        state.record_pass(0);
        state.record_pass(pass);
        assert!(state.pass_time < Duration::from_secs(60));
        let report = Report {
            slowness: 1.0,
            group: None,
            orders: 1,
            busy: false,
            queued: 0,
            active: 0,
            pass,
            map: 0,
            prepared: None,
            armed: None,
            held: Some(pass),
        };
        assert!(!Watchdog::default().observe(&report, 1));
    }
}

#[tokio::test]
async fn a_bandwidth_may_be_any_number() {
    for (mbps, mb) in [(1e-300, 8.0), (5e-324, 1e300), (1e-10, 1e10), (10_000.0, -1.0)] {
        let mut state = plans::uneven_state();
        let (engine, experts) = plans::engine(mbps, mb);
        plan::decide(&mut state, &engine, &experts).await;
    }
}
