//! Policies that decide when and how to change the layout of a group.
//!
//! All policies except [`Incremental`] are baselines for comparison in the benchmark.

use crate::placement::{cost, improve, layout, load, pack};

/// Input of a decision.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Reported tokens of the last interval.
    pub load: &'a load::Load,
    /// Health of the ranks.
    pub health: &'a cost::Health,
}

/// Placement policy.
pub trait Policy {
    /// Returns the layout to switch to, or `None` to keep the current one.
    fn decide(
        &mut self,
        observation: Observation<'_>,
        current: &layout::Layout,
    ) -> Option<layout::Layout>;
}

/// Baseline that keeps the current layout.
#[derive(Debug, Default)]
pub struct Never;

impl Policy for Never {
    fn decide(&mut self, _: Observation<'_>, _: &layout::Layout) -> Option<layout::Layout> {
        None
    }
}

/// Baseline that packs on the first observation and keeps that layout.
#[derive(Debug)]
pub struct Once {
    /// Maximum number of copies of an expert.
    pub replicas: u32,
    /// Whether the layout has been packed.
    pub done: bool,
}

impl Policy for Once {
    fn decide(
        &mut self,
        observation: Observation<'_>,
        current: &layout::Layout,
    ) -> Option<layout::Layout> {
        if std::mem::replace(&mut self.done, true) {
            return None;
        }
        repack(observation, current, self.replicas)
    }
}

/// Baseline that packs from the last observation at every interval.
#[derive(Debug)]
pub struct Repack {
    /// Maximum number of copies of an expert.
    pub replicas: u32,
}

impl Policy for Repack {
    fn decide(
        &mut self,
        observation: Observation<'_>,
        current: &layout::Layout,
    ) -> Option<layout::Layout> {
        repack(observation, current, self.replicas)
    }
}

fn repack(
    observation: Observation<'_>,
    current: &layout::Layout,
    replicas: u32,
) -> Option<layout::Layout> {
    let mut packed = pack::pack(current.shape, observation.load, observation.health, replicas)?;
    pack::relabel(&mut packed, current, observation.health);
    (packed != *current).then_some(packed)
}

/// Weights and bounds of [`Incremental`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Weight of the step time saved in one interval, as a fraction of the ideal step time.
    pub skew_weight: f64,
    /// Weight of one expert load, as a fraction of the experts of all layers.
    pub cost_weight: f64,
    /// Maximum number of expert loads of one decision.
    pub moves: u32,
    /// Maximum number of copies of an expert.
    pub replicas: u32,
    /// Number of intervals for which a gain is expected to last.
    pub horizon: f64,
    /// Weights of the newest observation in the fast and in the slow moving average.
    pub gains: (f64, f64),
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            skew_weight: 1.0,
            cost_weight: 1.0,
            moves: 64,
            replicas: 4,
            horizon: 10.0,
            gains: (0.6, 0.2),
        }
    }
}

/// Policy that makes only moves whose expected gain exceeds their cost. The gain is the fraction of
/// the step time saved over the horizon; the cost is that of the expert loads.
#[derive(Debug)]
pub struct Incremental {
    rules: Rules,
    averages: Option<(load::Load, load::Load)>,
}

impl Incremental {
    /// Creates the policy without observations.
    pub fn new(rules: Rules) -> Incremental {
        Incremental { rules, averages: None }
    }

    /// Replaces the weights and bounds and keeps the moving averages.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    fn observe(&mut self, load: &load::Load) -> &(load::Load, load::Load) {
        let (fast, slow) = self.rules.gains;
        let averages = self.averages.get_or_insert_with(|| (load.clone(), load.clone()));
        averages.0.blend(load, fast);
        averages.1.blend(load, slow);
        averages
    }

    /// Returns the minimum time that an expert load must save per step, in the unit of the load.
    fn min_gain_per_load(rules: &Rules, load: &load::Load, health: &cost::Health) -> f64 {
        if rules.skew_weight <= 0.0 {
            return f64::INFINITY;
        }
        let all = (load.layers() * load.experts()) as f64;
        let price = rules.cost_weight / all;
        price * cost::ideal_time(load, health) / (rules.skew_weight * rules.horizon)
    }
}

impl Policy for Incremental {
    fn decide(
        &mut self,
        observation: Observation<'_>,
        current: &layout::Layout,
    ) -> Option<layout::Layout> {
        let rules = self.rules;
        let (fast, slow) = self.observe(observation.load);
        let mut next = current.clone();
        evacuate(&mut next, observation.health, slow);
        let view = improve::View { fast, slow, health: observation.health };
        let bounds = improve::Bounds {
            loads: rules.moves,
            min_gain_per_load: Incremental::min_gain_per_load(&rules, slow, observation.health),
            replicas: rules.replicas,
        };
        improve::improve(&mut next, view, bounds);
        (next != *current).then_some(next)
    }
}

/// Removes all experts from the lost ranks. An expert without another copy moves to the least
/// loaded healthy rank that has a free slot or holds a redundant copy.
fn evacuate(layout: &mut layout::Layout, health: &cost::Health, load: &load::Load) {
    let lost: Vec<u32> = (0..layout.shape.ranks).filter(|rank| health.lost(*rank)).collect();
    if lost.is_empty() {
        return;
    }
    for layer in layout.shape.layer_ids() {
        let index = layer.as_u32() as usize;
        for expert in 0..layout.layers[index].len() {
            let copies = &mut layout.layers[index][expert];
            let kept: Vec<u32> =
                copies.iter().copied().filter(|rank| !lost.contains(rank)).collect();
            if !kept.is_empty() {
                *copies = kept;
                continue;
            }
            if let Some(rank) = evacuation_target(layout, health, load, index) {
                layout.layers[index][expert] = vec![rank];
            }
        }
    }
}

/// Returns the least loaded healthy rank with a free slot in the layer. If there is none, frees a
/// slot by removing a copy of an expert that another rank holds too.
fn evacuation_target(
    layout: &mut layout::Layout,
    health: &cost::Health,
    load: &load::Load,
    index: usize,
) -> Option<u32> {
    let layer = crate::entity::Layer::from_u32(index as u32);
    let mut finite = health.clone();
    finite.slowness.iter_mut().filter(|s| s.is_infinite()).for_each(|s| *s = 0.0);
    let times = cost::rank_times(layout, load, &finite, layer);
    let experts = &mut layout.layers[index];
    let held = |experts: &[layout::Copies], rank: u32| {
        experts.iter().filter(|copies| copies.contains(&rank)).count() as u32
    };
    let healthy = (0..layout.shape.ranks).filter(|rank| !health.lost(*rank));
    let mut ranks: Vec<u32> = healthy.collect();
    ranks.sort_by(|a, b| times[*a as usize].total_cmp(&times[*b as usize]).then(a.cmp(b)));
    let with_free_slot = ranks.iter().find(|rank| held(experts, **rank) < layout.shape.slots);
    if let Some(rank) = with_free_slot {
        return Some(*rank);
    }
    for rank in ranks {
        let spare = experts.iter_mut().find(|copies| copies.len() > 1 && copies.contains(&rank));
        if let Some(copies) = spare {
            copies.retain(|held| *held != rank);
            return Some(rank);
        }
    }
    None
}
