//! Tests that a planned change copies as many experts as its gain justifies.
//!
//! They guard against plans whose stated copies or duration differ from their map, plans that
//! exceed the bounds, and plans that lengthen passes.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::placement::spread::{self, Bounds, Demand, Goal, Ranks};
use loftcove_decision::placement::stage::{self, Stage, Times};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOAL: Goal = Goal { target_peak: 1.05, min_gain: 0.01 };
const BOUNDS: Bounds = Bounds { placements: 9, spare: 4 };
const RANKS: usize = 12;
const EXPERTS: usize = 96;

fn round_robin() -> Ranks {
    (0..RANKS).map(|rank| (rank..EXPERTS).step_by(RANKS).map(|e| e as u16).collect()).collect()
}

/// Returns loads with a power law; the most popular expert differs from set to set.
fn loads(sets: usize) -> Vec<Vec<f64>> {
    let load = |set: usize| {
        let position = move |expert: usize| (expert + set * 7) % EXPERTS + 1;
        (0..EXPERTS).map(|expert| 1.0 / (position(expert) as f64).powf(1.1)).collect()
    };
    (0..sets).map(load).collect()
}

fn plan(copy_ms: u64, switch_ms: u64, loads: &[Vec<f64>], map: &[Ranks]) -> Stage {
    let demand: Vec<Demand<'_>> = loads.iter().map(|load| Demand { load, slowness: &[] }).collect();
    let times =
        Times { copy: Duration::from_millis(copy_ms), switch: Duration::from_millis(switch_ms) };
    stage::plan(map, &demand, BOUNDS, GOAL, times).unwrap()
}

fn copies_of(before: &[Ranks], after: &[Ranks]) -> Vec<usize> {
    let of_rank = |rank: usize| {
        let sets = before.iter().zip(after);
        let new = sets.map(|(old, new)| {
            new[rank].iter().filter(|expert| !old[rank].contains(expert)).count()
        });
        new.sum()
    };
    (0..RANKS).map(of_rank).collect()
}

#[test]
fn plans_fewer_copies_per_rank_when_copies_are_slow() {
    let loads = loads(3);
    let map = vec![round_robin(); 3];
    let slow = plan(1_000, 200, &loads, &map);
    let fast = plan(10, 200, &loads, &map);
    assert!(slow.copies.1 <= 2, "{}", slow.copies.1);
    assert!(fast.copies.1 > slow.copies.1, "{} {}", fast.copies.1, slow.copies.1);
    assert!(fast.peak.1 < slow.peak.1);
}

#[test]
fn reported_copies_match_the_planned_map() {
    let loads = loads(3);
    let map = vec![round_robin(); 3];
    for copy_ms in [1, 50, 400] {
        let stage = plan(copy_ms, 300, &loads, &map);
        let copies = copies_of(&map, &stage.map);
        assert_eq!(stage.copies.0, copies.iter().sum::<usize>());
        assert_eq!(stage.copies.1, copies.iter().copied().max().unwrap());
        assert!(stage.gain() > 0.0);
        let time = Duration::from_millis(300 + copy_ms * stage.copies.1 as u64);
        assert_eq!(stage.time, time);
    }
}

#[test]
fn successive_changes_reach_the_peak_of_one_large_change() {
    let loads = loads(3);
    let mut map = vec![round_robin(); 3];
    let mean = |map: &[Ranks]| {
        let peaks = map.iter().zip(&loads);
        let peaks = peaks.map(|(ranks, load)| spread::peak(ranks, Demand { load, slowness: &[] }));
        peaks.sum::<f64>() / 3.0
    };
    let large = plan(0, 300, &loads, &map);
    for _ in 0..12 {
        let demand: Vec<Demand<'_>> =
            loads.iter().map(|load| Demand { load, slowness: &[] }).collect();
        let times = Times { copy: Duration::from_millis(400), switch: Duration::from_millis(200) };
        match stage::plan(&map, &demand, BOUNDS, GOAL, times) {
            Some(stage) => map = stage.map,
            None => break,
        }
    }
    assert!(mean(&map) < large.peak.1 + 0.15, "{} {}", mean(&map), large.peak.1);
}

#[test]
fn respects_the_bounds_and_never_lengthens_passes() {
    let config = ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let load = prop::collection::vec(0.0_f64..1_000.0, EXPERTS);
    let strategy = (prop::collection::vec(load, 3), 1_u64..2_000);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    runner
        .run(&strategy, |(loads, copy_ms)| {
            let mut map = vec![round_robin(); 3];
            for _ in 0..3 {
                let demand: Vec<Demand<'_>> =
                    loads.iter().map(|load| Demand { load, slowness: &[] }).collect();
                let times = Times {
                    copy: Duration::from_millis(copy_ms),
                    switch: Duration::from_millis(300),
                };
                let Some(stage) = stage::plan(&map, &demand, BOUNDS, GOAL, times) else { break };
                let copies = copies_of(&map, &stage.map);
                prop_assert_eq!(stage.copies.1, copies.iter().copied().max().unwrap_or(0));
                prop_assert!(stage.peak.1 <= stage.peak.0);
                for (old, new) in map.iter().flatten().zip(stage.map.iter().flatten()) {
                    prop_assert!(new.len() <= BOUNDS.placements);
                    let added = new.iter().filter(|expert| !old.contains(expert)).count();
                    prop_assert!(added <= BOUNDS.spare);
                }
                for set in &stage.map {
                    let held = |expert: u16| set.iter().any(|rank| rank.contains(&expert));
                    prop_assert!((0..EXPERTS as u16).all(held));
                }
                map = stage.map;
            }
            Ok(())
        })
        .unwrap();
}
