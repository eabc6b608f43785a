//! Evaluation of the evidence: which digests are refused, and on which ground.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock;
use crate::poison::{Digest, End, Ground};

/// Numbers of ends at which a digest is refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Thresholds {
    /// If one of the ends proves that it is the cause.
    pub(super) proven: u32,
    /// If no other one was on as many, whichever others were on these servers.
    pub(super) leading: u32,
    /// In any case.
    pub(super) certain: u32,
}

pub(super) const REQUEST_THRESHOLDS: Thresholds = Thresholds { proven: 2, leading: 3, certain: 4 };
/// A refused part affects all requests that share it, so that two ends are not enough.
pub(super) const PART_THRESHOLDS: Thresholds = Thresholds { proven: 3, leading: 3, certain: 4 };
/// Time for which a request is deferred while it is undecided whether it or another
/// request ended a server. The clients of the other requests retry within this time.
const UNDECIDED_TIME: Duration = Duration::from_millis(1_500);

pub(super) fn count(ends: &[&End]) -> BTreeMap<Digest, u32> {
    let mut counts = BTreeMap::new();
    for digest in ends.iter().flat_map(|end| end.suspects()) {
        *counts.entry(digest).or_insert(0) += 1;
    }
    counts
}

pub(super) fn single<T>(mut all: impl Iterator<Item = T>) -> Option<T> {
    all.next().filter(|_| all.next().is_none())
}

/// Returns the strongest ground that applies to any request, with the requests that it
/// refuses.
pub(super) fn guilty(
    ends: &[&End],
    counts: &BTreeMap<Digest, u32>,
    thresholds: Thresholds,
    now: clock::Instant,
) -> Option<(Ground, BTreeSet<Digest>)> {
    let settled: Vec<&End> = ends.iter().copied().filter(|end| end.settled(now)).collect();
    let proven = |of: fn(&End) -> Option<Digest>| -> BTreeSet<Digest> {
        let found = settled.iter().filter_map(|end| of(end));
        found.filter(|digest| counts[digest] >= thresholds.proven).collect()
    };
    // An `Alone` mark is weak evidence by itself, as other gateways may still report suspects
    // on that server. It counts only if the request is also the only suspect there.
    let sure = |end: &End| end.alone().filter(|digest| end.sole() == Some(*digest));
    let grounds = [
        (Ground::OnlyRequestOnTrial, proven(sure)),
        (Ground::OnlyRequest, proven(End::sole)),
        (Ground::Count, leaders(&count(&settled), thresholds)),
    ];
    grounds.into_iter().find(|(_, guilty)| !guilty.is_empty())
}

/// Returns the time until which each request is deferred that was the only earlier suspect
/// on a server that ended, beside requests not suspected before. One of those may have
/// ended the server.
pub(super) fn undecided(
    ends: &[&End],
    counts: &BTreeMap<Digest, u32>,
    thresholds: Thresholds,
) -> BTreeMap<Digest, clock::Instant> {
    let mut until = BTreeMap::new();
    for end in ends {
        let Some(digest) = end.alone().filter(|digest| counts[digest] >= thresholds.proven) else {
            continue;
        };
        let at = until.entry(digest).or_insert(end.at);
        *at = end.at.max(*at);
    }
    until.values_mut().for_each(|at| *at = *at + UNDECIDED_TIME);
    until
}

/// Returns the requests with the most ends, if that number suffices without other proof.
/// Requests that were on the same servers cannot be distinguished until one of them ends a
/// server without the other.
fn leaders(counts: &BTreeMap<Digest, u32>, thresholds: Thresholds) -> BTreeSet<Digest> {
    let most = counts.values().max().copied().unwrap_or(0);
    let leaders: BTreeSet<Digest> =
        counts.iter().filter(|(_, ends)| **ends == most).map(|(digest, _)| *digest).collect();
    let enough = most >= thresholds.certain || most >= thresholds.leading && leaders.len() == 1;
    if enough { leaders } else { BTreeSet::new() }
}
