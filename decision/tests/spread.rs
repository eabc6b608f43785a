//! The search for a set keeps its bounds and comes near an even load.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::placement::spread::{self, Bounds, Demand, Goal, Ranks};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOAL: Goal = Goal { target_peak: 1.05, min_gain: 0.01 };

/// Ranks that are all as fast as usual.
fn usual(load: &[f64]) -> Demand<'_> {
    Demand { load, slowness: &[] }
}

fn peak(ranks: &Ranks, load: &[f64]) -> f64 {
    spread::peak(ranks, usual(load))
}

fn spread(before: &Ranks, load: &[f64], bounds: Bounds, goal: Goal) -> Option<Ranks> {
    spread::spread(before, usual(load), bounds, goal)
}

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
fn a_slow_rank_is_relieved_of_its_experts() {
    let load: Vec<f64> = (0..64).map(|expert| 1.0 + f64::from(expert % 7)).collect();
    let bounds = Bounds { placements: 5, spare: 2 };
    let mut slowness = [1.0; 16];
    slowness[3] = 12.0;
    let demand = Demand { load: &load, slowness: &slowness };
    let mut ranks = dealt(16, 64);
    let before = spread::peak(&ranks, demand);
    let after = spread::spread(&ranks, demand, bounds, GOAL).unwrap();
    check(&ranks, &after, 64, bounds);
    ranks = after;
    assert!(before > 10.0, "{before}");
    assert!(spread::peak(&ranks, demand) < 1.5, "{}", spread::peak(&ranks, demand));
    assert!(ranks[3].iter().map(|expert| load[usize::from(*expert)]).sum::<f64>() < 2.0);
}

#[test]
fn copies_leave_a_rank_that_turned_slow() {
    // Every expert is held twice; one rank turns slow.
    let load = [10.0; 8];
    let ranks: Ranks = (0..4).map(|r| (0..4).map(|n| ((r * 2 + n) % 8) as u16).collect()).collect();
    let demand = Demand { load: &load, slowness: &[8.0, 1.0, 1.0, 1.0] };
    let bounds = Bounds { placements: 4, spare: 0 };
    let after = spread::spread(&ranks, demand, bounds, GOAL).unwrap();
    check(&ranks, &after, 8, bounds);
    assert!(after[0].is_empty(), "{after:?}");
}

#[test]
fn no_load_and_an_even_load_are_left_alone() {
    let before = dealt(4, 8);
    let bounds = Bounds { placements: 3, spare: 1 };
    assert_eq!(spread(&before, &[0.0; 8], bounds, GOAL), None);
    assert_eq!(spread(&before, &[1.0; 8], bounds, GOAL), None);
}
