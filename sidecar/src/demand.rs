//! How much each expert is in demand, from the counts of the ranks.

/// What is left of the demand after one interval: a shift of demand shows
/// within two or three, while single requests do not move it much.
const DECAY: f64 = 0.55;

/// The demand, set by set.
#[derive(Debug, Default)]
pub struct Demand {
    load: Vec<f64>,
    /// Demand of the last interval alone.
    newest: Vec<f64>,
}

impl Demand {
    /// Takes how often experts were chosen in an interval; nothing where no rank
    /// could tell.
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

    /// Forgets all but the last interval: demand has shifted since.
    pub fn reset(&mut self) {
        self.load.clone_from(&self.newest);
    }

    /// Demand of the experts of a set in the last interval alone.
    pub fn newest(&self, set: usize, experts: usize) -> &[f64] {
        self.newest.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }

    /// Demand of the experts of a set, where each has so many.
    pub fn smoothed(&self, set: usize, experts: usize) -> &[f64] {
        self.load.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }

    /// Choices that the demand rests on.
    pub fn total(&self) -> f64 {
        self.load.iter().sum()
    }
}
