//! Number of tokens that each expert receives.

use crate::entity;

/// Tokens in an interval by layer and expert, stored densely in layer order.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    experts: usize,
    tokens: Vec<f64>,
}

impl Load {
    /// Creates a load without tokens for `layers` layers of `experts` experts.
    pub fn new(layers: usize, experts: usize) -> Load {
        Load { experts, tokens: vec![0.0; layers * experts] }
    }

    /// Returns the number of layers.
    pub fn layers(&self) -> usize {
        self.tokens.len() / self.experts.max(1)
    }

    /// Returns the number of experts of a layer.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Returns the tokens of the experts of a layer.
    pub fn layer(&self, layer: entity::Layer) -> &[f64] {
        let start = layer.as_u32() as usize * self.experts;
        &self.tokens[start..start + self.experts]
    }

    /// Returns the tokens of the experts of a layer for modification.
    pub fn layer_mut(&mut self, layer: entity::Layer) -> &mut [f64] {
        let start = layer.as_u32() as usize * self.experts;
        &mut self.tokens[start..start + self.experts]
    }

    /// Returns the sum over all layers and experts.
    pub fn total(&self) -> f64 {
        self.tokens.iter().sum()
    }

    /// Updates the exponential moving average with a newer load, whose weight is `gain`.
    pub fn blend(&mut self, newer: &Load, gain: f64) {
        for (old, new) in self.tokens.iter_mut().zip(&newer.tokens) {
            *old += gain * (new - *old);
        }
    }
}
