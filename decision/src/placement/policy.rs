//! When to change a group's layout, and how far.
//!
//! All but [`Incremental`] are baselines that the benchmark compares it with.

use crate::placement::{cost, improve, layout, load, pack};

/// What is known when a decision is due.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Tokens of the last interval, as reported.
    pub load: &'a load::Load,
    /// How the ranks are.
    pub health: &'a cost::Health,
}

/// A way to decide.
pub trait Policy {
    /// The layout to go over to, or `None` to stay.
    fn decide(
        &mut self,
        observation: Observation<'_>,
        current: &layout::Layout,
    ) -> Option<layout::Layout>;
}

/// Baseline: stays as it is.
#[derive(Debug, Default)]
pub struct Never;

impl Policy for Never {
    fn decide(&mut self, _: Observation<'_>, _: &layout::Layout) -> Option<layout::Layout> {
        None
    }
}

/// Baseline: packs on the first observation and stays.
#[derive(Debug)]
pub struct Once {
    /// Copies of one expert at the most.
    pub replicas: u32,
    /// Whether it has packed.
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

/// Baseline: packs anew at every interval, on the last observation.
#[derive(Debug)]
pub struct Repack {
    /// Copies of one expert at the most.
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
    /// Weight of a part of a step's time, relative to the ideal step, that is
    /// saved for one interval.
    pub skew_weight: f64,
    /// Weight of loading one expert's share of a layer, relative to all experts of all layers.
    pub cost_weight: f64,
    /// Expert loads that one decision may order.
    pub moves: u32,
    /// Copies of one expert at the most.
    pub replicas: u32,
    /// Intervals for which a saving is expected to last.
    pub horizon: f64,
    /// Weight of the newest observation in the fast and the slow average.
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

/// Moves only what pays: the part of a step's time that a move is expected to save
/// over the horizon, against the loads that it takes.
#[derive(Debug)]
pub struct Incremental {
    rules: Rules,
    averages: Option<(load::Load, load::Load)>,
}

impl Incremental {
    /// No observation yet.
    pub fn new(rules: Rules) -> Incremental {
        Incremental { rules, averages: None }
    }

    /// Takes other weights and bounds, and keeps what was observed.
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

    /// What a load must save of each step at the least, in the load's unit.
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

/// Takes every expert off the lost ranks; one that no other rank holds goes to
/// the sound rank with room, or with a copy to spare, that has least to do.
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

/// The least loaded sound rank with a free slot in the layer; where none has
/// one, a copy that another rank holds too gives way.
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
    let sound = (0..layout.shape.ranks).filter(|rank| !health.lost(*rank));
    let mut ranks: Vec<u32> = sound.collect();
    ranks.sort_by(|a, b| times[*a as usize].total_cmp(&times[*b as usize]).then(a.cmp(b)));
    let roomy = ranks.iter().find(|rank| held(experts, **rank) < layout.shape.slots);
    if let Some(rank) = roomy {
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
