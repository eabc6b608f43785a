//! A map is told by its difference from one that is held, and by nothing else.

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
    fn any_map_is_made_of_any_other(base in map(), map in map()) {
        let bytes = difference::encode(&base, &map).unwrap();
        let made = difference::apply(&base, &bytes, difference::digest(&map)).unwrap();
        prop_assert_eq!(made, canonical(&map));
    }

    #[test]
    fn another_base_is_noticed(base in map(), other in map(), map in map()) {
        prop_assume!(canonical(&base) != canonical(&other));
        let bytes = difference::encode(&base, &map).unwrap();
        if let Ok(made) = difference::apply(&other, &bytes, difference::digest(&map)) {
            prop_assert_eq!(made, canonical(&map));
        }
    }

    #[test]
    fn any_bytes_end_in_a_map_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200), base in map()) {
        let made = difference::apply(&base, &bytes, 1);
        prop_assert!(made.is_err());
    }

    #[test]
    fn what_is_cut_off_or_changed_is_an_error(base in map(), map in map(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let digest = difference::digest(&map);
        let bytes = difference::encode(&base, &map).unwrap();
        let cut = at.index(bytes.len());
        prop_assert!(difference::apply(&base, &bytes[..cut], digest).is_err());
        let mut changed = bytes.clone();
        changed[cut] ^= 1 << bit;
        if let Ok(made) = difference::apply(&base, &changed, digest) {
            // Bits that fill the last byte mean nothing.
            prop_assert_eq!(made, canonical(&map));
        }
        let mut longer = bytes;
        longer.push(0);
        prop_assert_eq!(difference::apply(&base, &longer, digest), Err(difference::Error::Length));
    }
}

#[test]
fn experts_are_dealt_out_in_turn() {
    assert_eq!(difference::round_robin(1, 5, 2), vec![vec![vec![0, 2, 4], vec![1, 3]]]);
}

#[test]
fn maps_of_another_shape_have_no_difference() {
    let base = difference::round_robin(2, 8, 4);
    assert_eq!(difference::encode(&base, &difference::round_robin(2, 8, 2)), None);
    assert_eq!(difference::encode(&base, &difference::round_robin(1, 8, 4)), None);
}

/// Bytes of a difference by the experts that come, for the largest groups.
#[test]
fn bytes_follow_the_change_and_not_the_map() {
    for ranks in [16, 192, 1_024] {
        let base = difference::round_robin(10, 2 * ranks, ranks);
        let mut map = base.clone();
        // A hundred experts come in the place of others.
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
    // The first change of a large group gives most ranks another expert.
    let (sets, ranks) = (10, 192);
    let base = difference::round_robin(sets, 2 * ranks, ranks);
    let mut map = base.clone();
    for (set, rank) in (0..sets).flat_map(|set| (0..ranks).map(move |rank| (set, rank))) {
        map[set][rank].push(((rank * 5 + set + 1) % (2 * ranks)) as u16);
    }
    let bytes = difference::encode(&base, &map).unwrap();
    assert!(bytes.len() < 4_000, "{} bytes", bytes.len());
}
