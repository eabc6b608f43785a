//! Betters a layout by single moves, those that pay most first.
//!
//! A move takes load off the slowest rank of a layer: it copies or moves one
//! of its experts to another rank, trades it for a lighter one, or gives a hot
//! expert the slot of a copy that is hardly used. Each move's worth is what
//! it saves of the step's time under two views of the load, a quick and a slow
//! average, of which the smaller counts: noise shows in the quick one only
//! and what is past in the slow one only.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::entity;
use crate::placement::{cost, layout, load};

/// What a move does, in one layer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The expert gets one more copy on `to`.
    Copy,
    /// The expert goes from `from` to `to`.
    Move,
    /// The expert changes places with another, which goes to `from`.
    Trade(entity::Expert),
    /// The expert gets the slot of a copy of another, which stays elsewhere.
    Replace(entity::Expert),
}

/// A move of one expert.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Layer of the expert.
    pub layer: entity::Layer,
    /// The expert that leaves the slowest rank, or is copied from it.
    pub expert: entity::Expert,
    /// The slowest rank of the layer.
    pub from: u32,
    /// The rank that takes it.
    pub to: u32,
    /// What is done.
    pub kind: Kind,
    /// Time saved of each step, in the unit of the load.
    pub gain: f64,
    /// Expert loads that it takes.
    pub loads: u32,
}

impl Step {
    fn worth(&self) -> f64 {
        self.gain / f64::from(self.loads)
    }
}

/// What a move must bring, and how many there may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Expert loads at the most.
    pub loads: u32,
    /// Time saved of each step for each expert load at the least, in the unit
    /// of the load.
    pub least_worth: f64,
    /// Copies of one expert at the most.
    pub replicas: u32,
}

/// The two views of the load.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Average over the last few reports.
    pub quick: &'a load::Load,
    /// Average over many.
    pub slow: &'a load::Load,
    /// How the ranks are.
    pub health: &'a cost::Health,
}

/// Ordered by worth, so that the best move of all layers comes first.
struct Ranked(Step);

impl PartialEq for Ranked {
    fn eq(&self, other: &Ranked) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Ranked {}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Ranked) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ranked {
    fn cmp(&self, other: &Ranked) -> Ordering {
        let worth = self.0.worth().total_cmp(&other.0.worth());
        worth.then(other.0.layer.cmp(&self.0.layer))
    }
}

/// Applies the moves that pay, best first. Returns them in their order.
pub fn improve(layout: &mut layout::Layout, view: View<'_>, bounds: Bounds) -> Vec<Step> {
    let mut done = Vec::new();
    let mut left = bounds.loads;
    let find = |layout: &layout::Layout, layer| best(layout, view, bounds, layer).map(Ranked);
    let mut heap: BinaryHeap<Ranked> =
        layout.shape.layer_ids().filter_map(|layer| find(layout, layer)).collect();
    while let Some(Ranked(step)) = heap.pop() {
        // A cheaper move of another layer may still fit.
        if step.loads > left {
            continue;
        }
        apply(layout, &step);
        left -= step.loads;
        done.push(step);
        heap.extend(find(layout, step.layer));
    }
    debug_assert_eq!(layout.verify(), Ok(()));
    done
}

fn add(copies: &mut layout::Copies, rank: u32) {
    copies.push(rank);
    copies.sort_unstable();
}

fn apply(layout: &mut layout::Layout, step: &Step) {
    let experts = &mut layout.layers[step.layer.as_u32() as usize];
    let expert = step.expert.as_u32() as usize;
    add(&mut experts[expert], step.to);
    match step.kind {
        Kind::Copy => {}
        Kind::Move => experts[expert].retain(|rank| *rank != step.from),
        Kind::Trade(other) => {
            experts[expert].retain(|rank| *rank != step.from);
            let other = &mut experts[other.as_u32() as usize];
            other.retain(|rank| *rank != step.to);
            add(other, step.from);
        }
        Kind::Replace(other) => {
            experts[other.as_u32() as usize].retain(|rank| *rank != step.to);
        }
    }
}

/// One layer under one view of the load, prepared for weighing moves.
struct Scene<'a> {
    experts: &'a [layout::Copies],
    tokens: &'a [f64],
    slowness: &'a [f64],
    times: Vec<f64>,
    /// The three slowest ranks: a move changes two, so the third bounds the rest.
    top: Vec<usize>,
}

