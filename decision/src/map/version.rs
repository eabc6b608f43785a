//! Versions of expert maps.
//!
//! A version encodes the term of the driver that made the map, a number within that term, and the
//! rank of the engine beside that driver. So no two drivers use the same version, and a driver
//! that takes over can derive which rank was to be armed last.

/// Number of maps that a driver can make in one term. A driver that reaches it resigns and stands
/// for election in a new term.
pub const MAPS_PER_TERM: u64 = 1 << 12;

/// Returns the version of map `number` of a term, made by the driver beside `rank` in a group of
/// `ranks`. `number` is below [`MAPS_PER_TERM`]. Later terms and numbers give higher versions.
pub fn encode(term: u64, number: u64, rank: usize, ranks: usize) -> u64 {
    debug_assert!(number < MAPS_PER_TERM, "map number exceeds the limit of a term");
    debug_assert!(rank < ranks, "rank is outside of the group");
    (term * MAPS_PER_TERM + number) * ranks as u64 + rank as u64
}

/// Returns the rank of the driver that made a version, in a group of `ranks`.
pub fn driver(version: u64, ranks: usize) -> usize {
    (version % ranks.max(1) as u64) as usize
}
