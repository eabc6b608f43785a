//! Assignment of experts to ranks: an expert map without its epoch.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::entity;

/// Shape of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of layers with experts.
    pub layers: u32,
    /// Number of experts of each layer.
    pub experts: u32,
    /// Number of ranks of the group.
    pub ranks: u32,
    /// Maximum number of experts of one layer that a rank holds.
    pub slots: u32,
}

impl Shape {
    /// Returns the ids of the layers.
    pub fn layer_ids(&self) -> impl Iterator<Item = entity::Layer> + use<> {
        (0..self.layers).map(entity::Layer::from_u32)
    }

    /// Returns the ids of the ranks.
    pub fn rank_ids(&self) -> impl Iterator<Item = entity::Rank> + use<> {
        (0..self.ranks).map(entity::Rank::from_u32)
    }

    /// Returns the ids of the experts of a layer.
    pub fn expert_ids(&self) -> impl Iterator<Item = entity::Expert> + use<> {
        (0..self.experts).map(entity::Expert::from_u32)
    }
}

/// Ranks that hold an expert, in ascending order.
pub type Copies = Vec<u32>;

/// Assignment of experts to ranks. [`Layout::verify`] lists the invariants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Shape of the group.
    pub shape: Shape,
    /// Ranks that hold each expert, indexed by layer and expert.
    pub layers: Vec<Vec<Copies>>,
}

impl Layout {
    /// Returns a layout with one copy of each expert, assigned to the ranks round-robin.
    pub fn round_robin(shape: Shape) -> Layout {
        let layer: Vec<Copies> =
            (0..shape.experts).map(|expert| vec![expert % shape.ranks]).collect();
        Layout { shape, layers: vec![layer; shape.layers as usize] }
    }

    /// Returns the ranks that hold an expert.
    pub fn copies(&self, layer: entity::Layer, expert: entity::Expert) -> &Copies {
        &self.layers[layer.as_u32() as usize][expert.as_u32() as usize]
    }

    /// Returns the number of expert loads for a switch from `from` to this layout, summed over
    /// ranks and layers.
    pub fn loads_from(&self, from: &Layout) -> u32 {
        let pairs = self.layers.iter().flatten().zip(from.layers.iter().flatten());
        let added = |(new, old): (&Copies, &Copies)| {
            new.iter().filter(|rank| !old.contains(rank)).count() as u32
        };
        pairs.map(added).sum()
    }

    /// Returns a hash of the layout.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for copies in self.layers.iter().flatten() {
            for rank in copies {
                hasher.update(&rank.to_le_bytes());
            }
            // The terminator keeps adjacent lists distinct.
            hasher.update(&u32::MAX.to_le_bytes());
        }
        hasher.digest()
    }

    /// Checks the invariants: every expert has a copy, all its ranks are known and listed once,
    /// and no rank holds more experts of a layer than it has slots.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] that is found.
    pub fn verify(&self) -> Result<(), Fault> {
        if self.layers.len() != self.shape.layers as usize {
            return Err(Fault::Layers);
        }
        for (layer, experts) in self.layers.iter().enumerate() {
            let layer = entity::Layer::from_u32(layer as u32);
            self.verify_layer(layer, experts)?;
        }
        Ok(())
    }

    fn verify_layer(&self, layer: entity::Layer, experts: &[Copies]) -> Result<(), Fault> {
        if experts.len() != self.shape.experts as usize {
            return Err(Fault::Experts(layer));
        }
        let mut held = vec![0; self.shape.ranks as usize];
        for (expert, copies) in experts.iter().enumerate() {
            let expert = entity::Expert::from_u32(expert as u32);
            if copies.is_empty() {
                return Err(Fault::Unplaced(layer, expert));
            }
            if !copies.is_sorted_by(|a, b| a < b) {
                return Err(Fault::Order(layer, expert));
            }
            for rank in copies {
                let Some(count) = held.get_mut(*rank as usize) else {
                    return Err(Fault::Rank(layer, expert));
                };
                *count += 1;
            }
        }
        match held.iter().position(|count| *count > self.shape.slots) {
            Some(rank) => Err(Fault::Slots(layer, entity::Rank::from_u32(rank as u32))),
            None => Ok(()),
        }
    }
}

/// Violated invariant of a layout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The number of layers differs from the shape.
    #[error("number of layers does not match the shape")]
    Layers,
    /// The number of experts of a layer differs from the shape.
    #[error("number of experts of {0} does not match the shape")]
    Experts(entity::Layer),
    /// No rank holds the expert.
    #[error("no rank holds {1} of {0}")]
    Unplaced(entity::Layer, entity::Expert),
    /// The ranks of the expert are not in ascending order, or one is listed twice.
    #[error("ranks of {1} of {0} are not strictly ascending")]
    Order(entity::Layer, entity::Expert),
    /// The expert is assigned to an unknown rank.
    #[error("{1} of {0} is assigned to an unknown rank")]
    Rank(entity::Layer, entity::Expert),
    /// The rank holds more experts than it has slots.
    #[error("{1} holds more experts of {0} than it has slots")]
    Slots(entity::Layer, entity::Rank),
}

impl fmt::Display for Layout {
    /// Writes one line per layer: `layer0: expert0=0,3 expert1=1 ..`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (layer, experts) in self.layers.iter().enumerate() {
            write!(f, "layer{layer}:")?;
            for (expert, copies) in experts.iter().enumerate() {
                let ranks: Vec<String> = copies.iter().map(u32::to_string).collect();
                write!(f, " expert{expert}={}", ranks.join(","))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
