//! Demand of the experts, computed from the counts of the ranks.

/// Factor by which the demand decays per interval. A shift of the demand shows within two or three
/// intervals, while single requests have little influence.
const DECAY: f64 = 0.55;

/// Demand by set and expert.
#[derive(Debug, Default)]
pub struct Demand {
    load: Vec<f64>,
    /// Demand of the last interval alone.
    newest: Vec<f64>,
}

impl Demand {
    /// Adds how often each expert was chosen in an interval. Does nothing if `counts` is empty,
    /// because no rank reported any.
    pub fn add(&mut self, counts: &[u32]) {
        if counts.is_empty() {
            return;
        }
        if self.load.len() != counts.len() {
            self.load = vec![0.0; counts.len()];
        }
        self.newest = counts.iter().map(|count| f64::from(*count)).collect();
        for (load, newest) in self.load.iter_mut().zip(&self.newest) {
            *load = *load * DECAY + newest;
        }
    }

    /// Discards all but the last interval, after a shift of the demand.
    pub fn reset(&mut self) {
        self.load.clone_from(&self.newest);
    }

    /// Returns the demand of the experts of a set in the last interval alone. Each set has
    /// `experts` experts.
    pub fn newest(&self, set: usize, experts: usize) -> &[f64] {
        self.newest.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }

    /// Returns the exponentially smoothed demand of the experts of a set. Each set has `experts`
    /// experts.
    pub fn smoothed(&self, set: usize, experts: usize) -> &[f64] {
        self.load.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }

    /// Returns the number of choices that the demand is based on.
    pub fn total(&self) -> f64 {
        self.load.iter().sum()
    }
}
