//! An attempt that was reported as never run never starts.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::{attempt, clock};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed, so that every run has the same cases.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn an_attempt_reported_as_never_run_does_not_start(
        events in prop::collection::vec((0..4_u8, 0..6_u32, 0..40_u64), 1..200),
    ) {
        let mut table = attempt::Table::new(5, Duration::from_millis(10), 4);
        let mut wall = 1_000;
        let expiry = |number: u32| clock::Wall::from_millis(1_100 + u64::from(number) * 50);
        let mut never = Vec::new();
        let mut started = Vec::new();
        for (kind, number, elapsed) in events {
            wall += elapsed;
            let now = clock::Wall::from_millis(wall);
            let id = attempt::Id { request: uuid::Uuid::nil(), number, incarnation: 5 };
            match kind {
                0 | 1 => if table.start(id, expiry(number), now).is_ok() {
                    prop_assert!(
                        !never.contains(&number),
                        "started after it was reported as never run"
                    );
                    prop_assert!(!started.contains(&number), "started twice");
                    started.push(number);
                },
                2 => table.end(id),
                _ => match table.revoke(id, expiry(number), now) {
                    attempt::Phase::Never => {
                        prop_assert!(
                            !started.contains(&number),
                            "reported as never run after it started"
                        );
                        never.push(number);
                    }
                    attempt::Phase::Running | attempt::Phase::Ended => {
                        prop_assert!(started.contains(&number));
                    }
                    attempt::Phase::Unknown => {}
                },
            }
            prop_assert_eq!(table.verify(), Ok(()));
        }
    }
}

#[test]
fn another_incarnation_does_not_know_the_attempt() {
    let mut table = attempt::Table::new(6, Duration::ZERO, 4);
    let id = attempt::Id { request: uuid::Uuid::nil(), number: 1, incarnation: 5 };
    let (now, later) = (clock::Wall::from_millis(1), clock::Wall::from_millis(9));
    assert_eq!(table.revoke(id, later, now), attempt::Phase::Unknown);
    assert_eq!(table.start(id, later, now), Err(attempt::Refusal::Incarnation));
}