impl<'a> Scene<'a> {
    fn new(
        layout: &'a layout::Layout,
        load: &'a load::Load,
        health: &'a cost::Health,
        layer: entity::Layer,
    ) -> Scene<'a> {
        let times = cost::rank_times(layout, load, health, layer);
        let mut top: Vec<usize> = (0..times.len()).collect();
        top.sort_by(|a, b| times[*b].total_cmp(&times[*a]).then(a.cmp(b)));
        top.truncate(3);
        Scene {
            experts: &layout.layers[layer.as_u32() as usize],
            tokens: load.layer(layer),
            slowness: &health.slowness,
            times,
            top,
        }
    }

    fn max(&self) -> f64 {
        self.times[self.top[0]]
    }

    fn share(&self, expert: usize, copies: usize) -> f64 {
        self.tokens[expert] / copies as f64
    }

    /// Time of the layer after changes of tokens on ranks, each rank named once or more.
    fn max_after(&self, changes: &[(u32, f64)]) -> f64 {
        let time = |rank: usize| {
            let here = changes.iter().filter(|change| change.0 as usize == rank);
            let tokens: f64 = here.map(|change| change.1).sum();
            self.times[rank] + tokens * self.slowness[rank]
        };
        let changed = changes.iter().map(|change| time(change.0 as usize));
        let same = |rank: &usize| !changes.iter().any(|change| change.0 as usize == *rank);
        // Where changes touch all of the kept ranks, the true rest is no
        // higher than the least of these, which keeps the estimate safe.
        let rest = self.top.iter().copied().find(same).or(self.top.last().copied());
        changed.chain(rest.map(|rank| self.times[rank])).fold(0.0, f64::max)
    }

    fn gain(&self, from: u32, to: u32, expert: usize, kind: Kind) -> f64 {
        let copies = &self.experts[expert];
        let now = self.share(expert, copies.len());
        let mut changes: Vec<(u32, f64)> = Vec::with_capacity(8);
        match kind {
            Kind::Move => changes.extend([(from, -now), (to, now)]),
            Kind::Copy | Kind::Replace(_) => {
                let after = self.share(expert, copies.len() + 1);
                changes.extend(copies.iter().map(|rank| (*rank, after - now)));
                changes.push((to, after));
            }
            Kind::Trade(other) => {
                let other = other.as_u32() as usize;
                let back = self.share(other, self.experts[other].len());
                changes.extend([(from, back - now), (to, now - back)]);
            }
        }
        if let Kind::Replace(other) = kind {
            let other = other.as_u32() as usize;
            let ranks = &self.experts[other];
            let now = self.share(other, ranks.len());
            let after = self.share(other, ranks.len() - 1);
            let rest = ranks.iter().filter(|rank| **rank != to);
            changes.extend(rest.map(|rank| (*rank, after - now)));
            changes.push((to, -now));
        }
        self.max() - self.max_after(&changes)
    }
}

/// The best move of a layer, if one pays.
fn best(
    layout: &layout::Layout,
    view: View<'_>,
    bounds: Bounds,
    layer: entity::Layer,
) -> Option<Step> {
    let quick = Scene::new(layout, view.quick, view.health, layer);
    let slow = Scene::new(layout, view.slow, view.health, layer);
    let from = quick.top[0] as u32;
    let held = Held::new(layout, layer);
    let mut best: Option<Step> = None;
    for expert in held.of(from) {
        for to in 0..layout.shape.ranks {
            if view.health.lost(to) || quick.experts[*expert].contains(&to) {
                continue;
            }
            for kind in kinds(layout.shape, &quick, &held, *expert, to, bounds) {
                let gain = quick.gain(from, to, *expert, kind);
                let loads = if matches!(kind, Kind::Trade(_)) { 2 } else { 1 };
                // The second view is weighed only for what would be chosen.
                let promising = gain / f64::from(loads) >= bounds.least_worth
                    && best.is_none_or(|best| gain / f64::from(loads) > best.worth());
                if !promising || gain <= 0.0 {
                    continue;
                }
                let gain = gain.min(slow.gain(from, to, *expert, kind));
                let expert = entity::Expert::from_u32(*expert as u32);
                let step = Step { layer, expert, from, to, kind, gain, loads };
                let pays = gain > 0.0 && step.worth() >= bounds.least_worth;
                if pays && best.is_none_or(|best| step.worth() > best.worth()) {
                    best = Some(step);
                }
            }
        }
    }
    best
}

/// Experts by rank, in one layer.
struct Held {
    ranks: Vec<Vec<usize>>,
}

impl Held {
    fn new(layout: &layout::Layout, layer: entity::Layer) -> Held {
        let mut ranks = vec![Vec::new(); layout.shape.ranks as usize];
        for (expert, copies) in layout.layers[layer.as_u32() as usize].iter().enumerate() {
            copies.iter().for_each(|rank| ranks[*rank as usize].push(expert));
        }
        Held { ranks }
    }

    fn of(&self, rank: u32) -> &[usize] {
        &self.ranks[rank as usize]
    }
}

/// Moves of an expert to a rank that the slots and the bounds allow.
fn kinds(
    shape: layout::Shape,
    scene: &Scene<'_>,
    held: &Held,
    expert: usize,
    to: u32,
    bounds: Bounds,
) -> Vec<Kind> {
    let may_copy = scene.experts[expert].len() < bounds.replicas as usize;
    if held.of(to).len() < shape.slots as usize {
        return if may_copy { vec![Kind::Copy, Kind::Move] } else { vec![Kind::Move] };
    }
    let from = scene.top[0] as u32;
    let mut kinds = Vec::new();
    for other in held.of(to) {
        let id = entity::Expert::from_u32(*other as u32);
        let copies = &scene.experts[*other];
        if may_copy && copies.len() > 1 {
            kinds.push(Kind::Replace(id));
        }
        if !copies.contains(&from) && scene.tokens[*other] < scene.tokens[expert] {
            kinds.push(Kind::Trade(id));
        }
    }
    kinds
}
