//! Local search that improves a layout by short chains of moves.
//!
//! A layer takes as long as its slowest rank, so a single move often gains nothing because the
//! next slowest rank is almost as slow. The search therefore builds a chain of moves, each of
//! which takes load off the rank that is the slowest at that point, and truncates the chain where
//! the saved time less the cost of its expert loads is greatest. A move copies or moves an expert
//! to another rank, swaps it with a lighter one, or replaces a copy with little load by it. The
//! gain of a chain is evaluated with a fast and a slow moving average of the load, and the smaller
//! result counts: noise appears only in the fast average, outdated load only in the slow one.

use crate::entity;
use crate::placement::{cost, layout, load};

/// Maximum number of moves of a chain.
const CHAIN: usize = 48;
/// Number of least loaded ranks that are considered as receivers of an expert.
const RECEIVERS: usize = 12;

/// Kind of a move within a layer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The expert gets an additional copy on `to`.
    Copy,
    /// The expert moves from `from` to `to`.
    Move,
    /// The expert is swapped with another one, which moves to `from`.
    Trade(usize),
    /// The expert takes the slot of a copy of another expert that has further copies.
    Replace(usize),
}

/// Move of one expert.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Number, within the layer, of the expert that is moved or copied from the slowest rank.
    pub expert: usize,
    /// Slowest rank of the layer.
    pub from: u32,
    /// Rank that receives the expert.
    pub to: u32,
    /// Kind of the move.
    pub kind: Kind,
}

impl Step {
    /// Returns the number of expert loads of the move.
    pub fn loads(&self) -> u32 {
        if matches!(self.kind, Kind::Trade(_)) { 2 } else { 1 }
    }
}

/// Moves of one layer whose combined gain exceeds their cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// Layer of the moves.
    pub layer: entity::Layer,
    /// Moves in the order of application.
    pub steps: Vec<Step>,
    /// Time saved per step of the group, in the unit of the load.
    pub gain: f64,
    /// Number of expert loads of the chain.
    pub loads: u32,
}

impl Chain {
    fn gain_per_load(&self) -> f64 {
        self.gain / f64::from(self.loads)
    }
}

/// Limits on the moves and their minimum gain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum number of expert loads.
    pub loads: u32,
    /// Cost of an expert load: minimum time that it must save per step of the group, in the unit of
    /// the load.
    pub min_gain_per_load: f64,
    /// Maximum number of copies of an expert.
    pub replicas: u32,
}

/// Moving averages of the load and health of the ranks.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Moving average over the last few reports.
    pub fast: &'a load::Load,
    /// Moving average over many reports.
    pub slow: &'a load::Load,
    /// Health of the ranks.
    pub health: &'a cost::Health,
}

/// Applies the chains that gain enough, best first, and returns them in this order.
pub fn improve(layout: &mut layout::Layout, view: View<'_>, bounds: Bounds) -> Vec<Chain> {
    let mut chains: Vec<Chain> = layout
        .shape
        .layer_ids()
        .filter_map(|layer| Search::new(layout, view, bounds, layer).chain(bounds.loads))
        .collect();
    chains.sort_by(|a, b| {
        b.gain_per_load().total_cmp(&a.gain_per_load()).then(a.layer.cmp(&b.layer))
    });
    let mut left = bounds.loads;
    let mut done = Vec::new();
    for mut chain in chains {
        if chain.loads > left {
            // Search again for the best chain within the remaining loads.
            let part = Search::new(layout, view, bounds, chain.layer).chain(left);
            let Some(part) = part else { continue };
            chain = part;
        }
        let experts = &mut layout.layers[chain.layer.as_u32() as usize];
        chain.steps.iter().for_each(|step| apply(experts, step));
        left -= chain.loads;
        done.push(chain);
    }
    debug_assert_eq!(layout.verify(), Ok(()));
    done
}

fn add(copies: &mut layout::Copies, rank: u32) {
    copies.push(rank);
    copies.sort_unstable();
}

fn apply(experts: &mut [layout::Copies], step: &Step) {
    add(&mut experts[step.expert], step.to);
    match step.kind {
        Kind::Copy => {}
        Kind::Move => experts[step.expert].retain(|rank| *rank != step.from),
        Kind::Trade(other) => {
            experts[step.expert].retain(|rank| *rank != step.from);
            experts[other].retain(|rank| *rank != step.to);
            add(&mut experts[other], step.from);
        }
        Kind::Replace(other) => experts[other].retain(|rank| *rank != step.to),
    }
}

/// Search state of one layer, updated as the chain grows.
struct Search<'a> {
    layer: entity::Layer,
    slots: usize,
    bounds: Bounds,
    health: &'a cost::Health,
    fast: &'a [f64],
    slow: &'a [f64],
    experts: Vec<layout::Copies>,
    /// Time of each rank under the fast average.
    times: Vec<f64>,
    /// Experts that each rank holds.
    held: Vec<Vec<usize>>,
}

