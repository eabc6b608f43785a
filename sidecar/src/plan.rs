//! Decides whether a group should switch to another map, and to which one.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::placement::spread;
use loftcove_decision::placement::stage::{self, Stage, Times};
use loftcove_decision::route;
use loftcove_interface::engine::Map;
use loftcove_line::field;
use loftcove_startup::threads;

use crate::state::State;

/// Minimum number of choices per expert that the demand must be based on.
const MIN_CHOICES: f64 = 12.0;
/// Minimum gain of a change, as a fraction of the ideal time of the experts' work, while the
/// engines are idle and while they are full. A shorter pass gains more the more requests wait for
/// it. `docs/POLICY.md` lists the effect of other values for this pair and those below.
const MIN_GAIN: (f64, f64) = (0.30, 0.10);
/// Fraction by which passes take longer while ranks copy, according to the engines' protocol.
const COPY_SLOWDOWN: f64 = 0.15;
/// Peak at which the search for a set ends, while the engines are idle and while they are full.
const TARGET_PEAK: (f64, f64) = (1.50, 1.06);
/// Minimum gain of one move of the search, while the engines are idle and while they are full.
const MIN_MOVE_GAIN: (f64, f64) = (0.06, 0.02);
/// Time of a copy if the bandwidth is not published.
const DEFAULT_COPY_TIME: Duration = Duration::from_millis(200);
const BITS_PER_BYTE: f64 = 8.0;
/// Difference between the peak of the last interval and that of the smoothed demand above which the
/// demand counts as shifted.
const SHIFT_RISE: f64 = 0.25;

/// Requests on the engines, as a fraction of their slots, up to which the engines count as idle and
/// from which they count as full. See [`MIN_GAIN`].
const FILL_RANGE: (f64, f64) = (0.5, 0.75);

/// Interpolates between the values for idle and for full engines.
fn interpolate(fill: f64, (idle, full): (f64, f64)) -> f64 {
    let part = ((fill - FILL_RANGE.0) / (FILL_RANGE.1 - FILL_RANGE.0)).clamp(0.0, 1.0);
    idle + (full - idle) * part
}

/// Discards the demand from before a shift, so that the next map fits the current demand instead of
/// a mixture of both.
pub fn detect_shift(state: &mut State, experts: &route::Experts) {
    if state.map.len() != experts.sets {
        return;
    }
    let sets = state.map.iter().enumerate();
    let rise = sets.map(|(set, ranks)| {
        let newest = state.demand.newest(set, experts.count);
        let before = state.demand.smoothed(set, experts.count);
        if newest.is_empty() {
            0.0
        } else {
            let peak = |load| spread::peak(ranks, spread::Demand { load, slowness: &[] });
            peak(newest) - peak(before)
        }
    });
    let rise = rise.sum::<f64>() / experts.sets as f64;
    if rise > SHIFT_RISE {
        log::info!("demand shifted epoch={} rise={rise:.2}", state.view.epoch);
        state.demand.reset();
        state.record_shift();
    }
}

/// Returns whether a change gains more time, until the expected next shift of the demand, than
/// passes lose while ranks copy.
fn pays_off(stage: &Stage, times: Times, shift_interval: Duration) -> bool {
    let left = shift_interval.saturating_sub(stage.time).as_secs_f64();
    let copying = stage.time.saturating_sub(times.switch).as_secs_f64();
    stage.gain() * left > COPY_SLOWDOWN * stage.peak.0 * copying
}

/// Returns the change of the map to make now, or `None` to keep the map. The search runs on a
/// separate thread: in a large group it occupies the processor of a small host for longer than a
/// renewal of the term, or a message to a rank, may be delayed.
pub async fn decide(
    state: &mut State,
    engine: &route::Engine,
    experts: &route::Experts,
) -> Option<Stage> {
    let task = Search::new(state, engine, experts)?;
    let peak = task.peak();
    if !state.should_search(peak) {
        return None;
    }
    let times = task.times;
    let stage = match threads::run(move || task.search()).await {
        Ok(stage) => stage,
        Err(error) => {
            log::error!("map search failed error={error}", error = field::Quoted(&error));
            None
        }
    };
    let change = stage.as_ref().is_some_and(|stage| {
        stage.gain() >= interpolate(state.fill, MIN_GAIN)
            && pays_off(stage, times, state.shift_interval())
    });
    state.record_search(peak, change);
    let stage = stage?;
    log::info!(
        "placement epoch={} choices={:.0} fill={:.2} pass_ms={} peak={:.3} reachable={:.3} copies={} deepest={} expected_ms={} change={change}",
        state.view.epoch,
        state.demand.total(),
        state.fill,
        state.pass_time.as_millis(),
        stage.peak.0,
        stage.peak.1,
        stage.copies.0,
        stage.copies.1,
        stage.time.as_millis(),
    );
    change.then_some(stage)
}

/// Input of a search, copied so that the search can run on a separate thread.
struct Search {
    map: Arc<Map>,
    /// Demand of the experts of each set.
    loads: Vec<Vec<f64>>,
    slowness: Vec<f64>,
    bounds: spread::Bounds,
    goal: spread::Goal,
    times: Times,
}

impl Search {
    /// Creates a search, or returns `None` if too little is known.
    fn new(state: &State, engine: &route::Engine, experts: &route::Experts) -> Option<Search> {
        let least = MIN_CHOICES * (experts.count * experts.sets) as f64;
        if state.demand.total() < least || state.map.len() != experts.sets {
            return None;
        }
        let load = |set| state.demand.smoothed(set, experts.count).to_vec();
        let loads: Vec<Vec<f64>> = (0..experts.sets).map(load).collect();
        loads.iter().all(|load| !load.is_empty()).then(|| Search {
            map: state.map.clone(),
            loads,
            slowness: state.slowness.clone(),
            bounds: spread::Bounds { placements: experts.placements, spare: experts.spare },
            goal: spread::Goal {
                target_peak: interpolate(state.fill, TARGET_PEAK),
                min_gain: interpolate(state.fill, MIN_MOVE_GAIN),
            },
            times: Times { copy: copy_time(engine, experts), switch: state.switch_time() },
        })
    }

    fn demand(&self) -> Vec<spread::Demand<'_>> {
        let demand = |load| spread::Demand { load, slowness: &self.slowness };
        self.loads.iter().map(|load| demand(load)).collect()
    }

    /// Returns the mean over the sets of the time of the slowest rank, relative to the least
    /// possible time.
    fn peak(&self) -> f64 {
        let sets = self.map.iter().zip(self.demand());
        let sum: f64 = sets.map(|(ranks, demand)| spread::peak(ranks, demand)).sum();
        sum / self.loads.len() as f64
    }

    fn search(&self) -> Option<Stage> {
        stage::plan(&self.map, &self.demand(), self.bounds, self.goal, self.times)
    }
}

/// Longest time to copy one expert. No change of the map pays off at this time, and the time of many
/// copies can still be represented.
const LONGEST_COPY_TIME: Duration = Duration::from_secs(60 * 60);

/// Returns the time that a rank takes to copy one expert.
fn copy_time(engine: &route::Engine, experts: &route::Experts) -> Duration {
    if engine.copy_mbps <= 0.0 {
        return DEFAULT_COPY_TIME;
    }
    let time = Duration::try_from_secs_f64(experts.size_mb * BITS_PER_BYTE / engine.copy_mbps);
    time.map_or(LONGEST_COPY_TIME, |time| time.min(LONGEST_COPY_TIME))
}
