//! Splits the ranks of a group into parts, each of which one of its ranks
//! serves for whoever drives the group.
//!
//! What goes to all ranks goes to one of each part first, and from there on, in
//! parts again where a part is large. So what one host sends is bounded by the
//! number of parts, and the levels grow with the logarithm of the ranks. A part
//! never reaches over two availability zones: what is long crosses between two
//! zones once for each part.

use std::collections::BTreeMap;

/// Splits members, given by their zones, into some `parts` of about the same
/// size, and into one for each zone at the least. A part lists places of
/// members, in ascending order.
pub fn split<Z: Ord>(zones: impl IntoIterator<Item = Z>, parts: usize) -> Vec<Vec<usize>> {
    let mut by_zone: BTreeMap<Z, Vec<usize>> = BTreeMap::new();
    let mut count = 0;
    for (place, zone) in zones.into_iter().enumerate() {
        by_zone.entry(zone).or_default().push(place);
        count += 1;
    }
    let size = usize::div_ceil(count, parts.max(1)).max(1);
    let even = |members: Vec<usize>| {
        let parts = members.len().div_ceil(size);
        let size = members.len().div_ceil(parts);
        members.chunks(size).map(<[usize]>::to_vec).collect::<Vec<_>>()
    };
    by_zone.into_values().flat_map(even).collect()
}