impl<'a> Search<'a> {
    fn new(
        layout: &layout::Layout,
        view: View<'a>,
        bounds: Bounds,
        layer: entity::Layer,
    ) -> Search<'a> {
        let mut search = Search {
            layer,
            slots: layout.shape.slots as usize,
            bounds,
            health: view.health,
            fast: view.fast.layer(layer),
            slow: view.slow.layer(layer),
            experts: layout.layers[layer.as_u32() as usize].clone(),
            times: Vec::new(),
            held: Vec::new(),
        };
        search.refresh();
        search
    }

    fn refresh(&mut self) {
        self.times = self.times_under(self.fast);
        self.held = vec![Vec::new(); self.health.slowness.len()];
        for (expert, copies) in self.experts.iter().enumerate() {
            copies.iter().for_each(|rank| self.held[*rank as usize].push(expert));
        }
    }

    fn times_under(&self, tokens: &[f64]) -> Vec<f64> {
        let mut times = vec![0.0; self.health.slowness.len()];
        for (copies, tokens) in self.experts.iter().zip(tokens) {
            let share = tokens / copies.len() as f64;
            for rank in copies.iter().filter(|_| share > 0.0) {
                times[*rank as usize] += share * self.health.slowness[*rank as usize];
            }
        }
        times
    }

    fn slowest(&self, tokens: &[f64]) -> f64 {
        self.times_under(tokens).into_iter().fold(0.0, f64::max)
    }

    /// Returns the chain with the greatest net gain within `most` loads, if one has a net gain.
    fn chain(mut self, most: u32) -> Option<Chain> {
        let before = (self.slowest(self.fast), self.slowest(self.slow));
        let mut steps: Vec<Step> = Vec::new();
        let mut loads = 0;
        let mut best: Option<(f64, Chain)> = None;
        while steps.len() < CHAIN {
            let Some(step) = self.best_step() else { break };
            loads += step.loads();
            if loads > most {
                break;
            }
            apply(&mut self.experts, &step);
            self.refresh();
            steps.push(step);
            let gain = (before.0 - self.slowest(self.fast)).min(before.1 - self.slowest(self.slow));
            let net = gain - self.bounds.min_gain_per_load * f64::from(loads);
            if net > best.as_ref().map_or(0.0, |best| best.0) {
                let steps = steps.clone();
                best = Some((net, Chain { layer: self.layer, steps, gain, loads }));
            }
        }
        best.map(|(_, chain)| chain)
    }

    /// Returns the move that relieves the slowest rank most per load without making another rank
    /// as slow.
    fn best_step(&self) -> Option<Step> {
        let ranks = 0..self.times.len() as u32;
        let time = |rank: &u32| self.times[*rank as usize];
        let from = ranks.clone().max_by(|a, b| time(a).total_cmp(&time(b)).then(b.cmp(a)))?;
        let mut receivers: Vec<u32> =
            ranks.filter(|rank| *rank != from && !self.health.lost(*rank)).collect();
        receivers.sort_by(|a, b| time(a).total_cmp(&time(b)).then(a.cmp(b)));
        receivers.truncate(RECEIVERS);
        let mut best: Option<(f64, Step)> = None;
        for expert in &self.held[from as usize] {
            for to in receivers.iter().filter(|to| !self.experts[*expert].contains(to)) {
                for kind in self.kinds(*expert, from, *to) {
                    let step = Step { expert: *expert, from, to: *to, kind };
                    let worth = self.relief(&step) / f64::from(step.loads());
                    if worth > best.map_or(0.0, |best| best.0) {
                        best = Some((worth, step));
                    }
                }
            }
        }
        best.map(|(_, step)| step)
    }

    /// Returns the kinds of moves of an expert to a rank that the slots and bounds allow.
    fn kinds(&self, expert: usize, from: u32, to: u32) -> Vec<Kind> {
        let may_copy = self.experts[expert].len() < self.bounds.replicas as usize;
        let held = &self.held[to as usize];
        if held.len() < self.slots {
            return if may_copy { vec![Kind::Copy, Kind::Move] } else { vec![Kind::Move] };
        }
        let mut kinds = Vec::new();
        for other in held {
            let copies = &self.experts[*other];
            if may_copy && copies.len() > 1 {
                kinds.push(Kind::Replace(*other));
            }
            if !copies.contains(&from) && self.fast[*other] < self.fast[expert] {
                kinds.push(Kind::Trade(*other));
            }
        }
        kinds
    }

    /// Returns how much a move reduces the time of the slowest rank. The new time is that of the
    /// slowest rank among those that the move changes.
    fn relief(&self, step: &Step) -> f64 {
        let mut changes: Vec<(u32, f64)> = Vec::with_capacity(8);
        let share = |expert: usize, copies: usize| self.fast[expert] / copies as f64;
        let copies = &self.experts[step.expert];
        let now = share(step.expert, copies.len());
        match step.kind {
            Kind::Move => changes.extend([(step.from, -now), (step.to, now)]),
            Kind::Copy | Kind::Replace(_) => {
                let after = share(step.expert, copies.len() + 1);
                changes.extend(copies.iter().map(|rank| (*rank, after - now)));
                changes.push((step.to, after));
            }
            Kind::Trade(other) => {
                let back = share(other, self.experts[other].len());
                changes.extend([(step.from, back - now), (step.to, now - back)]);
            }
        }
        if let Kind::Replace(other) = step.kind {
            let ranks = &self.experts[other];
            let now = share(other, ranks.len());
            let after = share(other, ranks.len() - 1);
            let remaining = ranks.iter().filter(|rank| **rank != step.to);
            changes.extend(remaining.map(|rank| (*rank, after - now)));
            changes.push((step.to, -now));
        }
        let after = |rank: u32| {
            let here = changes.iter().filter(|change| change.0 == rank);
            let tokens: f64 = here.map(|change| change.1).sum();
            self.times[rank as usize] + tokens * self.health.slowness[rank as usize]
        };
        let slowest = changes.iter().map(|change| after(change.0)).fold(0.0, f64::max);
        self.times[step.from as usize] - slowest
    }
}
