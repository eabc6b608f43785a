//! How many tokens each expert gets.

use crate::entity;

/// Tokens in some interval, by layer and expert; dense, layer by layer.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    experts: usize,
    tokens: Vec<f64>,
}

impl Load {
    /// No tokens yet, for that many layers of that many experts.
    pub fn new(layers: usize, experts: usize) -> Load {
        Load { experts, tokens: vec![0.0; layers * experts] }
    }

    /// Number of layers.
    pub fn layers(&self) -> usize {
        self.tokens.len() / self.experts.max(1)
    }

    /// Number of experts of a layer.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Tokens of the experts of a layer.
    pub fn layer(&self, layer: entity::Layer) -> &[f64] {
        let start = layer.as_u32() as usize * self.experts;
        &self.tokens[start..start + self.experts]
    }

    /// Tokens of the experts of a layer, to be changed.
    pub fn layer_mut(&mut self, layer: entity::Layer) -> &mut [f64] {
        let start = layer.as_u32() as usize * self.experts;
        &mut self.tokens[start..start + self.experts]
    }

    /// Sum over all layers and experts.
    pub fn total(&self) -> f64 {
        self.tokens.iter().sum()
    }

    /// Moves towards a newer load by a part `gain` of the difference.
    pub fn blend(&mut self, newer: &Load, gain: f64) {
        for (old, new) in self.tokens.iter_mut().zip(&newer.tokens) {
            *old += gain * (new - *old);
        }
    }
}
