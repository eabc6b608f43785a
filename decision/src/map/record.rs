//! What the platform holds for a group.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::placement::layout;

/// Number of an expert map of a group. Zero is the map that the engines start with.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A layout with its epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Its epoch.
    pub epoch: Epoch,
    /// Which ranks hold which experts.
    pub layout: layout::Layout,
}

/// The record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Record {
    /// Unique to the write, so that a lost answer can be settled by reading back.
    pub nonce: String,
    /// Highest epoch that was ever proposed; never used again.
    pub highest: Epoch,
    /// The map in force; none before the first change.
    pub active: Option<Map>,
    /// The map that is being prepared.
    pub next: Option<Map>,
}

impl Record {
    /// The record that proposes a layout under a fresh epoch.
    pub fn propose(&self, layout: layout::Layout, nonce: String) -> Record {
        let epoch = Epoch(self.highest.0 + 1);
        let next = Some(Map { epoch, layout });
        Record { nonce, highest: epoch, active: self.active.clone(), next }
    }

    /// The record that puts the prepared map in force.
    pub fn commit(&self, nonce: String) -> Record {
        let active = self.next.clone().or_else(|| self.active.clone());
        Record { nonce, highest: self.highest, active, next: None }
    }

    /// The record that gives up what is being prepared, so that whoever drives
    /// that change can no longer commit it.
    pub fn abandon(&self, nonce: String) -> Record {
        Record { nonce, highest: self.highest, active: self.active.clone(), next: None }
    }

    /// Epoch in force.
    pub fn active_epoch(&self) -> Epoch {
        self.active.as_ref().map_or(Epoch::default(), |map| map.epoch)
    }
}
