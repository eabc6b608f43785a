//! The agent's gate for orders about the expert map.
//!
//! Fences only rise. An agent that has just started knows none and takes no
//! order until it has learnt the group's: from the platform, or, while that is
//! not to be reached, from another rank's agent. That is enough, because a map
//! comes in force only after every rank's agent has seen its fence.

use std::fmt;

use crate::map::record;

/// Revision of the record that an order was made under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An order about the map, as far as the gate is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// What is to be done.
    pub action: Action,
    /// Epoch of the map.
    pub epoch: record::Epoch,
    /// Its fence.
    pub fence: Fence,
    /// Digest of the layout.
    pub digest: u64,
}

/// What an order wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Load the map's experts beside those in use.
    Prepare,
    /// Launch steps on the map from now on.
    Activate,
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A higher fence was seen.
    #[error("stale: fence {0} was seen")]
    Stale(Fence),
    /// The epoch was prepared with another layout.
    #[error("epoch {0} stands for another layout")]
    Digest(record::Epoch),
    /// The epoch was not prepared here.
    #[error("epoch {0} is not prepared")]
    Unprepared(record::Epoch),
    /// The agent has not learnt the group's fence yet.
    #[error("the fence is not known yet")]
    Unready,
}

/// The gate. Invariant: `fence` never falls.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    fence: Option<Fence>,
    prepared: Option<(record::Epoch, u64)>,
}

impl Gate {
    /// Whether the fence is known.
    pub fn ready(&self) -> bool {
        self.fence.is_some()
    }

    /// Highest fence seen.
    pub fn fence(&self) -> Fence {
        self.fence.unwrap_or_default()
    }

    /// Learns the group's fence, from the platform or another agent.
    pub fn learn(&mut self, fence: Fence) {
        self.fence = Some(self.fence().max(fence));
    }

    /// Weighs an order. One that is let through must be carried out before
    /// the next is weighed.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; nothing may then be sent to the backend server.
    pub fn check(&mut self, order: &Order) -> Result<(), Refusal> {
        let Some(fence) = self.fence else { return Err(Refusal::Unready) };
        if order.fence < fence {
            return Err(Refusal::Stale(fence));
        }
        let known = self.prepared.filter(|(epoch, _)| *epoch == order.epoch);
        if known.is_some_and(|(_, digest)| digest != order.digest) {
            return Err(Refusal::Digest(order.epoch));
        }
        if order.action == Action::Activate && known.is_none() {
            return Err(Refusal::Unprepared(order.epoch));
        }
        self.fence = Some(order.fence);
        Ok(())
    }

    /// The backend server has prepared the map.
    pub fn record_prepared(&mut self, order: &Order) {
        self.prepared = Some((order.epoch, order.digest));
    }
}
