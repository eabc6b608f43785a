//! Synthetic expert loads that change over time.

use std::f64::consts::TAU;

use loftcove_decision::entity;
use loftcove_decision::placement::{cost, layout, load};
use rand::Rng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use rand_distr::Distribution as _;

/// Pattern by which the load or the health of the ranks changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drift {
    /// Two kinds of work that alternate over a day, such as reminders in the morning and weather
    /// notices.
    Mornings,
    /// Steady, then one expert of each layer becomes eight times as popular.
    Spike,
    /// Popularity moves slowly from expert to expert.
    Rotation,
    /// Steady, with strong noise between intervals.
    Noise,
    /// Two loads that alternate at every interval.
    Oscillation,
    /// Steady, then one rank becomes half as fast.
    SlowRank,
    /// Steady, then one rank is lost.
    LostRank,
}

/// All patterns.
pub const ALL: [Drift; 7] = [
    Drift::Mornings,
    Drift::Spike,
    Drift::Rotation,
    Drift::Noise,
    Drift::Oscillation,
    Drift::SlowRank,
    Drift::LostRank,
];

/// Number of tokens of one layer in one interval.
const TOKENS: f64 = 1_000_000.0;
/// Exponent of the power law of expert popularity.
const EXPONENT: f64 = 0.8;
/// Number of intervals in a day.
const DAY_INTERVALS: f64 = 96.0;
/// Sigma of the log-normal factor on an expert's tokens in each interval, in general and for
/// [`Drift::Noise`].
const SIGMA: (f64, f64) = (0.05, 0.5);

/// Generator of the loads of a run.
pub struct Source {
    drift: Drift,
    shape: layout::Shape,
    rng: ChaCha8Rng,
    /// Two popularity distributions over the experts, for each layer.
    popularity: Vec<[Vec<f64>; 2]>,
}

/// Load and health in one interval.
pub struct Interval {
    /// Tokens of each expert.
    pub load: load::Load,
    /// Health of the ranks.
    pub health: cost::Health,
}

impl Source {
    /// Creates a generator with a seed.
    pub fn new(drift: Drift, shape: layout::Shape, seed: u64) -> Source {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let popularity = shape
            .layer_ids()
            .map(|_| [power_law(shape.experts, &mut rng), power_law(shape.experts, &mut rng)]);
        let popularity = popularity.collect();
        Source { drift, shape, rng, popularity }
    }

    /// Generates the interval with that number, out of `count`.
    ///
    /// Intervals must be requested in order, because they share one random number generator.
    pub fn interval(&mut self, number: usize, count: usize) -> Interval {
        let second_half = number * 2 >= count;
        let mut health = cost::Health::healthy(self.shape.ranks);
        match self.drift {
            Drift::SlowRank if second_half => health.slowness[0] = 2.0,
            Drift::LostRank if second_half => health.slowness[0] = f64::INFINITY,
            _ => {}
        }
        let mut load = load::Load::new(self.shape.layers as usize, self.shape.experts as usize);
        for layer in self.shape.layer_ids() {
            self.fill(load.layer_mut(layer), layer, number, second_half);
        }
        Interval { load, health }
    }

    fn fill(&mut self, tokens: &mut [f64], layer: entity::Layer, number: usize, second_half: bool) {
        let [first, second] = &self.popularity[layer.as_u32() as usize];
        let share = match self.drift {
            Drift::Mornings => 0.5 + 0.5 * (TAU * number as f64 / DAY_INTERVALS).cos(),
            Drift::Oscillation => (number % 2) as f64,
            _ => 1.0,
        };
        let sigma = if self.drift == Drift::Noise { SIGMA.1 } else { SIGMA.0 };
        let noise = rand_distr::LogNormal::new(0.0, sigma).expect("sigma is positive");
        let count = tokens.len();
        // Popularity moves by one expert in twelve intervals.
        let rotation = if self.drift == Drift::Rotation { number as f64 / 12.0 } else { 0.0 };
        for (expert, tokens) in tokens.iter_mut().enumerate() {
            let place = (expert + rotation as usize) % count;
            let next = (place + 1) % count;
            let fraction = rotation.fract();
            let rotated = first[place] * (1.0 - fraction) + first[next] * fraction;
            let mut weight = rotated * share + second[expert] * (1.0 - share);
            if self.drift == Drift::Spike && second_half && expert == 0 {
                weight *= 8.0;
            }
            *tokens = weight * TOKENS * noise.sample(&mut self.rng);
        }
    }
}

/// Returns a power law over the experts in random order. Its sum is 1, up to a random factor.
fn power_law(experts: u32, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut weights: Vec<f64> =
        (1..=experts).map(|place| f64::from(place).powf(-EXPONENT)).collect();
    weights.shuffle(rng);
    let jitter: f64 = rng.random_range(0.9..1.1);
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum * jitter).collect()
}
