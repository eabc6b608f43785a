//! Placement of streams on the ranks of a lock-step group whose ranks differ in speed.
//!
//! All ranks of a group wait for the slowest one in each pass. The own part of a rank takes its
//! slowness times the published cost of its streams, and no time if the rank has no stream. Ranks
//! are filled up to a common level, a time at which their own parts end together ("water
//! filling"). A rank that would exceed the level with a single stream gets none.
//!
//! One rank that was 4 times slower than the others, and was sent as many streams as any other,
//! doubled the time of each pass of its group.

use crate::pass;

/// Slowness from which a rank counts as slow. The driver reports smaller values as usual.
pub const MIN_SLOWNESS: f64 = 1.2;
/// Slowness above which the placement makes no difference: such a rank gets streams only when all
/// others are full. The bound keeps the search for the level exact.
const MAX_SLOWNESS: f64 = 1_000.0;
/// Iterations of the search for the level. Each one halves the interval, so that the result is
/// exact to the precision of the type.
const ITERATIONS: u32 = 64;

/// A group, as far as the placement depends on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// Published cost of a pass.
    pub cost: pass::Cost,
    /// Number of ranks that are not slow.
    pub usual: u32,
    /// Maximum number of concurrent streams of a rank.
    pub slots: u32,
    /// Number of streams of the whole group, at all gateways together.
    pub streams: f64,
}

/// Numbers of streams that the ranks of a group should have. They add up to the number of streams
/// of the group, or to all slots if there are more streams than slots.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Targets {
    /// Target of each rank that is not slow. It is zero if there is no such rank.
    pub usual: f64,
    /// Targets of the slow ranks, in the order in which they were passed.
    pub slow: Vec<f64>,
}

impl Targets {
    /// Computes the targets of a group. `slow` has the slowness of each slow rank.
    pub fn new(view: &View, slow: &[f64]) -> Targets {
        let slots = f64::from(view.slots.max(1));
        let slow: Vec<f64> = slow.iter().map(|slowness| slowness.min(MAX_SLOWNESS)).collect();
        let at = |level: f64| {
            let fill = |slowness: f64| {
                let streams = view.cost.streams(level / slowness);
                if streams < 1.0 { 0.0 } else { streams.min(slots) }
            };
            let usual = if view.usual == 0 { 0.0 } else { fill(1.0) };
            Targets { usual, slow: slow.iter().map(|slowness| fill(*slowness)).collect() }
        };
        let total = |targets: &Targets| {
            f64::from(view.usual) * targets.usual + targets.slow.iter().sum::<f64>()
        };
        // With less than one stream, the targets would all be zero.
        let streams = view.streams.max(1.0);
        let slowest = slow.iter().copied().fold(1.0, f64::max);
        // The margin covers the rounding of the inverse of the cost.
        let (mut low, mut high) = (0.0, slowest * view.cost.time(slots) * (1.0 + 1e-9));
        let full = at(high);
        if total(&full) <= streams {
            return full;
        }
        for _ in 0..ITERATIONS {
            let middle = (low + high) / 2.0;
            if total(&at(middle)) < streams { low = middle } else { high = middle }
        }
        // The number of streams jumps at the level at which ranks take their first one. Ranks that
        // jump share the streams that the others leave.
        let (below, above) = (at(low), at(high));
        let (less, more) = (total(&below), total(&above));
        let part = if more > less { (streams - less) / (more - less) } else { 0.0 };
        let between = |below: f64, above: f64| below + part * (above - below);
        let slow = below.slow.iter().zip(&above.slow).map(|(low, high)| between(*low, *high));
        Targets { usual: between(below.usual, above.usual), slow: slow.collect() }
    }

    /// Returns the weights of the slow ranks, from 0 to 1. The weight of all other ranks is 1,
    /// because their target is the highest. If all ranks are slow, the weights are relative to
    /// the highest target.
    pub fn weights(&self) -> impl Iterator<Item = f64> {
        let highest = self.slow.iter().copied().fold(self.usual, f64::max);
        self.slow.iter().map(move |target| if highest > 0.0 { target / highest } else { 1.0 })
    }
}

/// Returns the time of the own part of a rank with that many streams, seconds.
pub fn own_part(cost: &pass::Cost, slowness: f64, streams: f64) -> f64 {
    // An estimate below half a stream counts as none.
    if streams < 0.5 { 0.0 } else { slowness * cost.time(streams.max(1.0)) }
}
