//! The search for a set keeps its bounds and comes near an even load.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::placement::spread::{Bounds, Goal, Ranks, peak, spread};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOAL: Goal = Goal { even: 1.05, least_gain: 0.01 };

/// Experts dealt out in turn.
fn dealt(ranks: usize, experts: usize) -> Ranks {
    (0..ranks).map(|rank| (rank..experts).step_by(ranks).map(|e| e as u16).collect()).collect()
}

fn check(before: &Ranks, after: &Ranks, experts: usize, bounds: Bounds) {
    for (old, new) in before.iter().zip(after) {
        assert!(new.len() <= bounds.placements, "{new:?}");
        let taken = new.iter().filter(|expert| !old.contains(expert)).count();
        assert!(taken <= bounds.spare, "{old:?} -> {new:?}");
        let mut sorted = new.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted.len(), new.len(), "an expert twice on a rank");
    }
    let held = |expert: u16| after.iter().any(|rank| rank.contains(&expert));
    assert!((0..experts as u16).all(held), "an expert on no rank");
}

#[test]
fn bounds_hold_for_any_load() {
    let config = ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let shapes = prop_oneof![Just((4, 8, 3, 1)), Just((16, 64, 5, 2)), Just((12, 36, 4, 2))];
    let strategy = shapes
        .prop_flat_map(|shape| (Just(shape), prop::collection::vec(0.0_f64..1_000.0, shape.1)));
    let mut runner = proptest::test_runner::TestRunner::new(config);
    runner
        .run(&strategy, |((ranks, experts, placements, spare), load)| {
            let bounds = Bounds { placements, spare };
            let before = dealt(ranks, experts);
            if let Some(after) = spread(&before, &load, bounds, GOAL) {
                check(&before, &after, experts, bounds);
                prop_assert!(peak(&after, &load) <= peak(&before, &load));
                // A second change goes on from the first.
                if let Some(third) = spread(&after, &load, bounds, GOAL) {
                    check(&after, &third, experts, bounds);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_power_law_is_spread_in_one_change() {
    let load: Vec<f64> = (0..64).map(|expert| 1.0 / f64::from(expert + 1).powf(0.8)).collect();
    let before = dealt(16, 64);
    let after = spread(&before, &load, Bounds { placements: 5, spare: 2 }, GOAL).unwrap();
    assert!(peak(&before, &load) > 2.0, "{}", peak(&before, &load));
    assert!(peak(&after, &load) < 1.15, "{}", peak(&after, &load));
}

#[test]
fn no_load_and_an_even_load_are_left_alone() {
    let before = dealt(4, 8);
    let bounds = Bounds { placements: 3, spare: 1 };
    assert_eq!(spread(&before, &[0.0; 8], bounds, GOAL), None);
    assert_eq!(spread(&before, &[1.0; 8], bounds, GOAL), None);
}
