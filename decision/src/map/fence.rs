//! Protects an engine from the orders of a driver that has been replaced.
//!
//! A term numbers the drivers of a group: each newly elected driver has a higher one. Each rank
//! keeps the highest term that it has received from a driver of its group, so that it can reject
//! orders of lower terms. Terms are scoped to one group: the drivers of different groups are
//! independent of each other, and the terms of another group may be higher at the same time.

use std::sync::Arc;

/// Highest term received from a driver of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fence {
    group: Option<Arc<str>>,
    term: u64,
}

impl Fence {
    /// Records a term of a driver of the rank's current group and returns the highest term
    /// received in that group. The fence is reset when the rank was moved to another group.
    pub fn observe(&mut self, group: &Arc<str>, term: u64) -> u64 {
        if self.group.as_ref() != Some(group) {
            *self = Fence { group: Some(group.clone()), term };
        }
        self.term = self.term.max(term);
        self.term
    }
}
