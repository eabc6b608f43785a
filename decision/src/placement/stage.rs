//! How much of a change of a group's map to make at once.
//!
//! All ranks wait for the one that copies most, and meanwhile the group runs on
//! the old map, and slower. So a change is searched for with few copies a rank
//! first, then with more, over all sets together, each copy going where passes
//! are longest. Taken is what shortens passes most for the time it takes; the
//! rest follows with the next change, for the demand of that time.

use std::time::Duration;

use crate::placement::spread::{Bounds, Demand, Goal, Ranks, Search};

/// How long a change takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Time in which a rank copies one expert.
    pub copy: Duration,
    /// Time of a change beside its copies.
    pub switch: Duration,
}

/// A change of the map of all sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Stage {
    /// The map after it.
    pub map: Vec<Ranks>,
    /// Mean over the sets of the slowest rank's time over the least possible
    /// one, before and after.
    pub peak: (f64, f64),
    /// Experts that ranks take in, and those of the rank that takes in most.
    pub copies: (usize, usize),
    /// How long it takes.
    pub time: Duration,
}

impl Stage {
    /// What it shortens passes by, as a part of the least possible time of the
    /// experts' work.
    pub fn gain(&self) -> f64 {
        self.peak.0 - self.peak.1
    }

    /// Its gain for the time it takes.
    fn rate(&self) -> f64 {
        self.gain() / self.time.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Copies a rank with which a change is tried, one after the other.
const DEPTHS: [usize; 12] = [0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48];
/// Part of the best rate below which the rate of a deeper change ends the
/// search: gains fall off with depth.
const FALLEN_OFF: f64 = 0.6;

/// The change of a map that gains most for its time, where `demand` tells what
/// each set has to bear. `None` where there is nothing to gain.
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
    let mut given = 0;
    let mut best: Option<Stage> = None;
    for depth in DEPTHS {
        room.iter_mut().for_each(|room| *room += depth - given);
        given = depth;
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
        } else if stage.rate() < rate * FALLEN_OFF || deepest < depth {
            break;
        }
    }
    best
}

fn mean_peak(searches: &[Search<'_>]) -> f64 {
    let sum: f64 = searches.iter().map(Search::peak).sum();
    sum / searches.len().max(1) as f64
}

/// Takes the searches on, that of the longest time first, until all are even
/// enough or nothing helps.
fn advance(searches: &mut [Search<'_>], goal: Goal, room: &mut [usize]) {
    // Only the peak of the set that was changed is another one.
    let mut open: Vec<(usize, f64)> = searches
        .iter()
        .map(Search::peak)
        .enumerate()
        .filter(|(_, peak)| *peak > goal.target_peak)
        .collect();
    while let Some(place) = (0..open.len()).max_by(|a, b| open[*a].1.total_cmp(&open[*b].1)) {
        let set = open[place].0;
        let advanced = searches[set].advance(goal.min_gain, room);
        open[place].1 = searches[set].peak();
        if !advanced || open[place].1 <= goal.target_peak {
            open.remove(place);
        }
    }
}
