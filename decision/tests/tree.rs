//! Tests the partition of ranks for the distribution of messages.
//!
//! They guard against parts that omit or repeat a rank or span zones, and against too large or too
//! many parts.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::map::tree;

#[test]
fn parts_are_balanced_complete_and_within_one_zone() {
    for (ranks, zones, parts) in [(192, 5, 16), (1_024, 31, 16), (40, 1, 6), (7, 3, 1), (1, 1, 16)]
    {
        let zone = |index: usize| index % zones;
        let split = tree::split((0..ranks).map(zone), parts);
        let mut indices: Vec<usize> = split.iter().flatten().copied().collect();
        indices.sort_unstable();
        assert_eq!(indices, (0..ranks).collect::<Vec<_>>());
        assert!(split.iter().all(|part| part.iter().all(|index| zone(*index) == zone(part[0]))));
        let longest = split.iter().map(Vec::len).max().unwrap();
        assert!(longest <= ranks.div_ceil(parts), "{longest} of {ranks} in a part");
        assert!(split.len() <= parts + zones, "{} parts", split.len());
    }
    assert!(tree::split([0; 0], 3).is_empty());
}
