//! Versions of expert maps.
//!
//! A version tells the term of the driver that made the map, and the rank of
//! that driver's own engine. So no two drivers ever use the same version, and
//! whoever takes over knows which rank was to be armed last.

/// Maps that one term may make; a driver that has made so many gives up its
/// term and stands for another.
pub const MAPS_PER_TERM: u64 = 1 << 12;

/// The version of a term's map with that number, below [`MAPS_PER_TERM`], made
/// by the driver beside a rank of a group of so many. Later terms and numbers
/// have higher versions.
pub fn encode(term: u64, number: u64, rank: usize, ranks: usize) -> u64 {
    debug_assert!(number < MAPS_PER_TERM, "the term has made too many maps");
    debug_assert!(rank < ranks, "the rank belongs to the group");
    (term * MAPS_PER_TERM + number) * ranks as u64 + rank as u64
}

/// Rank of the driver that made a version, in a group of so many ranks.
pub fn driver(version: u64, ranks: usize) -> usize {
    (version % ranks.max(1) as u64) as usize
}
