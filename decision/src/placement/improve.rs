//! Betters a layout by short chains of moves, where a chain pays.
//!
//! A layer takes as long as its slowest rank, so one move often gains nothing:
//! the next slowest rank is almost as slow. A chain of moves is therefore
//! followed, each taking load off whichever rank is then the slowest, and cut
//! where what it has saved, less the price of its loads, is greatest. A move
//! copies or moves an expert to another rank, trades it for a lighter one, or
//! gives it the slot of a copy that is hardly used. What a chain saves is
//! weighed under two views of the load, a fast and a slow average, of which
//! the smaller counts: noise shows in the fast one only, and what is past in
//! the slow one only.

use crate::entity;
use crate::placement::{cost, layout, load};

/// Moves of one chain at the most.
const CHAIN: usize = 48;
/// Least loaded ranks that are tried as the receiver of an expert.
const RECEIVERS: usize = 12;

/// What a move does, in one layer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The expert gets one more copy on `to`.
    Copy,
    /// The expert goes from `from` to `to`.
    Move,
    /// The expert changes places with another, which goes to `from`.
    Trade(usize),
    /// The expert gets the slot of a copy of another, which stays elsewhere.
    Replace(usize),
}

/// A move of one expert, by its number in the layer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The expert that leaves the slowest rank, or is copied from it.
    pub expert: usize,
    /// The slowest rank of the layer.
    pub from: u32,
    /// The rank that takes it.
    pub to: u32,
    /// What is done.
    pub kind: Kind,
}

impl Step {
    /// Expert loads that it takes.
    pub fn loads(&self) -> u32 {
        if matches!(self.kind, Kind::Trade(_)) { 2 } else { 1 }
    }
}

/// Moves of one layer that pay together.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// The layer.
    pub layer: entity::Layer,
    /// The moves, in their order.
    pub steps: Vec<Step>,
    /// Time saved of each step of the group, in the unit of the load.
    pub gain: f64,
    /// Expert loads that it takes.
    pub loads: u32,
}

impl Chain {
    fn gain_per_load(&self) -> f64 {
        self.gain / f64::from(self.loads)
    }
}

/// What moves must bring, and how many there may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Expert loads at the most.
    pub loads: u32,
    /// Price of an expert load: time that it must save of each step of the
    /// group, in the unit of the load.
    pub min_gain_per_load: f64,
    /// Copies of one expert at the most.
    pub replicas: u32,
}

/// The two views of the load.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Average over the last few reports.
    pub fast: &'a load::Load,
    /// Average over many.
    pub slow: &'a load::Load,
    /// How the ranks are.
    pub health: &'a cost::Health,
}

/// Applies the chains that pay, best first. Returns them in their order.
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
            // The best part that still fits.
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

/// One layer, as a chain changes it.
struct Search<'a> {
    layer: entity::Layer,
    slots: usize,
    bounds: Bounds,
    health: &'a cost::Health,
    fast: &'a [f64],
    slow: &'a [f64],
    experts: Vec<layout::Copies>,
    /// Time of each rank under the fast view.
    times: Vec<f64>,
    /// Experts of each rank.
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

    /// The chain of moves that pays most within so many loads, if one pays.
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

    /// The move that takes most off the slowest rank for its loads, without
    /// making another as slow.
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

    /// Moves of an expert to a rank that the slots and the bounds allow.
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

    /// How much faster the slowest rank gets, measured to whichever of the
    /// ranks that the move changes is the slowest afterwards.
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
            let rest = ranks.iter().filter(|rank| **rank != step.to);
            changes.extend(rest.map(|rank| (*rank, after - now)));
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
