//! Decides whether a group should go over to another map, and to which.

use loftcove_decision::placement::spread;
use loftcove_decision::route;
use loftcove_interface::engine::Map;

use crate::known::Known;

/// Choices that a set's demand must rest on, for each expert.
const LEAST_CHOICES: f64 = 12.0;
/// Least gain of a change, as a part of the ideal time of the experts' work,
/// while the engines are idle and while they are full. Copying has a price, and
/// a shorter pass brings more the more requests wait for it; by measured days
/// of the two deployments.
const LEAST_GAIN: (f64, f64) = (0.30, 0.10);
/// Least gain of a change for one copied expert a rank and set, while the
/// engines are idle and while they are full; set by the price of copies on days
/// with 24 ranks, where many small changes cost a fifth of the worth.
const COPY_GAIN: (f64, f64) = (0.75, 0.35);
/// Peak at which the search for a set ends, while the engines are idle and
/// while they are full.
const EVEN: (f64, f64) = (1.50, 1.06);
/// Least gain of one move of the search, while the engines are idle and while
/// they are full.
const LEAST_MOVE: (f64, f64) = (0.06, 0.02);
/// How much higher the peak must be by the last interval than by the demand
/// before for the demand to count as shifted.
const SHIFT: f64 = 0.25;

/// Requests on the engines, as a part of their slots, up to which these count
/// as idle, and from which as full: by measured days, passes are near the
/// longest wanted pause after a shift of the demand from some three quarters on.
const FILL: (f64, f64) = (0.5, 0.75);

/// A value between that of idle and that of full engines.
fn by_fill(fill: f64, (idle, full): (f64, f64)) -> f64 {
    let part = ((fill - FILL.0) / (FILL.1 - FILL.0)).clamp(0.0, 1.0);
    idle + (full - idle) * part
}

/// Forgets the demand from before a shift, so that the next map is made for
/// what is in demand now and not for a mixture.
pub fn notice_shift(known: &mut Known, experts: &route::Experts) {
    if known.map.len() != experts.sets {
        return;
    }
    let sets = known.map.iter().enumerate();
    let rise = sets.map(|(set, ranks)| {
        let newest = known.demand.newest(set, experts.count);
        let before = known.demand.set(set, experts.count);
        if newest.is_empty() {
            0.0
        } else {
            let peak = |load| spread::peak(ranks, spread::Demand { load, slowness: &[] });
            peak(newest) - peak(before)
        }
    });
    let rise = rise.sum::<f64>() / experts.sets as f64;
    if rise > SHIFT {
        log::info!("demand shifted epoch={} rise={rise:.2}", known.view.epoch);
        known.demand.restart();
    }
}

/// Experts that ranks hold in one placement of a set and not in the other.
fn copied(before: &spread::Ranks, after: &spread::Ranks) -> usize {
    let pairs = before.iter().zip(after);
    pairs.map(|(old, new)| new.iter().filter(|expert| !old.contains(expert)).count()).sum()
}

/// The map to go over to, or `None` to stay.
pub fn decide(known: &Known, experts: &route::Experts) -> Option<Map> {
    let least = LEAST_CHOICES * (experts.count * experts.sets) as f64;
    if known.demand.total() < least || known.map.len() != experts.sets {
        return None;
    }
    let bounds = spread::Bounds { placements: experts.placements, spare: experts.spare };
    let goal = spread::Goal {
        even: by_fill(known.fill, EVEN),
        least_gain: by_fill(known.fill, LEAST_MOVE),
    };
    let least_gain = by_fill(known.fill, LEAST_GAIN);
    let mut map = known.map.clone();
    let (mut before, mut after) = (0.0, 0.0);
    let mut copies = 0;
    for (set, ranks) in map.iter_mut().enumerate() {
        let load = known.demand.set(set, experts.count);
        if load.is_empty() {
            return None;
        }
        let demand = spread::Demand { load, slowness: &known.slowness };
        let peak = spread::peak(ranks, demand);
        before += peak;
        after += match spread::spread(ranks, demand, bounds, goal) {
            Some(better) => {
                let peak = spread::peak(&better, demand);
                copies += copied(ranks, &better);
                *ranks = better;
                peak
            }
            None => peak,
        };
    }
    let sets = experts.sets as f64;
    let gain = (before - after) / sets;
    let part = copies as f64 / (sets * known.view.ranks.len().max(1) as f64);
    let least_gain = least_gain.max(part * by_fill(known.fill, COPY_GAIN));
    log::info!(
        "placement epoch={} choices={:.0} fill={:.2} pass_ms={} peak={:.3} reachable={:.3} copies={copies} change={}",
        known.view.epoch,
        known.demand.total(),
        known.fill,
        known.pass_time.as_millis(),
        before / sets,
        after / sets,
        gain >= least_gain
    );
    (gain >= least_gain).then_some(map)
}
