//! Versions of expert maps.
//!
//! A version encodes the term of the driver that made the map, a number within that term, and a
//! rank. So no two drivers use the same version, and a driver that takes over can derive in which
//! order the ranks were to be armed.
//!
//! Earlier releases number the maps of a term from 1 and use every number. Number 0 therefore
//! shows [`Arming::Staged`], which they do not know. They take the rank of a version for the one
//! that is armed last, and so does a staged version name that rank.

/// Number of maps that a driver can make in one term. A driver that reaches it resigns and stands
/// for election in a new term.
pub const MAPS_PER_TERM: u64 = 1 << 12;

/// Fewest ranks of a group that is armed in stages: a smaller one has only the holder and the
/// driver's own rank, and both orders are the same.
const MIN_STAGED_RANKS: usize = 3;

/// Fewest ranks of a staged group that has a marker: the driver's own rank, the holder, the marker
/// and the last one differ.
const MIN_MARKED_RANKS: usize = 4;

/// Order in which the ranks of a group are armed. Ranks of the same stage are armed at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Arming {
    /// All ranks but the driver's own, then the driver's own.
    OwnLast,
    /// The marker, the holder, the driver's own rank, the others but one, and the last one.
    Staged,
}

/// Returns the version of map `number` of a term, made by the driver beside `rank` in a group of
/// `ranks`. `number` is below [`MAPS_PER_TERM`]. Later terms and numbers give higher versions.
/// Number 0 selects [`Arming::Staged`], unless the group is too small for it.
pub fn encode(term: u64, number: u64, rank: usize, ranks: usize) -> u64 {
    debug_assert!(number < MAPS_PER_TERM, "map number exceeds the limit of a term");
    debug_assert!(rank < ranks, "rank is outside of the group");
    let version = |rank: usize| (term * MAPS_PER_TERM + number) * ranks as u64 + rank as u64;
    match arming(version(rank), ranks) {
        Arming::OwnLast => version(rank),
        Arming::Staged => version((rank + ranks - 1) % ranks),
    }
}

/// Returns the order in which the driver that made a version arms the ranks of a group of `ranks`.
pub fn arming(version: u64, ranks: usize) -> Arming {
    let number = version / ranks.max(1) as u64 % MAPS_PER_TERM;
    if number == 0 && ranks >= MIN_STAGED_RANKS { Arming::Staged } else { Arming::OwnLast }
}

/// Returns the rank that is armed after all others, in a group of `ranks`. All releases derive it
/// in the same way.
pub fn armed_last(version: u64, ranks: usize) -> usize {
    (version % ranks.max(1) as u64) as usize
}

/// Returns the rank of the driver that made a version, in a group of `ranks`.
pub fn driver(version: u64, ranks: usize) -> usize {
    match arming(version, ranks) {
        Arming::OwnLast => armed_last(version, ranks),
        Arming::Staged => (armed_last(version, ranks) + 1) % ranks,
    }
}

/// Returns the rank that holds the group within the change to a version, in a group of `ranks`. It
/// is not the driver's own rank, unless that is the only one.
pub fn holder(version: u64, ranks: usize) -> usize {
    (driver(version, ranks) + 1) % ranks.max(1)
}

/// Returns the rank that is armed before the holder and holds the group too, in a group of `ranks`,
/// or `None` if the group is too small or armed in the earlier order.
pub fn marker(version: u64, ranks: usize) -> Option<usize> {
    let marked = arming(version, ranks) == Arming::Staged && ranks >= MIN_MARKED_RANKS;
    marked.then(|| (holder(version, ranks) + 1) % ranks)
}

/// Returns whether a rank holds the group within the change to a version: the holder or the marker.
pub fn is_holder(version: u64, ranks: usize, rank: usize) -> bool {
    rank == holder(version, ranks) || Some(rank) == marker(version, ranks)
}

/// Returns whether a rank may be armed only while it holds the group: the holder and the marker of a
/// staged change. A successor that undoes the change releases both, and a late order to arm one of
/// them, from a driver whose host resumes, must not take effect before the pass begins. Orders to
/// arm or disarm such a rank state the count of accepted orders from every host.
pub fn is_armed_held(version: u64, ranks: usize, rank: usize) -> bool {
    arming(version, ranks) == Arming::Staged && is_holder(version, ranks, rank)
}

/// Returns the stage in which a rank is armed. Stages of a higher number follow those of a lower
/// one.
pub fn stage(version: u64, ranks: usize, rank: usize) -> u8 {
    let staged = arming(version, ranks) == Arming::Staged;
    match rank {
        _ if rank == armed_last(version, ranks) => 4,
        _ if Some(rank) == marker(version, ranks) => 0,
        _ if staged && rank == holder(version, ranks) => 1,
        _ if staged && rank == driver(version, ranks) => 2,
        _ => 3,
    }
}
