//! A driver is only deposed for what another one can mend.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::{Duration, Instant};

use loftcove_interface::engine::{Group, Report};
use loftcove_sidecar::state::Watchdog;

const TERM: u64 = 5;

fn report(pass: u64, held: Option<u64>) -> Report {
    Report {
        slowness: 1.0,
        group: Some(Group { name: "modelo-0".into(), epoch: 1, rank: 3, size: 8, open: true }),
        orders: 1,
        busy: false,
        queued: 0,
        active: 4,
        pass,
        map: 0,
        prepared: Some(9),
        armed: None,
        held,
    }
}

/// Looks again and again, for twice the time that a pass may be held; returns
/// whether the driver was to be deposed.
async fn looks(watchdog: &mut Watchdog, report: &Report) -> bool {
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        if watchdog.observe(report, TERM) {
            return true;
        }
        tokio::task::yield_now().await;
    }
    false
}

#[tokio::test]
async fn a_group_that_a_cut_keeps_standing_has_a_driver() {
    // A map is prepared and no pass begins, but nothing is held: ranks are cut
    // off, and the driver cannot help it.
    assert!(!looks(&mut Watchdog::default(), &report(40, None)).await);
    // A hold of a pass that is not the next one stops nothing yet.
    assert!(!looks(&mut Watchdog::default(), &report(40, Some(43))).await);
}

#[tokio::test]
async fn a_driver_that_left_its_group_held_is_deposed() {
    assert!(looks(&mut Watchdog::default(), &report(40, Some(41))).await);
}
