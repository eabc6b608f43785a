//! Construction of a layout from scratch.
//!
//! Hot experts are replicated. Then the copies are placed in descending order of their load, each
//! on the least loaded rank with a free slot. This is the longest-processing-time rule of Graham,
//! "Bounds on multiprocessing timing anomalies", 1969.

use crate::entity;
use crate::placement::{cost, layout, load};

/// Copy of an expert that is to be placed.
#[derive(Debug, Clone, Copy)]
struct Copy {
    expert: usize,
    tokens: f64,
}

/// Packs all layers with at most `replicas` copies of an expert. Returns `None` if the healthy
/// ranks have too few slots for the experts.
pub fn pack(
    shape: layout::Shape,
    load: &load::Load,
    health: &cost::Health,
    replicas: u32,
) -> Option<layout::Layout> {
    let healthy: Vec<u32> = (0..shape.ranks).filter(|rank| !health.lost(*rank)).collect();
    let room = healthy.len() * shape.slots as usize;
    if room < shape.experts as usize {
        return None;
    }
    let layers: Option<Vec<_>> = shape
        .layer_ids()
        .map(|layer| pack_layer(shape, load.layer(layer), health, &healthy, replicas))
        .collect();
    let packed = layout::Layout { shape, layers: layers? };
    debug_assert_eq!(packed.verify(), Ok(()));
    Some(packed)
}

fn pack_layer(
    shape: layout::Shape,
    tokens: &[f64],
    health: &cost::Health,
    healthy: &[u32],
    replicas: u32,
) -> Option<Vec<layout::Copies>> {
    let counts = replicate(tokens, healthy.len() * shape.slots as usize, healthy.len(), replicas);
    let mut copies: Vec<Copy> = Vec::new();
    for (expert, count) in counts.iter().enumerate() {
        let share = tokens[expert] / f64::from(*count);
        copies.extend((0..*count).map(|_| Copy { expert, tokens: share }));
    }
    copies.sort_by(|a, b| b.tokens.total_cmp(&a.tokens).then(a.expert.cmp(&b.expert)));
    let mut placed: Vec<layout::Copies> = vec![Vec::new(); tokens.len()];
    let mut times = vec![0.0; shape.ranks as usize];
    let mut free = vec![shape.slots; shape.ranks as usize];
    for copy in copies {
        let time = |rank: u32| times[rank as usize] + copy.tokens * health.slowness[rank as usize];
        let fits = |rank: &u32| free[*rank as usize] > 0 && !placed[copy.expert].contains(rank);
        let rank = healthy
            .iter()
            .copied()
            .filter(fits)
            .min_by(|a, b| time(*a).total_cmp(&time(*b)).then(a.cmp(b)));
        let Some(rank) = rank else {
            // An additional copy can be omitted, the first one cannot.
            if placed[copy.expert].is_empty() {
                return None;
            }
            continue;
        };
        times[rank as usize] = time(rank);
        free[rank as usize] -= 1;
        placed[copy.expert].push(rank);
    }
    placed.iter_mut().for_each(|copies| copies.sort_unstable());
    Some(placed)
}

/// Returns the number of copies of each expert. Each has one; while slots are free, the expert with
/// the most tokens per copy gets another one.
fn replicate(tokens: &[f64], room: usize, ranks: usize, replicas: u32) -> Vec<u32> {
    let most = replicas.min(ranks as u32).max(1);
    let mut counts = vec![1; tokens.len()];
    for _ in tokens.len()..room {
        let share = |expert: &usize| tokens[*expert] / f64::from(counts[*expert]);
        let hottest = (0..tokens.len())
            .filter(|expert| counts[*expert] < most && tokens[*expert] > 0.0)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(hottest) = hottest else { break };
        counts[hottest] += 1;
    }
    counts
}

/// Permutes the ranks of a packed layout, layer by layer, to reduce the number of experts that
/// move. Ranks are matched greedily by the number of experts that they share.
pub fn relabel(packed: &mut layout::Layout, current: &layout::Layout, health: &cost::Health) {
    for layer in packed.shape.layer_ids() {
        relabel_layer(packed, current, health, layer);
    }
}

fn relabel_layer(
    packed: &mut layout::Layout,
    current: &layout::Layout,
    health: &cost::Health,
    layer: entity::Layer,
) {
    let ranks = packed.shape.ranks as usize;
    let index = layer.as_u32() as usize;
    let mut shared = vec![0_u32; ranks * ranks];
    for (new, old) in packed.layers[index].iter().zip(&current.layers[index]) {
        for a in new {
            for b in old {
                shared[*a as usize * ranks + *b as usize] += 1;
            }
        }
    }
    // Only ranks of equal speed are exchanged, otherwise the times would change.
    let same_speed = |a: usize, b: usize| health.slowness[a] == health.slowness[b];
    let mut pairs: Vec<(u32, usize, usize)> = Vec::new();
    for a in 0..ranks {
        let others = (0..ranks).filter(|b| same_speed(a, *b));
        pairs.extend(others.map(|b| (shared[a * ranks + b], a, b)));
    }
    pairs.sort_by(|x, y| y.0.cmp(&x.0).then(x.1.cmp(&y.1)).then(x.2.cmp(&y.2)));
    let mut label: Vec<Option<u32>> = vec![None; ranks];
    let mut taken = vec![false; ranks];
    for (_, a, b) in pairs {
        if label[a].is_none() && !taken[b] {
            label[a] = Some(b as u32);
            taken[b] = true;
        }
    }
    for copies in &mut packed.layers[index] {
        for rank in copies.iter_mut() {
            *rank = label[*rank as usize].unwrap_or(*rank);
        }
        copies.sort_unstable();
    }
}
