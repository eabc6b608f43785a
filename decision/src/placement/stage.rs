//! Extent of a single change of a group's map.
//!
//! All ranks wait for the rank that copies most experts, and in the meantime the group runs with
//! the old map, and more slowly because of the copying. So the search first allows few copies per
//! rank and then more, over all sets together, and assigns each copy to the set with the longest
//! time. It selects the change that shortens passes most in relation to its duration. Further
//! moves are left to the next change, which is planned for the demand at that time.

use std::time::Duration;

use crate::placement::spread::{Bounds, Demand, Goal, Ranks, Search};

/// Durations of the parts of a change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Time that a rank needs to copy one expert.
    pub copy: Duration,
    /// Time of a change in addition to its copies.
    pub switch: Duration,
}

/// Planned change of the map of all sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Stage {
    /// Map after the change.
    pub map: Vec<Ranks>,
    /// Ratio of the time of the slowest rank to the least possible time, as a mean over the sets,
    /// before and after the change.
    pub peak: (f64, f64),
    /// Number of experts that all ranks copy, and that of the rank that copies most.
    pub copies: (usize, usize),
    /// Duration of the change.
    pub time: Duration,
}

impl Stage {
    /// Returns by how much the change shortens passes, as a fraction of the least possible time of
    /// the work of the experts.
    pub fn gain(&self) -> f64 {
        self.peak.0 - self.peak.1
    }

    /// Returns the gain per second of the duration of the change.
    fn rate(&self) -> f64 {
        self.gain() / self.time.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Numbers of copies per rank that are tried in turn.
const DEPTHS: [usize; 12] = [0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48];
/// Fraction of the best rate below which the rate of a deeper change ends the search, since gains
/// diminish with depth.
const MIN_RATE_RATIO: f64 = 0.6;

/// Returns the change of a map with the greatest gain for its duration under the `demand` of each
/// set, or `None` if no change has a gain.
pub fn plan(
    map: &[Ranks],
    demand: &[Demand<'_>],
    bounds: Bounds,
    goal: Goal,
    times: Times,
) -> Option<Stage> {
    let ranks = map.first()?.len();
    let pairs = map.iter().zip(demand);
    let mut searches: Vec<Search<'_>> =
        pairs.map(|(ranks, demand)| Search::new(ranks, *demand, bounds)).collect();
    let before = mean_peak(&searches);
    let mut room = vec![0; ranks];
    let mut granted = 0;
    let mut best: Option<Stage> = None;
    for depth in DEPTHS {
        room.iter_mut().for_each(|room| *room += depth - granted);
        granted = depth;
        advance(&mut searches, goal, &mut room);
        let deepest = room.iter().map(|room| depth - room.min(&depth)).max().unwrap_or(0);
        let copies = room.iter().map(|room| depth - room.min(&depth)).sum();
        let stage = Stage {
            map: searches.iter().map(|search| search.ranks().clone()).collect(),
            peak: (before, mean_peak(&searches)),
            copies: (copies, deepest),
            time: times.switch + times.copy * deepest as u32,
        };
        let rate = best.as_ref().map_or(0.0, Stage::rate);
        if stage.rate() > rate {
            best = Some(stage);
        } else if stage.rate() < rate * MIN_RATE_RATIO || deepest < depth {
            break;
        }
    }
    best
}

fn mean_peak(searches: &[Search<'_>]) -> f64 {
    let sum: f64 = searches.iter().map(Search::peak).sum();
    sum / searches.len().max(1) as f64
}

/// Advances the searches, always the one with the highest peak, until all reach the target or no
/// change has enough gain.
fn advance(searches: &mut [Search<'_>], goal: Goal, room: &mut [usize]) {
    // The peaks are cached: a change affects only the peak of its own set.
    let mut open: Vec<(usize, f64)> = searches
        .iter()
        .map(Search::peak)
        .enumerate()
        .filter(|(_, peak)| *peak > goal.target_peak)
        .collect();
    while let Some(index) = (0..open.len()).max_by(|a, b| open[*a].1.total_cmp(&open[*b].1)) {
        let set = open[index].0;
        let advanced = searches[set].advance(goal.min_gain, room);
        open[index].1 = searches[set].peak();
        if !advanced || open[index].1 <= goal.target_peak {
            open.remove(index);
        }
    }
}
