//! An attempt that was said never to run never starts.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::{attempt, clock};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn never_is_never(events in prop::collection::vec((0..4_u8, 0..6_u32, 0..40_u64), 1..200)) {
        let mut table = attempt::Table::new(5, Duration::from_millis(10), 4);
        let mut wall = 1_000;
        let expiry = |number: u32| clock::Wall::from_millis(1_100 + u64::from(number) * 50);
        let mut never = Vec::new();
        let mut started = Vec::new();
        for (kind, number, pass) in events {
            wall += pass;
            let now = clock::Wall::from_millis(wall);
            let id = attempt::Id { request: uuid::Uuid::nil(), number, incarnation: 5 };
            match kind {
                0 | 1 => if table.start(id, expiry(number), now).is_ok() {
                    prop_assert!(!never.contains(&number), "started after it was said never to run");
                    prop_assert!(!started.contains(&number), "started twice");
                    started.push(number);
                },
                2 => table.end(id),
                _ => match table.revoke(id, expiry(number), now) {
                    attempt::Phase::Never => {
                        prop_assert!(!started.contains(&number), "said never to run after it started");
                        never.push(number);
                    }
                    attempt::Phase::Running | attempt::Phase::Ended => prop_assert!(started.contains(&number)),
                    attempt::Phase::Unknown => {}
                },
            }
            prop_assert_eq!(table.verify(), Ok(()));
        }
    }
}

#[test]
fn another_incarnation_knows_nothing() {
    let mut table = attempt::Table::new(6, Duration::ZERO, 4);
    let id = attempt::Id { request: uuid::Uuid::nil(), number: 1, incarnation: 5 };
    let (now, later) = (clock::Wall::from_millis(1), clock::Wall::from_millis(9));
    assert_eq!(table.revoke(id, later, now), attempt::Phase::Unknown);
    assert_eq!(table.start(id, later, now), Err(attempt::Refusal::Incarnation));
}
