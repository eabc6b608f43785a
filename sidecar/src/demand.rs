//! How much each expert is in demand, from the counts of the ranks.

use std::collections::BTreeMap;

/// What is left of the demand after one interval: a shift of demand shows
/// within two or three, while single requests do not move it much.
const KEPT: f64 = 0.55;

/// The demand, set by set.
#[derive(Debug, Default)]
pub struct Demand {
    /// Last counts of each rank.
    last: BTreeMap<u32, Vec<u64>>,
    load: Vec<f64>,
    /// Demand of the last interval alone.
    newest: Vec<f64>,
}

impl Demand {
    /// Takes the counts of the ranks that answered in an interval.
    pub fn take(&mut self, counts: Vec<(u32, Vec<u64>)>) {
        let length = counts.first().map_or(0, |(_, counts)| counts.len());
        if self.load.len() != length {
            self.load = vec![0.0; length];
            self.last.clear();
        }
        self.newest = vec![0.0; length];
        for (rank, counts) in counts {
            if counts.len() != length {
                continue;
            }
            if let Some(before) = self.last.get(&rank) {
                for (index, (now, before)) in counts.iter().zip(before).enumerate() {
                    // An engine that was restarted counts from zero again.
                    self.newest[index] += now.saturating_sub(*before) as f64;
                }
            }
            self.last.insert(rank, counts);
        }
        for (load, newest) in self.load.iter_mut().zip(&self.newest) {
            *load = *load * KEPT + newest;
        }
    }

    /// Forgets all but the last interval: demand has shifted since.
    pub fn restart(&mut self) {
        self.load.clone_from(&self.newest);
    }

    /// Demand of the experts of a set in the last interval alone.
    pub fn newest(&self, set: usize, experts: usize) -> &[f64] {
        self.newest.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }

    /// Demand of the experts of a set, where each has so many.
    pub fn set(&self, set: usize, experts: usize) -> &[f64] {
        self.load.get(set * experts..(set + 1) * experts).unwrap_or_default()
    }

    /// Choices that the demand rests on.
    pub fn total(&self) -> f64 {
        self.load.iter().sum()
    }
}
