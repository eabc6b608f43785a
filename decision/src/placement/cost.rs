//! Duration of a step under a layout.

use crate::entity;
use crate::placement::{layout, load};

/// Health of the ranks of a group, independent of their load.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    /// Time per token of each rank, relative to a healthy rank; infinite for a lost rank.
    pub slowness: Vec<f64>,
}

impl Health {
    /// Returns the health of a group whose ranks are all healthy.
    pub fn healthy(ranks: u32) -> Health {
        Health { slowness: vec![1.0; ranks as usize] }
    }

    /// Returns whether a rank is lost.
    pub fn lost(&self, rank: u32) -> bool {
        self.slowness[rank as usize].is_infinite()
    }
}

/// Returns the time that each rank needs for a layer. The tokens of an expert are divided evenly
/// among the ranks that hold it.
pub fn rank_times(
    layout: &layout::Layout,
    load: &load::Load,
    health: &Health,
    layer: entity::Layer,
) -> Vec<f64> {
    let mut times = vec![0.0; layout.shape.ranks as usize];
    let experts = &layout.layers[layer.as_u32() as usize];
    for (copies, tokens) in experts.iter().zip(load.layer(layer)) {
        let share = tokens / copies.len() as f64;
        // An expert without tokens costs nothing, even on a lost rank (0 * infinity is NaN).
        if share <= 0.0 {
            continue;
        }
        for rank in copies {
            times[*rank as usize] += share * health.slowness[*rank as usize];
        }
    }
    times
}

/// Returns the time of a whole step, which waits for the slowest rank at each layer.
pub fn step_time(layout: &layout::Layout, load: &load::Load, health: &Health) -> f64 {
    let slowest = |layer| rank_times(layout, load, health, layer).into_iter().fold(0.0, f64::max);
    layout.shape.layer_ids().map(slowest).sum()
}

/// Returns the time of a step with every layer balanced perfectly over the healthy ranks, which is
/// the lower bound of [`step_time`].
pub fn ideal_time(load: &load::Load, health: &Health) -> f64 {
    let speed: f64 = health.slowness.iter().map(|slowness| 1.0 / slowness).sum();
    load.total() / speed
}

/// Returns the skew of a step: its time relative to the ideal time. 1 is perfect.
pub fn skew(layout: &layout::Layout, load: &load::Load, health: &Health) -> f64 {
    let ideal = ideal_time(load, health);
    if ideal > 0.0 { step_time(layout, load, health) / ideal } else { 1.0 }
}
