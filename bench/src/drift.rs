//! Loads of experts that change with time.

use std::f64::consts::TAU;

use loftcove_decision::entity;
use loftcove_decision::placement::{cost, layout, load};
use rand::Rng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use rand_distr::Distribution as _;

/// How the load changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drift {
    /// Two kinds of work that take turns over a day, as reminders in the
    /// morning and notices with the weather.
    Mornings,
    /// Steady, then one expert of each layer becomes eight times as popular.
    Spike,
    /// Popularity moves on slowly from expert to expert.
    Rotation,
    /// Steady but for strong noise from interval to interval.
    Noise,
    /// Two loads that change places at every interval.
    Oscillation,
    /// Steady, then one rank becomes half as fast.
    SlowRank,
    /// Steady, then one rank is lost.
    LostRank,
}

/// All drifts.
pub const ALL: [Drift; 7] = [
    Drift::Mornings,
    Drift::Spike,
    Drift::Rotation,
    Drift::Noise,
    Drift::Oscillation,
    Drift::SlowRank,
    Drift::LostRank,
];

/// Tokens of one layer in one interval.
const TOKENS: f64 = 1_000_000.0;
/// Exponent of the popularity's power law.
const EXPONENT: f64 = 0.8;
/// Intervals of a day.
const DAY: f64 = 96.0;
/// Relative deviation of an expert's tokens from interval to interval, and in
/// the drift that is only noise.
const DEVIATION: (f64, f64) = (0.05, 0.5);

/// Makes the loads of a run.
pub struct Source {
    drift: Drift,
    shape: layout::Shape,
    rng: ChaCha8Rng,
    /// By layer: two popularities, each over the experts.
    popularity: Vec<[Vec<f64>; 2]>,
}

/// What one interval brings.
pub struct Interval {
    /// Tokens.
    pub load: load::Load,
    /// How the ranks are.
    pub health: cost::Health,
}

impl Source {
    /// A source with a seed.
    pub fn new(drift: Drift, shape: layout::Shape, seed: u64) -> Source {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let popularity = shape
            .layer_ids()
            .map(|_| [ranked(shape.experts, &mut rng), ranked(shape.experts, &mut rng)]);
        let popularity = popularity.collect();
        Source { drift, shape, rng, popularity }
    }

    /// The interval of that number, out of `count`; ask in order.
    pub fn interval(&mut self, number: usize, count: usize) -> Interval {
        let late = number * 2 >= count;
        let mut health = cost::Health::healthy(self.shape.ranks);
        match self.drift {
            Drift::SlowRank if late => health.slowness[0] = 2.0,
            Drift::LostRank if late => health.slowness[0] = f64::INFINITY,
            _ => {}
        }
        let mut load = load::Load::new(self.shape.layers as usize, self.shape.experts as usize);
        for layer in self.shape.layer_ids() {
            self.fill(load.layer_mut(layer), layer, number, late);
        }
        Interval { load, health }
    }

    fn fill(&mut self, tokens: &mut [f64], layer: entity::Layer, number: usize, late: bool) {
        let [first, second] = &self.popularity[layer.as_u32() as usize];
        let share = match self.drift {
            Drift::Mornings => 0.5 + 0.5 * (TAU * number as f64 / DAY).cos(),
            Drift::Oscillation => (number % 2) as f64,
            _ => 1.0,
        };
        let deviation = if self.drift == Drift::Noise { DEVIATION.1 } else { DEVIATION.0 };
        let noise = rand_distr::LogNormal::new(0.0, deviation).expect("the deviation is positive");
        let count = tokens.len();
        // One expert's place in twelve intervals.
        let turn = if self.drift == Drift::Rotation { number as f64 / 12.0 } else { 0.0 };
        for (expert, tokens) in tokens.iter_mut().enumerate() {
            let place = (expert + turn as usize) % count;
            let next = (place + 1) % count;
            let between = turn.fract();
            let turned = first[place] * (1.0 - between) + first[next] * between;
            let mut weight = turned * share + second[expert] * (1.0 - share);
            if self.drift == Drift::Spike && late && expert == 0 {
                weight *= 8.0;
            }
            *tokens = weight * TOKENS * noise.sample(&mut self.rng);
        }
    }
}

/// A power law over the experts in random order; sums to 1.
fn ranked(experts: u32, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut weights: Vec<f64> =
        (1..=experts).map(|place| f64::from(place).powf(-EXPONENT)).collect();
    weights.shuffle(rng);
    let jitter: f64 = rng.random_range(0.9..1.1);
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum * jitter).collect()
}
