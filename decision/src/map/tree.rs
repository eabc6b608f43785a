//! Partition of the ranks of a group for tree-shaped distribution of messages.
//!
//! A message for all ranks is sent to one rank of each part, which relays it within the part. A
//! large part is split again. So the number of messages that one host sends is bounded by the
//! number of parts, and the depth of the tree grows with the logarithm of the number of ranks. A
//! part never spans two availability zones, so that a large message crosses the boundary between
//! two zones once per part.

use std::collections::BTreeMap;

/// Splits members, given by their zones, into about `parts` parts of similar size, with at least
/// one part per zone. A part lists the indices of its members in ascending order.
pub fn split<Z: Ord>(zones: impl IntoIterator<Item = Z>, parts: usize) -> Vec<Vec<usize>> {
    let mut by_zone: BTreeMap<Z, Vec<usize>> = BTreeMap::new();
    let mut count = 0;
    for (index, zone) in zones.into_iter().enumerate() {
        by_zone.entry(zone).or_default().push(index);
        count += 1;
    }
    let size = usize::div_ceil(count, parts.max(1)).max(1);
    let balanced = |members: Vec<usize>| {
        let parts = members.len().div_ceil(size);
        let size = members.len().div_ceil(parts);
        members.chunks(size).map(<[usize]>::to_vec).collect::<Vec<_>>()
    };
    by_zone.into_values().flat_map(balanced).collect()
}
