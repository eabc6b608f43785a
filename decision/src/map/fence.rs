//! Keeps orders of a driver that has been replaced away from an engine.
//!
//! Each rank keeps the highest term that it has seen of a driver of its group.
//! A term counts within one group alone: drivers of other groups may have
//! higher ones at the same time, and know nothing of each other.

use std::sync::Arc;

/// The highest term seen of a driver of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fence {
    group: Option<Arc<str>>,
    term: u64,
}

impl Fence {
    /// Takes a term of a driver of the rank's present group; returns the
    /// highest one seen in it. A rank that was moved to another group begins
    /// anew.
    pub fn observe(&mut self, group: &Arc<str>, term: u64) -> u64 {
        if self.group.as_ref() != Some(group) {
            *self = Fence { group: Some(group.clone()), term };
        }
        self.term = self.term.max(term);
        self.term
    }
}
