//! Tests of the difference encoding of maps.
//!
//! They guard against a rank that builds a wrong map from a difference: because it has another
//! base, or because the message is truncated or corrupted.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::map::difference::{self, Map, canonical};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETS: usize = 3;
const EXPERTS: usize = 24;
const RANKS: usize = 8;

fn map() -> impl Strategy<Value = Map> {
    let list = proptest::collection::btree_set(0..EXPERTS as u16, 1..6)
        .prop_map(|experts| experts.into_iter().collect::<Vec<u16>>())
        .prop_shuffle();
    let ranks = proptest::collection::vec(list, RANKS);
    proptest::collection::vec(ranks, SETS)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn reconstructs_any_map_from_any_base(base in map(), map in map()) {
        let bytes = difference::encode(&base, &map).unwrap();
        let result = difference::apply(&base, &bytes, difference::digest(&map)).unwrap();
        prop_assert_eq!(result, canonical(&map));
    }

    #[test]
    fn a_different_base_never_gives_a_wrong_map(base in map(), other in map(), map in map()) {
        prop_assume!(canonical(&base) != canonical(&other));
        let bytes = difference::encode(&base, &map).unwrap();
        if let Ok(result) = difference::apply(&other, &bytes, difference::digest(&map)) {
            prop_assert_eq!(result, canonical(&map));
        }
    }

    #[test]
    fn rejects_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200), base in map()) {
        let result = difference::apply(&base, &bytes, 1);
        prop_assert!(result.is_err());
    }

    #[test]
    fn rejects_truncated_or_corrupted_differences(base in map(), map in map(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let digest = difference::digest(&map);
        let bytes = difference::encode(&base, &map).unwrap();
        let cut = at.index(bytes.len());
        prop_assert!(difference::apply(&base, &bytes[..cut], digest).is_err());
        let mut changed = bytes.clone();
        changed[cut] ^= 1 << bit;
        if let Ok(result) = difference::apply(&base, &changed, digest) {
            // Padding bits of the last byte are ignored.
            prop_assert_eq!(result, canonical(&map));
        }
        let mut longer = bytes;
        longer.push(0);
        prop_assert_eq!(difference::apply(&base, &longer, digest), Err(difference::Error::Length));
    }
}

#[test]
fn initial_map_is_round_robin() {
    assert_eq!(difference::round_robin(1, 5, 2), vec![vec![vec![0, 2, 4], vec![1, 3]]]);
}

#[test]
fn encodes_no_difference_between_maps_of_different_shapes() {
    let base = difference::round_robin(2, 8, 4);
    assert_eq!(difference::encode(&base, &difference::round_robin(2, 8, 2)), None);
    assert_eq!(difference::encode(&base, &difference::round_robin(1, 8, 4)), None);
}

/// The size of a difference depends on the number of added experts, also in the largest groups.
#[test]
fn size_depends_on_the_change_and_not_on_the_map() {
    for ranks in [16, 192, 1_024] {
        let base = difference::round_robin(10, 2 * ranks, ranks);
        let mut map = base.clone();
        // A hundred experts replace others.
        for number in 0..100 {
            let (set, rank) = (number % 10, number * 7 % ranks);
            let list = &mut map[set][rank];
            list.remove(0);
            let expert = (rank + number + 1) % (2 * ranks);
            list.push(expert as u16);
        }
        let bytes = difference::encode(&base, &map).unwrap();
        assert!(bytes.len() < 450, "{} bytes at {ranks} ranks", bytes.len());
    }
    // The first change of a large group adds an expert to most ranks.
    let (sets, ranks) = (10, 192);
    let base = difference::round_robin(sets, 2 * ranks, ranks);
    let mut map = base.clone();
    for (set, rank) in (0..sets).flat_map(|set| (0..ranks).map(move |rank| (set, rank))) {
        map[set][rank].push(((rank * 5 + set + 1) % (2 * ranks)) as u16);
    }
    let bytes = difference::encode(&base, &map).unwrap();
    assert!(bytes.len() < 4_000, "{} bytes", bytes.len());
}
