//! Tests that the search for a set respects its bounds and balances the load.
//!
//! They guard against placements that exceed the memory of a rank, lose an expert, or leave load
//! on an overloaded or slow rank.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::placement::spread::{self, Bounds, Demand, Goal, Ranks};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOAL: Goal = Goal { target_peak: 1.05, min_gain: 0.01 };

/// Returns the demand of ranks that all have the usual speed.
fn usual(load: &[f64]) -> Demand<'_> {
    Demand { load, slowness: &[] }
}

fn peak(ranks: &Ranks, load: &[f64]) -> f64 {
    spread::peak(ranks, usual(load))
}

fn spread(before: &Ranks, load: &[f64], bounds: Bounds, goal: Goal) -> Option<Ranks> {
    spread::spread(before, usual(load), bounds, goal)
}

/// Returns the experts assigned round-robin.
fn round_robin(ranks: usize, experts: usize) -> Ranks {
    (0..ranks).map(|rank| (rank..experts).step_by(ranks).map(|e| e as u16).collect()).collect()
}

fn check(before: &Ranks, after: &Ranks, experts: usize, bounds: Bounds) {
    for (old, new) in before.iter().zip(after) {
        assert!(new.len() <= bounds.placements, "{new:?}");
        let added = new.iter().filter(|expert| !old.contains(expert)).count();
        assert!(added <= bounds.spare, "{old:?} -> {new:?}");
        let mut sorted = new.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted.len(), new.len(), "a rank holds an expert twice");
    }
    let held = |expert: u16| after.iter().any(|rank| rank.contains(&expert));
    assert!((0..experts as u16).all(held), "no rank holds an expert");
}

#[test]
fn respects_the_bounds_for_any_load() {
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
            let before = round_robin(ranks, experts);
            if let Some(after) = spread(&before, &load, bounds, GOAL) {
                check(&before, &after, experts, bounds);
                prop_assert!(peak(&after, &load) <= peak(&before, &load));
                // A second change starts from the result of the first.
                if let Some(second) = spread(&after, &load, bounds, GOAL) {
                    check(&after, &second, experts, bounds);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn balances_a_power_law_in_one_change() {
    let load: Vec<f64> = (0..64).map(|expert| 1.0 / f64::from(expert + 1).powf(0.8)).collect();
    let before = round_robin(16, 64);
    let after = spread(&before, &load, Bounds { placements: 5, spare: 2 }, GOAL).unwrap();
    assert!(peak(&before, &load) > 2.0, "{}", peak(&before, &load));
    assert!(peak(&after, &load) < 1.15, "{}", peak(&after, &load));
}

#[test]
fn relieves_a_slow_rank() {
    let load: Vec<f64> = (0..64).map(|expert| 1.0 + f64::from(expert % 7)).collect();
    let bounds = Bounds { placements: 5, spare: 2 };
    let mut slowness = [1.0; 16];
    slowness[3] = 12.0;
    let demand = Demand { load: &load, slowness: &slowness };
    let mut ranks = round_robin(16, 64);
    let before = spread::peak(&ranks, demand);
    let after = spread::spread(&ranks, demand, bounds, GOAL).unwrap();
    check(&ranks, &after, 64, bounds);
    ranks = after;
    assert!(before > 10.0, "{before}");
    assert!(spread::peak(&ranks, demand) < 1.5, "{}", spread::peak(&ranks, demand));
    assert!(ranks[3].iter().map(|expert| load[usize::from(*expert)]).sum::<f64>() < 2.0);
}

#[test]
fn removes_copies_from_a_rank_that_became_slow() {
    // Every expert has two copies; one rank becomes slow.
    let load = [10.0; 8];
    let ranks: Ranks = (0..4).map(|r| (0..4).map(|n| ((r * 2 + n) % 8) as u16).collect()).collect();
    let demand = Demand { load: &load, slowness: &[8.0, 1.0, 1.0, 1.0] };
    let bounds = Bounds { placements: 4, spare: 0 };
    let after = spread::spread(&ranks, demand, bounds, GOAL).unwrap();
    check(&ranks, &after, 8, bounds);
    assert!(after[0].is_empty(), "{after:?}");
}

#[test]
fn makes_no_change_without_load_or_with_a_balanced_load() {
    let before = round_robin(4, 8);
    let bounds = Bounds { placements: 3, spare: 1 };
    assert_eq!(spread(&before, &[0.0; 8], bounds, GOAL), None);
    assert_eq!(spread(&before, &[1.0; 8], bounds, GOAL), None);
}
