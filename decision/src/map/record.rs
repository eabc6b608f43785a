//! State of the expert map that the platform stores for each group.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::placement::layout;

/// Number of an expert map within its group. Zero is the map that the engines start with.
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

/// Expert map: a layout with its epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Epoch that identifies the map.
    pub epoch: Epoch,
    /// Assignment of experts to ranks.
    pub layout: layout::Layout,
}

/// Stored record of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the write. A writer that got no answer reads the record back and compares
    /// it to find out whether the write succeeded.
    pub nonce: String,
    /// Highest epoch proposed so far; epochs up to it are never reused.
    pub highest: Epoch,
    /// Active map; `None` before the first change.
    pub active: Option<Map>,
    /// Map that the ranks are preparing, if a change is in progress.
    pub next: Option<Map>,
}

impl Record {
    /// Returns the record that proposes a layout under a new epoch.
    pub fn propose(&self, layout: layout::Layout, nonce: String) -> Record {
        let epoch = Epoch(self.highest.0 + 1);
        let next = Some(Map { epoch, layout });
        Record { nonce, highest: epoch, active: self.active.clone(), next }
    }

    /// Returns the record that activates the prepared map.
    pub fn commit(&self, nonce: String) -> Record {
        let active = self.next.clone().or_else(|| self.active.clone());
        Record { nonce, highest: self.highest, active, next: None }
    }

    /// Returns the record that aborts the change in progress. The write raises the revision, so
    /// that the driver of that change can no longer commit it.
    pub fn abandon(&self, nonce: String) -> Record {
        Record { nonce, highest: self.highest, active: self.active.clone(), next: None }
    }

    /// Returns the epoch of the active map.
    pub fn active_epoch(&self) -> Epoch {
        self.active.as_ref().map_or(Epoch::default(), |map| map.epoch)
    }
}
